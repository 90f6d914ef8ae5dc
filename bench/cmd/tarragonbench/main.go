// Command tarragonbench measures tarragonbank against stand-ins of what it works with.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"

	"github.com/gravitational/trace"
	"github.com/integrii/flaggy"

	"github.com/tarragonbank/tarragonbank/bench/experiment"
)

func main() {
	code, err := run()
	if err != nil {
		fmt.Fprintln(os.Stderr, "tarragonbench: "+err.Error())
		os.Exit(2)
	}
	os.Exit(code)
}

func run() (int, error) {
	flaggy.SetName("tarragonbench")
	flaggy.SetDescription("measures tarragonbank against stand-ins of what it works with")
	list := flaggy.NewSubcommand("list")
	list.Description = "list the experiments"
	flaggy.AttachSubcommand(list, 1)
	e := experiment.Environment{Seed: 1, Deploy: "deploy/horncraft", Length: 1}
	x := flaggy.NewSubcommand("run")
	x.Description = "run an experiment; the last line printed is its result in JSON"
	name := ""
	x.AddPositionalValue(&name, "NAME", 1, true, "the experiment")
	x.UInt64(&e.Seed, "s", "seed", "the seed of all that is drawn")
	x.String(&e.Out, "o", "out", "the folder for logs and settings; a temporary one if not given")
	x.String(&e.Baseline, "b", "baseline", "compare with a named baseline")
	x.String(&e.Deploy, "d", "deploy", "the folder of the inventory and rules")
	x.Float64(&e.Length, "x", "length", "scales the duration")
	x.Bool(&e.Untimed, "u", "untimed", "leave out the targets of time and amount")
	flaggy.AttachSubcommand(x, 1)
	flaggy.Parse()
	switch {
	case list.Used:
		for _, x := range experiment.All() {
			fmt.Printf("%-12s %s\n", x.Name, x.Help)
		}
		return 0, nil
	case x.Used:
		return runOne(name, e)
	default:
		flaggy.ShowHelpAndExit("")
		return 0, nil
	}
}

func runOne(name string, e experiment.Environment) (int, error) {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	self, err := os.Executable()
	if err != nil {
		return 0, trace.ConvertSystemError(err)
	}
	e.Binaries = filepath.Dir(self)
	if e.Out == "" {
		if e.Out, err = os.MkdirTemp("", "tarragonbench-"); err != nil {
			return 0, trace.ConvertSystemError(err)
		}
		defer os.RemoveAll(e.Out)
	}
	r, err := experiment.Run(ctx, name, e)
	if err != nil {
		return 0, err
	}
	if err := r.Write(os.Stdout); err != nil {
		return 0, err
	}
	if !r.Pass() {
		return 1, nil
	}
	return 0, nil
}
