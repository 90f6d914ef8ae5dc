package jobapi

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/tarragonbank/tarragonbank/entry/decision"
	"github.com/tarragonbank/tarragonbank/entry/ingress"
	"github.com/tarragonbank/tarragonbank/entry/owner"
	"github.com/tarragonbank/tarragonbank/fleet/job"
	"github.com/tarragonbank/tarragonbank/fleet/queue"
	"github.com/tarragonbank/tarragonbank/fleet/scheduler"
	"github.com/tarragonbank/tarragonbank/fleet/schema"
)

const (
	// maxBodyBytes bounds a submission; a job of 256 steps with a payload of 4,000 bytes takes a tenth of it.
	maxBodyBytes = 1 << 20
	// bodyTimeout bounds the time in which a submission arrives.
	bodyTimeout = 30 * time.Second
	// callTimeout bounds a call through the relay, whose own timeout is 2 s, and a read of the store; a commit to a slow
	// store takes 500 ms.
	callTimeout = 3 * time.Second
)

// Relay answers calls about jobs at this entry or forwards them to the fleet's owner.
type Relay interface {
	Call(ctx context.Context, c *schema.JobCall) scheduler.Reply
}

// Logger records decisions without blocking.
type Logger interface {
	Add(r decision.Record)
}

// Metrics counts submissions by result and measures how long they take.
type Metrics interface {
	Event(name, kind string)
	Time(name, kind string, d time.Duration)
}

// Entry is the state of this entry that the API shows.
type Entry interface {
	// Table returns the active configuration of queues, or nil if there is none yet.
	Table() *queue.Table
	// ConfigProved reports whether the table was lately proved to be that of the configuration in the store. Otherwise it may
	// lack what a newer one has.
	ConfigProved() bool
	// Owner returns the fleet's owner as last read from the store.
	Owner() owner.Record
	// Waves reads the progress of the maintenance waves from the store.
	Waves(ctx context.Context) ([]*schema.WaveProgress, error)
	// LogLinesDropped returns how many log lines were dropped.
	LogLinesDropped() uint64
}

// Server serves the API over HTTP.
type Server struct {
	relay   Relay
	entry   Entry
	log     Logger
	metrics Metrics
	mux     *http.ServeMux
	// decoding is held while a job is decoded, since some take much more memory than their text.
	decoding sync.Mutex
}

// New returns a server that passes calls to the relay.
func New(r Relay, e Entry, l Logger, m Metrics) *Server {
	s := &Server{relay: r, entry: e, log: l, metrics: m, mux: http.NewServeMux()}
	s.mux.HandleFunc("POST /v1/jobs", s.submit)
	s.mux.HandleFunc("GET /v1/jobs", s.list)
	s.mux.HandleFunc("GET /v1/jobs/{id}", s.explain)
	s.mux.HandleFunc("DELETE /v1/jobs/{id}", s.cancel)
	s.mux.HandleFunc("POST /v1/preview", s.preview)
	s.mux.HandleFunc("GET /v1/queues", s.queues)
	s.mux.HandleFunc("GET /v1/owner", s.owner)
	s.mux.HandleFunc("GET /v1/pools", s.pools)
	s.mux.HandleFunc("GET /v1/waves", s.waves)
	s.mux.HandleFunc("GET /v1/workspaces", s.workspaces)
	s.mux.HandleFunc("GET /v1/workspaces/{name}", s.workspace)
	return s
}

// ServeHTTP serves one request.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.mux.ServeHTTP(w, r)
}

func (s *Server) call(r *http.Request, c *schema.JobCall) scheduler.Reply {
	ctx, stop := context.WithTimeout(r.Context(), callTimeout)
	defer stop()
	return s.relay.Call(ctx, c)
}

