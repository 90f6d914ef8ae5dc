package experiment

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/gravitational/trace"

	"github.com/tarragonbank/tarragonbank/bench/backend"
	"github.com/tarragonbank/tarragonbank/bench/load"
	"github.com/tarragonbank/tarragonbank/bench/site"
	"github.com/tarragonbank/tarragonbank/fleet/request"
)

const (
	// demoLoad is the load of each service as a fraction of its pool's capacity.
	demoLoad = 0.25
	// demoWarmup comes before the measurements, and the same time after them.
	demoWarmup = 2 * time.Second
	// probeDuration is how long added latency is measured.
	probeDuration = 8 * time.Second
	// probeWork is the service time of a latency probe.
	probeWork    = 500 * time.Microsecond
	leaveTimeout = 20 * time.Second
	moveTimeout  = 10 * time.Second
)

func init() {
	register("demo", "the Horncraft site under load: added latency, a configuration change, a replaced entry", demo)
}

func demo(ctx context.Context, e Options, r *Report) error {
	services, err := deployedServices(e)
	if err != nil {
		return err
	}
	kinds := []load.Kind{}
	for _, s := range services[:len(services)-1] {
		kinds = append(kinds, constantLoad(s, demoLoad))
	}
	x, err := startLoad(ctx, standardPlan(e), "serve", kinds, nil)
	if err != nil {
		return err
	}
	defer x.finish(r)
	sleep(ctx, e.scale(demoWarmup))
	if err := measureAddedLatency(ctx, e, x, services[len(services)-1], r); err != nil {
		return err
	}
	if err := measureMove(ctx, x, services, r); err != nil {
		return err
	}
	if err := replaceEntry(ctx, x, r); err != nil {
		return err
	}
	sleep(ctx, e.scale(demoWarmup))
	x.stop()
	x.done.Wait()
	c := x.tally.SumAll()
	recordCounts(r, "requests", c)
	r.check(c.Broken == 0, "%d requests failed without an answer", c.Broken)
	r.checkTarget(c.Late == 0, "%d requests were answered after their deadline", c.Late)
	r.check(c.Unknown == 0, "%d requests have an unknown outcome", c.Unknown)
	return x.recordDroppedLogLines(ctx, r)
}

// recordDroppedLogLines records how many log lines all entries dropped.
func (x *loadRun) recordDroppedLogLines(ctx context.Context, r *Report) error {
	n := uint64(0)
	for _, y := range x.site.Entries {
		s, err := y.Status(ctx)
		if err != nil {
			return err
		}
		n += s.LogsDropped
	}
	r.metric("logLinesDropped", n)
	return nil
}

// deployedServices returns the services of the deployment in the order of its rules.
func deployedServices(e Options) ([]string, error) {
	s, err := site.ReadSource(e.DeployDir)
	if err != nil {
		return nil, err
	}
	l := []string{}
	for _, x := range s.Rules.Services {
		l = append(l, x.Name)
	}
	return l, nil
}

// measureMove reassigns one VM of the last service's pool to the second service's pool, and records the time from the
// accepted change until all entries have it in force.
func measureMove(ctx context.Context, x *loadRun, services []string, r *Report) error {
	ctx, stop := context.WithTimeout(ctx, moveTimeout)
	defer stop()
	moved := x.site.PoolVMs(services[len(services)-1])
	for _, v := range x.site.Source.Inventory.Vms {
		if v.Name == moved[len(moved)-1] {
			v.Pool = services[1]
		}
	}
	n, err := x.site.Apply(ctx, x.site.Entries[0])
	if err != nil {
		return err
	}
	accepted := time.Now()
	if err := x.site.AwaitRevision(ctx, n, x.site.Entries); err != nil {
		return err
	}
	r.millis("changeInForceMs", time.Since(accepted))
	return nil
}

// replaceEntry shuts one entry down gracefully and starts it again, and records how long each step takes.
func replaceEntry(ctx context.Context, x *loadRun, r *Report) error {
	y := x.site.Entries[2]
	started := time.Now()
	code := y.Terminate(leaveTimeout)
	r.millis("entryLeaveMs", time.Since(started))
	r.check(code == 0, "the leaving entry exited with code %d", code)
	started = time.Now()
	if err := y.Start(); err != nil {
		return err
	}
	if err := y.AwaitLive(ctx); err != nil {
		return err
	}
	if err := x.site.AwaitRevision(ctx, 1, x.site.Entries); err != nil {
		return err
	}
	r.millis("entryReadyMs", time.Since(started))
	return nil
}

// measureAddedLatency alternates between direct calls to backend servers and calls through entries, and records the
// latencies of both and their difference.
func measureAddedLatency(ctx context.Context, e Options, x *loadRun, service string, r *Report) error {
	servers := x.site.PoolVMs(service)
	addresses := map[string]string{}
	for _, v := range x.site.Source.Inventory.Vms {
		addresses[v.Name] = v.Address
	}
	c := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 4}}
	var direct, through []time.Duration
	until := time.Now().Add(e.scale(probeDuration))
	for i := 0; time.Now().Before(until); i++ {
		d, err := probe(ctx, c, addresses[servers[i%len(servers)]], service, i)
		if err != nil {
			return err
		}
		direct = append(direct, d)
		y := x.site.Entries[i%len(x.site.Entries)]
		if d, err = probe(ctx, c, y.CallerAddress.String(), service, i); err != nil {
			return err
		}
		through = append(through, d)
	}
	slices.Sort(direct)
	slices.Sort(through)
	r.metric("probes", len(direct))
	for _, q := range []int{50, 99} {
		a, b := direct[len(direct)*q/100], through[len(through)*q/100]
		p := "P" + strconv.Itoa(q)
		r.millis("direct"+p+"Ms", a)
		r.millis("through"+p+"Ms", b)
		r.millis("added"+p+"Ms", b-a)
	}
	return nil
}

// probe sends one request to a backend server or an entry and returns the time until the whole answer was read.
func probe(ctx context.Context, c *http.Client, address, service string, i int) (time.Duration, error) {
	if _, err := netip.ParseAddrPort(address); err != nil {
		return 0, trace.Wrap(err, "probing")
	}
	q, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+"/"+service+"/probe", strings.NewReader("probe"))
	if err != nil {
		return 0, trace.Wrap(err, "probing")
	}
	q.Header.Set(request.HeaderIdempotent, "true")
	q.Header.Set(backend.HeaderNonce, fmt.Sprintf("probe-%d", i))
	q.Header.Set(backend.HeaderServiceTime, strconv.FormatInt(probeWork.Microseconds(), 10))
	started := time.Now()
	p, err := c.Do(q)
	if err != nil {
		return 0, trace.Wrap(err, "probing")
	}
	defer p.Body.Close()
	_, err = io.Copy(io.Discard, p.Body)
	return time.Since(started), trace.Wrap(err, "probing")
}
