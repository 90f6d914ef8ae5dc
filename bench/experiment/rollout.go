package experiment

import (
	"context"
	"net/netip"
	"slices"
	"sync"
	"time"

	"github.com/tarragonbank/tarragonbank/bench/proxy"
	"github.com/tarragonbank/tarragonbank/bench/site"
)

const (
	rolloutChanges = 40
	rolloutQuiet   = 10 * time.Second
	rolloutPause   = 100 * time.Millisecond
	inForceLimit   = time.Second
	quietCalls     = 5.0
	controlLimit   = 3072.0
	cpuLimit       = 0.025
	apartDelay     = 1500 * time.Microsecond
	appliesWait    = 10 * time.Second
)

func init() {
	register("rollout", "changes through a running site; baselines poll and every", rollout)
}

func rollout(ctx context.Context, e Environment, r *Report) error {
	if err := rolloutOnce(ctx, e, r, "onePerDataCentre", ""); err != nil {
		return err
	}
	if e.Baseline == "" {
		return nil
	}
	b := e
	b.Out += "-" + e.Baseline
	return rolloutOnce(ctx, b, r, e.Baseline, "watchPolicy = \""+e.Baseline+"\"\n")
}

func rolloutOnce(ctx context.Context, e Environment, r *Report, name, settings string) error {
	p := horncraft(e)
	p.Settings = settings
	p.PeerProxies = true
	s, err := site.New(ctx, p)
	if err != nil {
		return err
	}
	defer s.Stop()
	apart(s, apartDelay)
	pause(ctx, time.Second)
	u, err := quietCost(ctx, s, e.scaled(rolloutQuiet))
	if err != nil {
		return err
	}
	times, err := changes(ctx, s, max(int(rolloutChanges*e.Length), 4))
	if err != nil {
		return err
	}
	slices.Sort(times)
	r.figure(name+"Changes", len(times))
	r.ms(name+"InForceP50Ms", times[len(times)/2])
	r.ms(name+"InForceP99Ms", times[len(times)*99/100])
	u.report(r, name)
	if name != "onePerDataCentre" {
		return nil
	}
	r.target(times[len(times)*99/100] < inForceLimit, "a change took %s at p99", times[len(times)*99/100])
	r.target(u.calls < quietCalls, "control took %.1f store calls a second", u.calls)
	r.target(u.bytes < controlLimit, "control took %.0f bytes a second for each node", u.bytes)
	r.target(u.cpu < cpuLimit, "control took %.4f of a core for each node", u.cpu)
	return nil
}

// cost is what control takes, by node where not said otherwise.
type cost struct {
	calls    float64
	bytes    float64
	messages float64
	cpu      float64
	memory   float64
}

func (c cost) report(r *Report, name string) {
	r.figure(name+"StoreCallsPerSecond", round(c.calls))
	r.figure(name+"ControlBytesPerSecond", round(c.bytes))
	r.figure(name+"ControlMessagesPerSecond", round(c.messages))
	r.figure(name+"CpuOfCore", round(c.cpu))
	r.figure(name+"MemoryMb", round(c.memory))
}

// quietCost measures what control takes while nothing changes and nothing is asked.
func quietCost(ctx context.Context, s *site.Site, d time.Duration) (cost, error) {
	a, err := spent(ctx, s)
	if err != nil {
		return cost{}, err
	}
	started := time.Now()
	pause(ctx, d)
	b, err := spent(ctx, s)
	if err != nil {
		return cost{}, err
	}
	t := time.Since(started).Seconds()
	n := float64(len(s.Entries))
	return cost{
		calls: (b.calls - a.calls) / t, bytes: (b.bytes - a.bytes) / t / n,
		messages: (b.messages - a.messages) / t / n, cpu: (b.cpu - a.cpu) / t / n, memory: b.memory / n,
	}, nil
}

// spent sums what all entries have used so far.
func spent(ctx context.Context, s *site.Site) (cost, error) {
	c := cost{calls: float64(s.Platform.Calls().Total())}
	for _, y := range s.Entries {
		u, err := y.Usage()
		if err != nil {
			return c, err
		}
		c.cpu += u.CPUTime.Seconds()
		c.memory += float64(u.ResidentBytes) / (1 << 20)
		for m, v := range map[string]*float64{"control_bytes_sent": &c.bytes, "control_bytes_received": &c.bytes, "control_messages": &c.messages} {
			x, err := y.MetricSum(ctx, m)
			if err != nil {
				return c, err
			}
			*v += x
		}
	}
	return c, nil
}

// changes has changes accepted one after the other through the entries in turn, and measures each until it is in force everywhere.
func changes(ctx context.Context, s *site.Site, n int) ([]time.Duration, error) {
	l := []time.Duration{}
	for i := range n {
		s.Source.Rules.Pools[0].MaxDown = int32(1 + i%2)
		v, err := s.PostSource(ctx, s.Entries[i%len(s.Entries)], nil)
		if err != nil {
			return nil, err
		}
		accepted := time.Now()
		if err := everywhere(ctx, s, v); err != nil {
			return nil, err
		}
		l = append(l, time.Since(accepted))
		pause(ctx, rolloutPause)
	}
	return l, nil
}

// everywhere waits until all entries have the revision, asking them side by side.
func everywhere(ctx context.Context, s *site.Site, v uint64) error {
	ctx, stop := context.WithTimeout(ctx, appliesWait)
	defer stop()
	var w sync.WaitGroup
	errs := make([]error, len(s.Entries))
	for i, y := range s.Entries {
		w.Add(1)
		go func() {
			defer w.Done()
			errs[i] = s.AwaitRevision(ctx, v, []*site.Entry{y})
		}()
	}
	w.Wait()
	for _, err := range errs {
		if err != nil {
			return err
		}
	}
	return nil
}

func apart(s *site.Site, d time.Duration) {
	for _, y := range s.Entries {
		s.Proxies[y.Name].SetFaults(func(from netip.Addr) proxy.Fault {
			if s.DataCentreOf(from) == y.DataCentre {
				return proxy.Fault{}
			}
			return proxy.Fault{Delay: d}
		})
	}
}
