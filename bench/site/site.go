package site

import (
	"context"
	"fmt"
	"net/netip"
	"os"
	"path/filepath"
	"sort"
	"strconv"
	"time"

	"github.com/gravitational/trace"

	"github.com/tarragonbank/tarragonbank/bench/backend"
	"github.com/tarragonbank/tarragonbank/bench/load"
	"github.com/tarragonbank/tarragonbank/bench/loopback"
	"github.com/tarragonbank/tarragonbank/bench/platformsim"
	"github.com/tarragonbank/tarragonbank/bench/proxy"
	"github.com/tarragonbank/tarragonbank/fleet/config"
)

// Token is the operator token that all entries of the site accept.
const Token = "bench-token"

// Options configures a site.
type Options struct {
	// Binaries is the directory of the programs, Deploy that of the inventory and rules, Out that of logs and settings.
	Binaries string
	Deploy   string
	Out      string
	Seed     uint64
	Entries  int
	// ServiceTime is the mean service time of the backend servers, ListLag the staleness of the platform's list of VMs.
	ServiceTime time.Duration
	ListLag     time.Duration
	// Proxies places a proxy in front of each backend server and the platform.
	Proxies bool
	// PeerProxies places a proxy in front of the peer address of each entry.
	PeerProxies bool
	// Source replaces the inventory and rules in Deploy. No backend servers are started for it.
	Source *config.Source
	// Environment lists variables, as key=value, added to the environment of every entry.
	Environment []string
	// Settings holds additional TOML lines for the settings file of every entry.
	Settings string
}

// Site is a running site with its simulated platform, backend servers, proxies and entries.
type Site struct {
	Options  Options
	Platform *platformsim.Platform
	Recorder *backend.Recorder
	Servers  map[string]*backend.Server
	Proxies  map[string]*proxy.Proxy
	Source   config.Source
	Entries  []*Entry

	platformAddress netip.AddrPort
	block           *loopback.Block
}

// New starts a site, applies its configuration and waits until it is in force at all entries. On an error everything
// that was started is stopped.
func New(ctx context.Context, p Options) (*Site, error) {
	s := &Site{
		Options: p, Platform: platformsim.New(p.ListLag, p.Seed), Recorder: backend.NewRecorder(),
		Servers: map[string]*backend.Server{}, Proxies: map[string]*proxy.Proxy{},
	}
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
	if err := s.startPlatform(); err != nil {
		return err
	}
	if err := s.startServers(); err != nil {
		return err
	}
	if err := s.addEntries(); err != nil {
		return err
	}
	for _, e := range s.Entries {
		if err := e.Start(); err != nil {
			return err
		}
	}
	for _, e := range s.Entries {
		if err := e.AwaitLive(ctx); err != nil {
			return err
		}
	}
	if err := s.WriteSource(); err != nil {
		return err
	}
	if _, err := s.Apply(ctx, s.Entries[0]); err != nil {
		return err
	}
	return s.AwaitRevision(ctx, 1, s.Entries)
}

// Stop kills all entry processes and stops the proxies, backend servers and the platform.
func (s *Site) Stop() {
	for _, e := range s.Entries {
		e.Kill()
	}
	for _, p := range s.Proxies {
		p.Stop()
	}
	for _, x := range s.Servers {
		x.Stop()
	}
	s.Platform.Stop()
	s.block.Release()
}

// Ports of a site's addresses, all below the kernel's range of ephemeral ports so that no outgoing connection occupies
// them.
const (
	portCaller = 8001 + iota
	portOperator
	portPeer
	portServer
	portProxy
	portPlatform
)

// address returns an address in the site's loopback block.
func (s *Site) address(group, host int, port uint16) netip.AddrPort {
	return s.block.Address(group, host, port)
}

const (
	groupPlatform = 1
	groupServers  = 2
	groupProxies  = 3
	groupEntries  = 10
	groupPeers    = 20
	platformProxy = "platform"
)

func (s *Site) startPlatform() error {
	var err error
	if s.block, err = loopback.Claim(); err != nil {
		return err
	}
	a := s.address(groupPlatform, 1, portPlatform)
	if err := s.Platform.Start(a); err != nil {
		return err
	}
	s.platformAddress = a
	if !s.Options.Proxies {
		return nil
	}
	s.platformAddress, err = s.startProxy(platformProxy, a, groupProxies, 1)
	return err
}

// startProxy starts a proxy in front of the target and returns the proxy's address.
func (s *Site) startProxy(name string, target netip.AddrPort, group, host int) (netip.AddrPort, error) {
	a := s.address(group, host, portProxy)
	p := proxy.New(target)
	s.Proxies[name] = p
	return a, p.Start(a)
}

