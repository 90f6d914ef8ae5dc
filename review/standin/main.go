// Command standin plays the scripted cases of the review: stand-ins of the users' platform, workers and clients around the
// entry processes of the deploy file.
package main

import (
	"flag"
	"os"
	"time"
)

func main() {
	dir := flag.String("dir", ".", "folder of the case, which gets record.txt")
	name := flag.String("case", "", "name of the case")
	flag.Parse()
	play := cases[*name]
	if play == nil {
		os.Exit(2)
	}
	s := newSite(*dir)
	trouble := os.Getenv("TROUBLE") != "0"
	s.record("case %s, with its disruption: %v", *name, trouble)
	time.AfterFunc(115*time.Second, func() { s.fatal("out of time") })
	play(s, trouble)
	s.record("rule held")
	s.finish(0)
}
