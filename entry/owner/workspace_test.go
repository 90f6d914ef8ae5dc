package owner_test

import (
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/tarragonbank/tarragonbank/fleet/queue"
	"github.com/tarragonbank/tarragonbank/fleet/schema"
	"github.com/tarragonbank/tarragonbank/fleet/workspace"
)

// taggedGauges keeps the last value of each gauge by workspace.
type taggedGauges struct {
	discard
	lock   sync.Mutex
	values map[string]float64
}

func (m *taggedGauges) TaggedGauge(name string, tags map[string]string, v float64) {
	m.lock.Lock()
	defer m.lock.Unlock()
	m.values[name+" "+tags["workspace"]] = v
}

// sum returns the sum of a metric's values and how many there are.
func (m *taggedGauges) sum(name string) (float64, int) {
	m.lock.Lock()
	defer m.lock.Unlock()
	x, n := 0.0, 0
	for k, v := range m.values {
		if len(k) > len(name) && k[:len(name)] == name {
			x += v
			n++
		}
	}
	return x, n
}

// Gauges that are not set back show two owners' running cores after a takeover, and one for each name would grow without
// bound with the configuration.
func TestWorkspaceMetricsAreBoundedAndEndWithTheTerm(t *testing.T) {
	runTest(t, func(g *gomega.WithT, s *cluster) {
		m := &taggedGauges{values: map[string]float64{}}
		s.metrics = m
		l := []workspace.Definition{}
		for i := range 70 {
			l = append(l, workspace.Definition{Workspace: workspace.Workspace{Name: fmt.Sprintf("w-%02d", i), Weight: 1}})
		}
		d, err := workspace.New(l)
		g.Expect(err).NotTo(gomega.HaveOccurred())
		o, _ := s.startEntry("e1")
		time.Sleep(2 * time.Second)
		o.SetTable(queue.New(2, table.Queues, table.Pools, queue.Limits{}, queue.WithWorkspaces(d)))
		r := &schema.JobRecord{Id: firstID, Queue: "plans", Workspace: "w-69", Steps: []*schema.StepRecord{{Count: 1, CpuMilli: 1500, Lasting: true}}}
		o.Current().Submit(s.ctx, r)
		time.Sleep(2 * time.Second)
		cores, n := m.sum("workspace_cores_running")
		g.Expect([]any{cores, n}).To(gomega.Equal([]any{1.5, 65}))
		o.Leave()
		time.Sleep(time.Second)
		cores, n = m.sum("workspace_cores_running")
		g.Expect([]any{cores, n}).To(gomega.Equal([]any{0.0, 65}))
	})
}
