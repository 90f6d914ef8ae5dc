package operator

import (
	"net/http"
	"strconv"
	"time"

	"github.com/gravitational/trace"

	"github.com/tarragonbank/tarragonbank/fleet/config"
	"github.com/tarragonbank/tarragonbank/fleet/schema"
)

// HeadView describes one accepted revision of the configuration. Sections holds digests by section name;
// ChangedSections lists the sections that differ from the preceding revision shown, or in a dry run from the active one.
type HeadView struct {
	Revision        uint64            `json:"revision"`
	AcceptedAt      time.Time         `json:"accepted"`
	Author          string            `json:"author"`
	Note            string            `json:"note"`
	Mark            string            `json:"mark"`
	Sections        map[string]string `json:"sections"`
	ChangedSections []string          `json:"changed,omitempty"`
}

func headView(h *schema.Head) HeadView {
	v := HeadView{
		Revision: h.Revision, AcceptedAt: time.UnixMilli(h.AcceptedUnixMs),
		Author: h.Author, Note: h.Note, Mark: h.Mark, Sections: map[string]string{},
	}
	for _, r := range h.Sections {
		v.Sections[r.Name] = config.DigestFromBytes(r.Digest).String()
	}
	return v
}

func (s *Server) config(w http.ResponseWriter, _ *http.Request) {
	c := s.active.Current()
	if c == nil {
		writeJSON(w, http.StatusOK, HeadView{})
		return
	}
	writeJSON(w, http.StatusOK, headView(c.Head))
}

func (s *Server) history(w http.ResponseWriter, r *http.Request) {
	l, err := s.publisher.KeptHeads(r.Context())
	if err != nil {
		writeError(w, err)
		return
	}
	v := []HeadView{}
	for i, h := range l {
		x := headView(h)
		x.Sections = nil
		if i+1 < len(l) {
			x.ChangedSections = config.ChangedSections(l[i+1], h)
		}
		v = append(v, x)
	}
	writeJSON(w, http.StatusOK, v)
}

// ApplyRequest replaces the whole inventory and rules. Base is the revision that was edited, by default the active one.
// Mark is the idempotency key of the change. DryRun validates the change and returns its head without publishing it.
type ApplyRequest struct {
	Inventory     string  `json:"inventory"`
	InventoryFile string  `json:"inventoryFile"`
	Rules         string  `json:"rules"`
	RulesFile     string  `json:"rulesFile"`
	Base          *uint64 `json:"base,omitempty"`
	Author        string  `json:"author"`
	Note          string  `json:"note"`
	Mark          string  `json:"mark"`
	DryRun        bool    `json:"check"`
}

func (s *Server) apply(w http.ResponseWriter, r *http.Request) {
	var q ApplyRequest
	if !decodeBody(w, r, &q) {
		return
	}
	x, err := config.ParseSource(q.InventoryFile, []byte(q.Inventory), q.RulesFile, []byte(q.Rules))
	if err != nil {
		writeError(w, err)
		return
	}
	c := Change{Base: s.active.Current().Revision(), Author: q.Author, Note: q.Note, Mark: q.Mark}
	if q.Base != nil {
		c.Base = *q.Base
	}
	if c.Sections, err = config.Split(x); err != nil {
		writeError(w, err)
		return
	}
	if q.DryRun {
		writeJSON(w, http.StatusOK, s.preview(c))
		return
	}
	s.publish(w, r, c)
}

// preview returns the head that the change would have, without publishing it.
func (s *Server) preview(c Change) HeadView {
	h := &schema.Head{Revision: c.Base + 1, Sections: c.Sections.Refs()}
	v := headView(h)
	if now := s.active.Current(); now != nil {
		v.ChangedSections = config.ChangedSections(now.Head, h)
	}
	return v
}

// publish publishes the change, under a new mark if it has none, and answers the request.
func (s *Server) publish(w http.ResponseWriter, r *http.Request, c Change) {
	if c.Mark == "" {
		c.Mark = NewMark()
	}
	h, err := s.publisher.Publish(r.Context(), c)
	if err != nil {
		writeError(w, err)
		return
	}
	writeJSON(w, http.StatusOK, headView(h))
}

// RollbackRequest publishes the sections of a kept older revision as a new revision.
type RollbackRequest struct {
	Revision uint64 `json:"revision"`
	Author   string `json:"author"`
	Mark     string `json:"mark"`
}

// RevisionNotFoundError reports a revision that is not among the kept ones.
type RevisionNotFoundError struct {
	Revision uint64
}

// Error describes the failure in one line.
func (e *RevisionNotFoundError) Error() string {
	return "revision " + strconv.FormatUint(e.Revision, 10) + " is not among those kept"
}

func (s *Server) rollback(w http.ResponseWriter, r *http.Request) {
	var q RollbackRequest
	if !decodeBody(w, r, &q) {
		return
	}
	l, err := s.publisher.KeptHeads(r.Context())
	if err != nil {
		writeError(w, err)
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
	writeError(w, trace.Wrap(&RevisionNotFoundError{Revision: q.Revision}))
}

func (s *Server) collect(w http.ResponseWriter, r *http.Request) {
	n, err := s.publisher.Collect(r.Context())
	if err != nil {
		writeError(w, err)
		return
	}
	writeJSON(w, http.StatusOK, map[string]int{"deleted": n})
}
