package jobapi

import (
	"context"
	"io"
	"net/http"
	"time"

	"github.com/tarragonbank/tarragonbank/entry/decision"
	"github.com/tarragonbank/tarragonbank/entry/owner"
	"github.com/tarragonbank/tarragonbank/fleet/job"
	"github.com/tarragonbank/tarragonbank/fleet/queue"
	"github.com/tarragonbank/tarragonbank/fleet/scheduler"
	"github.com/tarragonbank/tarragonbank/fleet/schema"
)

const (
	// maxBodyBytes bounds a job's bytes: 256 steps with a payload of 4,000 bytes take a tenth of it.
	maxBodyBytes = 1 << 20
	// callTimeout bounds a call at the owner; a commit to a slow store takes half a second.
	callTimeout = 3 * time.Second
)

// Relay answers calls about jobs, here or at the owner.
type Relay interface {
	Call(ctx context.Context, c *schema.JobCall) scheduler.Reply
}

// Logger takes decisions without blocking.
type Logger interface {
	Add(r decision.Record)
}

// Metrics counts what callers were told.
type Metrics interface {
	Event(name, kind string)
	Time(name, kind string, d time.Duration)
}

// Entry is what the interface shows of this entry.
type Entry interface {
	// Table is the configuration in force, nil where there is none yet.
	Table() *queue.Table
	// Owner is who owns the fleet as the store last told.
	Owner() owner.Record
	// Waves is how the waves of maintenance stand, as the store tells.
	Waves(ctx context.Context) ([]*schema.WaveProgress, error)
	// LogLinesDropped is how many log lines were lost.
	LogLinesDropped() uint64
}

// Server answers HTTP requests about jobs.
type Server struct {
	relay   Relay
	entry   Entry
	log     Logger
	metrics Metrics
	mux     *http.ServeMux
}

// New makes a server that passes calls on.
func New(c Relay, e Entry, l Logger, n Metrics) *Server {
	s := &Server{relay: c, entry: e, log: l, metrics: n, mux: http.NewServeMux()}
	s.mux.HandleFunc("POST /v1/jobs", s.submit)
	s.mux.HandleFunc("GET /v1/jobs", s.list)
	s.mux.HandleFunc("GET /v1/jobs/{id}", s.explain)
	s.mux.HandleFunc("DELETE /v1/jobs/{id}", s.cancel)
	s.mux.HandleFunc("GET /v1/queues", s.queues)
	s.mux.HandleFunc("GET /v1/owner", s.owner)
	s.mux.HandleFunc("GET /v1/pools", s.pools)
	s.mux.HandleFunc("GET /v1/waves", s.waves)
	return s
}

// ServeHTTP answers one request.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.mux.ServeHTTP(w, r)
}

func (s *Server) call(r *http.Request, c *schema.JobCall) scheduler.Reply {
	ctx, stop := context.WithTimeout(r.Context(), callTimeout)
	defer stop()
	return s.relay.Call(ctx, c)
}

func (s *Server) submit(w http.ResponseWriter, r *http.Request) {
	began := time.Now()
	b, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	if err != nil {
		writeError(w, http.StatusRequestEntityTooLarge, errorBody{Kind: "body", Error: err.Error()})
		return
	}
	q, err := decodeJob(r.Header.Get("Content-Type"), r.URL.Query().Get("file"), b)
	if err == nil {
		if q.Id == "" {
			q.Id = r.URL.Query().Get("id")
		}
		err = job.ValidateRequest(q)
	}
	if err != nil {
		s.logDecision(q.GetId(), "refused: "+err.Error(), began)
		writeError(w, http.StatusBadRequest, invalidJob(err))
		return
	}
	if t := s.entry.Table(); t.Named(q.Queue) == nil {
		s.logDecision(q.Id, "refused: no queue "+q.Queue, began)
		writeError(w, http.StatusNotFound, errorBody{Kind: "queue", Field: "queue", Error: "there is no queue " + q.Queue})
		return
	}
	x := s.call(r, &schema.JobCall{Kind: schema.JobCall_SUBMIT, Id: q.Id, Queue: q.Queue, Job: job.FromRequest(q)})
	s.logDecision(q.Id, "submission "+x.Result.String()+" "+x.Reason, began)
	s.metrics.Event("submissions", x.Result.String())
	s.metrics.Time("submission_duration", x.Result.String(), time.Since(began))
	s.writeReply(w, x, &schema.JobStatus{Id: q.Id, Queue: q.Queue, Phase: x.Phase.String()})
}

