package job

import "github.com/tarragonbank/tarragonbank/fleet/schema"

// Record converts the job to the schema.
func (j *Job) Record() *schema.JobRecord {
	m := &schema.JobRecord{
		Id: j.ID, Queue: j.Queue, Pool: j.Pool, Payload: j.Payload,
		AcceptedMs: j.AcceptedAt.UnixMilli(), DataCentre: j.DataCentre, Workspace: j.Workspace, Excess: j.Excess, Terms: j.Terms.Record(),
	}
	if j.Repeat.Count > 0 {
		m.FirstDueMs = j.Repeat.First.UnixMilli()
		m.IntervalMs = j.Repeat.Interval.Milliseconds()
		m.Repeats = int32(j.Repeat.Count)
	}
	for i := range j.Steps {
		m.Steps = append(m.Steps, j.Steps[i].record())
	}
	return m
}

// Record converts the size to the schema.
func (s Size) Record() *schema.ResourceAmount {
	return &schema.ResourceAmount{CpuMilli: s.CPU, MemoryMb: s.MemoryMB, Accelerators: s.Accelerators}
}

// NewSize converts a size of the schema.
func NewSize(m *schema.ResourceAmount) Size {
	return Size{CPU: m.GetCpuMilli(), MemoryMB: m.GetMemoryMb(), Accelerators: m.GetAccelerators()}
}

func (s *Step) record() *schema.StepRecord {
	m := &schema.StepRecord{
		Count: int32(s.Count), CpuMilli: s.Size.CPU, MemoryMb: s.Size.MemoryMB, Accelerators: s.Size.Accelerators,
		EstimateMs: s.Estimate.Milliseconds(), Gang: s.Gang, Colocated: s.Colocated, Checkpointing: s.Checkpointing,
		Speculative: s.Speculative, Lasting: s.LongRunning, Fills: s.BestEffort, Requires: s.Requires, DataRack: s.DataRack,
		Image: s.Image, AntiAffinity: int32(s.AntiAffinity), TargetMs: s.TargetLatency.Milliseconds(), MayMiss: int32(s.MaxUnavailable),
	}
	for _, a := range s.After {
		m.After = append(m.After, int32(a))
	}
	return m
}
