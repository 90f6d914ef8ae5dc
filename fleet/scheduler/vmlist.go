package scheduler

import (
	"time"

	"github.com/tarragonbank/tarragonbank/fleet/vm"
)

const (
	// maxListLag is the age that a reading of the list of VMs may have.
	maxListLag = 3 * time.Second
	// maxClockDifference bounds the difference between the wall clocks of this entry and of a server.
	maxClockDifference = 5 * time.Second
)

// VMsListed applies a reading of the platform's list of VMs that began at the time readAt. A server that the list no longer shows on
// its VM has ended, so its runs need not wait for the expiry of their lease.
func (s *Scheduler) VMsListed(l map[string]vm.PlatformStatus, readAt, now time.Time) {
	for _, v := range s.serversByID() {
		x, ok := l[v.info.VM]
		if !ok {
			continue
		}
		if x.ServerID == v.info.ID {
			v.shownOnVM = true
			s.resumeIfListed(v)
			continue
		}
		// A VM that has come up shows no server until that has started.
		if x.State == vm.Up && x.ServerID == "" || !v.terminated && !v.listIsNewer(now) {
			continue
		}
		if v.reachable && !v.terminated {
			v.pauseUntil(now.Add(unhealthyPause))
			continue
		}
		if x.ServerID != "" {
			v.voidOrders()
		}
		if v.terminated {
			s.dropRuns(v, readAt, now, "server has ended since the start order may have arrived")
			continue
		}
		s.addDecision(Decision{Server: v.info.ID, Pool: v.info.Pool, Reason: "server has ended: its VM is listed as " + x.State.String(), Age: now.Sub(v.listedAt)})
		if x.State == vm.Moving || x.State == vm.InMaintenance {
			s.serverStopped(v, readAt, now, "server has ended")
		} else {
			s.serverReplaced(v, x.Pool, readAt, now, "server has ended")
		}
		v.terminated, v.endedByList = true, true
	}
}

// listIsNewer reports whether any reading of the list shows a time at which the server had started.
func (v *serverState) listIsNewer(now time.Time) bool {
	if now.Sub(v.info.StartedAt) > maxListLag+maxClockDifference {
		return true
	}
	return v.shownOnVM && now.Sub(v.knownSince) > maxListLag
}

// resumeIfListed uses a server again that an earlier reading of the list did not show.
func (s *Scheduler) resumeIfListed(v *serverState) {
	if !v.endedByList {
		return
	}
	v.endedByList = false
	s.ServerMayRun(v.info.ID)
}
