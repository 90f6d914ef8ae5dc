package scheduler

import (
	"time"

	"github.com/tarragonbank/tarragonbank/fleet/job"
	"github.com/tarragonbank/tarragonbank/fleet/reservation"
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
	// Until is when the order expires, on the server's clock.
	Until time.Duration
	// orderedAt is when the order was given.
	orderedAt time.Time
}

// StopOrder orders a server to stop a run, or to reject its start order if that arrives later.
type StopOrder struct {
	Server server.Server
	Task   job.Task
	Number int
}

// PaceOrder orders a server to throttle a run to a percentage of its full speed.
type PaceOrder struct {
	Server  server.Server
	Task    job.Task
	Number  int
	Percent int
}

// AdviceRequest asks the advice service which servers may run a step. Each request is answered by AdviceReceived or
// AdviceFailed.
type AdviceRequest struct {
	// Task is the first task of the step.
	Task    job.Task
	Servers []server.Server
	// Work is the time that the service needs for the request, Timeout the time after which it counts as failed.
	Work, Timeout time.Duration
}

// Decision is a scheduling decision for the log.
type Decision struct {
	Job    string
	Task   string
	Server string
	Pool   string
	Reason string
	Run    int
	// Age is the age of the input behind the decision, 0 where it does not matter.
	Age time.Duration
	// Cause is the kind of reason of a refusal.
	Cause Cause
}

// Orders holds the scheduler's output since the last call of TakeOrders.
type Orders struct {
	Starts         []StartOrder
	Stops          []StopOrder
	Paces          []PaceOrder
	AdviceRequests []AdviceRequest
	// ResumePolling lists servers that the owner must poll for listings again.
	ResumePolling []server.Server
	Decisions     []Decision
	// EndCounts counts the runs that ended, by reason.
	EndCounts map[job.EndReason]int
	// ReservationCounts counts the changes of reservations, of which only some are among the decisions.
	ReservationCounts map[reservation.Change]int
}

// TakeOrders returns the orders since the last call and clears them.
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
