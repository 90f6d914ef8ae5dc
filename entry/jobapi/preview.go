package jobapi

import (
	"net/http"

	"github.com/tarragonbank/tarragonbank/fleet/job"
	"github.com/tarragonbank/tarragonbank/fleet/scheduler"
	"github.com/tarragonbank/tarragonbank/fleet/schema"
)

// preview answers where a job would be placed, as if the workspace in the query submitted it. An operator's own job has none.
func (s *Server) preview(w http.ResponseWriter, r *http.Request) {
	q, ok := s.readJob(w, r, func(string, string) {})
	if !ok {
		return
	}
	m := job.FromRequest(q)
	m.Workspace = r.URL.Query().Get("workspace")
	if t := s.entry.Table(); m.Workspace != "" && t.Workspaces.ByName(m.Workspace) == nil {
		s.writeAbsent(w, noWorkspace(m.Workspace))
		return
	}
	x := s.call(r, &schema.JobCall{Kind: schema.JobCall_PREVIEW, Id: q.Id, Queue: q.Queue, Job: m})
	if x.Result == scheduler.Done && x.Preview == nil {
		// An owner of an earlier version answers a kind of call that it does not know with an empty reply.
		writeError(w, http.StatusNotImplemented, errorResponse{Kind: "preview", Error: "the owner is of a version without previews"})
		return
	}
	s.writeReply(w, x, x.Preview)
}
