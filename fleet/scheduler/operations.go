package scheduler

// Operations counts what the scheduler has looked at since the term began. What it spends grows with them, and they are the same on
// every machine.
type Operations struct {
	// Passes counts the passes that place tasks, Waiting the steps that waited for servers in each of them.
	Passes, Waiting int64
	// Jobs, Steps, Tasks, Servers and Runs count those that passes, decisions about submissions and checks by time have looked at, Comparisons
	// the comparisons of steps that are put in order.
	Jobs, Steps, Tasks, Servers, Runs, Comparisons int64
	// Speeds counts the steps that it took to keep the speeds of tasks in order.
	Speeds int64
	// Starts counts the start orders.
	Starts int64
}

// Total returns the sum of all that was looked at.
func (o Operations) Total() int64 {
	return o.Jobs + o.Steps + o.Tasks + o.Servers + o.Runs + o.Comparisons + o.Speeds
}

// Sub returns what was counted since an earlier state.
func (o Operations) Sub(x Operations) Operations {
	return Operations{
		Passes: o.Passes - x.Passes, Waiting: o.Waiting - x.Waiting, Jobs: o.Jobs - x.Jobs, Steps: o.Steps - x.Steps, Tasks: o.Tasks - x.Tasks,
		Servers: o.Servers - x.Servers, Runs: o.Runs - x.Runs, Comparisons: o.Comparisons - x.Comparisons,
		Speeds: o.Speeds - x.Speeds, Starts: o.Starts - x.Starts,
	}
}

// Operations returns what the scheduler has looked at so far.
func (s *Scheduler) Operations() Operations {
	return s.operations
}
