package scheduler_test

import (
	"cmp"
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"github.com/tarragonbank/tarragonbank/fleet/schema"
)

// replayLoad describes a load in turns: jobs of up to two steps, whose tasks have wrong estimates and a long tail.
type replayLoad struct {
	servers int
	// cores and maxCores are the mean and the largest size of a task, steps is the mean number of steps of a job.
	cores, maxCores, steps float64
	// share is the share of the pool that the mean load fills. A turn asks for turnFactor times as much.
	share float64
	// misestimate is the standard deviation of the logarithm of the ratio of estimated to actual duration.
	misestimate float64
	// slow is true if one server in twenty takes five times as long, each for slowTime in turn.
	slow bool
	// duration is the time of the replay, replayTime if it is 0.
	duration time.Duration
}

func (l replayLoad) time() time.Duration {
	return cmp.Or(l.duration, replayTime)
}

const (
	turnFactor, restFactor = 4, 0.05
	turnEvery, turnTime    = 18 * time.Second, 4500 * time.Millisecond
	replayTime             = 72 * time.Second
	replayStep             = 20 * time.Millisecond
	listInterval           = 400 * time.Millisecond
	slowTime, slowPace     = 4 * time.Second, 0.2
	serverCores            = 16
	replayAllowance        = 600 * time.Millisecond
	replaySlack            = 1.6
)

// replayTask is a task of the load, with the times at which it could start and did first start.
type replayTask struct {
	job            *replayJob
	length         time.Duration
	cores          float64
	ready, started time.Time
}

// replayJob is a job of the load, sent first at the time first and again at nextAt if it was refused.
type replayJob struct {
	record        *schema.JobRecord
	first, nextAt time.Time
	endedAt       time.Time
	critical      time.Duration
	steps         [][]*replayTask
	left          []int
}

// newJobs draws the jobs of a load. All variants replay the same jobs.
func (l replayLoad) newJobs(seed uint64) []*replayJob {
	x := rand.New(rand.NewPCG(seed, 1))
	jobs := []*replayJob{}
	rate := float64(l.servers*serverCores) * l.share / (l.steps * 8 * l.cores * 1.13)
	for t := time.Duration(0); t < l.time(); {
		f := restFactor
		if t%turnEvery < turnTime {
			f = turnFactor
		}
		gap := time.Duration(x.ExpFloat64() / (rate * f) * float64(time.Second))
		if next := t - t%turnEvery + turnEvery; f == restFactor && t+gap > next {
			t = next
			continue
		}
		t += gap
		jobs = append(jobs, l.newJob(x, len(jobs)+1, start.Add(t)))
	}
	return jobs
}

func (l replayLoad) newJob(x *rand.Rand, id int, at time.Time) *replayJob {
	j := &replayJob{first: at, nextAt: at, record: &schema.JobRecord{Id: fmt.Sprintf("%016x", id), Queue: "plans", Payload: "text"}}
	n := 1
	if x.Float64() < l.steps-1 {
		n = 2
	}
	if l.steps == 2 {
		n = 1 + x.IntN(3)
	}
	for i := range n {
		width := min(max(int(math.Exp2(x.Float64()*5)), 1), 32)
		cores := min(0.3+x.ExpFloat64()*(l.cores-0.3)*1.1, l.maxCores)
		base := 0.5 + 0.9*x.Float64()
		p := &schema.StepRecord{
			Count: int32(width), CpuMilli: int64(cores * 1000), MemoryMb: int64(cores * 1500),
			EstimateMs: int64(1000 * base * math.Exp(l.misestimate*x.NormFloat64())),
		}
		if i > 0 {
			p.After = []int32{int32(i - 1)}
		}
		j.record.Steps = append(j.record.Steps, p)
		longest, tasks := time.Duration(0), []*replayTask{}
		for range width {
			d := base * (0.9 + 0.2*x.Float64())
			if x.Float64() < 0.03 {
				d *= 7
			}
			t := &replayTask{job: j, cores: cores, length: time.Duration(d * float64(time.Second))}
			longest = max(longest, t.length)
			tasks = append(tasks, t)
		}
		j.critical += longest
		j.steps, j.left = append(j.steps, tasks), append(j.left, width)
	}
	return j
}

var replayLoads = map[string]replayLoad{
	"medium": {servers: 62, cores: 1.5, maxCores: 4.6, steps: 1.6, share: 0.35, misestimate: 0.5},
	"large":  {servers: 62, cores: 3.3, maxCores: 10, steps: 2, share: 0.35, misestimate: 0.5},
	"wide":   {servers: 120, cores: 3.3, maxCores: 10, steps: 2, share: 0.35, misestimate: 0.9, slow: true},
}
