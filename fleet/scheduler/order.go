package scheduler

import (
	"time"

	"github.com/tarragonbank/tarragonbank/fleet/job"
	"github.com/tarragonbank/tarragonbank/fleet/server"
)

// Start orders a server to start a run.
type Start struct {
	Server     server.Server
	Task       job.Task
	Number     int
	Payload    string
	Checkpoint string
	Ticket     string
	// Until is when the order lapses, on the server's clock.
	Until time.Duration
}

// Stop orders a server to stop a run, or to refuse it if it comes later.
type Stop struct {
	Server server.Server
	Task   job.Task
	Number int
}

// Pace orders a server to let a run work at a share of its speed.
type Pace struct {
	Server  server.Server
	Task    job.Task
	Number  int
	Percent int
}

// Consult asks the advice service which servers may run a step.
type Consult struct {
	Step    string
	Servers []string
}

// Note is a decision for the log.
type Note struct {
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
	Starts   []Start
	Stops    []Stop
	Paces    []Pace
	Consults []Consult
	// Holds are servers that are to be held again.
	Holds []server.Server
	Notes []Note
	// Ends counts the runs that ended, by how they did.
	Ends map[job.EndReason]int
}

// Take returns the orders since the last call.
func (s *Scheduler) Take() Orders {
	o := s.orders
	s.orders = Orders{}
	return o
}

func (s *Scheduler) note(n Note) {
	s.orders.Notes = append(s.orders.Notes, n)
}

func (r *run) note(reason string) Note {
	return Note{
		Job: r.task.job.ID, Task: r.task.key.String(), Server: r.server.info.ID, Pool: r.server.info.Pool,
		Run: r.number, Reason: reason,
	}
}
