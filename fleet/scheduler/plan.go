package scheduler

import (
	"cmp"
	"slices"
	"time"

	"github.com/tarragonbank/tarragonbank/fleet/job"
)

// rank is the order in which waiting work is placed.
type rank int

const (
	// lastingFirst since lasting tasks are owed work at all times and are few.
	lastingFirst rank = iota
	inTime
	// late work earns little, whenever it is done.
	late
	// filling work takes what is left.
	filling
)

// wanting is a step with tasks that wait for a server.
type wanting struct {
	step     *stepState
	state    *jobState
	rank     rank
	priority int
	latest   time.Time
}

// plan places what waits, the most urgent first.
func (s *Scheduler) plan(now time.Time) {
	if !s.unplanned || s.table == nil {
		return
	}
	s.unplanned = false
	l := s.waiting(now)
	if len(l) == 0 {
		return
	}
	pools := s.pools(now)
	for _, w := range l {
		s.place(w, pools[s.poolOf(w.state)], now)
	}
}

// Plan places what waits if anything changed.
func (s *Scheduler) Plan(now time.Time) {
	s.plan(now)
}

func (s *Scheduler) poolOf(j *jobState) string {
	if q := s.table.ByName(j.job.Queue); q != nil {
		return q.Pool
	}
	return j.job.Pool
}

// pools are the servers of each pool that new runs may go to.
func (s *Scheduler) pools(now time.Time) map[string][]*serverState {
	m := map[string][]*serverState{}
	for _, v := range s.inOrder() {
		if v.usable(now) && !s.cordoned[v.info.VM] {
			m[v.info.Pool] = append(m[v.info.Pool], v)
		}
	}
	return m
}

// inOrder lists the servers by ID, so that choices do not depend on the order of a map.
func (s *Scheduler) inOrder() []*serverState {
	if s.ordered == nil {
		for _, v := range s.servers {
			s.ordered = append(s.ordered, v)
		}
		slices.SortFunc(s.ordered, func(a, b *serverState) int { return cmp.Compare(a.info.ID, b.info.ID) })
	}
	return s.ordered
}

// waiting lists the steps with tasks to place in their order.
func (s *Scheduler) waiting(now time.Time) []wanting {
	l := []wanting{}
	for _, j := range s.active {
		for _, o := range j.occurrences {
			if o.left == 0 || !s.due(j.job, o.number, now) {
				continue
			}
			for _, p := range o.steps {
				if p.open() && p.wants() {
					l = append(l, s.want(j, o, p, now))
				}
			}
		}
	}
	slices.SortFunc(l, compareWanting)
	return l
}

func compareWanting(a, b wanting) int {
	return cmp.Or(
		cmp.Compare(a.rank, b.rank),
		cmp.Compare(a.priority, b.priority),
		a.latest.Compare(b.latest),
		cmp.Compare(a.state.job.ID, b.state.job.ID),
		cmp.Compare(a.step.tasks[0].key.Step, b.step.tasks[0].key.Step),
	)
}

// wants says whether a task of the step waits for a server.
func (p *stepState) wants() bool {
	for _, t := range p.tasks {
		if !t.done && t.run == nil {
			return true
		}
	}
	return false
}

func (s *Scheduler) want(j *jobState, o *occurrence, p *stepState, now time.Time) wanting {
	w := wanting{step: p, state: j, rank: inTime}
	if q := s.table.ByName(j.job.Queue); q != nil {
		w.priority = q.Priority
	}
	w.latest = s.latestStart(j, o, p)
	switch {
	case p.step.Fills:
		w.rank = filling
	case p.step.Lasting:
		w.rank = lastingFirst
	case w.latest.Before(now):
		w.rank = late
	}
	return w
}

// latestStart is when a step must start for its job to be done in the time that its queue promises.
func (s *Scheduler) latestStart(j *jobState, o *occurrence, p *stepState) time.Time {
	begin := j.job.Due(o.number)
	if o.opened.After(begin) && j.job.Timed() {
		begin = o.opened
	}
	return begin.Add(s.objective(j.job)).Add(-s.rest(j, o, p))
}

// objective is in which time a job should be done.
func (s *Scheduler) objective(j *job.Job) time.Duration {
	slack, latency := 1.0, time.Duration(0)
	if q := s.table.ByName(j.Queue); q != nil {
		slack, latency = max(q.SlackFactor, 1), q.TargetLatency
	}
	return time.Duration(float64(j.Chain())*s.ratio(j.Queue)*slack) + latency
}

// rest is the longest chain of expected work from the step on.
func (s *Scheduler) rest(j *jobState, o *occurrence, p *stepState) time.Duration {
	from := p.tasks[0].key.Step
	ends := make([]time.Duration, len(o.steps))
	var longest time.Duration
	for i := from; i < len(o.steps); i++ {
		x := o.steps[i].step
		for _, a := range x.After {
			ends[i] = max(ends[i], ends[a])
		}
		if i > from && ends[i] == 0 {
			continue
		}
		ends[i] += x.Estimate
		longest = max(longest, ends[i])
	}
	return time.Duration(float64(longest) * s.ratio(j.job.Queue))
}

// place finds servers for the step's waiting tasks.
func (s *Scheduler) place(w wanting, l []*serverState, now time.Time) {
	if len(l) == 0 {
		return
	}
	l, ok := s.permitted(w, l, now)
	if !ok {
		return
	}
	if w.step.step.Gang {
		s.placeGang(w, l)
		return
	}
	for _, t := range w.step.tasks {
		if t.done || t.run != nil {
			continue
		}
		v := best(t, l, now)
		if v == nil {
			if t.step.step.Lasting {
				s.crowded[s.poolOf(w.state)] = now
			}
			return
		}
		s.assign(t, v, t.lastRun+1)
	}
}

// placeGang starts all members at once or none.
func (s *Scheduler) placeGang(w wanting, l []*serverState) {
	number := 0
	for _, t := range w.step.tasks {
		if t.run != nil || t.done {
			return
		}
		number = max(number, t.lastRun+1)
	}
	chosen := gangServers(w.step, l)
	if chosen == nil {
		return
	}
	for i, t := range w.step.tasks {
		s.assign(t, chosen[i], number)
	}
}
