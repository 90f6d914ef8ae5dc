package scheduler

import (
	"fmt"
	"time"

	"github.com/tarragonbank/tarragonbank/fleet/allowance"
	"github.com/tarragonbank/tarragonbank/fleet/backlog"
	"github.com/tarragonbank/tarragonbank/fleet/fairshare"
	"github.com/tarragonbank/tarragonbank/fleet/job"
	"github.com/tarragonbank/tarragonbank/fleet/usage"
)

// accounts are those of the workspaces: what they use, offer and were refused. Admission and placement read them if workspaces are
// in use.
type accounts struct {
	// usage counts the runs of the workspaces against their caps.
	usage       *usage.Ledger
	configProof configProof
	// activeOf holds the active jobs by workspace and ID, allowances which jobs exceed the rate of their workspace, shares what
	// the workspaces have of each pool and allocations how those are divided. refusals counts refused submissions.
	activeOf    map[string]map[string]*jobState
	allowances  *allowance.Allowances
	shares      map[string]poolShares
	allocations map[string]cachedAllocation
	refusals    map[string]map[Cause]int64
	// offered holds the recently submitted jobs that count as offered, true for those within the allowance.
	offered map[string]bool
	// capDemandCache holds the demands of the workspaces on their caps.
	capDemandCache map[string]capDemands
}

func newAccounts() accounts {
	return accounts{
		usage: usage.New(), activeOf: map[string]map[string]*jobState{}, allowances: allowance.New(resubmitWindow), shares: map[string]poolShares{},
		allocations: map[string]cachedAllocation{}, refusals: map[string]map[Cause]int64{}, offered: map[string]bool{},
		capDemandCache: map[string]capDemands{},
	}
}

const (
	// excessWorkShare is the share of a pool's capacity that work beyond the allowances and all other work may fill together.
	// The rest is room for the next arrivals of other workspaces, which must not wait for tasks that have begun.
	excessWorkShare = 0.75
	// retrySpread is the largest part by which the retry delay of a workspace's job is lengthened or shortened, so that refused
	// jobs do not return all at once.
	retrySpread = 0.25
)

// activate adds a job to the active ones.
func (s *Scheduler) activate(j *jobState) {
	s.active[j.job.ID] = j
	switch {
	case j.job.Scheduled():
		s.scheduled[j.job.ID] = j
	case !j.job.LongRunning():
		if s.finite[j.job.Queue] == nil {
			s.finite[j.job.Queue] = map[string]*jobState{}
		}
		s.finite[j.job.Queue][j.job.ID] = j
	}
	n := j.job.Workspace
	if n == "" {
		return
	}
	if s.activeOf[n] == nil {
		s.activeOf[n] = map[string]*jobState{}
	}
	s.activeOf[n][j.job.ID] = j
}

// deactivate removes a job from the active ones.
func (s *Scheduler) deactivate(j *jobState) {
	delete(s.active, j.job.ID)
	delete(s.scheduled, j.job.ID)
	if m := s.finite[j.job.Queue]; m != nil {
		delete(m, j.job.ID)
		if len(m) == 0 {
			delete(s.finite, j.job.Queue)
		}
	}
	s.countPendingJob(j)
	if m := s.activeOf[j.job.Workspace]; m != nil {
		delete(m, j.job.ID)
		if len(m) == 0 {
			delete(s.activeOf, j.job.Workspace)
		}
	}
}

// exceedsAllowance reports whether a finite job exceeds the rate of jobs to which its workspace has a claim.
func (s *Scheduler) exceedsAllowance(n *job.Job, now time.Time) bool {
	w := s.usage.Workspace(n.Workspace)
	return w != nil && !n.Scheduled() && !n.LongRunning() && s.allowances.Exceeded(w, n.ID, now)
}

// poolShares are the accounts of a pool: of the work within the allowances, and of all work.
type poolShares struct {
	guaranteed, all *fairshare.Pool
}

// share returns the accounts of a pool.
func (s *Scheduler) share(pool string) poolShares {
	p, ok := s.shares[pool]
	if !ok {
		p = poolShares{fairshare.New(), fairshare.New()}
		s.shares[pool] = p
	}
	return p
}

// offer counts the work of a submitted job once, however often it is submitted. A job beyond the allowance counts once more
// when it is submitted again within it.
func (s *Scheduler) offer(n *job.Job, pool string, work job.Amount, now time.Time) {
	if !s.usage.Enforced(n.Workspace) {
		return
	}
	w, p := s.weight(n.Workspace), s.share(pool)
	guaranteed, known := s.offered[n.ID]
	if !known {
		p.all.Offer(n.Workspace, w, work, now)
	}
	if !guaranteed && !n.Excess {
		p.guaranteed.Offer(n.Workspace, w, work, now)
	}
	s.offered[n.ID] = guaranteed || !n.Excess
}

// accept counts the work of an accepted job.
func (s *Scheduler) accept(n *job.Job, pool string, work job.Amount, now time.Time) {
	if !s.usage.Enforced(n.Workspace) {
		return
	}
	s.share(pool).all.Accept(n.Workspace, work, now)
	if !n.Excess {
		s.share(pool).guaranteed.Accept(n.Workspace, work, now)
	}
}

// seedShare counts the remaining work of a restored job as offered and accepted.
func (s *Scheduler) seedShare(j *jobState, now time.Time) {
	n := j.job
	if !s.usage.Enforced(n.Workspace) || j.phase.Ended() || n.Scheduled() || n.LongRunning() {
		return
	}
	a, p := s.remainingAmount(j, now), s.share(s.poolOf(j))
	p.all.Offer(n.Workspace, s.weight(n.Workspace), a, now)
	if !n.Excess {
		p.guaranteed.Offer(n.Workspace, s.weight(n.Workspace), a, now)
	}
	s.accept(n, s.poolOf(j), a, now)
}

