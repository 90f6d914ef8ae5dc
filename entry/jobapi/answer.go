package jobapi

import (
	"encoding/json"
	"errors"
	"mime"
	"net/http"
	"strconv"
	"time"

	"google.golang.org/protobuf/encoding/protojson"
	"google.golang.org/protobuf/proto"

	"github.com/tarragonbank/tarragonbank/entry/ingress"
	"github.com/tarragonbank/tarragonbank/fleet/document"
	"github.com/tarragonbank/tarragonbank/fleet/job"
	"github.com/tarragonbank/tarragonbank/fleet/scheduler"
	"github.com/tarragonbank/tarragonbank/fleet/schema"
)

// tomlContentType marks a job in TOML; bodies of any other type are read as JSON.
const tomlContentType = "application/toml"

// decodeJob decodes a job and rejects unknown fields. It fails with an error of package document or an InvalidError.
func decodeJob(contentType, file string, b []byte) (*schema.JobRequest, error) {
	q := &schema.JobRequest{}
	if t, _, err := mime.ParseMediaType(contentType); err == nil && t == tomlContentType {
		d, err := document.Parse(file, b)
		if err != nil {
			return q, err
		}
		return q, d.Decode(q)
	}
	if err := protojson.Unmarshal(b, q); err != nil {
		return q, &job.InvalidError{Field: "body", Reason: err.Error()}
	}
	return q, nil
}

// errorResponse is the JSON body of a call that failed.
type errorResponse struct {
	Kind  string `json:"kind"`
	Error string `json:"error"`
	// Field is the path of the invalid field in the job.
	Field string `json:"place,omitempty"`
	// RetryAfterMs is how long to wait before a retry, in milliseconds; 0 if a retry does not help.
	RetryAfterMs int64 `json:"retryAfterMs,omitempty"`
}

// writeBodyError writes the error of a body that could not be read.
func writeBodyError(w http.ResponseWriter, err error) {
	var busy *ingress.BusyError
	status, x := http.StatusRequestEntityTooLarge, errorResponse{Kind: "body", Error: err.Error()}
	if errors.As(err, &busy) {
		status, x.Kind, x.RetryAfterMs = http.StatusServiceUnavailable, "busy", ingress.RetryAfter.Milliseconds()
	}
	writeError(w, status, x)
}

// invalidJob returns the body for a job that cannot be decoded or is invalid.
func invalidJob(err error) errorResponse {
	var i *job.InvalidError
	if errors.As(err, &i) {
		return errorResponse{Kind: "job", Field: i.Field, Error: i.Error()}
	}
	return errorResponse{Kind: "document", Error: err.Error()}
}

// writeReply writes the message if the call was done, and otherwise the status and error for its result.
func (s *Server) writeReply(w http.ResponseWriter, x scheduler.Reply, m proto.Message) {
	switch x.Result {
	case scheduler.Done:
		writeMessage(w, m)
	case scheduler.Refused:
		writeError(w, http.StatusTooManyRequests, errorResponse{Kind: "refused", Error: x.Reason, RetryAfterMs: x.RetryAfter.Milliseconds()})
	case scheduler.NotFound:
		writeError(w, http.StatusNotFound, errorResponse{Kind: "absent", Error: "there is no such job"})
	case scheduler.Invalid:
		writeError(w, http.StatusBadRequest, errorResponse{Kind: "job", Error: x.Reason})
	default:
		writeError(w, http.StatusGatewayTimeout, errorResponse{
			Kind: "unsure", Error: "it may have been done, ask again with the same id: " + x.Reason, RetryAfterMs: x.RetryAfter.Milliseconds(),
		})
	}
}

// unprovedRetryAfter is how long a client should wait before it retries at an entry whose configuration is not proved.
const unprovedRetryAfter = 2 * time.Second

// writeAbsent writes that the configuration lacks something, or, if it is not proved, that it may lack it.
func (s *Server) writeAbsent(w http.ResponseWriter, f errorResponse) {
	if s.entry.ConfigProved() {
		writeError(w, http.StatusNotFound, f)
		return
	}
	f.Kind, f.Error, f.RetryAfterMs = "unproved", f.Error+", but this entry's configuration may be out of date", unprovedRetryAfter.Milliseconds()
	writeError(w, http.StatusServiceUnavailable, f)
}

// writeError writes an error, with a Retry-After header in whole seconds, rounded up.
func writeError(w http.ResponseWriter, status int, f errorResponse) {
	if f.RetryAfterMs > 0 {
		d := time.Duration(f.RetryAfterMs) * time.Millisecond
		w.Header().Set("Retry-After", strconv.FormatInt(int64((d+time.Second-1)/time.Second), 10))
	}
	writeJSON(w, status, f)
}

// marshalOptions include zero values, so that clients see every field.
var marshalOptions = protojson.MarshalOptions{EmitUnpopulated: true}

func writeMessage(w http.ResponseWriter, m proto.Message) {
	b, err := marshalOptions.Marshal(m)
	if err != nil {
		writeError(w, http.StatusInternalServerError, errorResponse{Kind: "internal", Error: err.Error()})
		return
	}
	writeJSON(w, http.StatusOK, json.RawMessage(b))
}

func writeMessages[M proto.Message](w http.ResponseWriter, l []M) {
	r := []json.RawMessage{}
	for _, m := range l {
		b, err := marshalOptions.Marshal(m)
		if err != nil {
			writeError(w, http.StatusInternalServerError, errorResponse{Kind: "internal", Error: err.Error()})
			return
		}
		r = append(r, b)
	}
	writeJSON(w, http.StatusOK, r)
}

func writeJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	// Encoding fails only if the client has disconnected.
	_ = json.NewEncoder(w).Encode(v)
}
