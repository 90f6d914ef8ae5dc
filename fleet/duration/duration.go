package duration

import (
	"math/bits"
	"time"

	"github.com/tarragonbank/tarragonbank/fleet/job"
)

// Kind is a kind of tasks whose durations are alike: those of a queue with similar numbers of cores.
type Kind struct {
	Queue     string
	SizeClass int
}

// wholeQueue is the size class of the distribution of all tasks of a queue.
const wholeQueue = -1

// maxSizeClass is the class of all tasks of 64 cores and more.
const maxSizeClass = 7

// KindOf returns the kind of a queue's tasks of a size. Each size class spans a factor of two in cores.
func KindOf(queue string, x job.Size) Kind {
	return Kind{queue, min(bits.Len64(uint64(max(x.CPU, 0)/1000)), maxSizeClass)}
}

const (
	// maxDistributions bounds the memory: a distribution takes 7 KB at most, all of them 3.5 MB.
	maxDistributions = 512
	// retention is how long a distribution is kept without new samples once there are maxDistributions.
	retention = 10 * time.Minute
	// evictionInterval is the least time between two searches for distributions without new samples.
	evictionInterval = time.Minute
)

// Distributions holds the distributions of the ratio of actual to declared duration by kind and by queue. It is not safe
// for concurrent use.
type Distributions struct {
	byKind    map[Kind]*distribution
	evictedAt time.Time
}

// New returns an empty set of distributions.
func New() *Distributions {
	return &Distributions{byKind: map[Kind]*distribution{}}
}

// Record adds the ratio of actual to declared duration of a task that a server has completed.
func (x *Distributions) Record(k Kind, server string, ratio float64, now time.Time) {
	for _, n := range []Kind{k, {k.Queue, wholeQueue}} {
		if d := x.get(n, now); d != nil {
			d.record(server, ratio, now)
		}
	}
}

// get returns the distribution of a kind, adding it if there is room, or nil.
func (x *Distributions) get(k Kind, now time.Time) *distribution {
	if d := x.byKind[k]; d != nil {
		return d
	}
	if len(x.byKind) >= maxDistributions && now.Sub(x.evictedAt) >= evictionInterval {
		x.evictedAt = now
		for n, d := range x.byKind {
			if now.Sub(d.recordedAt) > retention {
				delete(x.byKind, n)
			}
		}
	}
	if len(x.byKind) >= maxDistributions {
		return nil
	}
	d := newDistribution(now)
	x.byKind[k] = d
	return d
}

// points returns the shape of the distribution of a kind, else of its queue, else that of exact declarations.
func (x *Distributions) points(k Kind) []point {
	for _, n := range []Kind{k, {k.Queue, wholeQueue}} {
		if d := x.byKind[n]; d != nil && d.samples() >= minSamples {
			return d.points()
		}
	}
	return declared
}

// declared is the shape of a distribution in which all tasks take as long as declared.
var declared = []point{{1, 1, 1}}

// Quantile returns the q-quantile of the duration of tasks that were declared to take the time estimate and have run for
// elapsed.
func (x *Distributions) Quantile(k Kind, estimate, elapsed time.Duration, q float64) time.Duration {
	if estimate <= 0 {
		return elapsed
	}
	return time.Duration(quantile(x.points(k), float64(elapsed)/float64(estimate), q) * float64(estimate))
}

// Remaining returns the mean of what remains of tasks that were declared to take the time estimate and have run for elapsed.
// Where few tasks take much longer than the others, it grows with elapsed once most have ended.
func (x *Distributions) Remaining(k Kind, estimate, elapsed time.Duration) time.Duration {
	if estimate <= 0 {
		return 0
	}
	return time.Duration(remainingMean(x.points(k), float64(elapsed)/float64(estimate)) * float64(estimate))
}
