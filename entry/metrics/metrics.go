package metrics

import (
	"io"
	"net/http"
	"time"

	"github.com/uber-go/tally/v4"
	"github.com/uber-go/tally/v4/prometheus"
)

const reportPeriod = time.Second

// Metrics holds the entry's counters.
type Metrics struct {
	scope    tally.Scope
	closer   io.Closer
	reporter prometheus.Reporter
}

// New makes metrics tagged with the entry's name.
func New(name string) *Metrics {
	r := prometheus.NewReporter(prometheus.Options{})
	s, c := tally.NewRootScope(tally.ScopeOptions{
		Prefix:                 "tarragond",
		Tags:                   map[string]string{"entry": name},
		CachedReporter:         r,
		Separator:              prometheus.DefaultSeparator,
		SanitizeOptions:        &prometheus.DefaultSanitizerOpts,
		OmitCardinalityMetrics: true,
	}, reportPeriod)
	return &Metrics{scope: s, closer: c, reporter: r}
}

// Handler serves the counts in the Prometheus format.
func (m *Metrics) Handler() http.Handler {
	return m.reporter.HTTPHandler()
}

// Close reports what is left.
func (m *Metrics) Close() error {
	return m.closer.Close()
}

// Count counts one control message with its bytes.
func (m *Metrics) Count(kind string, sent, received int) {
	s := m.scope.Tagged(map[string]string{"kind": kind})
	s.Counter("control_messages").Inc(1)
	s.Counter("control_bytes_sent").Inc(int64(sent))
	s.Counter("control_bytes_received").Inc(int64(received))
}

// Request counts one answered request.
func (m *Metrics) Request(service, outcome, reason string, d time.Duration) {
	s := m.scope.Tagged(map[string]string{"service": service, "outcome": outcome, "reason": reason})
	s.Counter("requests").Inc(1)
	s.Timer("request_duration").Record(d)
}

// Retry counts one request that was sent again.
func (m *Metrics) Retry(service string) {
	m.scope.Tagged(map[string]string{"service": service}).Counter("retries").Inc(1)
}

// Event counts something by its kind.
func (m *Metrics) Event(name, kind string) {
	m.scope.Tagged(map[string]string{"kind": kind}).Counter(name).Inc(1)
}

// Time records how long something took, by its kind.
func (m *Metrics) Time(name, kind string, d time.Duration) {
	m.scope.Tagged(map[string]string{"kind": kind}).Histogram(name, durations).RecordDuration(d)
}

// durations are the bounds of the histograms' buckets: from a call within a data centre to a request's deadline.
var durations = tally.MustMakeExponentialDurationBuckets(time.Millisecond, 2, 14)

// Gauge sets a value.
func (m *Metrics) Gauge(name string, v float64) {
	m.scope.Gauge(name).Update(v)
}
