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

// rowBody returns the state that the entry publishes to its peers. There is no watcher yet while New is running.
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
	b.SaidLeaving = e.dispatcher.AnnouncedLeaving()
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

// shouldWatch reports whether this entry should watch the platform: it is the chosen watcher of its data centre, every entry
// watches, or it has no configuration yet.
func (e *Entry) shouldWatch() bool {
	return e.settings.WatchPolicy != settings.WatchOnePerDataCentre || e.node.ShouldWatch() || e.active.Current() == nil
}

// propagateLeaving sends the leaving VMs of the platform's list to the peers and the dispatcher.
func (e *Entry) propagateLeaving() {
	e.node.PublishNow()
	e.updatePeers()
}

// updatePeers gives the dispatcher the peers that share the load, with their demand, and the VMs that are leaving.
func (e *Entry) updatePeers() {
	l := []dispatch.Entry{}
	leaving := map[string]bool{}
	lists := leavingLists{fresh: map[string]bool{}, all: map[string]bool{}}
	lists.add(e.watcher.Fresh(), e.watcher.Leaving())
	for _, m := range e.node.WorkSharers() {
		p := dispatch.Entry{Name: m.Name(), DataCentre: m.Row.Body.DataCentre, Demand: map[string]int{}}
		for _, d := range m.Row.Body.Demands {
			p.Demand[d.Pool] = int(d.Demand)
		}
		l = append(l, p)
		lists.add(m.Row.Body.Watching, m.Row.Body.ListedLeaving)
		addNames(leaving, m.Row.Body.SaidLeaving)
	}
	addNames(leaving, e.dispatcher.AnnouncedLeaving())
	maps.Copy(leaving, lists.merged())
	e.dispatcher.SetEntries(l, leaving)
}

// leavingLists merges the leaving VMs of the platform's list as each entry last read it.
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

// merged returns the VMs of the fresh lists. If no list is fresh because the platform is unavailable, it returns those of all
// lists as last read.
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

// Ready returns whether the entry can serve requests, and the reason.
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

// Status returns the entry's state for operators.
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

// platformTimeout is how long the platform may be silent before the operations that need it are reported as blocked.
const platformTimeout = 6 * time.Second

// Members returns the known entries.
func (e *Entry) Members() []member.Member {
	return e.node.Members()
}

// Pools returns the state of all pools.
func (e *Entry) Pools() []dispatch.PoolView {
	return e.dispatcher.Pools()
}

// Decisions returns the latest logged decisions.
func (e *Entry) Decisions() []decision.Record {
	return e.log.Recent()
}
