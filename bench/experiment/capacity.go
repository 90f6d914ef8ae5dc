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
	capacityLength  = 5 * time.Second
	capacityWork    = time.Millisecond
	capacityCallers = 64
)

func init() {
	register("capacity", "requests a second of one entry on one core, with its log on", capacity)
}

// capacity has callers ask one entry on one core again and again, without pause.
func capacity(ctx context.Context, e Environment, r *Report) error {
	p := horncraft(e)
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
			k := steady(horncraftServices[i%len(horncraftServices)], 0)
			k.ServiceTime = capacityWork
			for j := 0; ctx.Err() == nil; j++ {
				c.Send(k, fmt.Sprintf("c%d-%d", i, j))
				n.Add(1)
			}
		}()
	}
	pause(ctx, time.Second)
	t.SetPhase("measured")
	a, err := s.Entries[0].Usage()
	if err != nil {
		stop()
		return err
	}
	before, started := n.Load(), time.Now()
	pause(ctx, e.scaled(capacityLength))
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
	r.figure("requestsPerSecond", round(done/d.Seconds()))
	r.figure("cpuPerRequestUs", round((b.CPUTime-a.CPUTime).Seconds()*1e6/done))
	r.figure("coresUsed", round((b.CPUTime-a.CPUTime).Seconds()/d.Seconds()))
	r.figure("memoryMb", b.ResidentBytes>>20)
	r.figure("logLinesDropped", v.LogsDropped)
	outcomes(r, "requests", x)
	r.expect(len(t.Violations()) == 0, "%v", t.Violations())
	return nil
}
