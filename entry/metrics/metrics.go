package metrics

import (
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/uber-go/tally/v4"
	"github.com/uber-go/tally/v4/prometheus"
)

const reportInterval = time.Second

// Metrics holds the counters, gauges and histograms of a process. It is safe for concurrent use.
type Metrics struct {
	scope    tally.Scope
	closer   io.Closer
	reporter prometheus.Reporter

	// lock guards the counters of Event and the histograms of Time, which are looked up by name and kind: their scopes sort and join
	// the labels for each use.
	lock       sync.RWMutex
	counters   map[series]tally.Counter
	histograms map[series]tally.Histogram
}

// series is a metric with its label.
type series struct {
	name, kind string
}

// New creates metrics with the prefix "tarragond", labelled with the given entry name.
func New(name string) *Metrics {
	r := prometheus.NewReporter(prometheus.Options{})
	s, c := tally.NewRootScope(tally.ScopeOptions{
		Prefix:                 "tarragond",
		Tags:                   map[string]string{"entry": name},
		CachedReporter:         r,
		Separator:              prometheus.DefaultSeparator,
		SanitizeOptions:        &prometheus.DefaultSanitizerOpts,
		OmitCardinalityMetrics: true,
	}, reportInterval)
	return &Metrics{scope: s, closer: c, reporter: r, counters: map[series]tally.Counter{}, histograms: map[series]tally.Histogram{}}
}

// Handler returns the handler that serves the metrics.
func (m *Metrics) Handler() http.Handler {
	return m.reporter.HTTPHandler()
}

// Close reports the values that are not reported yet and stops the reporter.
func (m *Metrics) Close() error {
	return m.closer.Close()
}

// Count counts one control message of a kind, and the bytes sent and received for it.
func (m *Metrics) Count(kind string, sent, received int) {
	s := m.scope.Tagged(map[string]string{"kind": kind})
	s.Counter("control_messages").Inc(1)
	s.Counter("control_bytes_sent").Inc(int64(sent))
	s.Counter("control_bytes_received").Inc(int64(received))
}

// Request counts one answered request and records its duration.
func (m *Metrics) Request(service, outcome, reason string, d time.Duration) {
	s := m.scope.Tagged(map[string]string{"service": service, "outcome": outcome, "reason": reason})
	s.Counter("requests").Inc(1)
	s.Timer("request_duration").Record(d)
}

// Retry counts one retry of a request to a service.
func (m *Metrics) Retry(service string) {
	m.scope.Tagged(map[string]string{"service": service}).Counter("retries").Inc(1)
}

// Event increments the named counter, labelled with the kind.
func (m *Metrics) Event(name, kind string) {
	lookUp(m, m.counters, series{name, kind}, func(s tally.Scope) tally.Counter { return s.Counter(name) }).Inc(1)
}

// lookUp returns the metric of a series, which create makes in a scope with the label if it is new.
func lookUp[T any](m *Metrics, known map[series]T, k series, create func(tally.Scope) T) T {
	m.lock.RLock()
	x, ok := known[k]
	m.lock.RUnlock()
	if ok {
		return x
	}
	x = create(m.scope.Tagged(map[string]string{"kind": k.kind}))
	m.lock.Lock()
	defer m.lock.Unlock()
	known[k] = x
	return x
}

// Time records a duration in the named histogram, labelled with the kind.
func (m *Metrics) Time(name, kind string, d time.Duration) {
	lookUp(m, m.histograms, series{name, kind}, func(s tally.Scope) tally.Histogram { return s.Histogram(name, durationBuckets) }).RecordDuration(d)
}

// durationBuckets are the bucket bounds of the histograms. They range from a call within a data centre to the deadline
// of a request.
var durationBuckets = tally.MustMakeExponentialDurationBuckets(time.Millisecond, 2, 14)

// Gauge sets the named gauge.
func (m *Metrics) Gauge(name string, v float64) {
	m.scope.Gauge(name).Update(v)
}

// TaggedGauge sets the named gauge with the given labels.
func (m *Metrics) TaggedGauge(name string, tags map[string]string, v float64) {
	m.scope.Tagged(tags).Gauge(name).Update(v)
}

// TaggedCount adds n to the named counter with the given labels.
func (m *Metrics) TaggedCount(name string, tags map[string]string, n int64) {
	m.scope.Tagged(tags).Counter(name).Inc(n)
}
