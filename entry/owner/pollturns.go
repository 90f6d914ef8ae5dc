package owner

import (
	"time"

	"golang.org/x/time/rate"

	"github.com/tarragonbank/tarragonbank/entry/wait"
)

const (
	// unansweredPollsPerCore is the number of polls a second, for each of the owner's cores, of servers that have not answered
	// lately, unansweredPollBurst the time over which unused ones are kept.
	unansweredPollsPerCore = 1500
	unansweredPollBurst    = 100 * time.Millisecond
	// maxTurnDelay is how long the polls of silent servers with runs put off those of the others, which include new servers.
	maxTurnDelay = 500 * time.Millisecond
	// maxUrgentSpread is the time over which the polls of silent servers with runs are spread at most. It is shorter than the
	// scheduler's leaseRecordDelay: a server in the lease record gets no renewal before another commit and another poll.
	maxUrgentSpread = 400 * time.Millisecond
	// minPollingCores is assumed for an entry that does not know its cores.
	minPollingCores = 0.1
)

// pollTurns spreads the polls of servers that have not answered lately: all servers when the term begins, and those that are
// unreachable. Without that, more of them fall due at a time than this process can carry out, and it takes its own delay for
// silence of the servers.
type pollTurns struct {
	// all limits the polls of these servers, withRuns those of the ones that have runs, which go first since their leases are
	// running.
	all, withRuns *rate.Limiter
}

// newPollTurns returns the turns of an owner with the cores.
func newPollTurns(cores float64) pollTurns {
	n := unansweredPollsPerCore * max(cores, minPollingCores)
	burst := max(int(n*unansweredPollBurst.Seconds()), 1)
	return pollTurns{all: rate.NewLimiter(rate.Limit(n), burst), withRuns: rate.NewLimiter(rate.Limit(n), burst)}
}

// take takes the next turn of a server and returns how long it has to wait for it.
func (p pollTurns) take(hasRuns bool, now time.Time) time.Duration {
	if !hasRuns {
		return p.all.ReserveN(now, 1).DelayFrom(now)
	}
	if p.all.TokensAt(now) > -maxTurnDelay.Seconds()*float64(p.all.Limit()) {
		p.all.ReserveN(now, 1)
	}
	return p.withRuns.ReserveN(now, 1).DelayFrom(now)
}

// setServersWithRuns lets each of the number of servers with runs have its turn within maxUrgentSpread.
func (p pollTurns) setServersWithRuns(n int) {
	p.withRuns.SetLimit(max(p.all.Limit(), rate.Limit(float64(n)/maxUrgentSpread.Seconds())))
}

// awaitPollTurn waits for the turn of a server that has not answered lately. One that has missed a single poll does not need to:
// it may get runs meanwhile, whose leases nothing would renew.
func (r *term) awaitPollTurn(id string) {
	now := time.Now()
	r.lock.Lock()
	hasRuns := r.scheduler.ServerLoad(id, now).Runs > 0
	r.lock.Unlock()
	wait.For(r.ctx, r.pollTurns.take(hasRuns, now))
}

// limitUrgentPolls adapts the turns to the number of servers with runs.
func (r *term) limitUrgentPolls() {
	r.lock.Lock()
	n := r.scheduler.ServersWithRuns()
	r.lock.Unlock()
	r.pollTurns.setServersWithRuns(n)
}
