package scheduler

import (
	"time"

	"github.com/tarragonbank/tarragonbank/fleet/backlog"
)

const (
	// defaultMoveTime applies while it is not known how long VMs take to move.
	defaultMoveTime = 1500 * time.Millisecond
	// moveDecisionTime is the time from the need for a VM to the order for its move, and from its start to its first task.
	moveDecisionTime = 500 * time.Millisecond
	// reserveShare is the share of the standby VMs' cores that a pool can count on.
	reserveShare = 0.7
)

// Provisioning is what is known of the VMs that a pool could get.
type Provisioning struct {
	// IncomingCores are the cores on their way to each pool, ReserveCores those of the standby VMs, which any pool could get.
	IncomingCores map[string]float64
	ReserveCores  float64
	// MoveTime is how long a VM takes to move to a pool, 0 if that is not known.
	MoveTime time.Duration
}

// SetProvisioning sets what is known of the VMs that a pool could get.
func (s *Scheduler) SetProvisioning(p Provisioning) {
	s.provisioning = p
}

func (p Provisioning) moveTime() time.Duration {
	if p.MoveTime > 0 {
		return p.MoveTime
	}
	return defaultMoveTime
}

// supply returns the cores of a pool that finite work may use, if it has the given number of cores now: those, and with the
// VMs on their way and a part of the standby ones from when such VMs can be there.
func (p Provisioning) supply(pool string, cores float64, now time.Time) backlog.Supply {
	return backlog.Supply{
		Now: cores * packableShare, Later: (cores + p.IncomingCores[pool] + p.ReserveCores*reserveShare) * packableShare,
		From: now.Add(p.moveTime() + moveDecisionTime),
	}
}
