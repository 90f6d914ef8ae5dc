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

// body is what the entry publishes of itself to its peers.
func (e *Entry) body() *schema.RowBody {
	e.lock.Lock()
	leaving := e.leaving
	e.lock.Unlock()
	b := &schema.RowBody{
		DataCentre: e.settings.DataCentre,
		Address:    e.settings.AdvertisedPeerAddress.String(),
		Leaving:    leaving,
		Revision:   e.view.Current().Revision(),
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

// watching says whether the entry should wait on the platform.
func (e *Entry) watching() bool {
	return e.settings.WatchPolicy != settings.WatchOnePerDataCentre || e.node.Watcher() || e.view.Current() == nil
}

// spread tells the peers and the dispatcher what the platform's list shows.
func (e *Entry) spread() {
	e.node.Hurry()
	e.share()
}

// share gives the dispatcher the entries that share the work and the VMs that are leaving.
func (e *Entry) share() {
	l := []dispatch.Peer{}
	leaving := map[string]bool{}
	lists := listed{fresh: map[string]bool{}, last: map[string]bool{}}
	lists.add(e.watcher.Fresh(), e.watcher.Leaving())
	for _, m := range e.node.Sharing() {
		p := dispatch.Peer{Name: m.Name(), DataCentre: m.Row.Body.DataCentre, Demand: map[string]int{}}
		for _, d := range m.Row.Body.Demands {
			p.Demand[d.Pool] = int(d.Demand)
		}
		l = append(l, p)
		lists.add(m.Row.Body.Watching, m.Row.Body.ListedLeaving)
		addAll(leaving, m.Row.Body.SaidLeaving)
	}
	addAll(leaving, e.dispatcher.SaidLeaving())
	maps.Copy(leaving, lists.best())
	e.dispatcher.SetPeers(l, leaving)
}

// listed joins what entries last saw of the platform's list.
type listed struct {
	fresh map[string]bool
	last  map[string]bool
	any   bool
}

func (x *listed) add(fresh bool, l []string) {
	addAll(x.last, l)
	if fresh {
		x.any = true
		addAll(x.fresh, l)
	}
}

// best is the fresh lists where there are any; while the platform is away the last ones hold.
func (x *listed) best() map[string]bool {
	if x.any {
		return x.fresh
	}
	return x.last
}

func addAll(m map[string]bool, l []string) {
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
	case e.view.Current() == nil:
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
		Watching: e.watching(), PlatformLastContact: e.watcher.LastContact(), Blocked: []string{},
		InFlight: e.caller.InFlight(), LogsDropped: e.log.Dropped(),
	}
	if c := e.view.Current(); c != nil {
		s.Revision = c.Revision()
		s.ActiveSince = e.view.ActiveSince()
		s.AcceptedAt = c.AcceptedAt()
	}
	if s.Watching && time.Since(s.PlatformLastContact) > platformAway {
		s.Blocked = append(s.Blocked, "changes of the configuration", "requests with a key that may not run twice")
	}
	return s
}

const platformAway = 6 * time.Second

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