func (s *Server) submit(w http.ResponseWriter, r *http.Request) {
	start := time.Now()
	q, ok := s.readJob(w, r, func(id, reason string) { s.logDecision(id, "refused: "+reason, start) })
	if !ok {
		return
	}
	x := s.call(r, &schema.JobCall{Kind: schema.JobCall_SUBMIT, Id: q.Id, Queue: q.Queue, Job: job.FromRequest(q)})
	s.logDecision(q.Id, "submission "+x.Result.String()+" "+x.Reason, start)
	s.metrics.Event("submissions", x.Result.String())
	s.metrics.Time("submission_duration", x.Result.String(), time.Since(start))
	s.writeReply(w, x, &schema.JobStatus{Id: q.Id, Queue: q.Queue, Phase: x.Phase.String()})
}

// readJob reads the job in a request. If the job cannot be submitted, it writes the error, passes the reason to refused and
// returns false.
func (s *Server) readJob(w http.ResponseWriter, r *http.Request, refused func(id, reason string)) (*schema.JobRequest, bool) {
	b, err := ingress.ReadBody(w, r, maxBodyBytes, bodyTimeout)
	if err != nil {
		writeBodyError(w, err)
		return nil, false
	}
	s.decoding.Lock()
	q, err := decodeJob(r.Header.Get("Content-Type"), r.URL.Query().Get("file"), b)
	s.decoding.Unlock()
	if err == nil {
		if q.Id == "" {
			q.Id = r.URL.Query().Get("id")
		}
		err = job.ValidateRequest(q)
	}
	if err != nil {
		refused(q.GetId(), err.Error())
		writeError(w, http.StatusBadRequest, invalidJob(err))
		return nil, false
	}
	if t := s.entry.Table(); t.ByName(q.Queue) == nil {
		refused(q.Id, "no queue "+q.Queue)
		s.writeAbsent(w, errorResponse{Kind: "queue", Field: "queue", Error: "there is no queue " + q.Queue})
		return nil, false
	}
	return q, true
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
	start, id := time.Now(), r.PathValue("id")
	x := s.call(r, &schema.JobCall{Kind: schema.JobCall_CANCEL, Id: id})
	s.logDecision(id, "cancel "+x.Result.String()+" "+x.Reason, start)
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

// queueView is the JSON of a queue.
type queueView struct {
	Name     string `json:"name"`
	Pool     string `json:"pool"`
	Priority int    `json:"priority"`
	Attempts int    `json:"attempts"`
	// Pending is how many accepted jobs have not started a task, -1 if the owner does not answer.
	Pending int `json:"pending"`
}

func (s *Server) queues(w http.ResponseWriter, r *http.Request) {
	l := []queueView{}
	if t := s.entry.Table(); t != nil {
		for _, q := range t.Queues {
			v := queueView{Name: q.Name, Pool: q.Pool, Priority: q.Priority, Attempts: q.MaxAttempts, Pending: -1}
			if x := s.call(r, &schema.JobCall{Kind: schema.JobCall_PENDING, Queue: q.Name}); x.Result == scheduler.Done {
				v.Pending = x.Pending
			}
			l = append(l, v)
		}
	}
	writeJSON(w, http.StatusOK, l)
}

// ownerView is the JSON of the fleet's owner and of this entry's state.
type ownerView struct {
	Name     string `json:"name"`
	Address  string `json:"address"`
	Revision uint64 `json:"revision"`
	// Config is the version of this entry's active queue configuration.
	Config      uint64 `json:"config"`
	LogsDropped uint64 `json:"logsDropped"`
}

func (s *Server) owner(w http.ResponseWriter, _ *http.Request) {
	k := s.entry.Owner()
	v := ownerView{Name: k.Name, Revision: uint64(k.Revision), LogsDropped: s.entry.LogLinesDropped()}
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
		writeError(w, http.StatusServiceUnavailable, errorResponse{Kind: "store", Error: err.Error()})
		return
	}
	writeMessages(w, l)
}

func (s *Server) logDecision(id, reason string, start time.Time) {
	s.log.Add(decision.Record{Time: time.Now(), Kind: decision.Answer, Request: id, Reason: reason, Duration: time.Since(start)})
}
