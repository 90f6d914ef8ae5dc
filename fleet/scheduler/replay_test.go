package scheduler_test

import (
	"cmp"
	"fmt"
	"slices"
	"syscall"
	"testing"
	"time"

	"github.com/tarragonbank/tarragonbank/fleet/job"
	"github.com/tarragonbank/tarragonbank/fleet/queue"
	"github.com/tarragonbank/tarragonbank/fleet/scheduler"
	"github.com/tarragonbank/tarragonbank/fleet/server"
)

// replayRun is a run on a simulated server. work is the part of the task's length that is done.
type replayRun struct {
	start scheduler.StartOrder
	task  *replayTask
	work  time.Duration
	// missed is true once an oracle would have stopped the run.
	missed, stopped bool
}

// replay drives a scheduler with a load.
type replay struct {
	*harness
	load    replayLoad
	jobs    map[string]*replayJob
	all     []*replayJob
	names   []string
	runs    map[string][]*replayRun
	waiting []*replayTask
	// largest is the size above which a task is one of the largest tenth.
	largest float64
	// unusable holds, for each sample in which tasks wait, the share of the cores that is free and that no waiting task fits.
	unusable []float64
	busy     float64
	// restarts counts the runs that were stopped, helped those of them that an oracle would stop too, and missed the runs that
	// only the oracle would stop.
	restarts, helped, missed int
	// startsPerStep is the number of start orders that the owner's processor carries out in a step, 0 if all.
	startsPerStep int
	delayed       []scheduler.StartOrder
}

// busyCommitSteps is the number of steps from one commit to the next of an owner that is nearly out of processor.
const busyCommitSteps = 3

func newReplay(l replayLoad, seed uint64, limits scheduler.Limits) *replay {
	r := &replay{
		harness: &harness{Scheduler: scheduler.New(limits, start), now: start, endSequences: map[string]uint64{}},
		load:    l, jobs: map[string]*replayJob{}, runs: map[string][]*replayRun{}, all: l.newJobs(seed),
	}
	r.SetTable(queue.New(1, []queue.Queue{{
		Name: "plans", Host: "workshop", Prefix: "/plans/", Pool: "carving", MaxAttempts: 3, SlackFactor: replaySlack, LatencyAllowance: replayAllowance,
	}}, map[string]queue.Pool{"carving": {Name: "carving"}}, queue.Limits{}))
	for i := range l.servers {
		v := newServer(fmt.Sprintf("s%03d", i))
		v.Capacity = job.Size{CPU: serverCores * 1000, MemoryMB: 32000}
		r.names = append(r.names, v.ID)
		r.Register(v, r.now)
		r.reportRuns(v.ID)
	}
	sizes := []float64{}
	for _, j := range r.all {
		r.jobs[j.record.Id] = j
		for _, t := range slices.Concat(j.steps...) {
			sizes = append(sizes, t.cores)
		}
	}
	slices.Sort(sizes)
	r.largest = sizes[len(sizes)*9/10]
	return r
}

func (r *replay) run() {
	for i := 0; r.now.Before(start.Add(r.load.time())); i++ {
		r.now = r.now.Add(replayStep)
		r.commitsHeld = r.startsPerStep > 0 && i%busyCommitSteps != 0
		r.submitDue()
		if i%5 == 0 {
			r.Tick(r.now)
		}
		r.commit()
		r.startOrdered()
		for k, name := range r.names {
			r.advanceServer(k, name, (i+k)%int(listInterval/replayStep) == 0)
		}
		if i%10 == 0 {
			r.sampleFree()
		}
	}
}

// target returns within which time a job counts as on time.
func (j *replayJob) target() time.Duration {
	return time.Duration(replaySlack*float64(j.critical)) + replayAllowance
}

// submitDue submits the jobs that are due, and refused ones again until they would be too late.
func (r *replay) submitDue() {
	for _, j := range r.all {
		if j.first.After(r.now) {
			break
		}
		if j.nextAt.IsZero() || j.nextAt.After(r.now) {
			continue
		}
		x := r.submit(j.record)
		j.nextAt = time.Time{}
		if x.Result == scheduler.Done {
			r.open(j, 0)
		} else if n := r.now.Add(x.RetryAfter); n.Before(j.first.Add(3 * j.target())) {
			j.nextAt = n
		}
	}
}

