package owner

import (
	"time"

	"github.com/tarragonbank/tarragonbank/entry/metrics"
	"github.com/tarragonbank/tarragonbank/fleet/scheduler"
	"github.com/tarragonbank/tarragonbank/fleet/schema"
)

const (
	// maxWorkspaceLabels and maxReasonLabels bound the metrics by workspace; the rest are combined.
	maxWorkspaceLabels = 64
	maxReasonLabels    = 8
)

// workspaceMetrics keeps the metrics by workspace up to date. It belongs to the goroutine of the term's tick.
type workspaceMetrics struct {
	metrics    Metrics
	workspaces *metrics.Label
	reasons    *metrics.Label
	// reported are the workspaces whose gauges were set. refused are the refusals that this term has counted.
	reported map[string]bool
	refused  map[refusalClass]int64
}

// refusalClass is a workspace and a reason for which submissions were refused.
type refusalClass struct {
	workspace, reason string
}

// workspaceUse is what the workspaces with one label value use.
type workspaceUse struct {
	cores   float64
	waiting int32
}

func newWorkspaceMetrics(m Metrics) *workspaceMetrics {
	return &workspaceMetrics{
		metrics: m, workspaces: metrics.NewLabel(maxWorkspaceLabels), reasons: metrics.NewLabel(maxReasonLabels),
		reported: map[string]bool{}, refused: map[refusalClass]int64{},
	}
}

// report sets the gauges to the state of the workspaces, which counts refusals since the term began.
func (m *workspaceMetrics) report(l []*schema.WorkspaceStatus) {
	uses := map[string]workspaceUse{}
	for n := range m.reported {
		uses[n] = workspaceUse{}
	}
	for _, w := range l {
		n := m.workspaces.Value(w.Name)
		u := uses[n]
		u.cores += float64(w.Running.GetCpuMilli()) / milliPerCore
		u.waiting += w.TasksWaiting
		uses[n] = u
		m.countRefusals(w, n)
	}
	for n, u := range uses {
		m.reported[n] = true
		tags := map[string]string{"workspace": n}
		m.metrics.TaggedGauge("workspace_cores_running", tags, u.cores)
		m.metrics.TaggedGauge("workspace_tasks_waiting", tags, float64(u.waiting))
	}
}

// milliPerCore is the number of thousandths in a core.
const milliPerCore = 1000

// countRefusals counts the workspace's refusals since the last report under its label value.
func (m *workspaceMetrics) countRefusals(w *schema.WorkspaceStatus, label string) {
	for reason, n := range w.Refused {
		c := refusalClass{w.Name, reason}
		if d := n - m.refused[c]; d > 0 {
			m.metrics.TaggedCount("workspace_refusals", map[string]string{"workspace": label, "reason": m.reasons.Value(reason)}, d)
		}
		m.refused[c] = n
	}
}

// endTerm sets the gauges to 0 and prepares for the refusals of the next term.
func (m *workspaceMetrics) endTerm() {
	m.report(nil)
	m.refused = map[refusalClass]int64{}
}

// Workspaces returns the configuration of each workspace and what it has running and waiting.
func (r *term) Workspaces() scheduler.Reply {
	r.lock.Lock()
	defer r.lock.Unlock()
	return r.scheduler.Workspaces(time.Now())
}
