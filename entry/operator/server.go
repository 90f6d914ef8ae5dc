package operator

import (
	"crypto/subtle"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/pprof"
	"strconv"
	"strings"
	"time"

	"github.com/gravitational/trace"
	"golang.org/x/time/rate"

	"github.com/tarragonbank/tarragonbank/entry/decision"
	"github.com/tarragonbank/tarragonbank/entry/dispatch"
	"github.com/tarragonbank/tarragonbank/entry/view"
	"github.com/tarragonbank/tarragonbank/fleet/config"
	"github.com/tarragonbank/tarragonbank/fleet/document"
	"github.com/tarragonbank/tarragonbank/fleet/maintenance"
	"github.com/tarragonbank/tarragonbank/fleet/member"
	"github.com/tarragonbank/tarragonbank/fleet/schema"
	"github.com/tarragonbank/tarragonbank/fleet/store"
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
	Site(c *config.Snapshot) maintenance.Site
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
	view      *view.View
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
func New(e Entry, v *view.View, p *Publisher, token string, metrics http.Handler, l ...Option) *Server {
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
			Revision: b.Revision, Watching: b.Watching, Heard: m.Heard, Demand: map[string]int{},
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

// HeadView is one accepted configuration.
type HeadView struct {
	Revision uint64            `json:"revision"`
	Accepted time.Time         `json:"accepted"`
	Author   string            `json:"author"`
	Note     string            `json:"note"`
	Mark     string            `json:"mark"`
	Sections map[string]string `json:"sections"`
	Changed  []string          `json:"changed,omitempty"`
}

func headView(h *schema.Head) HeadView {
	v := HeadView{
		Revision: h.Revision, Accepted: time.UnixMilli(h.AcceptedUnixMs),
		Author: h.Author, Note: h.Note, Mark: h.Mark, Sections: map[string]string{},
	}
	for _, r := range h.Sections {
		v.Sections[r.Name] = config.AsDigest(r.Digest).String()
	}
	return v
}

func (s *Server) config(w http.ResponseWriter, _ *http.Request) {
	c := s.view.Current()
	if c == nil {
		reply(w, http.StatusOK, HeadView{})
		return
	}
	reply(w, http.StatusOK, headView(c.Head))
}

func (s *Server) history(w http.ResponseWriter, r *http.Request) {
	l, err := s.publisher.Kept(r.Context())
	if err != nil {
		refuse(w, err)
		return
	}
	v := []HeadView{}
	for i, h := range l {
		x := headView(h)
		x.Sections = nil
		if i+1 < len(l) {
			x.Changed = config.Changed(l[i+1], h)
		}
		v = append(v, x)
	}
	reply(w, http.StatusOK, v)
}

// ApplyRequest asks for a change of the whole inventory and rules.
type ApplyRequest struct {
	Inventory     string  `json:"inventory"`
	InventoryFile string  `json:"inventoryFile"`
	Rules         string  `json:"rules"`
	RulesFile     string  `json:"rulesFile"`
	Base          *uint64 `json:"base,omitempty"`
	Author        string  `json:"author"`
	Note          string  `json:"note"`
	Mark          string  `json:"mark"`
	Check         bool    `json:"check"`
}

func (s *Server) apply(w http.ResponseWriter, r *http.Request) {
	var q ApplyRequest
	if !read(w, r, &q) {
		return
	}
	x, err := config.ParseSource(q.InventoryFile, []byte(q.Inventory), q.RulesFile, []byte(q.Rules))
	if err != nil {
		refuse(w, err)
		return
	}
	c := Change{Base: s.view.Current().Revision(), Author: q.Author, Note: q.Note, Mark: q.Mark}
	if q.Base != nil {
		c.Base = *q.Base
	}
	if c.Sections, err = config.Split(x); err != nil {
		refuse(w, err)
		return
	}
	if q.Check {
		reply(w, http.StatusOK, s.preview(c))
		return
	}
	s.publish(w, r, c)
}

// preview is the head that the change would have.
func (s *Server) preview(c Change) HeadView {
	h := &schema.Head{Revision: c.Base + 1, Sections: c.Sections.Refs()}
	v := headView(h)
	if now := s.view.Current(); now != nil {
		v.Changed = config.Changed(now.Head, h)
	}
	return v
}

func (s *Server) publish(w http.ResponseWriter, r *http.Request, c Change) {
	if c.Mark == "" {
		c.Mark = NewMark()
	}
	h, err := s.publisher.Publish(r.Context(), c)
	if err != nil {
		refuse(w, err)
		return
	}
	reply(w, http.StatusOK, headView(h))
}

// RollbackRequest asks for the sections of an older revision as a new one.
type RollbackRequest struct {
	Revision uint64 `json:"revision"`
	Author   string `json:"author"`
	Mark     string `json:"mark"`
}

// GoneError reports a revision that is no longer kept.
type GoneError struct {
	Revision uint64
}

// Error describes the failure in one line.
func (e *GoneError) Error() string {
	return "revision " + strconv.FormatUint(e.Revision, 10) + " is not among those kept"
}

func (s *Server) rollback(w http.ResponseWriter, r *http.Request) {
	var q RollbackRequest
	if !read(w, r, &q) {
		return
	}
	l, err := s.publisher.Kept(r.Context())
	if err != nil {
		refuse(w, err)
		return
	}
	for _, h := range l {
		if h.Revision != q.Revision {
			continue
		}
		note := "rollback to revision " + strconv.FormatUint(h.Revision, 10)
		s.publish(w, r, Change{Base: l[0].Revision, Author: q.Author, Note: note, Mark: q.Mark, Refs: h.Sections})
		return
	}
	refuse(w, trace.Wrap(&GoneError{Revision: q.Revision}))
}

func (s *Server) collect(w http.ResponseWriter, r *http.Request) {
	n, err := s.publisher.Collect(r.Context())
	if err != nil {
		refuse(w, err)
		return
	}
	reply(w, http.StatusOK, map[string]int{"deleted": n})
}

// TokenError reports a change without the operators' token.
type TokenError struct{}

// Error describes the failure in one line.
func (*TokenError) Error() string {
	return "changes need the operators' token"
}

func (s *Server) authorised(f http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		if !certified(r) && !s.tokened(r) {
			refuse(w, trace.Wrap(&TokenError{}))
			return
		}
		if !s.changes.Allow() {
			refuse(w, trace.Wrap(&RateError{}))
			return
		}
		f(w, r)
	}
}

// RateError reports more changes than an entry takes.
type RateError struct{}

// Error describes the failure in one line.
func (*RateError) Error() string {
	return fmt.Sprintf("an entry takes at most %d changes a second", mostChanges)
}

// certified says that the operator showed a certificate that the authority signed.
func certified(r *http.Request) bool {
	return r.TLS != nil && len(r.TLS.VerifiedChains) > 0
}

func (s *Server) tokened(r *http.Request) bool {
	t := strings.TrimPrefix(r.Header.Get("Authorization"), "Bearer ")
	return s.token != "" && subtle.ConstantTimeCompare([]byte(t), []byte(s.token)) == 1
}

func read(w http.ResponseWriter, r *http.Request, v any) bool {
	d := json.NewDecoder(io.LimitReader(r.Body, changeLimit))
	d.DisallowUnknownFields()
	if err := d.Decode(v); err != nil {
		reply(w, http.StatusBadRequest, failure{Error: err.Error(), Kind: "body"})
		return false
	}
	return true
}

// failure is the answer to what was refused.
type failure struct {
	Error string `json:"error"`
	Kind  string `json:"kind"`
}

func refuse(w http.ResponseWriter, err error) {
	c, k := classify(err)
	reply(w, c, failure{Error: trace.Unwrap(err).Error(), Kind: k})
}

func classify(err error) (int, string) {
	var base *BaseError
	var behind *BehindError
	var unsettled *UnsettledError
	var gone *GoneError
	var token *TokenError
	var away *store.UnavailableError
	var often *RateError
	var verb *VerbError
	var budget *BudgetError
	switch {
	case isDocument(err):
		return http.StatusUnprocessableEntity, "document"
	case errors.As(err, &base):
		return http.StatusConflict, "base"
	case errors.As(err, &behind):
		return http.StatusServiceUnavailable, "behind"
	case errors.As(err, &unsettled):
		return http.StatusGatewayTimeout, "unsettled"
	case errors.As(err, &verb):
		return http.StatusNotFound, "verb"
	case errors.As(err, &budget):
		return http.StatusConflict, "budget"
	case errors.As(err, &often):
		return http.StatusTooManyRequests, "rate"
	case errors.As(err, &gone):
		return http.StatusNotFound, "gone"
	case errors.As(err, &token):
		return http.StatusUnauthorized, "token"
	case errors.As(err, &away):
		return http.StatusServiceUnavailable, "store"
	default:
		return http.StatusInternalServerError, "internal"
	}
}

func isDocument(err error) bool {
	var a *document.SyntaxError
	var b *document.UnknownKeyError
	var c *document.TypeError
	var d *document.RangeError
	return errors.As(err, &a) || errors.As(err, &b) || errors.As(err, &c) || errors.As(err, &d)
}

func reply(w http.ResponseWriter, code int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(code)
	_ = json.NewEncoder(w).Encode(v)
}
