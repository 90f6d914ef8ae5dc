package job

// Amount is an amount of each resource, or of each resource times seconds.
type Amount struct {
	Cores        float64
	MemoryMB     float64
	Accelerators float64
}

// Amount converts the size.
func (s Size) Amount() Amount {
	return Amount{float64(s.CPU) / milliPerCore, float64(s.MemoryMB), float64(s.Accelerators)}
}

// milliPerCore is the number of thousandths in a core.
const milliPerCore = 1000

// Add returns the sum of two amounts.
func (a Amount) Add(o Amount) Amount {
	return Amount{a.Cores + o.Cores, a.MemoryMB + o.MemoryMB, a.Accelerators + o.Accelerators}
}

// Times returns the amount times a factor.
func (a Amount) Times(f float64) Amount {
	return Amount{a.Cores * f, a.MemoryMB * f, a.Accelerators * f}
}

// Resources returns the amounts in the order of the fields.
func (a Amount) Resources() [3]float64 {
	return [3]float64{a.Cores, a.MemoryMB, a.Accelerators}
}

// LongRunningAmount returns the resources that the job's long-running tasks hold.
func (j *Job) LongRunningAmount() Amount {
	a := Amount{}
	for i := range j.Steps {
		if s := &j.Steps[i]; s.LongRunning {
			a = a.Add(s.Size.Amount().Times(float64(s.Count)))
		}
	}
	return a
}

// Amount returns the estimated resource-seconds of one occurrence.
func (j *Job) Amount() Amount {
	a := Amount{}
	for i := range j.Steps {
		s := &j.Steps[i]
		a = a.Add(s.Size.Amount().Times(float64(s.Count) * s.Estimate.Seconds()))
	}
	return a
}
