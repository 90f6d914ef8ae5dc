package operator

import (
	"net/http"
	"net/http/pprof"
	"time"

	"golang.org/x/time/rate"

	"github.com/tarragonbank/tarragonbank/entry/activeconfig"
	"github.com/tarragonbank/tarragonbank/entry/decision"
	"github.com/tarragonbank/tarragonbank/entry/dispatch"
	"github.com/tarragonbank/tarragonbank/fleet/config"
	"github.com/tarragonbank/tarragonbank/fleet/maintenance"
	"github.com/tarragonbank/tarragonbank/fleet/member"
)

const (
	changeLimit = 8 << 20
	// mostChanges is how many changes operators may ask of one entry in a second.
	mostChanges = 100
)

// Entry is what the operators' side shows of the entry.
type Entry interface {
	Ready() (bool, string)
	Status() Status
	Members() []member.Member
	Pools() []dispatch.PoolView
	Decisions() []decision.Record
	// Site is what decisions on maintenance rest on.
	Site(c *config.Snapshot) maintenance.FleetState
}

// Status is the entry's own state.
type Status struct {
	Name        string    `json:"name"`
	DataCentre  string    `json:"dataCentre"`
	Version     string    `json:"version"`
	Revision    uint64    `json:"revision"`
	Since       time.Time `json:"since"`
	Accepted    time.Time `json:"accepted"`
	Ready       bool      `json:"ready"`
	Reason      string    `json:"reason"`
	Watching    bool      `json:"watching"`
	Platform    time.Time `json:"platformHeard"`
	Waiting     []string  `json:"waiting"`
	InFlight    int64     `json:"inFlight"`
	LogsDropped uint64    `json:"logsDropped"`
}

// Server is the operators' side of the entry.
type Server struct {
	entry     Entry
	view      *activeconfig.Config
	publisher *Publisher
	token     string
	metrics   http.Handler
	mux       *http.ServeMux
	changes   *rate.Limiter
}

// Option changes a Server at its making.
type Option func(*Server)

// WithProfiling serves profiles of the process.
func WithProfiling() Option {
	return func(s *Server) {
		s.mux.HandleFunc("GET /debug/pprof/", pprof.Index)
		s.mux.HandleFunc("GET /debug/pprof/profile", pprof.Profile)
		s.mux.HandleFunc("GET /debug/pprof/trace", pprof.Trace)
	}
}

// New makes a server; changes need the token, and an empty one refuses them all.
func New(e Entry, v *activeconfig.Config, p *Publisher, token string, metrics http.Handler, l ...Option) *Server {
	s := &Server{
		entry: e, view: v, publisher: p, token: token, metrics: metrics, mux: http.NewServeMux(),
		changes: rate.NewLimiter(mostChanges, mostChanges),
	}
	s.mux.HandleFunc("GET /live", s.live)
	s.mux.HandleFunc("GET /ready", s.ready)
	s.mux.Handle("GET /metrics", metrics)
	s.mux.HandleFunc("GET /v1/status", s.status)
	s.mux.HandleFunc("GET /v1/members", s.members)
	s.mux.HandleFunc("GET /v1/pools", s.pools)
	s.mux.HandleFunc("GET /v1/decisions", s.decisions)
	s.mux.HandleFunc("GET /v1/config", s.config)
	s.mux.HandleFunc("GET /v1/config/history", s.history)
	s.mux.HandleFunc("POST /v1/config", s.authorised(s.apply))
	s.mux.HandleFunc("POST /v1/config/rollback", s.authorised(s.rollback))
	s.mux.HandleFunc("POST /v1/config/collect", s.authorised(s.collect))
	s.mux.HandleFunc("GET /v1/vms", s.vms)
	s.mux.HandleFunc("GET /v1/vms/{vm}", s.explain)
	s.mux.HandleFunc("GET /v1/maintenance", s.waves)
	s.mux.HandleFunc("POST /v1/maintenance/{pool}/{verb}", s.authorised(s.steer))
	s.mux.HandleFunc("POST /v1/vms/{vm}/{verb}", s.authorised(s.hold))
	for _, o := range l {
		o(s)
	}
	return s
}

// ServeHTTP serves one request of an operator.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.mux.ServeHTTP(w, r)
}

func (s *Server) live(w http.ResponseWriter, _ *http.Request) {
	reply(w, http.StatusOK, map[string]bool{"live": true})
}

func (s *Server) ready(w http.ResponseWriter, _ *http.Request) {
	ok, reason := s.entry.Ready()
	c := http.StatusOK
	if !ok {
		c = http.StatusServiceUnavailable
	}
	reply(w, c, map[string]any{"ready": ok, "reason": reason})
}

func (s *Server) status(w http.ResponseWriter, _ *http.Request) {
	reply(w, http.StatusOK, s.entry.Status())
}

// MemberView is one entry as another sees it.
type MemberView struct {
	Name       string         `json:"name"`
	DataCentre string         `json:"dataCentre"`
	Address    string         `json:"address"`
	State      string         `json:"state"`
	Revision   uint64         `json:"revision"`
	Watching   bool           `json:"watching"`
	Heard      time.Time      `json:"heard"`
	Demand     map[string]int `json:"demand"`
	Leaving    []string       `json:"leaving"`
}

func (s *Server) members(w http.ResponseWriter, _ *http.Request) {
	l := []MemberView{}
	for _, m := range s.entry.Members() {
		b := m.Row.Body
		v := MemberView{
			Name: m.Name(), DataCentre: b.DataCentre, Address: b.Address, State: m.State.String(),
			Revision: b.Revision, Watching: b.Watching, Heard: m.LastHeard, Demand: map[string]int{},
			Leaving: append(append([]string{}, b.ListedLeaving...), b.SaidLeaving...),
		}
		for _, d := range b.Demands {
			v.Demand[d.Pool] = int(d.Demand)
		}
		l = append(l, v)
	}
	reply(w, http.StatusOK, l)
}

func (s *Server) pools(w http.ResponseWriter, _ *http.Request) {
	reply(w, http.StatusOK, s.entry.Pools())
}

func (s *Server) decisions(w http.ResponseWriter, _ *http.Request) {
	reply(w, http.StatusOK, s.entry.Decisions())
}
