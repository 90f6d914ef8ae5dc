package allowance

import (
	"maps"
	"math"
	"time"

	"golang.org/x/time/rate"

	"github.com/tarragonbank/tarragonbank/fleet/workspace"
)

// Allowances holds the rate limit of each workspace and what was decided about recently submitted jobs.
type Allowances struct {
	limiters map[string]*rate.Limiter
	decided  map[string]decision
	// retention is how long the decision about a job is kept after its last submission.
	retention time.Duration
	prunedAt  time.Time
}

// decision is whether a job exceeded the rate when it was last submitted.
type decision struct {
	exceeded bool
	at       time.Time
}

// New returns allowances that recognise a job that is submitted again within the retention.
func New(retention time.Duration) *Allowances {
	return &Allowances{limiters: map[string]*rate.Limiter{}, decided: map[string]decision{}, retention: retention}
}

// Clone returns a copy, as of the time now, that changes independently of a.
func (a *Allowances) Clone(now time.Time) *Allowances {
	c := &Allowances{limiters: make(map[string]*rate.Limiter, len(a.limiters)), decided: maps.Clone(a.decided), retention: a.retention, prunedAt: a.prunedAt}
	for n, l := range a.limiters {
		x := rate.NewLimiter(l.Limit(), l.Burst())
		x.ReserveN(now, l.Burst()-int(l.TokensAt(now)))
		c.limiters[n] = x
	}
	return c
}

// Exceeded reports whether a job exceeds the rate of its workspace: its weight in jobs per second, with a burst of one
// second's worth. A job counts once, however often it is submitted. One that exceeded the rate is tested again as a new one.
func (a *Allowances) Exceeded(w *workspace.Workspace, id string, now time.Time) bool {
	a.prune(now)
	d, known := a.decided[id]
	if !known || d.exceeded {
		d.exceeded = !a.limiter(w, now).AllowN(now, 1)
	}
	d.at = now
	a.decided[id] = d
	return d.exceeded
}

// limiter returns the limiter of a workspace, with the present weight.
func (a *Allowances) limiter(w *workspace.Workspace, now time.Time) *rate.Limiter {
	l, burst := a.limiters[w.Name], int(math.Ceil(w.Weight))
	if l == nil {
		l = rate.NewLimiter(rate.Limit(w.Weight), burst)
		a.limiters[w.Name] = l
	}
	if l.Limit() != rate.Limit(w.Weight) {
		l.SetLimitAt(now, rate.Limit(w.Weight))
		l.SetBurstAt(now, burst)
	}
	return l
}

// prune drops the decisions that are older than the retention.
func (a *Allowances) prune(now time.Time) {
	if now.Sub(a.prunedAt) < a.retention {
		return
	}
	a.prunedAt = now
	for id, d := range a.decided {
		if now.Sub(d.at) > a.retention {
			delete(a.decided, id)
		}
	}
}
