package server

import (
	"net/netip"
	"time"

	"github.com/tarragonbank/tarragonbank/fleet/job"
)

// Server is a registered incarnation of a backend server.
type Server struct {
	ID string
	// StartedAt is when this incarnation started; it changes when the server restarts under the same ID.
	StartedAt time.Time
	// Restarts is the number of restarts under the ID that the owner has seen. Orders carry it in their fencing token, so that
	// an incarnation that the owner has reached rejects the orders to earlier ones.
	Restarts   int
	VM         string
	Pool       string
	Address    netip.AddrPort
	DataCentre string
	Capacity   job.Size
	Labels     []string
	Draining   bool
	// MinRemaining is how long a draining server remains available at least.
	MinRemaining time.Duration
}

// HasLabel reports whether the server has the label; its kind and its rack are labels too.
func (s *Server) HasLabel(l string) bool {
	for _, x := range s.Labels {
		if x == l {
			return true
		}
	}
	return false
}

// Rack returns the server's rack, which by convention is its last label, or an empty string without labels.
func (s *Server) Rack() string {
	if len(s.Labels) == 0 {
		return ""
	}
	return s.Labels[len(s.Labels)-1]
}

// Listing is a server's list of its runs at one reading of its own clock.
type Listing struct {
	StartedAt time.Time
	// Clock is the reading of the server's clock.
	Clock time.Duration
	Runs  []Run
	Ends  []EndedRun
	// HasMore reports that further ended runs follow in later listings.
	HasMore bool
}

// Run is a run in progress on a server.
type Run struct {
	Task       job.Task
	Number     int
	Checkpoint string
	Percent    int
	// Metric is the tail latency of a long-running task in milliseconds, or the CPU use of any other task in
	// thousandths of a core.
	Metric int64
}

// EndedRun is a run that has ended on a server.
type EndedRun struct {
	// Sequence numbers the ended runs of one incarnation of the server.
	Sequence   uint64
	Task       job.Task
	Number     int
	Reason     job.EndReason
	Checkpoint string
}
