package owner

import (
	"fmt"
	"time"

	"github.com/tarragonbank/tarragonbank/entry/decision"
	"github.com/tarragonbank/tarragonbank/fleet/overload"
)

// throughputInterval is the time between samples of the processor time and of the runs that were started for it. A core that gets its share in
// slices of 100 ms has several in each.
const throughputInterval = 400 * time.Millisecond

// throughputMeter measures how many runs a second this process can start.
type throughputMeter struct {
	learned   overload.Throughput
	sampledAt time.Time
	used      time.Duration
	starts    int64
	bounded   bool
}

// boundStarts bounds the accepted work by the runs that this process can start while it is nearly out of processor.
func (r *term) boundStarts(now time.Time) {
	m := &r.throughput
	elapsed := now.Sub(m.sampledAt)
	if r.owner.deps.Usage == nil || elapsed < throughputInterval {
		return
	}
	used := r.owner.deps.Usage()
	r.lock.Lock()
	starts := r.scheduler.Operations().Starts
	if !m.sampledAt.IsZero() {
		m.learned.Observe(used-m.used, starts-m.starts, elapsed)
	}
	rate := 0.0
	if m.learned.Busy() {
		rate = m.learned.Rate()
	}
	r.scheduler.SetStartRate(rate)
	r.lock.Unlock()
	m.sampledAt, m.used, m.starts = now, used, starts
	r.owner.deps.Metrics.Gauge("start_rate_bound", rate)
	if bounded := rate > 0; bounded != m.bounded {
		m.bounded = bounded
		reason := "this process has processor to spare, jobs are accepted as their pools allow"
		if bounded {
			reason = fmt.Sprintf("this process is nearly out of processor, jobs are accepted for %.0f runs a second", rate)
		}
		r.owner.logDecision(decision.Ownership, reason, r.token)
	}
}
