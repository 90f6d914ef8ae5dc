package processor

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
	"syscall"
	"time"
)

// Metrics sets gauges and counts by label.
type Metrics interface {
	Gauge(name string, v float64)
	TaggedCount(name string, tags map[string]string, n int64)
	TaggedGauge(name string, tags map[string]string, v float64)
}

const (
	// highShare is the share of the process's cores from which it is reported what they are spent on.
	highShare = 0.9
	// reportedActivities is the number of activities that a report names.
	reportedActivities = 6
)

// Reporter turns an account into metrics, and into a line while the process uses nearly all of its cores.
type Reporter struct {
	account *Account
	metrics Metrics
	cores   float64
	usage   func() time.Duration
	lastAt  time.Time
	used    time.Duration
}

// Option configures a new Reporter.
type Option func(r *Reporter)

// WithUsage sets the function that returns the processor time of the process.
func WithUsage(f func() time.Duration) Option {
	return func(r *Reporter) { r.usage = f }
}

// NewReporter returns a reporter for a process that may use the cores.
func NewReporter(a *Account, m Metrics, cores float64, l ...Option) *Reporter {
	r := &Reporter{account: a, metrics: m, cores: cores, usage: Usage}
	for _, o := range l {
		o(r)
	}
	return r
}

// Usage returns the processor time that the process has used, 0 if it is not known.
func Usage() time.Duration {
	u := syscall.Rusage{}
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		return 0
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// Report updates the metrics with what was spent since the last call. While the process uses nearly all of its cores, it returns a
// line that says what for, and otherwise an empty string.
func (r *Reporter) Report(now time.Time) string {
	used, sums := r.usage(), r.account.Take()
	for _, x := range sums {
		tags := map[string]string{"activity": x.Activity.String()}
		r.metrics.TaggedCount("processor_microseconds", tags, x.Time.Microseconds())
		r.metrics.TaggedCount("processor_activities", tags, x.Count)
		r.metrics.TaggedGauge("processor_longest_seconds", tags, x.Longest.Seconds())
	}
	elapsed, spent := now.Sub(r.lastAt), used-r.used
	first := r.lastAt.IsZero()
	r.lastAt, r.used = now, used
	if first || elapsed <= 0 || r.cores <= 0 {
		return ""
	}
	cores := spent.Seconds() / elapsed.Seconds()
	r.metrics.Gauge("processor_share", cores/r.cores)
	if cores < highShare*r.cores {
		return ""
	}
	return fmt.Sprintf("this process uses %.2f of its %.2f cores%s", cores, r.cores, describe(sums))
}

// describe lists the activities that took the most time, with their number, their time and the longest.
func describe(l []Sum) string {
	slices.SortFunc(l, func(a, b Sum) int { return cmp.Compare(b.Time, a.Time) })
	s := strings.Builder{}
	for _, x := range l[:min(len(l), reportedActivities)] {
		fmt.Fprintf(&s, "; %s %d in %s, longest %s", x.Activity, x.Count, x.Time.Round(time.Millisecond), x.Longest.Round(100*time.Microsecond))
	}
	return s.String()
}
