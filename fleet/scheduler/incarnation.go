package scheduler

import "time"

// newestByVM returns, by VM, the server that started last among those that have answered this owner.
func (s *Scheduler) newestByVM() map[string]*serverState {
	m := map[string]*serverState{}
	for _, v := range s.servers {
		if v.info.VM == "" || v.fencedAt.IsZero() {
			continue
		}
		if w := m[v.info.VM]; w == nil || v.info.StartedAt.After(w.info.StartedAt) {
			m[v.info.VM] = v
		}
	}
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
	for _, v := range s.servers {
		if len(v.runs) == 0 && len(v.lost) == 0 || v.info.VM == "" {
			continue
		}
		if newest == nil {
			newest = s.newestByVM()
		}
		if w := newest[v.info.VM]; v.replacedBy(w) {
			s.serverReplaced(v, w.info.Pool, now, "a later server runs on the VM")
		}
	}
}
