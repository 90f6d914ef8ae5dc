package load

import (
	"fmt"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	lowest        = 1
	highest       = 60_000_000
	digits        = 3
	mostViolation = 20
)

// Counts are the answers of one kind of request in one phase.
type Counts struct {
	Sent    int64
	Good    int64
	Late    int64
	Errors  int64
	NotRun  int64
	Unknown int64
	Broken  int64
	Reasons map[string]int64
	latency *hdrhistogram.Histogram
	refusal *hdrhistogram.Histogram
}

func newCounts() *Counts {
	return &Counts{
		Reasons: map[string]int64{},
		latency: hdrhistogram.New(lowest, highest, digits),
		refusal: hdrhistogram.New(lowest, highest, digits),
	}
}

// Latency is the quantile, from 0 to 100, of the good answers' times.
func (c *Counts) Latency(q float64) time.Duration {
	return time.Duration(c.latency.ValueAtQuantile(q)) * time.Microsecond
}

// RefusalLatency is the quantile, from 0 to 100, of the refusals' times.
func (c *Counts) RefusalLatency(q float64) time.Duration {
	return time.Duration(c.refusal.ValueAtQuantile(q)) * time.Microsecond
}

// Add sums counts.
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

// Tally collects the answers by phase and kind of request.
type Tally struct {
	lock       sync.Mutex
	phase      string
	counts     map[string]map[string]*Counts
	notRun     []string
	violations []string
}

// NewTally makes an empty tally in a phase.
func NewTally(phase string) *Tally {
	return &Tally{phase: phase, counts: map[string]map[string]*Counts{}}
}

// SetPhase has requests that are sent from now on counted under the phase.
func (t *Tally) SetPhase(p string) {
	t.lock.Lock()
	defer t.lock.Unlock()
	t.phase = p
}

func (t *Tally) current() string {
	t.lock.Lock()
	defer t.lock.Unlock()
	return t.phase
}

// Counts are the answers of a kind of request in a phase.
func (t *Tally) Counts(phase, kind string) *Counts {
	t.lock.Lock()
	defer t.lock.Unlock()
	return t.get(phase, kind)
}

// SumKinds sums the answers of some kinds of request in a phase.
func (t *Tally) SumKinds(phase string, kinds ...string) *Counts {
	t.lock.Lock()
	defer t.lock.Unlock()
	c := newCounts()
	for _, k := range kinds {
		c.Add(t.get(phase, k))
	}
	return c
}

// SumPhase sums the answers of all kinds in a phase.
func (t *Tally) SumPhase(phase string) *Counts {
	t.lock.Lock()
	defer t.lock.Unlock()
	c := newCounts()
	for _, x := range t.counts[phase] {
		c.Add(x)
	}
	return c
}

// SumAll sums everything.
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

// NotRun lists the ids of the requests that were answered as not run.
func (t *Tally) NotRun() []string {
	t.lock.Lock()
	defer t.lock.Unlock()
	return append([]string(nil), t.notRun...)
}

// Violations lists the answers that broke a promise.
func (t *Tally) Violations() []string {
	t.lock.Lock()
	defer t.lock.Unlock()
	return append([]string{}, t.violations...)
}

func (t *Tally) violate(format string, a ...any) {
	t.lock.Lock()
	defer t.lock.Unlock()
	if len(t.violations) < mostViolation {
		t.violations = append(t.violations, fmt.Sprintf(format, a...))
	}
}