func (r *replay) open(j *replayJob, step int) {
	for _, t := range j.steps[step] {
		t.ready = r.now
		r.waiting = append(r.waiting, t)
	}
}

// carriedOut returns the start orders that reach their servers in this step.
func (r *replay) carriedOut() []scheduler.StartOrder {
	if r.startsPerStep == 0 {
		return r.acceptStarts()
	}
	r.delayed = append(r.delayed, r.orders.Starts...)
	n := min(len(r.delayed), r.startsPerStep)
	r.orders.Starts, r.delayed = r.delayed[:n:n], r.delayed[n:]
	return r.acceptStarts()
}

// startOrdered starts and stops runs on the simulated servers as the scheduler has ordered.
func (r *replay) startOrdered() {
	for _, o := range r.carriedOut() {
		t := r.jobs[o.Task.Job].steps[o.Task.Step][o.Task.Index]
		if t.started.IsZero() {
			t.started = r.now
			r.waiting = slices.DeleteFunc(r.waiting, func(x *replayTask) bool { return x == t })
		}
		r.runs[o.Server.ID] = append(r.runs[o.Server.ID], &replayRun{start: o, task: t})
	}
	for _, o := range r.takeStops() {
		for _, x := range r.runs[o.Server.ID] {
			if x.start.Task == o.Task && x.start.Number == o.Number && !x.stopped {
				x.stopped = true
				r.restarts++
				if x.missed || r.shouldRestart(x, slices.Index(r.names, o.Server.ID)) {
					r.helped++
					x.missed = false
				}
			}
		}
	}
}

// speed returns the speed of a server.
func (r *replay) speed(server int) float64 {
	if turn := int(r.now.Sub(start) / slowTime); r.load.slow && (server+turn)%20 == 0 {
		return slowPace
	}
	return 1
}

// shouldRestart reports whether an oracle, which knows the true lengths and speeds but not when a server gets well, would
// start a run's task elsewhere.
func (r *replay) shouldRestart(x *replayRun, server int) bool {
	rest := time.Duration(float64(x.task.length-x.work) / r.speed(server))
	return rest > x.task.length+400*time.Millisecond
}

// advanceServer lets a server work for one step. It lists its runs if one has ended, and otherwise if list is true.
func (r *replay) advanceServer(k int, name string, list bool) {
	left, ends, listed := []*replayRun{}, []server.EndedRun{}, []server.Run{}
	for _, x := range r.runs[name] {
		x.work += time.Duration(r.speed(k) * float64(replayStep))
		r.busy += x.task.cores * replayStep.Seconds()
		reason := job.EndDone
		if x.stopped {
			reason = job.EndStopped
		}
		if x.stopped || x.work >= x.task.length {
			r.endSequences[name]++
			ends = append(ends, server.EndedRun{Sequence: r.endSequences[name], Task: x.start.Task, Number: x.start.Number, Reason: reason})
			if x.missed {
				r.missed++
			}
			if !x.stopped {
				r.taskDone(x)
			}
			continue
		}
		if r.now.Sub(x.task.started) > time.Second {
			x.missed = x.missed || r.shouldRestart(x, k)
		}
		left = append(left, x)
		listed = append(listed, listedRun(x.start, int(100*x.work/x.task.length)))
	}
	r.runs[name] = left
	if list || len(ends) > 0 {
		r.reportListing(name, ends, listed...)
	}
}

func (r *replay) taskDone(x *replayRun) {
	j, p := x.task.job, x.start.Task.Step
	if j.left[p]--; j.left[p] > 0 {
		return
	}
	if p+1 < len(j.steps) {
		r.open(j, p+1)
		return
	}
	j.endedAt = r.now
}

// sampleFree records the free cores of the servers on which no waiting task fits.
func (r *replay) sampleFree() {
	if len(r.waiting) == 0 {
		return
	}
	least := slices.MinFunc(r.waiting, func(a, b *replayTask) int { return cmp.Compare(a.cores, b.cores) }).cores
	free := 0.0
	for _, name := range r.names {
		f := float64(serverCores)
		for _, x := range r.runs[name] {
			f -= x.task.cores
		}
		if f < least {
			free += f
		}
	}
	r.unusable = append(r.unusable, free/float64(serverCores*len(r.names)))
}

