package submitter

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

// tomlType is the content type of a job written in TOML; all else is read as JSON.
const tomlType = "application/toml"

// decode reads a job strictly; it fails with a document error or an InvalidError.
func decode(contentType, file string, b []byte) (*schema.JobRequest, error) {
	q := &schema.JobRequest{}
	if t, _, err := mime.ParseMediaType(contentType); err == nil && t == tomlType {
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

// failure tells a caller what was not done, and why.
type failure struct {
	Kind  string `json:"kind"`
	Error string `json:"error"`
	// Place is the field that is wrong.
	Place string `json:"place,omitempty"`
	// RetryAfterMs is when to come back, 0 where that does not help.
	RetryAfterMs int64 `json:"retryAfterMs,omitempty"`
}

// invalid describes a job that cannot be read or accepted.
func invalid(err error) failure {
	var i *job.InvalidError
	if errors.As(err, &i) {
		return failure{Kind: "job", Place: i.Field, Error: i.Error()}
	}
	return failure{Kind: "document", Error: err.Error()}
}

// reply answers with the message where the call was done, and says otherwise what became of it.
func (s *Server) reply(w http.ResponseWriter, x scheduler.Reply, m proto.Message) {
	switch x.Result {
	case scheduler.Done:
		message(w, m)
	case scheduler.Refused:
		refuse(w, http.StatusTooManyRequests, failure{Kind: "refused", Error: x.Reason, RetryAfterMs: x.RetryAfter.Milliseconds()})
	case scheduler.NotFound:
		refuse(w, http.StatusNotFound, failure{Kind: "absent", Error: "there is no such job"})
	case scheduler.Invalid:
		refuse(w, http.StatusBadRequest, failure{Kind: "job", Error: x.Reason})
	default:
		refuse(w, http.StatusGatewayTimeout, failure{
			Kind: "unsure", Error: "it may have been done, ask again with the same id: " + x.Reason, RetryAfterMs: x.RetryAfter.Milliseconds(),
		})
	}
}

func refuse(w http.ResponseWriter, status int, f failure) {
	if f.RetryAfterMs > 0 {
		d := time.Duration(f.RetryAfterMs) * time.Millisecond
		w.Header().Set("Retry-After", strconv.FormatInt(int64((d+time.Second-1)/time.Second), 10))
	}
	write(w, status, f)
}

// format writes zeros as well, so that a reader sees all fields.
var format = protojson.MarshalOptions{EmitUnpopulated: true}

func message(w http.ResponseWriter, m proto.Message) {
	b, err := format.Marshal(m)
	if err != nil {
		refuse(w, http.StatusInternalServerError, failure{Kind: "internal", Error: err.Error()})
		return
	}
	write(w, http.StatusOK, json.RawMessage(b))
}

func messages[M proto.Message](w http.ResponseWriter, l []M) {
	r := []json.RawMessage{}
	for _, m := range l {
		b, err := format.Marshal(m)
		if err != nil {
			refuse(w, http.StatusInternalServerError, failure{Kind: "internal", Error: err.Error()})
			return
		}
		r = append(r, b)
	}
	write(w, http.StatusOK, r)
}

func write(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	// A caller that has gone needs no answer.
	_ = json.NewEncoder(w).Encode(v)
}
