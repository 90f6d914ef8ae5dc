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
	e := experiment.Options{Seed: 1, DeployDir: "deploy/horncraft", DurationScale: 1}
	x := flaggy.NewSubcommand("run")
	x.Description = "run an experiment; the last line printed is its result in JSON"
	name := ""
	x.AddPositionalValue(&name, "NAME", 1, true, "the experiment")
	x.UInt64(&e.Seed, "s", "seed", "the seed of all that is drawn")
	x.String(&e.OutDir, "o", "out", "the folder for logs and settings; a temporary one if not given")
	x.String(&e.Baseline, "b", "baseline", "compare with a named baseline")
	x.String(&e.DeployDir, "d", "deploy", "the folder of the inventory and rules")
	x.Float64(&e.DurationScale, "x", "length", "scales the duration")
	x.Bool(&e.SkipTargets, "u", "untimed", "leave out the targets of time and amount")
	flaggy.AttachSubcommand(x, 1)
	flaggy.Parse()
	switch {
	case list.Used:
		for _, x := range experiment.All() {
			fmt.Printf("%-12s %s\n", x.Name, x.Summary)
		}
		return 0, nil
	case x.Used:
		return runOne(name, e)
	default:
		flaggy.ShowHelpAndExit("")
		return 0, nil
	}
}

func runOne(name string, e experiment.Options) (int, error) {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	self, err := os.Executable()
	if err != nil {
		return 0, trace.ConvertSystemError(err)
	}
	e.BinDir = filepath.Dir(self)
	if e.OutDir == "" {
		if e.OutDir, err = os.MkdirTemp("", "tarragonbench-"); err != nil {
			return 0, trace.ConvertSystemError(err)
		}
		defer os.RemoveAll(e.OutDir)
	}
	r, err := experiment.Run(ctx, name, e)
	if err != nil {
		return 0, err
	}
	if err := r.Write(os.Stdout); err != nil {
		return 0, err
	}
	if !r.Passed() {
		return 1, nil
	}
	return 0, nil
}
