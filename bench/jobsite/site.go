package jobsite

import (
	"context"
	"fmt"
	"net/http"
	"net/netip"
	"os"
	"path/filepath"
	"time"

	"github.com/gravitational/trace"

	"github.com/tarragonbank/tarragonbank/bench/loopback"
	"github.com/tarragonbank/tarragonbank/bench/process"
	"github.com/tarragonbank/tarragonbank/bench/proxy"
	"github.com/tarragonbank/tarragonbank/fleet/job"
	"github.com/tarragonbank/tarragonbank/fleet/queue"
	"github.com/tarragonbank/tarragonbank/platform/standin"
)

// Options says what the site is made of.
type Options struct {
	// Binaries is the folder of the programs, Out that of logs and settings.
	Binaries string
	Out      string
	Seed     uint64
	Entries  int
	// PerPool is the number of VMs of each pool, the standby pool included.
	PerPool int
	// Untimed has a start after a cancellation noted only after a long time, for machines that are busy.
	Untimed bool
}

// Site is a running site.
type Site struct {
	Options  Options
	Platform *standin.Site
	Entries  []*Entry
	// ServerProxies are the proxies before the VMs' servers.
	ServerProxies map[string]*proxy.Proxy
	Table         *queue.Table
	block         *loopback.Block
}

// Entry is one entry process of the site, with the proxies that stand between it and the platform.
type Entry struct {
	*process.Process
	Spec       standin.Entry
	StoreProxy *proxy.Proxy
	ListProxy  *proxy.Proxy
	site       *Site
}

// Ports of a site's addresses, all below the range from which the kernel takes ports of outgoing connections.
const (
	portStore = 8021 + iota
	portList
	portServer
	portProxy
	portCaller
	portReady
	portPeer
)

const (
	groupPlatform = 1
	groupServers  = 2
	groupProxies  = 3
	groupEntries  = 4
)

// What the site's VMs and times are like; the times are those of the users' deployments.
const (
	dataCentres = 3
	vmsPerRack  = 4
	entryCores  = 0.4
	hold        = 6 * time.Second
	gangTime    = 3 * time.Second
	heartbeat   = 1500 * time.Millisecond
	drainTime   = 2 * time.Second
	moveTime    = 1500 * time.Millisecond
	maintenance = 2 * time.Second
	cancelTime  = 3 * time.Second
	longTime    = time.Minute
)

// vmSize is what a VM has.
var vmSize = job.Size{CPU: 16000, MemoryMB: 32000}

const (
	// StandbyPool is the pool whose VMs are off.
	StandbyPool = "ledger"
	// TaskAttempts is how many failed runs of a task make its job fail.
	TaskAttempts = 4
	slack        = 1.6
	latency      = 2 * time.Second
)

// Pools are the pools whose VMs serve; each has a queue of its own name.
var Pools = []string{"cups", "carving"}

// table is a version of the configuration.
func table(version uint64) *queue.Table {
	l, pools := []queue.Queue{}, map[string]queue.Pool{StandbyPool: {Name: StandbyPool, Standby: true}}
	for i, p := range Pools {
		pools[p] = queue.Pool{Name: p}
		l = append(l, queue.Queue{
			Name: p, Host: "workshop.example", Prefix: "/" + p + "/", Pool: p, Priority: i, Attempts: TaskAttempts,
			Slack: slack, Latency: latency,
		})
	}
	return queue.New(version, l, pools, queue.Limits{})
}

// New starts a site and waits until it takes jobs.
func New(ctx context.Context, p Options) (*Site, error) {
	s := &Site{Options: p, ServerProxies: map[string]*proxy.Proxy{}, Table: table(1)}
	if err := s.start(ctx); err != nil {
		s.Stop()
		return nil, err
	}
	return s, nil
}

func (s *Site) start(ctx context.Context) error {
	if err := os.MkdirAll(s.Options.Out, 0o755); err != nil {
		return trace.ConvertSystemError(err)
	}
	var err error
	if s.block, err = loopback.Claim(); err != nil {
		return err
	}
	if err = s.startStandIn(); err != nil {
		return err
	}
	for i := range s.Options.Entries {
		if err := s.addEntry(i); err != nil {
			return err
		}
	}
	for _, e := range s.Entries {
		if err := e.Start(); err != nil {
			return err
		}
	}
	return s.AwaitReady(ctx)
}

