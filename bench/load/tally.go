package load

import (
	"fmt"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	// minLatencyUs and maxLatencyUs are the range of the latency histograms, in microseconds.
	minLatencyUs      = 1
	maxLatencyUs      = 60_000_000
	significantDigits = 3
	maxViolations     = 20
)

// Counts holds the results of one kind of request in one phase.
type Counts struct {
	Sent int64
	// Good counts requests that ran and were answered on time, Late those answered after the deadline and lateGrace,
	// and Errors those answered with a status of 400 or above.
	Good   int64
	Late   int64
	Errors int64
	// NotRun counts responses with the outcome notRun, Unknown those with any other outcome than ran or notRun.
	NotRun  int64
	Unknown int64
	// Broken counts requests without a complete response.
	Broken int64
	// Reasons counts the responses by their reason header.
	Reasons map[string]int64
	latency *hdrhistogram.Histogram
	refusal *hdrhistogram.Histogram
}

func newCounts() *Counts {
	return &Counts{
		Reasons: map[string]int64{},
		latency: hdrhistogram.New(minLatencyUs, maxLatencyUs, significantDigits),
		refusal: hdrhistogram.New(minLatencyUs, maxLatencyUs, significantDigits),
	}
}

// Latency returns the percentile q, from 0 to 100, of the latency of good responses.
func (c *Counts) Latency(q float64) time.Duration {
	return time.Duration(c.latency.ValueAtQuantile(q)) * time.Microsecond
}

// RefusalLatency returns the percentile q, from 0 to 100, of the latency of responses with the outcome notRun.
func (c *Counts) RefusalLatency(q float64) time.Duration {
	return time.Duration(c.refusal.ValueAtQuantile(q)) * time.Microsecond
}

// Add adds the counts and latencies of o.
func (c *Counts) Add(o *Counts) {
	c.Sent += o.Sent
	c.Good += o.Good
	c.Late += o.Late
	c.Errors += o.Errors
	c.NotRun += o.NotRun
	c.Unknown += o.Unknown
	c.Broken += o.Broken
	for k, n := range o.Reasons {
		c.Reasons[k] += n
	}
	c.latency.Merge(o.latency)
	c.refusal.Merge(o.refusal)
}

// Tally collects results by phase and kind of request.
type Tally struct {
	lock       sync.Mutex
	phase      string
	counts     map[string]map[string]*Counts
	notRun     []string
	violations []string
}

// NewTally returns an empty tally that starts in the phase.
func NewTally(phase string) *Tally {
	return &Tally{phase: phase, counts: map[string]map[string]*Counts{}}
}

// SetPhase sets the phase under which requests sent from now on are counted.
func (t *Tally) SetPhase(p string) {
	t.lock.Lock()
	defer t.lock.Unlock()
	t.phase = p
}

func (t *Tally) currentPhase() string {
	t.lock.Lock()
	defer t.lock.Unlock()
	return t.phase
}

// Counts returns the counts of a kind of request in a phase. They are not a copy and change while requests are sent.
func (t *Tally) Counts(phase, kind string) *Counts {
	t.lock.Lock()
	defer t.lock.Unlock()
	return t.get(phase, kind)
}

// SumKinds returns the sum of the counts of some kinds of request in a phase.
func (t *Tally) SumKinds(phase string, kinds ...string) *Counts {
	t.lock.Lock()
	defer t.lock.Unlock()
	c := newCounts()
	for _, k := range kinds {
		c.Add(t.get(phase, k))
	}
	return c
}

// SumPhase returns the sum of the counts of all kinds in a phase.
func (t *Tally) SumPhase(phase string) *Counts {
	t.lock.Lock()
	defer t.lock.Unlock()
	c := newCounts()
	for _, x := range t.counts[phase] {
		c.Add(x)
	}
	return c
}

// SumAll returns the sum of the counts of all kinds in all phases.
func (t *Tally) SumAll() *Counts {
	t.lock.Lock()
	defer t.lock.Unlock()
	c := newCounts()
	for _, p := range t.counts {
		for _, x := range p {
			c.Add(x)
		}
	}
	return c
}

func (t *Tally) get(phase, kind string) *Counts {
	if t.counts[phase] == nil {
		t.counts[phase] = map[string]*Counts{}
	}
	if t.counts[phase][kind] == nil {
		t.counts[phase][kind] = newCounts()
	}
	return t.counts[phase][kind]
}

// NotRun returns the IDs of the requests whose response had the outcome notRun.
func (t *Tally) NotRun() []string {
	t.lock.Lock()
	defer t.lock.Unlock()
	return append([]string(nil), t.notRun...)
}

// Violations returns descriptions of responses whose body does not match their request, at most maxViolations of them.
func (t *Tally) Violations() []string {
	t.lock.Lock()
	defer t.lock.Unlock()
	return append([]string{}, t.violations...)
}

func (t *Tally) addViolation(format string, a ...any) {
	t.lock.Lock()
	defer t.lock.Unlock()
	if len(t.violations) < maxViolations {
		t.violations = append(t.violations, fmt.Sprintf(format, a...))
	}
}
