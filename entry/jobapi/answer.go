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

	"github.com/tarragonbank/tarragonbank/fleet/document"
	"github.com/tarragonbank/tarragonbank/fleet/job"
	"github.com/tarragonbank/tarragonbank/fleet/scheduler"
	"github.com/tarragonbank/tarragonbank/fleet/schema"
)

// tomlContentType is the content type of a job written in TOML; all else is read as JSON.
const tomlContentType = "application/toml"

// decodeJob reads a job strictly; it fails with a document error or an InvalidError.
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

// errorBody tells a caller what was not done, and why.
type errorBody struct {
	Kind  string `json:"kind"`
	Error string `json:"error"`
	// Field is the field that is wrong.
	Field string `json:"place,omitempty"`
	// RetryAfterMs is when to come back, 0 where that does not help.
	RetryAfterMs int64 `json:"retryAfterMs,omitempty"`
}

// invalidJob describes a job that cannot be read or accepted.
func invalidJob(err error) errorBody {
	var i *job.InvalidError
	if errors.As(err, &i) {
		return errorBody{Kind: "job", Field: i.Field, Error: i.Error()}
	}
	return errorBody{Kind: "document", Error: err.Error()}
}

// writeReply answers with the message where the call was done, and says otherwise what became of it.
func (s *Server) writeReply(w http.ResponseWriter, x scheduler.Reply, m proto.Message) {
	switch x.Result {
	case scheduler.Done:
		writeMessage(w, m)
	case scheduler.Refused:
		writeError(w, http.StatusTooManyRequests, errorBody{Kind: "refused", Error: x.Reason, RetryAfterMs: x.RetryAfter.Milliseconds()})
	case scheduler.NotFound:
		writeError(w, http.StatusNotFound, errorBody{Kind: "absent", Error: "there is no such job"})
	case scheduler.Invalid:
		writeError(w, http.StatusBadRequest, errorBody{Kind: "job", Error: x.Reason})
	default:
		writeError(w, http.StatusGatewayTimeout, errorBody{
			Kind: "unsure", Error: "it may have been done, ask again with the same id: " + x.Reason, RetryAfterMs: x.RetryAfter.Milliseconds(),
		})
	}
}

func writeError(w http.ResponseWriter, status int, f errorBody) {
	if f.RetryAfterMs > 0 {
		d := time.Duration(f.RetryAfterMs) * time.Millisecond
		w.Header().Set("Retry-After", strconv.FormatInt(int64((d+time.Second-1)/time.Second), 10))
	}
	writeJSON(w, status, f)
}

// marshalOptions writes zeros as well, so that a reader sees all fields.
var marshalOptions = protojson.MarshalOptions{EmitUnpopulated: true}

func writeMessage(w http.ResponseWriter, m proto.Message) {
	b, err := marshalOptions.Marshal(m)
	if err != nil {
		writeError(w, http.StatusInternalServerError, errorBody{Kind: "internal", Error: err.Error()})
		return
	}
	writeJSON(w, http.StatusOK, json.RawMessage(b))
}

func writeMessages[M proto.Message](w http.ResponseWriter, l []M) {
	r := []json.RawMessage{}
	for _, m := range l {
		b, err := marshalOptions.Marshal(m)
		if err != nil {
			writeError(w, http.StatusInternalServerError, errorBody{Kind: "internal", Error: err.Error()})
			return
		}
		r = append(r, b)
	}
	writeJSON(w, http.StatusOK, r)
}

func writeJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	// A caller that has gone needs no answer.
	_ = json.NewEncoder(w).Encode(v)
}
