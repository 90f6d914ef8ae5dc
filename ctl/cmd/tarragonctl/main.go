// Command tarragonctl inspects and changes the fleet through the HTTP API of an entry.
package main

import (
	"context"
	"fmt"
	"os"
	"strings"

	"github.com/gravitational/trace"
	"github.com/integrii/flaggy"

	"github.com/tarragonbank/tarragonbank/ctl/tarragonctl"
)

const (
	entryVariable = "TARRAGON_ENTRY"
	tokenVariable = "TARRAGON_TOKEN"
)

func main() {
	if err := run(); err != nil {
		fmt.Fprintln(os.Stderr, "tarragonctl: "+trace.Unwrap(err).Error())
		os.Exit(1)
	}
}

func run() error {
	entry := os.Getenv(entryVariable)
	o := tarragonctl.Options{BaseRevision: -1, Author: os.Getenv("USER")}
	flaggy.SetName("tarragonctl")
	flaggy.SetDescription("inspects and changes the fleet through the HTTP API of an entry")
	flaggy.String(&entry, "e", "entry", "the URL of an entry's operator API (or "+entryVariable+")")
	authority, certificate, key := "", "", ""
	flaggy.String(&authority, "", "authority", "the file of the CA certificate, for an entry that uses TLS")
	flaggy.String(&certificate, "", "certificate", "the file of the operator's certificate, instead of a token")
	flaggy.String(&key, "", "key", "the file of the private key of the operator's certificate")
	flaggy.Bool(&o.JSON, "j", "json", "print the result as JSON")
	selected := addCommands(&o)
	flaggy.Parse()
	n := selected()
	if n == "" {
		flaggy.ShowHelpAndExit("")
	}
	l := []tarragonctl.ClientOption{}
	if authority != "" {
		t, err := tarragonctl.LoadTLS(authority, certificate, key)
		if err != nil {
			return err
		}
		l = append(l, tarragonctl.WithTLS(t))
	}
	c := tarragonctl.New(strings.TrimSuffix(entry, "/"), os.Getenv(tokenVariable), l...)
	return tarragonctl.Run(context.Background(), n, c, o, os.Stdout)
}

// addCommands registers a subcommand for each command. The returned function returns the name of the command that was
// selected, or an empty string if none was.
func addCommands(o *tarragonctl.Options) func() string {
	used := map[string]*flaggy.Subcommand{}
	parents := map[string]*flaggy.Subcommand{}
	for _, c := range tarragonctl.Commands() {
		p := strings.Fields(c.Name)
		s := flaggy.NewSubcommand(p[len(p)-1])
		s.Description = c.Help
		used[c.Name] = s
		if len(p) == 1 {
			flaggy.AttachSubcommand(s, 1)
			continue
		}
		addFlags(s, c.Name, o)
		parentCommand(parents, p[0]).AttachSubcommand(s, 1)
	}
	return func() string {
		for n, s := range used {
			if s.Used {
				return n
			}
		}
		return ""
	}
}

// parentCommand returns the subcommand that groups the commands whose first word is the name. It registers the
// subcommand on first use.
func parentCommand(m map[string]*flaggy.Subcommand, name string) *flaggy.Subcommand {
	if m[name] == nil {
		m[name] = flaggy.NewSubcommand(name)
		m[name].Description = "show or change the " + name
		flaggy.AttachSubcommand(m[name], 1)
	}
	return m[name]
}

// addFlags registers the flags and the positional argument of a command.
func addFlags(s *flaggy.Subcommand, name string, o *tarragonctl.Options) {
	switch name {
	case "config apply", "config check":
		s.String(&o.Inventory, "i", "inventory", "the inventory file")
		s.String(&o.Rules, "r", "rules", "the rules file")
		s.Int(&o.BaseRevision, "b", "base", "the revision that the change is based on; the one in force if not given")
		s.String(&o.Note, "n", "note", "why")
	case "config rollback":
		s.Int(&o.TargetRevision, "r", "revision", "the revision to roll back to")
	case "maintenance pause", "maintenance resume", "maintenance halt", "vm drain", "vm undrain", "vm explain":
		s.AddPositionalValue(&o.Argument, "NAME", 1, true, "the pool or VM")
		return
	case "job submit":
		s.AddPositionalValue(&o.Argument, "FILE", 1, true, "the file with the job, in TOML or JSON")
		s.String(&o.JobID, "i", "id", "the job's ID, 16 hexadecimal digits; repeated submissions with the same ID create one job")
		return
	case "fleet losses":
		s.StringSlice(&o.Files, "l", "log", "a log of an entry, also compressed with gzip; repeat it for each entry")
		s.Duration(&o.Interval, "i", "interval", "the length of the intervals of the table; 1s if not given")
		return
	case "job list":
		s.String(&o.Queue, "q", "queue", "list only the jobs of this queue")
		return
	case "workspace show":
		s.AddPositionalValue(&o.Argument, "NAME", 1, true, "the workspace")
		return
	case "job explain":
		s.AddPositionalValue(&o.Argument, "ID", 1, false, "the job's ID; without it, --file names a job that is not submitted")
		s.String(&o.File, "f", "file", "the file with a job, in TOML or JSON, to show where it would be placed now")
		s.String(&o.JobID, "i", "id", "the ID under which the job in the file would be submitted")
		s.String(&o.Workspace, "w", "workspace", "the workspace that would submit the job in the file")
		return
	case "job show", "job wait", "job cancel":
		s.AddPositionalValue(&o.Argument, "ID", 1, true, "the job's ID")
		return
	default:
		return
	}
	s.String(&o.Author, "a", "author", "who")
	s.String(&o.IdempotencyKey, "m", "mark", "the idempotency key of the change; repeated requests with the same key make one change")
}
