package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// The bounds of the small deployments that the cases judge by.
const (
	orderLease  = 3 * time.Second
	harmTime    = 4 * time.Second
	contactTime = 3 * time.Second
	noticeTime  = 4500 * time.Millisecond
)

// The exit statuses of a case.
const (
	held    = 0
	broken  = 1
	notPlay = 2
)

// cases are the scripted cases by name. Each returns whether the rule was broken; an error means that it could not run.
var cases = map[string]func(s *site, trouble bool) (bool, error){
	"crashes": playCrashes, "orders": playOrders, "pace": playPace, "upkeep": playUpkeep, "reborn": playReborn,
}

func main() {
	if len(os.Args) != 4 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin2 CASE REPOSITORY RECORD")
		os.Exit(notPlay)
	}
	os.Exit(play(os.Args[1], os.Args[2], os.Args[3]))
}

func play(name, root, recordPath string) int {
	s, err := newSite(root, recordPath)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return notPlay
	}
	defer s.stop()
	interrupted := make(chan os.Signal, 1)
	signal.Notify(interrupted, syscall.SIGTERM, syscall.SIGINT)
	go func() {
		<-interrupted
		s.stop()
		os.Exit(notPlay)
	}()
	b, err := cases[name](s, os.Getenv("TROUBLE") != "0")
	switch {
	case err != nil:
		s.record.add("the case could not run: %v", err)
		fmt.Fprintln(os.Stderr, err)
		return notPlay
	case b:
		s.record.add("the rule was broken")
		return broken
	default:
		s.record.add("the rule held")
		return held
	}
}
