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
	maxBodyBytes = 8 << 20
	// bodyTimeout bounds the time in which a request body arrives.
	bodyTimeout = 30 * time.Second
	// maxChangesPerSecond is the rate limit, and the burst, of change requests to one entry.
	maxChangesPerSecond = 100
)

// Entry provides the state of the entry that the API exposes.
type Entry interface {
	// Ready returns whether the entry can serve requests, and the reason.
	Ready() (bool, string)
	Status() Status
	Members() []member.Member
	Pools() []dispatch.PoolView
	Decisions() []decision.Record
	// FleetState returns the input of maintenance decisions under the configuration.
	FleetState(c *config.Snapshot) maintenance.FleetState
}

// Status is the state of the entry. ActiveSince is when it activated the configuration, AcceptedAt when the store accepted
// that. Watching reports whether the entry should watch the platform, and Blocked lists the operations that wait until the
// platform answers again.
type Status struct {
	Name                string    `json:"name"`
	DataCentre          string    `json:"dataCentre"`
	Version             string    `json:"version"`
	Revision            uint64    `json:"revision"`
	ActiveSince         time.Time `json:"since"`
	AcceptedAt          time.Time `json:"accepted"`
	Ready               bool      `json:"ready"`
	Reason              string    `json:"reason"`
	Watching            bool      `json:"watching"`
	PlatformLastContact time.Time `json:"platformHeard"`
	Blocked             []string  `json:"waiting"`
	InFlight            int64     `json:"inFlight"`
	LogsDropped         uint64    `json:"logsDropped"`
}

// Server is the HTTP handler of the operators' API.
type Server struct {
	entry     Entry
	active    *activeconfig.Config
	publisher *Publisher
	token     string
	metrics   http.Handler
	mux       *http.ServeMux
	limiter   *rate.Limiter
}

// Option configures a Server.
type Option func(*Server)

// WithProfiling exposes the pprof profiles of the process.
func WithProfiling() Option {
	return func(s *Server) {
		s.mux.HandleFunc("GET /debug/pprof/", pprof.Index)
		s.mux.HandleFunc("GET /debug/pprof/profile", pprof.Profile)
		s.mux.HandleFunc("GET /debug/pprof/trace", pprof.Trace)
	}
}

// New returns a Server. Changes require the token or a verified client certificate; an empty token authorises no request.
func New(e Entry, c *activeconfig.Config, p *Publisher, token string, metrics http.Handler, l ...Option) *Server {
	s := &Server{
		entry: e, active: c, publisher: p, token: token, metrics: metrics, mux: http.NewServeMux(),
		limiter: rate.NewLimiter(maxChangesPerSecond, maxChangesPerSecond),
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
	s.mux.HandleFunc("POST /v1/config", s.requireAuthorisation(s.apply))
	s.mux.HandleFunc("POST /v1/config/rollback", s.requireAuthorisation(s.rollback))
	s.mux.HandleFunc("POST /v1/config/collect", s.requireAuthorisation(s.collect))
	s.mux.HandleFunc("GET /v1/vms", s.vms)
	s.mux.HandleFunc("GET /v1/vms/{vm}", s.explainVM)
	s.mux.HandleFunc("GET /v1/maintenance", s.waves)
	s.mux.HandleFunc("POST /v1/maintenance/{pool}/{verb}", s.requireAuthorisation(s.controlWave))
	s.mux.HandleFunc("POST /v1/vms/{vm}/{verb}", s.requireAuthorisation(s.controlVM))
	for _, o := range l {
		o(s)
	}
	return s
}

// ServeHTTP implements http.Handler.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.mux.ServeHTTP(w, r)
}

func (s *Server) live(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, http.StatusOK, map[string]bool{"live": true})
}

func (s *Server) ready(w http.ResponseWriter, _ *http.Request) {
	ok, reason := s.entry.Ready()
	c := http.StatusOK
	if !ok {
		c = http.StatusServiceUnavailable
	}
	writeJSON(w, c, map[string]any{"ready": ok, "reason": reason})
}

func (s *Server) status(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, http.StatusOK, s.entry.Status())
}

// MemberView describes an entry as this entry knows it. Demand is in slots by pool; Leaving lists the VMs that the entry
// reports as leaving, and Watching reports whether the platform answered the entry within the last 6 s.
type MemberView struct {
	Name       string         `json:"name"`
	DataCentre string         `json:"dataCentre"`
	Address    string         `json:"address"`
	State      string         `json:"state"`
	Revision   uint64         `json:"revision"`
	Watching   bool           `json:"watching"`
	LastHeard  time.Time      `json:"heard"`
	Demand     map[string]int `json:"demand"`
	Leaving    []string       `json:"leaving"`
}

func (s *Server) members(w http.ResponseWriter, _ *http.Request) {
	l := []MemberView{}
	for _, m := range s.entry.Members() {
		b := m.Row.Body
		v := MemberView{
			Name: m.Name(), DataCentre: b.DataCentre, Address: b.Address, State: m.State.String(),
			Revision: b.Revision, Watching: b.Watching, LastHeard: m.LastHeard, Demand: map[string]int{},
			Leaving: append(append([]string{}, b.ListedLeaving...), b.SaidLeaving...),
		}
		for _, d := range b.Demands {
			v.Demand[d.Pool] = int(d.Demand)
		}
		l = append(l, v)
	}
	writeJSON(w, http.StatusOK, l)
}

func (s *Server) pools(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, http.StatusOK, s.entry.Pools())
}

func (s *Server) decisions(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, http.StatusOK, s.entry.Decisions())
}
