package server

import (
	"net/netip"
	"time"

	"github.com/tarragonbank/tarragonbank/fleet/job"
)

// Server is one registered life of a backend server.
type Server struct {
	ID string
	// StartedAt is when this life began; it changes when the server starts again under its ID.
	StartedAt  time.Time
	VM         string
	Pool       string
	Address    netip.AddrPort
	DataCentre string
	Capacity   job.Size
	Labels     []string
	Draining   bool
	// MinRemaining is how long a draining server stays at least.
	MinRemaining time.Duration
}

// HasLabel says whether the server carries the label, which may be its kind or its rack.
func (s *Server) HasLabel(l string) bool {
	for _, x := range s.Labels {
		if x == l {
			return true
		}
	}
	return false
}

// Rack is the label that names the server's rack, by convention its last one.
func (s *Server) Rack() string {
	if len(s.Labels) == 0 {
		return ""
	}
	return s.Labels[len(s.Labels)-1]
}

// Report is what a server says of its runs at one moment of its clock.
type Report struct {
	StartedAt time.Time
	Clock     time.Duration
	Runs      []Run
	Ends      []EndedRun
	// HasMore says that more ends wait to be listed.
	HasMore bool
}

// Run is a run at work on a server.
type Run struct {
	Task       job.Task
	Number     int
	Checkpoint string
	Percent    int
	// Metric is the tail of a serving task's response times, or for other tasks the thousandths of a core in use.
	Metric int64
}

// EndedRun is a run that has ended on a server.
type EndedRun struct {
	// Sequence numbers the ends of one life of the server.
	Sequence   uint64
	Task       job.Task
	Number     int
	Reason     job.EndReason
	Checkpoint string
}
