package scheduler_test

import (
	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"
	"google.golang.org/protobuf/proto"

	"github.com/tarragonbank/tarragonbank/fleet/job"
	"github.com/tarragonbank/tarragonbank/fleet/queue"
	"github.com/tarragonbank/tarragonbank/fleet/schema"
	"github.com/tarragonbank/tarragonbank/fleet/workspace"
)

// setWorkspaces configures workspaces that share the fleet.
func (w *harness) setWorkspaces(version uint64, l ...workspace.Workspace) {
	defs := []workspace.Definition{}
	for _, x := range l {
		defs = append(defs, workspace.Definition{Workspace: x})
	}
	w.SetTable(queue.New(version, table.Queues, table.Pools, queue.Limits{}, queue.WithWorkspaces(must(workspace.New(defs)))))
}

var _ = ginkgo.Describe("Workspaces", func() {
	// A workspace that is removed while it has work would leave its running tasks without an explanation.
	ginkgo.It("returns configured workspaces and those with work, with what runs and waits", func() {
		w := newHarness()
		w.setWorkspaces(2, workspace.Workspace{Name: "ops", Weight: 2}, workspace.Workspace{Name: "dev", Weight: 1.5, Cap: job.Size{CPU: 70000}})
		w.addServers("s-1")
		m := newRecord(1, 2, longRunning, func(s *schema.StepRecord) { s.CpuMilli = 40000 })
		m.Workspace = "dev"
		w.submit(m)
		w.submit(newRecord(2, 1, longRunning))
		running := &schema.ResourceAmount{CpuMilli: 40000, MemoryMb: 100}
		dev := &schema.WorkspaceStatus{
			Name: "dev", Weight: 1.5, Cap: &schema.ResourceAmount{CpuMilli: 70000}, Running: running, TasksRunning: 1, TasksWaiting: 1, Jobs: 1,
		}
		ops := &schema.WorkspaceStatus{Name: "ops", Weight: 2, Cap: &schema.ResourceAmount{}, Running: &schema.ResourceAmount{}}
		expect := func(want ...*schema.WorkspaceStatus) {
			got := w.Workspaces(w.now).Workspaces
			gomega.Expect(got).To(gomega.HaveLen(len(want)))
			for i, x := range want {
				gomega.Expect(proto.Equal(got[i], x)).To(gomega.BeTrue(), got[i].String())
			}
		}
		expect(dev, ops)
		w.setWorkspaces(3, workspace.Workspace{Name: "ops", Weight: 2})
		// Its last known weight and cap go on applying to the jobs that it still has.
		expect(dev, ops)
		gomega.Expect(w.Explain(m.Id, w.now).Jobs[0].Workspace).To(gomega.Equal("dev"))
	})
})
