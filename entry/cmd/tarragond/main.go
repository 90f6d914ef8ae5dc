// Command tarragond runs the entry process, which routes callers' requests to backend servers.
package main

import (
	"context"
	"fmt"
	"os"

	"github.com/gravitational/trace"
	"github.com/integrii/flaggy"
	"github.com/sirupsen/logrus"

	"github.com/tarragonbank/tarragonbank/entry/tarragond"
	"github.com/tarragonbank/tarragonbank/fleet/settings"
)

const settingsVariable = "TARRAGOND_SETTINGS"

func main() {
	if err := run(); err != nil {
		fmt.Fprintln(os.Stderr, "tarragond: "+trace.Unwrap(err).Error())
		os.Exit(1)
	}
}

func run() error {
	file := os.Getenv(settingsVariable)
	level := ""
	check := false
	flaggy.SetName("tarragond")
	flaggy.SetDescription("routes callers' requests to the fleet's backend servers within their deadlines")
	flaggy.SetVersion(tarragond.Version)
	flaggy.String(&file, "s", "settings", "the settings file (or "+settingsVariable+")")
	flaggy.String(&level, "l", "log-level", "the log level (overrides the settings)")
	flaggy.Bool(&check, "c", "check", "check the settings and exit")
	flaggy.Parse()
	s, err := settings.Load(file)
	if err != nil {
		return err
	}
	if level != "" {
		if s.LogLevel, err = logrus.ParseLevel(level); err != nil {
			return trace.BadParameter("unknown log level %q", level)
		}
	}
	e, err := tarragond.New(s, os.Stdout)
	if err != nil {
		return err
	}
	if check {
		fmt.Println("settings are valid")
		return nil
	}
	return e.Run(context.Background())
}
