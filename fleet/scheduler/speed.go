package scheduler

import "time"

// judgedEnd is the end of a run whose duration could be compared with that of its step's other tasks on other servers.
type judgedEnd struct {
	at   time.Time
	slow bool
}

const (
	// judgedEndAge is how long a completed run speaks for or against its server. Servers become slow and well again within
	// seconds. With 1 s, twice as many tasks that were long by nature were restarted on the replayed loads.
	judgedEndAge = 2 * time.Second
	// maxJudgedEnds is the number of completed runs that are kept for a server.
	maxJudgedEnds = 8
)

// recordSpeed records whether a completed run was slow, where that is used and can be told.
func (s *Scheduler) recordSpeed(r *run, now time.Time) {
	if !s.limits.LookAhead || r.startPercent > 0 || r.inherited {
		return
	}
	if t := r.task.step.speeds.median(r.server.incarnation()); t > 0 {
		l := append(r.server.health.ends, judgedEnd{now, isSlower(now.Sub(r.startedAt), t)})
		r.server.health.ends = l[max(len(l)-maxJudgedEnds, 0):]
	}
}

// isSlower reports whether a run of the duration d is slow where others of its step take the time t.
func isSlower(d, t time.Duration) bool {
	return float64(d) > stragglerFactor*float64(t)
}

// blamesServer reports whether the server, rather than the task, is the cause of a slow run, c being the count of the server's runs.
// Placement that looks ahead also counts the runs that the server has completed lately, or else during the slow run, and leaves out that
// run itself, since a task that is long by nature is as long on every other server. Where nothing else is known of the server, the step's
// tasks on other servers decide.
func (s *Scheduler) blamesServer(r *run, c speedCount) bool {
	if !s.limits.LookAhead {
		return c.isSlow()
	}
	v := r.server
	c = c.without(r)
	for _, e := range v.health.ends {
		if v.listedAt.Sub(e.at) < judgedEndAge {
			c.add(e.slow)
		}
	}
	if c.known == 0 {
		// A task that is long by nature outlasts all others, and nothing recent is left to speak for its server.
		for _, e := range v.health.ends {
			if e.at.After(r.startedAt) {
				c.add(e.slow)
			}
		}
	}
	return 2*c.slow > c.known || c.known == 0
}