func (s *Server) explain(w http.ResponseWriter, r *http.Request) {
	x := s.call(r, &schema.JobCall{Kind: schema.JobCall_EXPLAIN, Id: r.PathValue("id")})
	if x.Result == scheduler.Done && len(x.Jobs) == 1 {
		writeMessage(w, x.Jobs[0])
		return
	}
	s.writeReply(w, x, nil)
}

func (s *Server) cancel(w http.ResponseWriter, r *http.Request) {
	began, id := time.Now(), r.PathValue("id")
	x := s.call(r, &schema.JobCall{Kind: schema.JobCall_CANCEL, Id: id})
	s.logDecision(id, "cancel "+x.Result.String()+" "+x.Reason, began)
	s.writeReply(w, x, &schema.JobStatus{Id: id, Phase: x.Phase.String()})
}

func (s *Server) list(w http.ResponseWriter, r *http.Request) {
	x := s.call(r, &schema.JobCall{Kind: schema.JobCall_LIST, Queue: r.URL.Query().Get("queue")})
	if x.Result != scheduler.Done {
		s.writeReply(w, x, nil)
		return
	}
	writeMessages(w, x.Jobs)
}

// queueBody is what the interface shows of a queue.
type queueBody struct {
	Name     string `json:"name"`
	Pool     string `json:"pool"`
	Priority int    `json:"priority"`
	Attempts int    `json:"attempts"`
	// Pending counts the accepted jobs of which no task has started, -1 where the owner does not tell.
	Pending int `json:"pending"`
}

func (s *Server) queues(w http.ResponseWriter, r *http.Request) {
	l := []queueBody{}
	if t := s.entry.Table(); t != nil {
		for _, q := range t.Queues {
			v := queueBody{Name: q.Name, Pool: q.Pool, Priority: q.Priority, Attempts: q.Attempts, Pending: -1}
			if x := s.call(r, &schema.JobCall{Kind: schema.JobCall_PENDING, Queue: q.Name}); x.Result == scheduler.Done {
				v.Pending = x.Pending
			}
			l = append(l, v)
		}
	}
	writeJSON(w, http.StatusOK, l)
}

// ownerBody is what the interface shows of the ownership.
type ownerBody struct {
	Name     string `json:"name"`
	Address  string `json:"address"`
	Revision uint64 `json:"revision"`
	// Config is the version of the configuration that is in force at this entry.
	Config      uint64 `json:"config"`
	LogsDropped uint64 `json:"logsDropped"`
}

func (s *Server) owner(w http.ResponseWriter, _ *http.Request) {
	k := s.entry.Owner()
	v := ownerBody{Name: k.Name, Revision: uint64(k.Revision), LogsDropped: s.entry.LogLinesDropped()}
	if k.Address.IsValid() {
		v.Address = k.Address.String()
	}
	if t := s.entry.Table(); t != nil {
		v.Config = t.Version
	}
	writeJSON(w, http.StatusOK, v)
}

func (s *Server) pools(w http.ResponseWriter, r *http.Request) {
	x := s.call(r, &schema.JobCall{Kind: schema.JobCall_POOLS})
	if x.Result != scheduler.Done {
		s.writeReply(w, x, nil)
		return
	}
	writeMessages(w, x.Pools)
}

func (s *Server) waves(w http.ResponseWriter, r *http.Request) {
	ctx, stop := context.WithTimeout(r.Context(), callTimeout)
	defer stop()
	l, err := s.entry.Waves(ctx)
	if err != nil {
		writeError(w, http.StatusServiceUnavailable, errorBody{Kind: "store", Error: err.Error()})
		return
	}
	writeMessages(w, l)
}

func (s *Server) logDecision(id, reason string, began time.Time) {
	s.log.Add(decision.Record{Time: time.Now(), Kind: decision.Answer, Request: id, Reason: reason, Duration: time.Since(began)})
}
