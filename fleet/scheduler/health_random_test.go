package scheduler_test

import (
	"math/rand/v2"
	"time"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"github.com/tarragonbank/tarragonbank/fleet/job"
	"github.com/tarragonbank/tarragonbank/fleet/scheduler"
	"github.com/tarragonbank/tarragonbank/fleet/schema"
)

const (
	randomHealthSeeds = 30
	jobsPerPlay       = 40
)

// mixedJobs are the jobs of a play: hopeless ones, and when the sound ones were accepted.
type mixedJobs struct {
	hopeless            map[string]bool
	longRunning, finite map[string]time.Time
}

// submitMixed submits a random job.
func (w *workplace) submitMixed(x *mixedJobs, i int, r *rand.Rand) {
	m, sound := newRecord(i, 1+r.Int32N(4), func(s *schema.StepRecord) { s.Gang = s.Count > 1 && r.IntN(4) == 0 }), x.finite
	isHopeless := false
	switch r.IntN(6) {
	case 0:
		m, sound = newRecord(1000+i, 1, longRunning), x.longRunning
		isHopeless = r.IntN(3) == 0
	case 1:
		m, isHopeless = newRecord(i, 1+r.Int32N(40)), true
	}
	if isHopeless {
		x.hopeless[m.Id] = true
	}
	if w.submit(m).Result == scheduler.Done && !isHopeless {
		sound[m.Id] = w.now
	}
}

// longestWait returns the longest time for which a long-running task did not run, leaving out its time on faulty servers.
func (w *workplace) longestWait(id string, from time.Time, faulty map[string]bool) time.Duration {
	var wait time.Duration
	isRunning := false
	for _, s := range w.startsOf(id) {
		wait = max(wait, s.at.Sub(from))
		if isRunning = !faulty[s.Server.ID]; !isRunning {
			from = s.at.Add(300 * time.Millisecond)
		}
	}
	if !isRunning {
		wait = max(wait, w.now.Sub(from))
	}
	return wait
}

// Sound tasks waited for up to 46 s behind the restarts of hopeless ones on the only server of a pool.
var _ = ginkgo.Describe("random mixes of hopeless and sound jobs on faulty and sound servers", func() {
	ginkgo.It("leave no sound task waiting beside free servers", func() {
		for seed := range uint64(randomHealthSeeds) {
			r := rand.New(rand.NewPCG(seed, 0))
			servers, faulty := []string{}, map[string]bool{}
			for i := range 1 + r.IntN(8) {
				servers = append(servers, serverName(i))
				if i > 0 && r.IntN(3) == 0 {
					faulty[serverName(i)] = true
				}
			}
			x := &mixedJobs{hopeless: map[string]bool{}, longRunning: map[string]time.Time{}, finite: map[string]time.Time{}}
			age := time.Duration(100+r.IntN(2000)) * time.Millisecond
			w := newWorkplace(func(id string, k job.Task, d time.Duration) bool {
				return x.hopeless[k.Job] && d >= age || faulty[id] && d >= 300*time.Millisecond
			}, servers...)
			w.duration = age + 200*time.Millisecond
			for i := range jobsPerPlay {
				w.submitMixed(x, i+1, r)
				w.work(time.Duration(r.IntN(20)) * 100 * time.Millisecond)
			}
			w.work(20 * second)
			for id, from := range x.longRunning {
				gomega.Expect(w.longestWait(id, from, faulty)).To(gomega.BeNumerically("<=", maxIdle), "seed %d, job %s", seed, id)
			}
			if len(faulty) >= maxAttempts {
				// A task may fail once on each of as many faulty servers as it has attempts.
				continue
			}
			for id := range x.finite {
				gomega.Expect(w.JobPhase(id).Phase).To(gomega.Equal(job.Completed), "seed %d, job %s", seed, id)
			}
		}
	})
})