func (s *Site) startStandIn() error {
	p := standin.Plan{
		Table: s.Table, Store: s.block.Address(groupPlatform, 1, portStore), List: s.block.Address(groupPlatform, 1, portList),
		Seed: s.Options.Seed, Hold: hold, Gang: gangTime, Heartbeat: heartbeat, DrainTime: drainTime, Move: moveTime,
		Maintenance: maintenance, CancelTime: cancelTime, Told: s.told,
	}
	if s.Options.Untimed {
		p.CancelTime = longTime
	}
	host := 0
	for _, pool := range append([]string{StandbyPool}, Pools...) {
		for i := range s.Options.PerPool {
			host++
			m := standin.Machine{
				Name: fmt.Sprintf("%s-%d", pool, i+1), Pool: pool, DataCentre: fmt.Sprintf("dc-%d", i%dataCentres+1),
				Rack: fmt.Sprintf("rack-%d", host/vmsPerRack), Capacity: vmSize, Address: s.block.Address(groupServers, host, portServer),
			}
			if err := s.proxy(m.Name, m.Address, host); err != nil {
				return err
			}
			p.Machines = append(p.Machines, m)
		}
	}
	var err error
	s.Platform, err = standin.New(p)
	return trace.Wrap(err, "starting the stand-in")
}

// proxy puts a proxy before a VM's servers.
func (s *Site) proxy(name string, target netip.AddrPort, host int) error {
	x := proxy.New(target)
	s.ServerProxies[name] = x
	return x.Start(s.block.Address(groupProxies, host, portProxy))
}

// told is the address at which entries reach a VM's servers.
func (s *Site) told(_ string, listens netip.AddrPort) netip.AddrPort {
	return s.block.Address(groupProxies, int(listens.Addr().As4()[3]), portProxy)
}

func (s *Site) addEntry(i int) error {
	name := fmt.Sprintf("entry-%d", i+1)
	at := func(port uint16) netip.AddrPort { return s.block.Address(groupEntries, i+1, port) }
	e := &Entry{
		Process: process.New(name, filepath.Join(s.Options.Binaries, "tarragonjobs"), filepath.Join(s.Options.Out, name+".log")),
		Spec: standin.Entry{
			Name: name, DataCentre: fmt.Sprintf("dc-%d", i%dataCentres+1), Cores: entryCores,
			Caller: at(portCaller), Ready: at(portReady), Peer: at(portPeer), Store: at(portStore), List: at(portList),
		},
		StoreProxy: proxy.New(s.Platform.Plan.Store), ListProxy: proxy.New(s.Platform.Plan.List), site: s,
	}
	s.Entries = append(s.Entries, e)
	if err := e.StoreProxy.Start(e.Spec.Store); err != nil {
		return err
	}
	return e.ListProxy.Start(e.Spec.List)
}

// settingsVariable names the environment variable with the path of an entry's settings.
const settingsVariable = "TARRAGONBANK_CONFIG"

// Start starts the entry's process.
func (e *Entry) Start() error {
	b, err := e.site.Platform.Settings(e.Spec)
	if err != nil {
		return trace.Wrap(err, "encoding the settings of %s", e.Name)
	}
	f := filepath.Join(e.site.Options.Out, e.Name+".json")
	if err := os.WriteFile(f, b, 0o644); err != nil {
		return trace.ConvertSystemError(err)
	}
	return e.Process.Start(nil, []string{settingsVariable + "=" + f})
}

const (
	readyPoll  = 20 * time.Millisecond
	readyLimit = 200 * time.Millisecond
	// startLimit bounds the start of a site.
	startLimit = 20 * time.Second
)

// Ready says whether the entry tells that it takes callers.
func (e *Entry) Ready(ctx context.Context) bool {
	c, stop := context.WithTimeout(ctx, readyLimit)
	defer stop()
	r, err := http.NewRequestWithContext(c, http.MethodGet, "http://"+e.Spec.Ready.String()+"/tarragonbank/readiness", nil)
	if err != nil {
		return false
	}
	a, err := http.DefaultClient.Do(r)
	if err != nil {
		return false
	}
	defer a.Body.Close()
	return a.StatusCode == http.StatusOK
}

// AwaitReady waits until all entries take callers; it fails with a LimitExceeded error.
func (s *Site) AwaitReady(ctx context.Context) error {
	ctx, stop := context.WithTimeout(ctx, startLimit)
	defer stop()
	for _, e := range s.Entries {
		for !e.Ready(ctx) {
			if ctx.Err() != nil {
				return trace.LimitExceeded("%s was not ready in time", e.Name)
			}
			time.Sleep(readyPoll)
		}
	}
	return nil
}

// Reconfigure has the operator accept the next version of the configuration.
func (s *Site) Reconfigure() error {
	s.Table = table(s.Table.Version + 1)
	return trace.Wrap(s.Platform.Configure(s.Table), "configuring")
}

// Stop ends all processes and stand-ins.
func (s *Site) Stop() {
	for _, e := range s.Entries {
		e.Kill()
		e.StoreProxy.Stop()
		e.ListProxy.Stop()
	}
	for _, x := range s.ServerProxies {
		x.Stop()
	}
	if s.Platform != nil {
		s.Platform.Stop()
	}
	s.block.Release()
}