// startServers starts a backend server for each VM of the inventory. If the source was given in the options, it only
// lists the VMs at the platform.
func (s *Site) startServers() error {
	if s.Options.Source != nil {
		s.Source = *s.Options.Source
		for _, m := range s.Source.Inventory.Vms {
			s.Platform.SetVM(platformsim.VM{Name: m.Name, Address: netip.MustParseAddrPort(m.Address), Boot: "1"})
		}
		return nil
	}
	var err error
	if s.Source, err = ReadSource(s.Options.Deploy); err != nil {
		return err
	}
	for i, m := range s.Source.Inventory.Vms {
		a := s.address(groupServers, i+1, portServer)
		x := backend.New(m.Name, s.Recorder, int(m.Slots), s.Options.ServiceTime, s.Options.Seed+uint64(i))
		if err := x.Start(a); err != nil {
			return err
		}
		s.Servers[m.Name] = x
		if s.Options.Proxies {
			if a, err = s.startProxy(m.Name, a, groupProxies, i+2); err != nil {
				return err
			}
		}
		m.Address = a.String()
		s.Platform.SetVM(platformsim.VM{Name: m.Name, Address: a, Boot: "1"})
	}
	s.Platform.OnReboot(s.reboot)
	return nil
}

// rebootTime is the duration of a VM's reboot.
const rebootTime = 1500 * time.Millisecond

// reboot stops a VM's server and restarts it after rebootTime, unless the server was marked as lost.
func (s *Site) reboot(name string) {
	x := s.Servers[name]
	x.Stop()
	time.Sleep(rebootTime)
	if x.Lost() {
		return
	}
	if x.Restart() == nil {
		s.Platform.SetVM(platformsim.VM{Name: name, Address: s.VMAddress(name), Boot: strconv.Itoa(1 + s.Platform.RebootCount(name))})
	}
}

// VMAddress returns the address of a VM in the inventory, or the zero address if the VM is unknown.
func (s *Site) VMAddress(name string) netip.AddrPort {
	for _, v := range s.Source.Inventory.Vms {
		if v.Name == name {
			a, _ := netip.ParseAddrPort(v.Address)
			return a
		}
	}
	return netip.AddrPort{}
}

// FailVM stops a VM permanently and removes it from the platform's list, as in a rack failure.
func (s *Site) FailVM(name string) {
	s.Servers[name].MarkLost()
	s.Servers[name].Stop()
	s.Platform.RemoveVM(name)
}

// ReadSource reads and parses inventory.toml and rules.toml in a directory.
func ReadSource(directory string) (config.Source, error) {
	i, err := os.ReadFile(filepath.Join(directory, "inventory.toml"))
	if err != nil {
		return config.Source{}, trace.ConvertSystemError(err)
	}
	r, err := os.ReadFile(filepath.Join(directory, "rules.toml"))
	if err != nil {
		return config.Source{}, trace.ConvertSystemError(err)
	}
	return config.ParseSource("inventory.toml", i, "rules.toml", r)
}

// dataCentres returns the sorted names of the data centres in the inventory.
func (s *Site) dataCentres() []string {
	m := map[string]bool{}
	for _, v := range s.Source.Inventory.Vms {
		m[v.DataCentre] = true
	}
	l := []string{}
	for d := range m {
		l = append(l, d)
	}
	sort.Strings(l)
	return l
}

// addEntries assigns names, data centres and addresses to the entries and starts their peer proxies. Data centres are
// assigned round-robin.
func (s *Site) addEntries() error {
	dcs := s.dataCentres()
	for i := range s.Options.Entries {
		d := i % len(dcs)
		e := s.newEntry(fmt.Sprintf("entry-%d", i+1), dcs[d])
		e.CallerAddress = s.address(groupEntries+d, i+1, portCaller)
		e.OperatorAddress = s.address(groupEntries+d, i+1, portOperator)
		e.PeerListenAddress = s.address(groupEntries+d, i+1, portPeer)
		e.PeerAddress = e.PeerListenAddress
		if s.Options.PeerProxies {
			x, err := s.startProxy(e.Name, e.PeerListenAddress, groupPeers+d, i+1)
			if err != nil {
				return err
			}
			e.PeerAddress = x
		}
		s.Entries = append(s.Entries, e)
	}
	return nil
}

// Targets returns all entries as balancer targets of equal weight.
func (s *Site) Targets() []load.Target {
	l := []load.Target{}
	for _, e := range s.Entries {
		l = append(l, load.Target{CallerAddress: e.CallerAddress, OperatorAddress: e.OperatorAddress, Weight: 1})
	}
	return l
}

// PoolVMs returns the sorted names of a pool's VMs.
func (s *Site) PoolVMs(name string) []string {
	l := []string{}
	for _, v := range s.Source.Inventory.Vms {
		if v.Pool == name {
			l = append(l, v.Name)
		}
	}
	sort.Strings(l)
	return l
}

// AwaitRevision waits until revision n or a later one is in force at the entries. It returns a LimitExceeded error if the
// context ends before.
func (s *Site) AwaitRevision(ctx context.Context, n uint64, l []*Entry) error {
	for _, e := range l {
		for {
			x, err := e.Status(ctx)
			if err == nil && x.Revision >= n {
				break
			}
			if ctx.Err() != nil {
				return trace.LimitExceeded("revision %d was not in force at %s in time", n, e.Name)
			}
			time.Sleep(statusPollInterval)
		}
	}
	return nil
}

const statusPollInterval = 5 * time.Millisecond