// replayResult is the outcome of one or more replays.
type replayResult struct {
	// small and large are the waits of the tasks in milliseconds, large those of the largest tenth.
	small, large []float64
	// onTime, late and jobs count jobs of small and of some large tasks.
	onTime, late, jobs [2]float64
	unusable           []float64
	seconds, processor float64
	busy               float64
	restarts           [3]float64
}

func (r *replay) addTo(m *replayResult) {
	for _, j := range r.all {
		if j.first.Add(3 * j.target()).After(r.now) {
			continue
		}
		size := 0
		for _, t := range slices.Concat(j.steps...) {
			l := &m.small
			if t.cores >= r.largest {
				size, l = 1, &m.large
			}
			if !t.ready.IsZero() {
				end := t.started
				if end.IsZero() {
					end = r.now
				}
				*l = append(*l, float64(end.Sub(t.ready).Milliseconds()))
			}
		}
		m.jobs[size]++
		switch d := j.endedAt.Sub(j.first); {
		case j.endedAt.IsZero():
		case d <= j.target():
			m.onTime[size]++
		case d <= 3*j.target():
			m.late[size]++
		}
	}
	m.unusable = append(m.unusable, r.unusable...)
	m.seconds += r.load.time().Seconds()
	m.busy += r.busy / float64(r.load.servers*serverCores)
	for i, n := range []int{r.restarts, r.helped, r.missed} {
		m.restarts[i] += float64(n)
	}
}

func quantile(l []float64, q float64) float64 {
	if len(l) == 0 {
		return 0
	}
	slices.Sort(l)
	return l[int(q*float64(len(l)-1))]
}

func mean(l []float64) float64 {
	sum := 0.0
	for _, x := range l {
		sum += x
	}
	return sum / max(float64(len(l)), 1)
}

func processorTime() float64 {
	u := syscall.Rusage{}
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &u)
	return float64(u.Utime.Nano()+u.Stime.Nano()) / 1e9
}

// replayAll replays a load with several seeds.
func replayAll(l replayLoad, seeds int, limits scheduler.Limits) *replayResult {
	m := &replayResult{}
	for i := range seeds {
		r := newReplay(l, uint64(i), limits)
		began := processorTime()
		r.run()
		m.processor += processorTime() - began
		r.addTo(m)
	}
	return m
}

// BenchmarkReplay replays loads in turns and reports waits in milliseconds, jobs on time and late in percent, the free room
// that no waiting task fits in percent, and the processor time, with that of the simulated servers, per simulated second.
func BenchmarkReplay(b *testing.B) {
	for i, name := range []string{"medium", "large", "wide", "medium", "large", "wide"} {
		limits := bounds
		limits.LookAhead = i >= len(replayLoads)
		b.Run(fmt.Sprintf("%s/lookAhead=%t", name, limits.LookAhead), func(b *testing.B) {
			for range b.N {
				m := replayAll(replayLoads[name], 3, limits)
				b.ReportMetric(quantile(m.small, 0.5), "small-p50")
				b.ReportMetric(quantile(m.small, 0.99), "small-p99")
				b.ReportMetric(mean(m.small), "small-mean")
				b.ReportMetric(quantile(m.large, 0.5), "large-p50")
				b.ReportMetric(quantile(m.large, 0.99), "large-p99")
				b.ReportMetric(mean(m.large), "large-mean")
				for i, size := range []string{"small", "large"} {
					b.ReportMetric(100*m.onTime[i]/m.jobs[i], size+"-ontime%")
					b.ReportMetric(100*m.late[i]/m.jobs[i], size+"-late%")
				}
				b.ReportMetric(100*mean(m.unusable), "unusable%")
				b.ReportMetric(100*m.busy/m.seconds, "busy%")
				b.ReportMetric(1000*m.processor/m.seconds, "cpu-ms/s")
				for i, kind := range []string{"restarts", "helped", "missed"} {
					b.ReportMetric(m.restarts[i], kind)
				}
				b.ReportMetric(0, "ns/op")
			}
		})
	}
}
