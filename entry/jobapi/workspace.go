package jobapi

import (
	"net/http"

	"github.com/tarragonbank/tarragonbank/fleet/scheduler"
	"github.com/tarragonbank/tarragonbank/fleet/schema"
)

func (s *Server) workspaces(w http.ResponseWriter, r *http.Request) {
	x := s.call(r, &schema.JobCall{Kind: schema.JobCall_WORKSPACES})
	if x.Result != scheduler.Done {
		s.writeReply(w, x, nil)
		return
	}
	writeMessages(w, x.Workspaces)
}

func (s *Server) workspace(w http.ResponseWriter, r *http.Request) {
	x := s.call(r, &schema.JobCall{Kind: schema.JobCall_WORKSPACES})
	if x.Result != scheduler.Done {
		s.writeReply(w, x, nil)
		return
	}
	for _, m := range x.Workspaces {
		if m.Name == r.PathValue("name") {
			writeMessage(w, m)
			return
		}
	}
	writeError(w, http.StatusNotFound, noWorkspace(r.PathValue("name")))
}

func noWorkspace(name string) errorResponse {
	return errorResponse{Kind: "workspace", Error: "there is no workspace " + name}
}
