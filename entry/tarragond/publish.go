package tarragond

import (
	"maps"
	"slices"
	"time"

	"github.com/tarragonbank/tarragonbank/entry/decision"
	"github.com/tarragonbank/tarragonbank/entry/dispatch"
	"github.com/tarragonbank/tarragonbank/entry/operator"
	"github.com/tarragonbank/tarragonbank/fleet/config"
	"github.com/tarragonbank/tarragonbank/fleet/member"
	"github.com/tarragonbank/tarragonbank/fleet/schema"
	"github.com/tarragonbank/tarragonbank/fleet/settings"
)

type snapshot = config.Snapshot

// rowBody is what the entry publishes of itself to its peers.
func (e *Entry) rowBody() *schema.RowBody {
	e.lock.Lock()
	leaving := e.leaving
	e.lock.Unlock()
	b := &schema.RowBody{
		DataCentre: e.settings.DataCentre,
		Address:    e.settings.AdvertisedPeerAddress.String(),
		Leaving:    leaving,
		Revision:   e.active.Current().Revision(),
	}
	if e.watcher == nil {
		return b
	}
	b.Watching = e.watcher.Fresh()
	b.ListedLeaving = e.watcher.Leaving()
	b.SaidLeaving = e.dispatcher.SaidLeaving()
	m := e.dispatcher.Demands()
	for n, d := range m {
		b.Demands = append(b.Demands, &schema.PoolDemand{Pool: n, Demand: uint32(d)})
	}
	slices.SortFunc(b.Demands, func(x, y *schema.PoolDemand) int { return compare(x.Pool, y.Pool) })
	return b
}

func compare(a, b string) int {
	if a < b {
		return -1
	}
	if a > b {
		return 1
	}
	return 0
}

// shouldWatch says whether the entry should wait on the platform.
func (e *Entry) shouldWatch() bool {
	return e.settings.WatchPolicy != settings.WatchOnePerDataCentre || e.node.Watcher() || e.active.Current() == nil
}

// propagateLeaving tells the peers and the dispatcher what the platform's list shows.
func (e *Entry) propagateLeaving() {
	e.node.Hurry()
	e.updatePeers()
}

// updatePeers gives the dispatcher the entries that updatePeers the work and the VMs that are leaving.
func (e *Entry) updatePeers() {
	l := []dispatch.Peer{}
	leaving := map[string]bool{}
	lists := leavingLists{fresh: map[string]bool{}, all: map[string]bool{}}
	lists.add(e.watcher.Fresh(), e.watcher.Leaving())
	for _, m := range e.node.Sharing() {
		p := dispatch.Peer{Name: m.Name(), DataCentre: m.Row.Body.DataCentre, Demand: map[string]int{}}
		for _, d := range m.Row.Body.Demands {
			p.Demand[d.Pool] = int(d.Demand)
		}
		l = append(l, p)
		lists.add(m.Row.Body.Watching, m.Row.Body.ListedLeaving)
		addNames(leaving, m.Row.Body.SaidLeaving)
	}
	addNames(leaving, e.dispatcher.SaidLeaving())
	maps.Copy(leaving, lists.merged())
	e.dispatcher.SetPeers(l, leaving)
}

// leavingLists joins what entries last saw of the platform's list.
type leavingLists struct {
	fresh    map[string]bool
	all      map[string]bool
	hasFresh bool
}

func (x *leavingLists) add(fresh bool, l []string) {
	addNames(x.all, l)
	if fresh {
		x.hasFresh = true
		addNames(x.fresh, l)
	}
}

// merged is the fresh lists where there are any; while the platform is away the last ones hold.
func (x *leavingLists) merged() map[string]bool {
	if x.hasFresh {
		return x.fresh
	}
	return x.all
}

func addNames(m map[string]bool, l []string) {
	for _, x := range l {
		m[x] = true
	}
}

// Ready says whether the entry can serve, and if not why.
func (e *Entry) Ready() (bool, string) {
	e.lock.Lock()
	defer e.lock.Unlock()
	switch {
	case e.leaving:
		return false, "leaving"
	case e.active.Current() == nil:
		return false, "no configuration yet"
	default:
		return true, "serving"
	}
}

// Status is the entry's own state.
func (e *Entry) Status() operator.Status {
	ready, reason := e.Ready()
	s := operator.Status{
		Name: e.settings.Name, DataCentre: e.settings.DataCentre, Version: Version,
		Ready: ready, Reason: reason,
		Watching: e.shouldWatch(), PlatformLastContact: e.watcher.LastContact(), Blocked: []string{},
		InFlight: e.caller.InFlight(), LogsDropped: e.log.Dropped(),
	}
	if c := e.active.Current(); c != nil {
		s.Revision = c.Revision()
		s.ActiveSince = e.active.ActiveSince()
		s.AcceptedAt = c.AcceptedAt()
	}
	if s.Watching && time.Since(s.PlatformLastContact) > platformTimeout {
		s.Blocked = append(s.Blocked, "changes of the configuration", "requests with a key that may not run twice")
	}
	return s
}

const platformTimeout = 6 * time.Second

// Members lists the entries that are known.
func (e *Entry) Members() []member.Member {
	return e.node.Members()
}

// Pools describes all pools.
func (e *Entry) Pools() []dispatch.PoolView {
	return e.dispatcher.View()
}

// Decisions lists the last decisions.
func (e *Entry) Decisions() []decision.Record {
	return e.log.Recent()
}
