package scheduler_test

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"github.com/tarragonbank/tarragonbank/fleet/fairshare"
	"github.com/tarragonbank/tarragonbank/fleet/job"
	"github.com/tarragonbank/tarragonbank/fleet/queue"
	"github.com/tarragonbank/tarragonbank/fleet/scheduler"
	"github.com/tarragonbank/tarragonbank/fleet/schema"
	"github.com/tarragonbank/tarragonbank/fleet/workspace"
)

// The replayed pool has floodServers servers of 16 cores and ten workspaces, of which the last submits 16 times as rarely as
// the first. Their usual load takes half of the pool.
const (
	floodServers = 6
	floodLength  = 26 * time.Second
	floodStart   = 8 * time.Second
	floodEnd     = 20 * time.Second
)

var usualRates = []float64{2.4, 1.2, 1.2, 0.9, 0.9, 0.6, 0.6, 0.45, 0.3, 0.15}

// floodWeight returns the weight of a workspace: twice its usual load, and at least three jobs a second, since arrivals at random
// exceed a lower rate now and then even if it is several times their mean.
func floodWeight(rate float64) float64 { return max(2*rate, 3) }

// arrival is a job of a workspace that is submitted at a time. extra marks what a flood adds, flood the load of its workspace.
type arrival struct {
	at           time.Duration
	workspace    int
	extra        bool
	record       *schema.JobRecord
	target       time.Duration
	runtime      time.Duration
	done, missed bool
	worth        float64
}

// load returns the factor by which a workspace exceeds its usual load at a time, and the factor without the flood.
type load func(workspace int, at time.Duration) (with, without float64)

func during(at, from, to time.Duration) bool { return at >= from && at < to }

func workspaceName(i int) string { return fmt.Sprintf("w%d", i) }

// arrivalsOf draws the arrivals of a load. Those without the flood are the same whether it takes place or not.
func arrivalsOf(f load, seed uint64, flood bool) []*arrival {
	l := []*arrival{}
	for i, rate := range usualRates {
		r := rand.New(rand.NewPCG(seed, uint64(i)))
		for at := time.Duration(0); at < floodLength; at += 20 * time.Millisecond {
			with, without := f(i, at)
			for k := range 2 {
				p, extra := without, k == 1
				if extra {
					p = max(with-without, 0)
				}
				draw, count, cpu, estimate, spread := r.Float64(), 1+r.Int32N(5), 500+r.Int64N(2500), 500+r.Int64N(800), r.Float64()
				if draw >= rate*p*0.02 || extra && !flood {
					continue
				}
				a := &arrival{at: at, workspace: i, extra: extra, runtime: time.Duration(float64(estimate)*(0.6+0.8*spread)) * time.Millisecond}
				a.target = time.Duration(float64(estimate)*1.6)*time.Millisecond + 600*time.Millisecond
				a.record = of(workspaceName(i), newRecord(0, count, func(s *schema.StepRecord) { s.CpuMilli, s.EstimateMs = cpu, estimate }))
				a.record.Id = fmt.Sprintf("%02x%02x%012x", i, k, at.Milliseconds())
				l = append(l, a)
			}
		}
	}
	slices.SortStableFunc(l, func(a, b *arrival) int { return cmp.Compare(a.at, b.at) })
	return l
}

// policy is a way to admit jobs: the table that the scheduler gets, and what is refused before it.
type policy struct {
	name   string
	table  *queue.Table
	filter func() func(a *arrival, now time.Duration) bool
}

func floodPolicies() []policy {
	shared := func(factor float64) *queue.Table {
		l := []workspace.Workspace{}
		for i, r := range usualRates {
			l = append(l, workspace.Workspace{Name: workspaceName(i), Weight: factor * floodWeight(r)})
		}
		return withWorkspaces(2, l...)
	}
	none := func() func(*arrival, time.Duration) bool {
		return func(*arrival, time.Duration) bool { return false }
	}
	return []policy{
		{"demand bound", table, none},
		{"fixed rate", table, func() func(*arrival, time.Duration) bool {
			tokens, at := map[int]float64{}, map[int]time.Duration{}
			for i, r := range usualRates {
				tokens[i] = floodWeight(r)
			}
			return func(a *arrival, now time.Duration) bool {
				r := floodWeight(usualRates[a.workspace])
				t := min(tokens[a.workspace]+(now-at[a.workspace]).Seconds()*r, max(r, 1))
				at[a.workspace] = now
				if t < 1 {
					tokens[a.workspace] = t
					return true
				}
				tokens[a.workspace] = t - 1
				return false
			}
		}},
		{"shares of jobs", table, func() func(*arrival, time.Duration) bool {
			p := fairshare.New()
			seen := map[*arrival]bool{}
			return func(a *arrival, now time.Duration) bool {
				n, t := workspaceName(a.workspace), start.Add(now)
				if !seen[a] {
					p.Offer(n, usualRates[a.workspace], job.Amount{Cores: 1}, t)
					seen[a] = true
				}
				// The pool does 16 jobs of the mean size a second.
				if p.Allocate(job.Amount{Cores: 16}, t).Above(n) {
					return true
				}
				p.Accept(n, job.Amount{Cores: 1}, t)
				return false
			}
		}},
		{"dominant shares, allowance", shared(1), none},
		{"dominant shares alone", shared(100), none},
		{"oracle", table, func() func(*arrival, time.Duration) bool {
			return func(a *arrival, _ time.Duration) bool { return a.extra }
		}},
	}
}

