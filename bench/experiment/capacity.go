package experiment

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"github.com/tarragonbank/tarragonbank/bench/load"
	"github.com/tarragonbank/tarragonbank/bench/site"
)

const (
	capacityWarmup      = time.Second
	capacityDuration    = 5 * time.Second
	capacityServiceTime = time.Millisecond
	capacityCallers     = 64
)

func init() {
	register("capacity", "throughput of one entry on one core in requests a second, with logging on", capacity)
}

// capacity runs closed-loop callers against one entry on one core: each sends its next request as soon as the previous
// one is answered.
func capacity(ctx context.Context, e Options, r *Report) error {
	p := standardPlan(e)
	p.Entries = 1
	p.Environment = []string{"GOMAXPROCS=1"}
	s, err := site.New(ctx, p)
	if err != nil {
		return err
	}
	defer s.Stop()
	t := load.NewTally("warm")
	c := load.NewCallers(load.NewBalancer(s.Targets()), t, e.Seed)
	ctx, stop := context.WithCancel(ctx)
	var w sync.WaitGroup
	var n atomic.Int64
	for i := range capacityCallers {
		w.Add(1)
		go func() {
			defer w.Done()
			k := constantLoad(siteServices[i%len(siteServices)], 0)
			k.ServiceTime = capacityServiceTime
			for j := 0; ctx.Err() == nil; j++ {
				c.Send(k, fmt.Sprintf("c%d-%d", i, j))
				n.Add(1)
			}
		}()
	}
	sleep(ctx, capacityWarmup)
	t.SetPhase("measured")
	a, err := s.Entries[0].Usage()
	if err != nil {
		stop()
		return err
	}
	before, started := n.Load(), time.Now()
	sleep(ctx, e.scale(capacityDuration))
	done, d := float64(n.Load()-before), time.Since(started)
	b, err := s.Entries[0].Usage()
	stop()
	w.Wait()
	if err != nil {
		return err
	}
	x := t.SumPhase("measured")
	v, err := s.Entries[0].Status(context.Background())
	if err != nil {
		return err
	}
	r.metric("requestsPerSecond", roundThousandth(done/d.Seconds()))
	r.metric("cpuPerRequestUs", roundThousandth((b.CPUTime-a.CPUTime).Seconds()*1e6/done))
	r.metric("coresUsed", roundThousandth((b.CPUTime-a.CPUTime).Seconds()/d.Seconds()))
	r.metric("memoryMb", b.ResidentBytes>>20)
	r.metric("logLinesDropped", v.LogsDropped)
	recordCounts(r, "requests", x)
	r.check(len(t.Violations()) == 0, "%v", t.Violations())
	return nil
}
