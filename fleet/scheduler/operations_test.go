package scheduler_test

import (
	"testing"

	"github.com/onsi/gomega"

	"github.com/tarragonbank/tarragonbank/fleet/schema"
)

// An owner whose passes cost the more the more waits falls behind the faster the further behind it is.
func TestOperationsGrowNoFasterThanTheLoad(t *testing.T) {
	gomega.RegisterTestingT(t)
	count := func(factor int) int64 {
		p := newPeak(peakLoad{servers: 1000, cores: 4, factor: factor})
		p.second()
		return p.Operations().Total()
	}
	once, eightTimes := count(1), count(8)
	gomega.Expect(eightTimes).To(gomega.BeNumerically("<=", 8*once), "once the load: %d", once)
}

// Long-running tasks that run took most of an owner's passes between the turns of the queues.
func TestOperationsDoNotGrowWithWhatRuns(t *testing.T) {
	gomega.RegisterTestingT(t)
	count := func(lasting int) int64 {
		p := newPeak(peakLoad{servers: 300})
		for range lasting {
			p.id++
			p.submit(newRecord(p.id, 24, longRunning, func(s *schema.StepRecord) { s.CpuMilli = 500 }))
		}
		for _, s := range p.acceptStarts() {
			p.runs[s.Server.ID] = append(p.runs[s.Server.ID], activeRun{start: s})
		}
		before := p.Operations()
		for range 10 {
			p.id++
			p.submit(newRecord(p.id, 8))
		}
		return p.Operations().Sub(before).Total()
	}
	alone, beside := count(0), count(400)
	gomega.Expect(beside).To(gomega.BeNumerically("<=", 2*alone), "without long-running tasks: %d", alone)
}
