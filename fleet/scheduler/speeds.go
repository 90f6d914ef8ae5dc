package scheduler

import (
	"math/bits"
	"slices"
	"time"
)

// speeds holds how long the tasks of a step take: the run times of the completed ones, and the projected ones of the runs whose speed is
// known. It is kept sorted, since a listing asks for the median once for each run of its server.
type speeds struct {
	all []time.Duration
	// projected holds those of the runs on each server.
	projected map[incarnation][]time.Duration
	// removed and added are changes that have not been applied yet.
	removed, added []time.Duration
}

// incarnation identifies a server from its start to its end.
type incarnation struct {
	id        string
	startedMs int64
}

func (v *serverState) incarnation() incarnation {
	return incarnation{v.info.ID, v.info.StartedAt.UnixMilli()}
}

// median returns the median of all but the projections of one server, or 0 if there are too few.
func (x *speeds) median(v incarnation) time.Duration {
	own := x.projected[v]
	n := len(x.all) - len(own)
	if n < projectionMinSamples {
		return 0
	}
	i, _ := slices.BinarySearchFunc(x.all, n/2, func(d time.Duration, rank int) int {
		if countUpTo(x.all, d)-countUpTo(own, d) > rank {
			return 1
		}
		return -1
	})
	return x.all[i]
}

// complete adds the run time of a completed run.
func (x *speeds) complete(d time.Duration) {
	x.all = insertSorted(x.all, d)
}

// forget removes the projection of a run on a server.
func (x *speeds) forget(v incarnation, d time.Duration) {
	x.all = removeSorted(x.all, d)
	x.setProjected(v, removeSorted(x.projected[v], d))
}

// apply applies the changes of the projections of one server, and returns the number of steps that it took.
func (x *speeds) apply(v incarnation) int {
	slices.Sort(x.removed)
	slices.Sort(x.added)
	n := changeSorted(&x.all, x.removed, x.added)
	own := x.projected[v]
	n += changeSorted(&own, x.removed, x.added)
	x.setProjected(v, own)
	x.removed, x.added = x.removed[:0], x.added[:0]
	return n
}

func (x *speeds) setProjected(v incarnation, l []time.Duration) {
	switch {
	case len(l) == 0:
		delete(x.projected, v)
		return
	case x.projected == nil:
		x.projected = map[incarnation][]time.Duration{}
	}
	x.projected[v] = l
}

// countUpTo returns how many elements of a sorted list are not greater than d.
func countUpTo(l []time.Duration, d time.Duration) int {
	i, _ := slices.BinarySearch(l, d+1)
	return i
}

func insertSorted(l []time.Duration, d time.Duration) []time.Duration {
	return slices.Insert(l, countUpTo(l, d), d)
}

// removeSorted removes one element that is equal to d.
func removeSorted(l []time.Duration, d time.Duration) []time.Duration {
	if i, found := slices.BinarySearch(l, d); found {
		return slices.Delete(l, i, i+1)
	}
	return l
}

// mergeShare is the share of a list, as its reciprocal, that has to change for one pass over it to cost less than single changes.
const mergeShare = 32

// changeSorted removes and adds the elements of sorted lists, and returns the number of steps that it took.
func changeSorted(l *[]time.Duration, removed, added []time.Duration) int {
	changes := len(removed) + len(added)
	if changes*mergeShare < len(*l) {
		for _, d := range removed {
			*l = removeSorted(*l, d)
		}
		for _, d := range added {
			*l = insertSorted(*l, d)
		}
		return changes * bits.Len(uint(len(*l)))
	}
	steps := len(*l) + changes
	*l = mergeSorted(withoutSorted(*l, removed), added)
	return steps
}

// withoutSorted removes the elements of another sorted list, in place.
func withoutSorted(l, removed []time.Duration) []time.Duration {
	kept := l[:0]
	for _, d := range l {
		for len(removed) > 0 && removed[0] < d {
			removed = removed[1:]
		}
		if len(removed) > 0 && removed[0] == d {
			removed = removed[1:]
			continue
		}
		kept = append(kept, d)
	}
	return kept
}

// mergeSorted adds the elements of another sorted list, in place where there is room.
func mergeSorted(l, added []time.Duration) []time.Duration {
	i, k := len(l)-1, len(added)-1
	l = append(l, added...)
	for at := len(l) - 1; k >= 0; at-- {
		if i >= 0 && l[i] > added[k] {
			l[at] = l[i]
			i--
			continue
		}
		l[at] = added[k]
		k--
	}
	return l
}

// projection is the projected run time of a run that is counted among the speeds of its step.
type projection struct {
	duration time.Duration
	counted  bool
}

// currentProjection returns the run's projection as of the last listing of its server.
func (r *run) currentProjection() projection {
	if r.phase != working || r.percent < r.startPercent+projectionMinPercent {
		return projection{}
	}
	return projection{r.projectedDuration(), true}
}

// observeSpeeds updates the projections of the runs on a server that has listed them.
func (s *Scheduler) observeSpeeds(v *serverState) {
	s.operations.Runs += int64(len(v.runs))
	changed, key := s.changedSpeeds[:0], v.incarnation()
	for _, r := range v.runs {
		n := r.currentProjection()
		if n == r.projection {
			continue
		}
		x := &r.task.step.speeds
		if len(x.removed)+len(x.added) == 0 {
			changed = append(changed, x)
		}
		if r.projection.counted {
			x.removed = append(x.removed, r.projection.duration)
		}
		if n.counted {
			x.added = append(x.added, n.duration)
		}
		r.projection = n
	}
	for _, x := range changed {
		s.operations.Speeds += int64(x.apply(key))
	}
	clear(changed)
	s.changedSpeeds = changed[:0]
}

// forgetSpeed removes the projection of a run that no longer works.
func (r *run) forgetSpeed() {
	if r.projection.counted {
		r.task.step.speeds.forget(r.server.incarnation(), r.projection.duration)
		r.projection = projection{}
	}
}

// speedCount counts the runs of a server whose speed is known, and those of them that are slow.
type speedCount struct {
	known, slow int
}

func (c *speedCount) add(isSlow bool) {
	c.known++
	if isSlow {
		c.slow++
	}
}

// compareSpeed reports whether the run's speed can be compared with that of its step's tasks on other servers, and whether it is slow.
func (r *run) compareSpeed() (known, slow bool) {
	p := r.currentProjection()
	if !p.counted {
		return false, false
	}
	t := r.task.step.speeds.median(r.server.incarnation())
	return t > 0, t > 0 && isSlower(p.duration, t)
}

// countSpeeds counts the server's runs by their speed.
func (s *Scheduler) countSpeeds(v *serverState) speedCount {
	s.operations.Runs += int64(len(v.runs))
	c := speedCount{}
	for _, r := range v.runs {
		if known, slow := r.compareSpeed(); known {
			c.add(slow)
		}
	}
	return c
}

// without returns the count without one of the runs.
func (c speedCount) without(r *run) speedCount {
	if known, slow := r.compareSpeed(); known {
		c.known--
		if slow {
			c.slow--
		}
	}
	return c
}
