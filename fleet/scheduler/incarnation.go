package scheduler

import (
	"slices"
	"time"

	"github.com/tarragonbank/tarragonbank/fleet/loss"
	"github.com/tarragonbank/tarragonbank/fleet/server"
)

// serverRestarted records that the server v has crashed and runs as w, under the same ID. Orders name only the ID, so that w
// may have carried out those to v before this owner's first call to w: its runs stay assigned to w until w has listed its own.
func (s *Scheduler) serverRestarted(v, w *serverState, now time.Time) {
	crashed := v.takeCrashed()
	s.handOver(v, w, now)
	s.countCrashes(v, crashed, now)
}

// handOver assigns the runs of a server to its next incarnation, which may have them, and drops those that were never ordered.
func (s *Scheduler) handOver(v, w *serverState, now time.Time) {
	s.expectEarlierOrders(w, now)
	for r, x := range v.strays.All() {
		x.ConfirmedClock = 0
		w.strays.Add(r, x)
	}
	for _, r := range v.runs {
		s.drop(r, now, loss.ReasonServerRestarted)
		if r.phase != assigned {
			s.inheritRun(r.task, w, r.number, r.phase == stopping, r.arrivesUntil, now)
		}
	}
	s.clearStrays(v)
}

// inheritRun assigns a run to a server that may have it by an order of a previous owner or to an earlier incarnation. The order may
// arrive until arrivesUntil.
func (s *Scheduler) inheritRun(t *task, v *serverState, number int, stopped bool, arrivesUntil, now time.Time) {
	r := &run{task: t, number: number, server: v, phase: unconfirmed, inherited: true, arrivesUntil: arrivesUntil, pace: fullPace, paceUnknown: true, startedAt: now}
	if stopped {
		r.phase = stopping
	}
	t.setRun(r)
	v.strays.Remove(r.id())
	v.addRun(r)
}

// expectEarlierOrders records that a server that has not answered yet may have carried out orders to an earlier incarnation, and
// with them have extended its lease as far as it lets orders do.
func (s *Scheduler) expectEarlierOrders(v *serverState, now time.Time) {
	v.restarted = true
	v.previousExpiry = now.Add(startOrderLifetime + s.limits.longestLease())
	if v.previousExpiry.Before(s.previousLeasesExpireAt) {
		v.previousExpiry = s.previousLeasesExpireAt
	}
}

// maxFormerStarts is the number of earlier incarnations of a server whose registrations may still arrive.
const maxFormerStarts = 4

// follow records that the incarnation has taken the place of another one, which may be nil. Start times are those of the VM's clock,
// which may step either way, so that the next incarnation may have an earlier one.
func (v *serverState) follow(w *serverState) {
	if w == nil {
		return
	}
	for _, t := range append(slices.Clone(w.formerStarts), w.info.StartedAt) {
		if !t.Equal(v.info.StartedAt) {
			v.formerStarts = append(v.formerStarts, t)
		}
	}
	v.formerStarts = v.formerStarts[max(len(v.formerStarts)-maxFormerStarts, 0):]
}

// isFormerStart reports whether an earlier incarnation of the server started at the given time.
func (v *serverState) isFormerStart(t time.Time) bool {
	return slices.ContainsFunc(v.formerStarts, t.Equal)
}

// ServerRestarted records that a call to the server's incarnation that started at the time called was answered by the one that started
// at startedAt. That is the next one unless called has ended before. It is used once it has registered, since its capacity and labels
// may be others.
func (s *Scheduler) ServerRestarted(id string, called, startedAt, now time.Time) {
	v := s.servers[id]
	if v == nil || !v.info.StartedAt.Equal(called) || startedAt.Equal(called) {
		return
	}
	v.formerStarts = slices.DeleteFunc(slices.Clone(v.formerStarts), startedAt.Equal)
	i := v.info
	i.StartedAt = startedAt
	s.Register(i, now)
	s.servers[id].unregisteredStart = true
}

// IsCurrent reports whether no later incarnation of the server is known.
func (s *Scheduler) IsCurrent(i server.Server) bool {
	v := s.servers[i.ID]
	return v != nil && v.info.StartedAt.Equal(i.StartedAt)
}

