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

// Report collects the metrics and the violations of one experiment.
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

// metric records a value under a camel case name that ends in its unit. A repeated name overwrites the value.
func (r *Report) metric(name string, v any) {
	if _, ok := r.metrics[name]; !ok {
		r.order = append(r.order, name)
	}
	r.metrics[name] = v
}

// millis records a duration in milliseconds, rounded to microseconds.
func (r *Report) millis(name string, d time.Duration) {
	r.metric(name, roundThousandth(float64(d.Microseconds())/1000))
}

// ratio records part/whole, or 0 if whole is 0.
func (r *Report) ratio(name string, part, whole float64) {
	if whole == 0 {
		r.metric(name, 0.0)
		return
	}
	r.metric(name, roundThousandth(part/whole))
}

// roundThousandth rounds to three decimal places.
func roundThousandth(v float64) float64 {
	return math.Round(v*1000) / 1000
}

// addViolation records a violated invariant or target.
func (r *Report) addViolation(format string, a ...any) {
	r.violations = append(r.violations, fmt.Sprintf(format, a...))
}

// check records a violation unless ok holds. It is for invariants, which are checked in every run.
func (r *Report) check(ok bool, format string, a ...any) {
	if !ok {
		r.addViolation(format, a...)
	}
}

// checkTarget records a violation unless ok holds or the run skips targets. It is for limits on latency, throughput and
// other amounts, which a short run or a busy machine can miss.
func (r *Report) checkTarget(ok bool, format string, a ...any) {
	r.check(ok || r.skipTargets, format, a...)
}

// Passed reports whether there are no violations.
func (r *Report) Passed() bool {
	return len(r.violations) == 0
}

// Violations returns a message for each violated invariant or target.
func (r *Report) Violations() []string {
	return r.violations
}

// Write prints the metrics as a table and, as the last line, the whole report as one JSON object.
func (r *Report) Write(w io.Writer) error {
	t := tabwriter.NewWriter(w, 0, 8, 2, ' ', 0)
	for _, n := range r.order {
		fmt.Fprintf(t, "%s\t%v\n", n, r.metrics[n])
	}
	if err := t.Flush(); err != nil {
		return trace.Wrap(err, "writing the report")
	}
	m := map[string]any{"experiment": r.name, "seed": r.seed, "pass": r.Passed(), "violations": r.violations}
	if r.baseline != "" {
		m["baseline"] = r.baseline
	}
	for n, v := range r.metrics {
		m[n] = v
	}
	sort.Strings(r.violations)
	return trace.Wrap(json.NewEncoder(w).Encode(m), "writing the report")
}
