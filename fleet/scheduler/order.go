package scheduler

import (
	"time"

	"github.com/tarragonbank/tarragonbank/fleet/job"
	"github.com/tarragonbank/tarragonbank/fleet/server"
)

// StartOrder orders a server to start a run.
type StartOrder struct {
	Server     server.Server
	Task       job.Task
	Number     int
	Payload    string
	Checkpoint string
	Ticket     string
	// Until is when the order lapses, on the server's clock.
	Until time.Duration
}

// StopOrder orders a server to stop a run, or to refuse it if it comes later.
type StopOrder struct {
	Server server.Server
	Task   job.Task
	Number int
}

// PaceOrder orders a server to let a run work at a share of its speed.
type PaceOrder struct {
	Server  server.Server
	Task    job.Task
	Number  int
	Percent int
}

// AdviceRequest asks the advice service which servers may run a step.
type AdviceRequest struct {
	Step    string
	Servers []string
}

// Decision is a decision for the log.
type Decision struct {
	Job    string
	Task   string
	Server string
	Pool   string
	Reason string
	Run    int
	// Age is how old the input that decided it was, 0 where it does not matter.
	Age time.Duration
}

// Orders is what the scheduler wants done since it was last asked.
type Orders struct {
	Starts         []StartOrder
	Stops          []StopOrder
	Paces          []PaceOrder
	AdviceRequests []AdviceRequest
	// ResumePolling are servers that are to be held again.
	ResumePolling []server.Server
	Decisions     []Decision
	// EndCounts counts the runs that ended, by how they did.
	EndCounts map[job.End]int
}

// TakeOrders returns the orders since the last call.
func (s *Scheduler) TakeOrders() Orders {
	o := s.orders
	s.orders = Orders{}
	return o
}

func (s *Scheduler) addDecision(n Decision) {
	s.orders.Decisions = append(s.orders.Decisions, n)
}

func (r *run) decision(reason string) Decision {
	return Decision{
		Job: r.task.job.ID, Task: r.task.key.String(), Server: r.server.info.ID, Pool: r.server.info.Pool,
		Run: r.number, Reason: reason,
	}
}
