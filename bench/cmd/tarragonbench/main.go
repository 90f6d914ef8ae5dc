// Command tarragonbench runs experiments that test and measure tarragonbank against simulated backend servers, callers
// and a simulated platform. It exits with 1 if the experiment reports violations, and with 2 if it could not be run.
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

// run parses the command line and returns the exit code.
func run() (int, error) {
	flaggy.SetName("tarragonbench")
	flaggy.SetDescription("tests and measures tarragonbank against simulated backend servers, callers and a simulated platform")
	list := flaggy.NewSubcommand("list")
	list.Description = "list the experiments"
	flaggy.AttachSubcommand(list, 1)
	e := experiment.Options{Seed: 1, DeployDir: "deploy/horncraft", DurationScale: 1}
	x := flaggy.NewSubcommand("run")
	x.Description = "run an experiment; the last line of output is the report as JSON"
	name, race := "", false
	x.AddPositionalValue(&name, "NAME", 1, true, "name of the experiment")
	x.UInt64(&e.Seed, "s", "seed", "seed of the random generators")
	x.String(&e.OutDir, "o", "out", "directory for logs and settings; a temporary directory by default")
	x.String(&e.Baseline, "b", "baseline", "baseline to compare with")
	x.String(&e.DeployDir, "d", "deploy", "directory of the inventory and the rules")
	x.Float64(&e.DurationScale, "x", "length", "factor on the durations of the experiment")
	x.Bool(&e.SkipTargets, "u", "untimed", "check only invariants, not the targets for latency, throughput and similar amounts")
	x.Bool(&race, "r", "race", "run the programs that make race has built, with the race detector")
	flaggy.AttachSubcommand(x, 1)
	flaggy.Parse()
	switch {
	case list.Used:
		for _, x := range experiment.All() {
			fmt.Printf("%-12s %s\n", x.Name, x.Summary)
		}
		return 0, nil
	case x.Used:
		return runOne(name, race, e)
	default:
		flaggy.ShowHelpAndExit("")
		return 0, nil
	}
}

// runOne runs one experiment, with race with the programs that have the race detector, and prints its report.
func runOne(name string, race bool, e experiment.Options) (int, error) {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	self, err := os.Executable()
	if err != nil {
		return 0, trace.ConvertSystemError(err)
	}
	e.BinDir = filepath.Dir(self)
	if race {
		e.BinDir = filepath.Join(e.BinDir, "race")
	}
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
