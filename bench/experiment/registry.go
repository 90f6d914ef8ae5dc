package experiment

import (
	"context"
	"fmt"
	"sort"
	"time"

	"github.com/gravitational/trace"
)

// Options configures one run of an experiment.
type Options struct {
	// BinDir holds the programs under test.
	BinDir string
	// DeployDir holds the inventory and the rules of the site.
	DeployDir string
	// OutDir receives logs and settings.
	OutDir string
	// Seed initialises every random generator of the run.
	Seed uint64
	// Baseline names a configuration to compare with; empty runs without a comparison.
	Baseline string
	// DurationScale is a factor on the experiment's durations, 1 for the standard run.
	DurationScale float64
	// SkipTargets checks only the invariants and ignores the targets for latency, throughput and similar amounts.
	SkipTargets bool
}

// scale multiplies a duration of the standard run by DurationScale.
func (e Options) scale(d time.Duration) time.Duration {
	return time.Duration(float64(d) * e.DurationScale)
}

// Experiment is a named scenario that starts a site, injects faults and fills in a report.
type Experiment struct {
	Name    string
	Summary string
	run     func(ctx context.Context, e Options, r *Report) error
}

var registry = map[string]Experiment{}

// register adds an experiment to the registry. It is called from init functions.
func register(name, summary string, f func(context.Context, Options, *Report) error) {
	registry[name] = Experiment{Name: name, Summary: summary, run: f}
}

// All returns the registered experiments, sorted by name.
func All() []Experiment {
	l := make([]Experiment, 0, len(registry))
	for _, x := range registry {
		l = append(l, x)
	}
	sort.Slice(l, func(i, j int) bool { return l[i].Name < l[j].Name })
	return l
}

// UnknownError reports that no experiment with the name is registered.
type UnknownError struct {
	Name string
}

// Error returns the message, which refers to the list command.
func (e *UnknownError) Error() string {
	return fmt.Sprintf("unknown experiment %q, see tarragonbench list", e.Name)
}

// Run runs the named experiment and returns its report. It fails with an UnknownError if the name is not registered,
// and with any other error if the experiment could not be carried out; violations are in the report.
func Run(ctx context.Context, name string, e Options) (*Report, error) {
	x, ok := registry[name]
	if !ok {
		return nil, trace.Wrap(&UnknownError{Name: name})
	}
	r := newReport(name, e)
	if err := x.run(ctx, e, r); err != nil {
		return nil, trace.Wrap(err, "running experiment %q", name)
	}
	return r, nil
}