// weight returns the last known weight of a workspace, 0 if there is none.
func (s *Scheduler) weight(name string) float64 {
	if w := s.usage.Workspace(name); w != nil {
		return w.Weight
	}
	return 0
}

// cachedAllocation is a division of a pool and the time at which it was computed.
type cachedAllocation struct {
	at              time.Time
	guaranteed, all fairshare.Allocation
	capacity        job.Amount
}

// of returns the division that applies to a job.
func (x cachedAllocation) of(n *job.Job) fairshare.Allocation {
	if n.Excess {
		return x.all
	}
	return x.guaranteed
}

// allocation returns how the workspaces divide a pool, at most cacheLifetime old.
func (s *Scheduler) allocation(pool string, now time.Time) cachedAllocation {
	x := s.allocations[pool]
	if x.all == nil || now.Sub(x.at) > cacheLifetime {
		x = cachedAllocation{at: now, capacity: s.shareableCapacity(pool, now)}
		p := s.share(pool)
		x.guaranteed, x.all = p.guaranteed.Allocate(x.capacity, now), p.all.Allocate(x.capacity, now)
		s.allocations[pool] = x
	}
	return x
}

// shareableCapacity returns the resources of a pool that finite work may use: the cores of its supply, with the memory and
// the accelerators of its servers in proportion.
func (s *Scheduler) shareableCapacity(pool string, now time.Time) job.Amount {
	total := s.poolTotal(pool, now)
	supply, _ := s.supply(pool, now)
	if total.Cores == 0 {
		return job.Amount{Cores: supply.Later}
	}
	return total.Times(supply.Later / total.Cores)
}

// poolTotals holds the resources of each pool's usable servers as computed at the time at.
type poolTotals struct {
	at     time.Time
	byPool map[string]job.Amount
}

// totalsLifetime is how long the resources of the pools are reused. Only the ratio of the resources to one another matters.
const totalsLifetime = time.Second

// poolTotal returns the resources of a pool's usable servers. One pass serves all pools.
func (s *Scheduler) poolTotal(pool string, now time.Time) job.Amount {
	if s.totals.byPool == nil || now.Sub(s.totals.at) > totalsLifetime {
		s.totals = poolTotals{at: now, byPool: map[string]job.Amount{}}
		for _, v := range s.servers {
			if v.usable(now) && !s.cordonedVMs[v.info.VM] {
				s.totals.byPool[v.info.Pool] = s.totals.byPool[v.info.Pool].Add(v.info.Capacity.Amount())
			}
		}
	}
	return s.totals.byPool[pool]
}

// refuseForShare returns a refusal if the job's workspace uses more than its fair share of the pool and the job fits only
// into what the other workspaces are about to need, or nil.
func (s *Scheduler) refuseForShare(d demand, pool string, supply backlog.Supply, now time.Time) *Reply {
	n := d.job
	if !s.usage.Enforced(n.Workspace) {
		return nil
	}
	x := s.allocation(pool, now)
	if !x.of(n).Above(n.Workspace) {
		return nil
	}
	accepted := s.acceptedDemands(pool, now)
	expected := x.of(n).Expected(n.Workspace, d.Due.Sub(now), accepted.amounts(d.Due, n.Excess))
	if s.hasRoomBeside(d, accepted, expected, supply, x.capacity) {
		return nil
	}
	share, cause := x.of(n)[n.Workspace], CauseShare
	if n.Excess {
		cause = CauseExcess
	}
	return &Reply{
		Result: Refused, RetryAfter: s.retryAfter(n, share.RetryAfter()), Cause: cause,
		Reason: excessReason(n) + fmt.Sprintf("workspace %s uses %.3f of pool %s, its fair share is %.3f, and the others need the rest", n.Workspace, share.Used, pool, share.Fair),
	}
}

// hasRoomBeside reports whether the job fits beside the accepted and the expected work in each resource.
func (s *Scheduler) hasRoomBeside(d demand, accepted *cachedDemands, expected job.Amount, supply backlog.Supply, capacity job.Amount) bool {
	n := d.Demand
	n.Work += expected.Cores
	if accepted.competing(d.job).Shortfall(accepted.at, n, supply) > 0 {
		return false
	}
	work, add, total := d.amount.Resources(), expected.Resources(), capacity.Resources()
	for i := 1; i < len(total); i++ {
		if work[i] == 0 || total[i] == 0 || supply.Later == 0 {
			continue
		}
		perCore := total[i] / supply.Later
		r := backlog.Supply{Now: supply.Now * perCore, Later: supply.Later * perCore, From: supply.From}
		if !backlog.Fits(accepted.at, accepted.ofResource(i, d.job.Excess), backlog.Demand{Due: d.Due, Work: work[i] + add[i]}, r) {
			return false
		}
	}
	return true
}

// retryAfter returns the retry delay of a refused job within the bounds. The delays of workspaces' jobs are spread by ID.
func (s *Scheduler) retryAfter(n *job.Job, wait time.Duration) time.Duration {
	wait = min(max(wait, minRetryAfter), maxRetryAfter)
	if !s.usage.Enforced(n.Workspace) {
		return wait
	}
	return spreadByID(n.ID, wait)
}

// isAboveShare reports whether the job's workspace uses more than its fair share of a busy pool, so that its on-time work comes
// after that of the others.
func (s *Scheduler) isAboveShare(n *job.Job, pool string, now time.Time) bool {
	return s.usage.Enforced(n.Workspace) && s.allocation(pool, now).guaranteed.Above(n.Workspace)
}
