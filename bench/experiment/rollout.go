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
	idleDuration   = 10 * time.Second
	changeInterval = 100 * time.Millisecond
	// maxInForceDelay bounds the p99 time from an accepted change until all entries have it in force.
	maxInForceDelay = time.Second
	// maxStoreCallsPerSecond is for the whole site, the other two limits are for each entry.
	maxStoreCallsPerSecond   = 5.0
	maxControlBytesPerSecond = 3072.0
	maxControlCores          = 0.025
	// interDataCentreDelay is added to traffic between entries in different data centres.
	interDataCentreDelay = 1500 * time.Microsecond
	convergenceTimeout   = 10 * time.Second
)

func init() {
	register("rollout", "time and cost of configuration changes on a running site; baselines poll and every", rollout)
}

func rollout(ctx context.Context, e Options, r *Report) error {
	if err := runRollout(ctx, e, r, "onePerDataCentre", ""); err != nil {
		return err
	}
	if e.Baseline == "" {
		return nil
	}
	b := e
	b.OutDir += "-" + e.Baseline
	return runRollout(ctx, b, r, e.Baseline, "watchPolicy = \""+e.Baseline+"\"\n")
}

// runRollout measures the idle cost and the changes on one site with the given settings. Targets are checked only for
// the default watch policy.
func runRollout(ctx context.Context, e Options, r *Report, name, settings string) error {
	p := standardPlan(e)
	p.Settings = settings
	p.PeerProxies = true
	s, err := site.New(ctx, p)
	if err != nil {
		return err
	}
	defer s.Stop()
	delayBetweenDataCentres(s, interDataCentreDelay)
	sleep(ctx, time.Second)
	u, err := measureIdleCost(ctx, s, e.scale(idleDuration))
	if err != nil {
		return err
	}
	times, err := measureChanges(ctx, s, max(int(rolloutChanges*e.DurationScale), 4))
	if err != nil {
		return err
	}
	slices.Sort(times)
	r.metric(name+"Changes", len(times))
	r.millis(name+"InForceP50Ms", times[len(times)/2])
	r.millis(name+"InForceP99Ms", times[len(times)*99/100])
	u.report(r, name)
	if name != "onePerDataCentre" {
		return nil
	}
	r.checkTarget(times[len(times)*99/100] < maxInForceDelay, "the p99 time until a change is in force at all entries is %s", times[len(times)*99/100])
	r.checkTarget(u.calls < maxStoreCallsPerSecond, "the idle control plane makes %.1f store calls a second", u.calls)
	r.checkTarget(u.bytes < maxControlBytesPerSecond, "the idle control plane transfers %.0f bytes a second per entry", u.bytes)
	r.checkTarget(u.cpu < maxControlCores, "the idle control plane uses %.4f cores per entry", u.cpu)
	return nil
}

// controlCost is the cost of the control plane: store calls of the whole site, and bytes, messages, cores and memory in
// MiB per entry. Calls, bytes, messages and cores are per second.
type controlCost struct {
	calls    float64
	bytes    float64
	messages float64
	cpu      float64
	memory   float64
}

func (c controlCost) report(r *Report, name string) {
	r.metric(name+"StoreCallsPerSecond", roundThousandth(c.calls))
	r.metric(name+"ControlBytesPerSecond", roundThousandth(c.bytes))
	r.metric(name+"ControlMessagesPerSecond", roundThousandth(c.messages))
	r.metric(name+"CpuOfCore", roundThousandth(c.cpu))
	r.metric(name+"MemoryMb", roundThousandth(c.memory))
}

// measureIdleCost measures the cost of the control plane over d without requests and configuration changes.
func measureIdleCost(ctx context.Context, s *site.Site, d time.Duration) (controlCost, error) {
	a, err := totalCost(ctx, s)
	if err != nil {
		return controlCost{}, err
	}
	started := time.Now()
	sleep(ctx, d)
	b, err := totalCost(ctx, s)
	if err != nil {
		return controlCost{}, err
	}
	t := time.Since(started).Seconds()
	n := float64(len(s.Entries))
	return controlCost{
		calls: (b.calls - a.calls) / t, bytes: (b.bytes - a.bytes) / t / n,
		messages: (b.messages - a.messages) / t / n, cpu: (b.cpu - a.cpu) / t / n, memory: b.memory / n,
	}, nil
}

// totalCost sums the usage of all entries since their start, in seconds of CPU time, MiB, bytes and messages.
func totalCost(ctx context.Context, s *site.Site) (controlCost, error) {
	c := controlCost{calls: float64(s.Platform.Calls().Total())}
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

// measureChanges makes n changes one after the other, each through the next entry, and returns the times from acceptance
// until all entries have the change in force.
func measureChanges(ctx context.Context, s *site.Site, n int) ([]time.Duration, error) {
	l := []time.Duration{}
	for i := range n {
		s.Source.Rules.Pools[0].MaxDown = int32(1 + i%2)
		v, err := s.PostSource(ctx, s.Entries[i%len(s.Entries)], nil)
		if err != nil {
			return nil, err
		}
		accepted := time.Now()
		if err := awaitAllEntries(ctx, s, v); err != nil {
			return nil, err
		}
		l = append(l, time.Since(accepted))
		sleep(ctx, changeInterval)
	}
	return l, nil
}

// awaitAllEntries waits until every entry has the revision in force. It polls the entries concurrently and fails after
// convergenceTimeout.
func awaitAllEntries(ctx context.Context, s *site.Site, v uint64) error {
	ctx, stop := context.WithTimeout(ctx, convergenceTimeout)
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

// delayBetweenDataCentres adds a delay to peer traffic that crosses data centres.
func delayBetweenDataCentres(s *site.Site, d time.Duration) {
	for _, y := range s.Entries {
		s.Proxies[y.Name].SetFaults(func(from netip.Addr) proxy.Fault {
			if s.DataCentreOf(from) == y.DataCentre {
				return proxy.Fault{}
			}
			return proxy.Fault{Delay: d}
		})
	}
}
