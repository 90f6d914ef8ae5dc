package metrics

import (
	"io"
	"net/http"
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
	return &Metrics{scope: s, closer: c, reporter: r}
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
	m.scope.Tagged(map[string]string{"kind": kind}).Counter(name).Inc(1)
}

// Time records a duration in the named histogram, labelled with the kind.
func (m *Metrics) Time(name, kind string, d time.Duration) {
	m.scope.Tagged(map[string]string{"kind": kind}).Histogram(name, durationBuckets).RecordDuration(d)
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
