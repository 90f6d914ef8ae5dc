package job

import (
	"time"

	"github.com/tarragonbank/tarragonbank/fleet/schema"
)

// Job is an accepted job.
type Job struct {
	ID      string
	Queue   string
	Pool    string
	Payload string
	Steps   []Step
	// AcceptedAt is when the job was first submitted to the owner, by the owner's clock, even if it was refused then.
	AcceptedAt time.Time
	DataCentre string
	// Workspace is the name of the workspace that submitted the job, empty if it was submitted without one.
	Workspace string
	// Excess reports whether the job exceeded the job rate of its workspace's weight when it was accepted.
	Excess bool
	Terms  Terms
	Repeat Repeat
	// criticalPath is that of the whole job, criticalPaths those that begin with each step. Placement asks for them all the time.
	criticalPath  time.Duration
	criticalPaths []time.Duration
}

// Repeat is the schedule of a job; the zero value runs the steps once and immediately.
type Repeat struct {
	First    time.Time
	Interval time.Duration
	Count    int
}

// Step is a number of identical tasks.
type Step struct {
	Count int
	Size  Size
	// Estimate is the expected duration of a task.
	Estimate time.Duration
	// After lists the indexes of the steps that must complete first.
	After []int
	// Gang tasks are started at once and complete together.
	Gang bool
	// Colocated gangs are placed on a single rack if one has the capacity.
	Colocated bool
	// Checkpointing tasks resume from their last checkpoint.
	Checkpointing bool
	// Speculative tasks may run a second time while their server is unreachable; the first run to succeed counts.
	Speculative bool
	// LongRunning tasks run until the job is cancelled.
	LongRunning bool
	// BestEffort tasks reserve no CPU and use what other tasks leave idle.
	BestEffort bool
	// Requires is a label that the task's server must have, empty for none.
	Requires string
	// DataRack is the rack that placement prefers, empty for none.
	DataRack string
	Image    string
	// AntiAffinity is how many tasks of the step may share a server; 0 means no limit.
	AntiAffinity int
	// TargetLatency is the limit for the tail latency of a long-running task; 0 means none.
	TargetLatency time.Duration
	// MaxUnavailable is how many long-running tasks planned actions may interrupt at once; 0 means that the step
	// sets no limit.
	MaxUnavailable int
}

// Size is the amount of each resource that a task requests or a server has.
type Size struct {
	// CPU is in thousandths of a core.
	CPU          int64
	MemoryMB     int64
	Accelerators int64
}

// Fits reports whether the size fits within the available resources.
func (s Size) Fits(available Size) bool {
	return s.CPU <= available.CPU && s.MemoryMB <= available.MemoryMB && s.Accelerators <= available.Accelerators
}

// Add returns the sum of two sizes.
func (s Size) Add(o Size) Size {
	return Size{s.CPU + o.CPU, s.MemoryMB + o.MemoryMB, s.Accelerators + o.Accelerators}
}

// Sub returns the difference of two sizes.
func (s Size) Sub(o Size) Size {
	return Size{s.CPU - o.CPU, s.MemoryMB - o.MemoryMB, s.Accelerators - o.Accelerators}
}

// Times returns the size of n equal tasks.
func (s Size) Times(n int) Size {
	return Size{s.CPU * int64(n), s.MemoryMB * int64(n), s.Accelerators * int64(n)}
}

// Max returns the larger amount of each resource.
func (s Size) Max(o Size) Size {
	return Size{max(s.CPU, o.CPU), max(s.MemoryMB, o.MemoryMB), max(s.Accelerators, o.Accelerators)}
}

// Demand returns the resources that a task of the step reserves on a server.
func (s *Step) Demand() Size {
	d := s.Size
	if s.BestEffort {
		d.CPU = 0
	}
	return d
}

// Occurrences returns how many times the steps run.
func (j *Job) Occurrences() int {
	return max(j.Repeat.Count, 1)
}

// Due returns the earliest start of an occurrence.
func (j *Job) Due(occurrence int) time.Time {
	if j.Repeat.Count == 0 {
		return j.AcceptedAt
	}
	return j.Repeat.First.Add(time.Duration(occurrence) * j.Repeat.Interval)
}

// Scheduled reports whether the job runs at set times instead of immediately.
func (j *Job) Scheduled() bool {
	return j.Repeat.Count > 0
}

