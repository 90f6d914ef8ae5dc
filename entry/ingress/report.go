package ingress

import (
	"fmt"
	"time"

	"github.com/tarragonbank/tarragonbank/entry/decision"
)

// cause is why a connection was closed or a request refused.
type cause string

const (
	tooManyConnections cause = "connections"
	tooMuchArriving    cause = "arriving"
	tooManyHandled     cause = "handled"
)

// texts describes the causes in the log.
var texts = map[cause]string{
	tooManyConnections: "closed connections: too many are open",
	tooMuchArriving:    "closed connections: unfinished requests hold too much memory",
	tooManyHandled:     "refused requests: too many are being handled",
}

// reportInterval is the time between two log lines of the same cause.
const reportInterval = time.Second

// reports counts what was closed or refused since the last log line, by cause.
type reports struct {
	count map[cause]int
	last  map[cause]time.Time
}

func newReports() reports {
	return reports{count: map[cause]int{}, last: map[cause]time.Time{}}
}

// due counts one event and returns the number of those to be logged now, 0 for none.
func (r *reports) due(c cause, now time.Time) int {
	r.count[c]++
	if now.Sub(r.last[c]) < reportInterval {
		return 0
	}
	n := r.count[c]
	r.count[c], r.last[c] = 0, now
	return n
}

// report counts and logs a closed connection or a refused request. The lock must not be held.
func (l *Listener) report(c cause) {
	if l.metrics != nil {
		l.metrics.Event("ingress_limited", l.name+"_"+string(c))
	}
	now := time.Now()
	l.lock.Lock()
	n := l.reports.due(c, now)
	l.lock.Unlock()
	if n > 0 && l.log != nil {
		l.log.Add(decision.Record{Time: now, Kind: decision.Refuse, Reason: fmt.Sprintf("%s %s, %d since the last such line", l.name, texts[c], n)})
	}
}
