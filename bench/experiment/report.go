package experiment

import (
	"encoding/json"
	"fmt"
	"io"
	"math"
	"sort"
	"text/tabwriter"
	"time"

	"github.com/gravitational/trace"
)

// Report is the outcome of one experiment.
type Report struct {
	name        string
	seed        uint64
	baseline    string
	metrics     map[string]any
	order       []string
	violations  []string
	skipTargets bool
}

func newReport(name string, e Options) *Report {
	return &Report{name: name, seed: e.Seed, baseline: e.Baseline, metrics: map[string]any{}, violations: []string{}, skipTargets: e.SkipTargets}
}

// figure records a value under a camel case name with its unit.
func (r *Report) metric(name string, v any) {
	if _, ok := r.metrics[name]; !ok {
		r.order = append(r.order, name)
	}
	r.metrics[name] = v
}

// ms records a duration in milliseconds.
func (r *Report) millis(name string, d time.Duration) {
	r.metric(name, roundThousandth(float64(d.Microseconds())/1000))
}

// share records a part of 1.
func (r *Report) ratio(name string, part, whole float64) {
	if whole == 0 {
		r.metric(name, 0.0)
		return
	}
	r.metric(name, roundThousandth(part/whole))
}

func roundThousandth(v float64) float64 {
	return math.Round(v*1000) / 1000
}

// violate records a broken promise.
func (r *Report) addViolation(format string, a ...any) {
	r.violations = append(r.violations, fmt.Sprintf(format, a...))
}

// expect records a violation unless the condition holds.
func (r *Report) check(ok bool, format string, a ...any) {
	if !ok {
		r.addViolation(format, a...)
	}
}

// target records a violation unless the condition holds or targets of time and amount are left out.
func (r *Report) checkTarget(ok bool, format string, a ...any) {
	r.check(ok || r.skipTargets, format, a...)
}

// Passed says whether no promise was broken.
func (r *Report) Passed() bool {
	return len(r.violations) == 0
}

// Violations lists the promises that were broken.
func (r *Report) Violations() []string {
	return r.violations
}

// Write prints a table and, as the last line, one JSON object.
func (r *Report) Write(w io.Writer) error {
	t := tabwriter.NewWriter(w, 0, 8, 2, ' ', 0)
	for _, n := range r.order {
		fmt.Fprintf(t, "%s\t%v\n", n, r.metrics[n])
	}
	if err := t.Flush(); err != nil {
		return trace.Wrap(err, "printing the report")
	}
	m := map[string]any{"experiment": r.name, "seed": r.seed, "pass": r.Passed(), "violations": r.violations}
	if r.baseline != "" {
		m["baseline"] = r.baseline
	}
	for n, v := range r.metrics {
		m[n] = v
	}
	sort.Strings(r.violations)
	return trace.Wrap(json.NewEncoder(w).Encode(m), "printing the report")
}
