package scheduler

import (
	"time"

	"github.com/tarragonbank/tarragonbank/fleet/job"
	"github.com/tarragonbank/tarragonbank/fleet/schema"
	"github.com/tarragonbank/tarragonbank/fleet/server"
	"github.com/tarragonbank/tarragonbank/fleet/usage"
)

// id returns the identity of the run.
func (r *run) id() usage.Run {
	return usage.Run{Task: r.task.key, Number: r.number}
}

// addStray counts a run that was given up although its server may still have it.
func (s *Scheduler) addStray(v *serverState, r *run) {
	v.strays.Add(r.id(), usage.Stray{Workspace: r.task.job.Workspace, Size: r.task.step.step.Size, ConfirmedClock: r.confirmedClock})
	s.recordStray(r)
}

// recordStray includes the strays in the batch that stores that the run's job no longer has it, so that a successor counts
// it as well.
func (s *Scheduler) recordStray(r *run) {
	if r.task.job.Workspace != "" && r.phase != assigned {
		s.leaseRecord.due = true
	}
}

// countStray counts a listed run that is not assigned to the server. The size of a run is unknown if its job has ended under
// a previous owner that did not record it.
func (s *Scheduler) countStray(v *serverState, x server.Run) {
	n := usage.Stray{}
	if j, p := s.findStep(x.Task); p != nil {
		n.Workspace, n.Size = j.job.Workspace, p.Size
	} else if j := s.jobs[x.Task.Job]; j != nil {
		n.Workspace, n.Unsized = j.job.Workspace, true
	}
	v.strays.Add(usage.Run{Task: x.Task, Number: x.Number}, n)
}

// clearStrays counts the strays of a server no longer, once it has surely ended them.
func (s *Scheduler) clearStrays(v *serverState) {
	if v.strays.Clear() {
		s.needsPlan = true
	}
}

// leaseSurelyExpired reports whether all runs of the server must have ended because their lease has expired. A server that
// has not answered this owner has the lease of the previous ones, which expires at the given time.
func (v *serverState) leaseSurelyExpired(previousExpiry, now time.Time) bool {
	if v.listingClock == 0 {
		return now.After(previousExpiry)
	}
	return v.lastClock > 0 && v.minClock(now) > v.leaseUntil+leaseExpiryMargin
}

// isRecordedStray reports whether the run is one of an ended job, whose stored progress does not show it.
func (r *run) isRecordedStray() bool {
	return r.task.job.Workspace != "" && r.phase != assigned && r.task.state.phase.Ended()
}

// countRecordedStrays returns the number of strays that a lease record written now holds.
func (s *Scheduler) countRecordedStrays() int {
	n := 0
	s.operations.Servers += int64(len(s.servers))
	for _, v := range s.servers {
		n += len(v.strays.All()) + v.endedRuns
	}
	return n
}

// countEnded counts a run among its server's runs of ended jobs, if it is one that the lease record lists.
func (r *run) countEnded() {
	if !r.countedEnded && r.isRecordedStray() {
		r.countedEnded = true
		r.server.endedRuns++
	}
}

// strayRecords returns the server's strays and the runs of ended jobs.
func (v *serverState) strayRecords() []*schema.StrayRun {
	l := []*schema.StrayRun{}
	add := func(r usage.Run, workspace string, z job.Size) {
		l = append(l, &schema.StrayRun{
			Server: v.info.ID, BornMs: v.info.StartedAt.UnixMilli(), Task: r.Task.String(), Number: int32(r.Number), Workspace: workspace, Size: z.Record(),
		})
	}
	for r, x := range v.strays.All() {
		add(r, x.Workspace, x.Size)
	}
	for _, r := range v.runs {
		if r.isRecordedStray() {
			add(r.id(), r.task.job.Workspace, r.task.step.step.Size)
		}
	}
	return l
}

// sumStrays returns one record for the strays of each workspace on each server. It has the number of no run, so that the first listing of
// the server ends it; until then it counts like all of them.
func sumStrays(l []*schema.StrayRun) []*schema.StrayRun {
	type key struct {
		server    incarnation
		workspace string
	}
	sums, r := map[key]*schema.StrayRun{}, []*schema.StrayRun{}
	for _, m := range l {
		k := key{incarnation{m.Server, m.BornMs}, m.Workspace}
		x := sums[k]
		if x == nil {
			x = &schema.StrayRun{Server: m.Server, BornMs: m.BornMs, Task: m.Task, Workspace: m.Workspace}
			sums[k] = x
			r = append(r, x)
		}
		x.Size = job.NewSize(x.Size).Add(job.NewSize(m.Size)).Record()
	}
	return r
}

// restoreStrays counts the strays that a previous owner recorded. They count until their server has listed its runs or its
// lease has expired.
func (s *Scheduler) restoreStrays(l []*schema.StrayRun) {
	for _, m := range l {
		k, err := job.ParseTask(m.Task)
		if err != nil {
			continue
		}
		if v := s.inheritedServer(m.Server, time.UnixMilli(m.BornMs)); v != nil && (v.runs[k] == nil || v.runs[k].number != int(m.Number)) {
			v.strays.Add(usage.Run{Task: k, Number: int(m.Number)}, usage.Stray{Workspace: m.Workspace, Size: job.NewSize(m.Size)})
		}
	}
}
