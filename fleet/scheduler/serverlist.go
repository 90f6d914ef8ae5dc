package scheduler

import (
	"cmp"
	"slices"
)

// serverLists caches lists of the servers. They are nil after the set of servers, their pools or their VMs have changed.
type serverLists struct {
	byID   []*serverState
	byPool map[string][]*serverState
	byVM   map[string][]*serverState
	// newest holds the newest server on each VM that has listed its runs. It is nil after another one has.
	newest map[string]*serverState
}

// serversByID returns the servers sorted by ID, so that placement does not depend on map iteration order.
func (s *Scheduler) serversByID() []*serverState {
	if s.lists.byID == nil {
		for _, v := range s.servers {
			s.lists.byID = append(s.lists.byID, v)
		}
		slices.SortFunc(s.lists.byID, func(a, b *serverState) int { return cmp.Compare(a.info.ID, b.info.ID) })
	}
	return s.lists.byID
}

// serversOf returns the servers of a pool sorted by ID.
func (s *Scheduler) serversOf(pool string) []*serverState {
	if s.lists.byPool == nil {
		s.lists.byPool = map[string][]*serverState{}
		for _, v := range s.serversByID() {
			s.lists.byPool[v.info.Pool] = append(s.lists.byPool[v.info.Pool], v)
		}
	}
	return s.lists.byPool[pool]
}

// serversOn returns the servers on a VM, of which all but one have ended.
func (s *Scheduler) serversOn(vm string) []*serverState {
	if s.lists.byVM == nil {
		s.lists.byVM = map[string][]*serverState{}
		for _, v := range s.serversByID() {
			s.lists.byVM[v.info.VM] = append(s.lists.byVM[v.info.VM], v)
		}
	}
	return s.lists.byVM[vm]
}

// serversChanged records that the set of servers, their pools or their VMs have changed.
func (s *Scheduler) serversChanged() {
	s.lists = serverLists{}
}