// mayBeginAfter reports whether a start order for the run may arrive after the time t. A server that has restarted under its ID knows
// neither the fencing token nor the clock of the order, and carries it out.
func (r *run) mayBeginAfter(t time.Time) bool {
	return r.phase != assigned && !r.arrivesUntil.Before(t)
}

// voidOrders records that another server answers in the place of this one, and refuses the orders to it.
func (v *serverState) voidOrders() {
	for _, r := range v.runs {
		r.arrivesUntil = time.Time{}
	}
}

// startedByLaterIncarnation records that a start order was carried out by an incarnation of the server that is not known yet. The run
// stays assigned until that incarnation is known and has listed its runs, or has ended.
func (s *Scheduler) startedByLaterIncarnation(r *run, now time.Time) {
	s.addDecision(r.decision("start: the server has restarted under its ID"))
	if r.phase != stopping {
		r.phase = unconfirmed
		r.forgetSpeed()
	}
	r.startedLater = true
	r.arrivesUntil = now
	r.server.supersededAt = now
}

// isSuperseded reports whether a later incarnation, which is not known yet, has answered an order.
func (v *serverState) isSuperseded() bool {
	return !v.supersededAt.IsZero()
}

// confirmIncarnation records that a server has listed its runs. If it still does so once the runs of a later incarnation must have
// ended, there is none, and its clock was misleading.
func (s *Scheduler) confirmIncarnation(v *serverState, now time.Time) {
	if !v.isSuperseded() || now.Before(v.supersededAt.Add(s.limits.longestLease())) {
		return
	}
	v.supersededAt = time.Time{}
	for _, r := range v.runs {
		r.startedLater = false
	}
}

// AwaitsStart reports whether the run of an order is still to be started: the server has not restarted or fallen silent since, and
// the run was not given up or stopped.
func (s *Scheduler) AwaitsStart(o StartOrder) bool {
	v := s.servers[o.Server.ID]
	if v == nil || !v.info.StartedAt.Equal(o.Server.StartedAt) || !v.reachable || v.terminated || v.isSuperseded() {
		return false
	}
	r := v.runs[o.Task]
	return r != nil && r.number == o.Number && r.phase == sent
}

// newestByVM returns, by VM, the server that started last among those that have answered this owner.
func (s *Scheduler) newestByVM() map[string]*serverState {
	if s.lists.newest != nil {
		return s.lists.newest
	}
	m := map[string]*serverState{}
	s.operations.Servers += int64(len(s.servers))
	for _, v := range s.servers {
		if v.info.VM == "" || v.fencedAt.IsZero() {
			continue
		}
		if w := m[v.info.VM]; w == nil || v.info.StartedAt.After(w.info.StartedAt) {
			m[v.info.VM] = v
		}
	}
	s.lists.newest = m
	return m
}

// replacedBy reports whether the server has ended since w has started on its VM, which runs one server at a time. An answer
// from the server since the first one of w shows that the start times are misleading, as after a step of the VM's clock.
func (v *serverState) replacedBy(w *serverState) bool {
	return w != nil && v.info.VM != "" && v.info.VM == w.info.VM && w.info.StartedAt.After(v.info.StartedAt) &&
		!w.fencedAt.IsZero() && v.listedAt.Before(w.fencedAt)
}

// dropReplaced drops the runs of the servers on whose VM a later server has answered, without waiting for their leases. A
// registration alone is no proof, since anyone may have written it.
func (s *Scheduler) dropReplaced(now time.Time) {
	var newest map[string]*serverState
	s.operations.Servers += int64(len(s.servers))
	for _, v := range s.servers {
		if len(v.runs) == 0 && len(v.lost) == 0 || v.info.VM == "" {
			continue
		}
		if newest == nil {
			newest = s.newestByVM()
		}
		if w := newest[v.info.VM]; v.replacedBy(w) {
			v.voidOrders()
			s.serverReplaced(v, w.info.Pool, now, now, "a later server runs on the VM")
		}
	}
}