// LongRunning reports whether a step of the job runs until the job is cancelled.
func (j *Job) LongRunning() bool {
	for i := range j.Steps {
		if j.Steps[i].LongRunning {
			return true
		}
	}
	return false
}

// CriticalPath returns the estimated duration of the longest chain of dependent steps.
func (j *Job) CriticalPath() time.Duration {
	return j.criticalPath
}

// CriticalPathFrom returns the estimated duration of the longest chain of dependent steps that begins with the step.
func (j *Job) CriticalPathFrom(step int) time.Duration {
	return j.criticalPaths[step]
}

// setCriticalPaths computes the critical paths once the steps are known.
func (j *Job) setCriticalPaths() {
	j.criticalPath = j.longestChain()
	for i := range j.Steps {
		j.criticalPaths = append(j.criticalPaths, j.longestChainFrom(i))
	}
}

func (j *Job) longestChain() time.Duration {
	ends := make([]time.Duration, len(j.Steps))
	var longest time.Duration
	for i := range j.Steps {
		for _, a := range j.Steps[i].After {
			ends[i] = max(ends[i], ends[a])
		}
		ends[i] += j.Steps[i].Estimate
		longest = max(longest, ends[i])
	}
	return longest
}

func (j *Job) longestChainFrom(step int) time.Duration {
	ends := make([]time.Duration, len(j.Steps))
	var longest time.Duration
	for i := step; i < len(j.Steps); i++ {
		for _, a := range j.Steps[i].After {
			ends[i] = max(ends[i], ends[a])
		}
		if i > step && ends[i] == 0 {
			continue
		}
		ends[i] += j.Steps[i].Estimate
		longest = max(longest, ends[i])
	}
	return longest
}

// Tasks returns the number of tasks of one occurrence.
func (j *Job) Tasks() int {
	n := 0
	for i := range j.Steps {
		n += j.Steps[i].Count
	}
	return n
}

// Work returns the estimated core-seconds of one occurrence.
func (j *Job) Work() float64 {
	w := 0.0
	for i := range j.Steps {
		s := &j.Steps[i]
		w += float64(s.Count) * float64(s.Size.CPU) / 1000 * s.Estimate.Seconds()
	}
	return w
}

// MemoryWork returns the estimated megabyte-seconds of one occurrence.
func (j *Job) MemoryWork() float64 {
	w := 0.0
	for i := range j.Steps {
		s := &j.Steps[i]
		w += float64(s.Count) * float64(s.Size.MemoryMB) * s.Estimate.Seconds()
	}
	return w
}

// New converts a job of the schema that has passed Validate.
func New(m *schema.JobRecord) *Job {
	j := &Job{
		ID: m.Id, Queue: m.Queue, Pool: m.Pool, Payload: m.Payload,
		AcceptedAt: time.UnixMilli(m.AcceptedMs), DataCentre: m.DataCentre, Workspace: m.Workspace, Excess: m.Excess, Terms: newTerms(m.Terms),
	}
	if m.Repeats > 0 {
		j.Repeat = Repeat{
			First:    time.UnixMilli(m.FirstDueMs),
			Interval: milliseconds(m.IntervalMs),
			Count:    int(m.Repeats),
		}
	}
	for _, s := range m.Steps {
		j.Steps = append(j.Steps, newStep(s))
	}
	j.setCriticalPaths()
	return j
}

func newStep(m *schema.StepRecord) Step {
	s := Step{
		Count:    int(m.Count),
		Size:     Size{CPU: m.CpuMilli, MemoryMB: m.MemoryMb, Accelerators: m.Accelerators},
		Estimate: milliseconds(m.EstimateMs),
		Gang:     m.Gang, Colocated: m.Colocated, Checkpointing: m.Checkpointing, Speculative: m.Speculative,
		LongRunning: m.Lasting, BestEffort: m.Fills, Requires: m.Requires, DataRack: m.DataRack, Image: m.Image,
		AntiAffinity: int(m.AntiAffinity), TargetLatency: milliseconds(m.TargetMs), MaxUnavailable: int(m.MayMiss),
	}
	for _, a := range m.After {
		s.After = append(s.After, int(a))
	}
	return s
}

func milliseconds(n int64) time.Duration {
	return time.Duration(n) * time.Millisecond
}
