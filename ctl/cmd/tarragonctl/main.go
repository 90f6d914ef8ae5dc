// Command tarragonctl lets operators see and change the fleet.
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
	flaggy.SetDescription("lets operators see and change the fleet")
	flaggy.String(&entry, "e", "entry", "the operators' URL of an entry (or "+entryVariable+")")
	authority, certificate, key := "", "", ""
	flaggy.String(&authority, "", "authority", "the authority's certificate, for an entry that speaks TLS")
	flaggy.String(&certificate, "", "certificate", "the operator's certificate, instead of a token")
	flaggy.String(&key, "", "key", "the key of the operator's certificate")
	flaggy.Bool(&o.JSON, "j", "json", "print JSON")
	selected := addCommands(&o)
	flaggy.Parse()
	w := selected()
	if w == "" {
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
	return tarragonctl.Run(context.Background(), w, c, o, os.Stdout)
}

// addCommands makes a subcommand for each command; the result tells which was used.
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
		for w, s := range used {
			if s.Used {
				return w
			}
		}
		return ""
	}
}

func parentCommand(m map[string]*flaggy.Subcommand, name string) *flaggy.Subcommand {
	if m[name] == nil {
		m[name] = flaggy.NewSubcommand(name)
		m[name].Description = "see or change the " + name
		flaggy.AttachSubcommand(m[name], 1)
	}
	return m[name]
}

func addFlags(s *flaggy.Subcommand, name string, o *tarragonctl.Options) {
	switch name {
	case "config apply", "config check":
		s.String(&o.Inventory, "i", "inventory", "the inventory file")
		s.String(&o.Rules, "r", "rules", "the rules file")
		s.Int(&o.BaseRevision, "b", "base", "the revision that was edited; the one in force if not given")
		s.String(&o.Note, "n", "note", "why")
	case "config rollback":
		s.Int(&o.TargetRevision, "r", "revision", "the revision to return to")
	case "maintenance pause", "maintenance resume", "maintenance halt", "vm drain", "vm undrain", "vm explain":
		s.AddPositionalValue(&o.Argument, "NAME", 1, true, "the pool or VM")
		return
	case "job submit":
		s.AddPositionalValue(&o.Argument, "FILE", 1, true, "the job, in TOML or JSON")
		s.String(&o.JobID, "i", "id", "the job's identity, 16 hexadecimal digits, so that asking twice submits once")
		return
	case "job list":
		s.String(&o.Queue, "q", "queue", "only the jobs of this queue")
		return
	case "job show", "job explain", "job wait", "job cancel":
		s.AddPositionalValue(&o.Argument, "ID", 1, true, "the job")
		return
	default:
		return
	}
	s.String(&o.Author, "a", "author", "who")
	s.String(&o.IdempotencyKey, "m", "mark", "the identity of the change, so that asking twice changes once")
}
