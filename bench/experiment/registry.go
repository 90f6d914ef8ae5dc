package experiment

import (
	"context"
	"fmt"
	"sort"
	"time"

	"github.com/gravitational/trace"
)

// Options is what an experiment is run with.
type Options struct {
	BinDir    string
	DeployDir string
	OutDir    string
	Seed      uint64
	Baseline  string
	// DurationScale scales the experiment's duration, 1 for the standard run.
	DurationScale float64
	// SkipTargets leaves out the targets of time and amount and keeps what must always hold.
	SkipTargets bool
}

// scaled is a duration of the standard run at the environment's length.
func (e Options) scale(d time.Duration) time.Duration {
	return time.Duration(float64(d) * e.DurationScale)
}

// Experiment starts a site, disturbs it and fills in the report.
type Experiment struct {
	Name    string
	Summary string
	run     func(ctx context.Context, e Options, r *Report) error
}

var registry = map[string]Experiment{}

// register makes an experiment known by its name.
func register(name, help string, f func(context.Context, Options, *Report) error) {
	registry[name] = Experiment{Name: name, Summary: help, run: f}
}

// All lists the experiments by name.
func All() []Experiment {
	l := make([]Experiment, 0, len(registry))
	for _, x := range registry {
		l = append(l, x)
	}
	sort.Slice(l, func(i, j int) bool { return l[i].Name < l[j].Name })
	return l
}

// UnknownError reports a name that no experiment has.
type UnknownError struct {
	Name string
}

// Error describes the failure in one line.
func (e *UnknownError) Error() string {
	return fmt.Sprintf("unknown experiment %q, see tarragonbench list", e.Name)
}

// Run runs the experiment with the name.
func Run(ctx context.Context, name string, e Options) (*Report, error) {
	x, ok := registry[name]
	if !ok {
		return nil, trace.Wrap(&UnknownError{Name: name})
	}
	r := newReport(name, e)
	if err := x.run(ctx, e, r); err != nil {
		return nil, trace.Wrap(err, "running %s", name)
	}
	return r, nil
}