// replayFlood runs arrivals through a scheduler and records what each job was worth: 1 on time, 0.4 late, and nothing after
// three times its target.
func replayFlood(l []*arrival, p policy) {
	w := newHarness()
	w.SetTable(p.table)
	refuse := p.filter()
	names := []string{}
	for i := range floodServers {
		v := newServer(fmt.Sprintf("s-%d", i))
		v.Capacity = job.Size{CPU: 16000, MemoryMB: 64000}
		w.Register(v, w.now)
		w.reportRuns(v.ID)
		names = append(names, v.ID)
	}
	byID, runs := map[string]*arrival{}, map[string][]activeRun{}
	next := map[*arrival]time.Duration{}
	waiting := slices.Clone(l)
	for _, a := range l {
		byID[a.record.Id], next[a] = a, a.at
	}
	for step := range int((floodLength + 8*time.Second) / (20 * time.Millisecond)) {
		at := time.Duration(step) * 20 * time.Millisecond
		w.now = start.Add(at)
		waiting = slices.DeleteFunc(waiting, func(a *arrival) bool {
			if next[a] > at {
				return false
			}
			if at-a.at > 3*a.target {
				return true
			}
			if refuse(a, at) {
				next[a] = at + time.Second
				return false
			}
			r := w.submit(a.record)
			next[a] = at + r.RetryAfter
			return r.Result == scheduler.Done
		})
		if step%5 == 0 {
			w.Tick(w.now)
		}
		w.commit()
		for _, s := range w.acceptStarts() {
			runs[s.Server.ID] = append(runs[s.Server.ID], activeRun{s, w.now.Add(byID[s.Task.Job].runtime)})
		}
		w.orders = scheduler.Orders{}
		for i, n := range names {
			if i%5 == step%5 {
				runs[n] = w.reportActiveRuns(n, runs[n])
			}
		}
		w.commit()
		for id, a := range byID {
			if x := w.JobPhase(id); x.Phase != job.Completed {
				continue
			}
			delete(byID, id)
			switch d := at - a.at; {
			case d <= a.target:
				a.worth = 1
			case d <= 3*a.target:
				a.worth = 0.4
			}
		}
	}
}

// worthOf returns the mean worth of the jobs of each workspace, and of those that the flood left alone.
func worthOf(l []*arrival, flooding func(workspace int) bool) (all []float64, others float64) {
	sum, n := make([]float64, len(usualRates)), make([]float64, len(usualRates))
	for _, a := range l {
		sum[a.workspace] += a.worth
		n[a.workspace]++
	}
	calm, count := 0.0, 0.0
	for i := range sum {
		if !flooding(i) {
			calm, count = calm+sum[i], count+n[i]
		}
		all = append(all, sum[i]/max(n[i], 1))
	}
	return all, calm / max(count, 1)
}

var _ = ginkgo.DescribeTable("a flood of a workspace costs the others at most 0.05", func(f load, flooding func(int) bool) {
	const seeds = 3
	mean := func(p policy, flood bool) (worth []float64, others float64) {
		worth = make([]float64, len(usualRates))
		for seed := range uint64(seeds) {
			l := arrivalsOf(f, seed, flood)
			replayFlood(l, p)
			all, o := worthOf(l, flooding)
			others += o / seeds
			for i := range all {
				worth[i] += all[i] / seeds
			}
		}
		return worth, others
	}
	least := map[string]float64{}
	for _, p := range floodPolicies() {
		worth, others := mean(p, true)
		least[p.name] = slices.Min(worth)
		ginkgo.GinkgoWriter.Printf("%-30s others %.3f, by workspace %.2f\n", p.name, others, worth)
		if p.table == table {
			continue
		}
		_, reference := mean(p, false)
		ginkgo.GinkgoWriter.Printf("%-30s others %.3f without the flood\n", p.name, reference)
		gomega.Expect(others).To(gomega.BeNumerically(">=", reference-0.05), p.name)
		if others == 0 {
			gomega.Expect(least[p.name]).To(gomega.BeNumerically(">=", least["demand bound"]-0.05), p.name)
		}
	}
},
	ginkgo.Entry("one at seven times its usual load", func(w int, at time.Duration) (float64, float64) {
		if w == 0 && during(at, floodStart, floodEnd) {
			return 7, 1
		}
		return 1, 1
	}, func(w int) bool { return w == 0 }),
	ginkgo.Entry("two at seven times their usual load", func(w int, at time.Duration) (float64, float64) {
		if w <= 1 && during(at, floodStart, floodEnd) {
			return 7, 1
		}
		return 1, 1
	}, func(w int) bool { return w <= 1 }),
	ginkgo.Entry("all at twice their usual load", func(_ int, at time.Duration) (float64, float64) {
		if during(at, floodStart, floodEnd) {
			return 2, 1
		}
		return 1, 1
	}, func(int) bool { return true }),
	ginkgo.Entry("beside a small one that wakes after long silence", func(w int, at time.Duration) (float64, float64) {
		switch {
		case w == 0 && during(at, floodStart, floodEnd):
			return 7, 1
		case w == 9 && at < floodStart+4*time.Second:
			return 0, 0
		case w == 9:
			return 4, 4
		}
		return 1, 1
	}, func(w int) bool { return w != 9 }),
	ginkgo.Entry("on top of a turn of the queues", func(w int, at time.Duration) (float64, float64) {
		turn := 1.0
		if during(at, floodStart+3*time.Second, floodStart+7500*time.Millisecond) {
			turn = 4
		}
		if w == 0 && during(at, floodStart, floodEnd) {
			return turn + 6, turn
		}
		return turn, turn
	}, func(w int) bool { return w == 0 }))
