package scheduler_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/tarragonbank/tarragonbank/fleet/job"
	"github.com/tarragonbank/tarragonbank/fleet/scheduler"
	"github.com/tarragonbank/tarragonbank/fleet/schema"
	"github.com/tarragonbank/tarragonbank/fleet/server"
	"github.com/tarragonbank/tarragonbank/fleet/workspace"
)

// BenchmarkPeakLoad simulates one second of peak load on a number of servers. The jobs have two steps of eight tasks, and
// each task takes one second; a hundred servers receive 25 jobs. With overload they receive eight times as many, so that
// hundreds of jobs wait for capacity. The tasks of the second steps take 4 or 24 of 64 cores; the latter are large enough for
// reservations. With workspaces the jobs are theirs in turn.
func BenchmarkPeakLoad(b *testing.B) {
	for _, n := range []int{50, 300, 1000} {
		for _, factor := range []int{1, 8} {
			for _, o := range []peakLoad{{cores: 4}, {cores: 4, lookAhead: true}, {cores: 24}, {cores: 24, lookAhead: true}, {cores: 4, workspaces: 38}} {
				o.servers, o.factor = n, factor
				name := fmt.Sprintf("servers=%d/load=%d/cores=%d/lookAhead=%t/workspaces=%d", n, factor, o.cores, o.lookAhead, o.workspaces)
				b.Run(name, func(b *testing.B) { benchmarkPeakLoad(b, o) })
			}
		}
	}
}

// activeRun is a started run and the time at which it ends.
type activeRun struct {
	start scheduler.StartOrder
	end   time.Time
}

// peakLoad is a variant of the benchmark. cores are those of the tasks of the second steps, workspaces is 0 if there are none.
type peakLoad struct {
	servers, factor, workspaces int
	cores                       int64
	lookAhead                   bool
}

func benchmarkPeakLoad(b *testing.B, o peakLoad) {
	gomega.RegisterTestingT(b)
	p := newPeak(o)
	b.ResetTimer()
	for range b.N {
		p.second()
	}
}

// peak drives a scheduler at peak load.
type peak struct {
	*harness
	load    peakLoad
	names   []string
	runs    map[string][]activeRun
	id, due int
}

func newPeak(o peakLoad) *peak {
	limits := bounds
	limits.LookAhead = o.lookAhead
	p := &peak{harness: newHarnessWith(limits), load: o, runs: map[string][]activeRun{}}
	p.checked = false
	if o.workspaces > 0 {
		l := []workspace.Workspace{}
		for i := range o.workspaces {
			l = append(l, workspace.Workspace{Name: workspaceName(i), Weight: float64(o.servers), Cap: job.Size{CPU: int64(o.servers) * 32000}})
		}
		p.SetTable(withWorkspaces(2, l...))
	}
	for i := range o.servers {
		p.names = append(p.names, fmt.Sprintf("s%03d", i))
	}
	p.addServers(p.names...)
	return p
}

// second simulates one second.
func (p *peak) second() {
	for step := range 50 {
		p.now = p.now.Add(20 * time.Millisecond)
		// Of 400 parts, a second has 50 times servers/2 parts: a quarter of the servers in jobs.
		for p.due += p.load.servers * p.load.factor / 2; p.due >= 100; p.due -= 100 {
			p.id++
			m := newRecord(p.id, 8)
			m.Steps = append(m.Steps, &schema.StepRecord{Count: 8, CpuMilli: p.load.cores * 1000, EstimateMs: 1000, After: []int32{0}})
			if p.load.workspaces > 0 {
				m.Workspace = workspaceName(p.id % p.load.workspaces)
			}
			p.submit(m)
		}
		if step%5 == 0 {
			p.Tick(p.now)
		}
		p.commit()
		for _, s := range p.acceptStarts() {
			p.runs[s.Server.ID] = append(p.runs[s.Server.ID], activeRun{s, p.now.Add(time.Second)})
		}
		p.orders = scheduler.Orders{}
		for i, name := range p.names {
			if i%10 == step%10 {
				p.runs[name] = p.reportActiveRuns(name, p.runs[name])
			}
		}
		p.commit()
	}
}

// reportActiveRuns reports a server's runs and the ends of those that are over, and returns the rest.
func (w *harness) reportActiveRuns(name string, l []activeRun) []activeRun {
	left := []activeRun{}
	ends := []server.EndedRun{}
	listed := []server.Run{}
	for _, r := range l {
		if w.now.Before(r.end) {
			left = append(left, r)
			listed = append(listed, listedRun(r.start, 1+int(w.now.Sub(r.end.Add(-time.Second)).Milliseconds()/11)))
			continue
		}
		w.endSequences[name]++
		ends = append(ends, server.EndedRun{Sequence: w.endSequences[name], Task: r.start.Task, Number: r.start.Number, Reason: job.EndDone})
	}
	w.reportListing(name, ends, listed...)
	return left
}
