package decision

import (
	"bytes"
	"encoding/json"
	"time"

	"github.com/gravitational/trace"
	"github.com/sirupsen/logrus"
)

// recordField is the name of the log entry's field that holds the Record.
const recordField = "record"

// line is a record as it is written, with its fields in alphabetical order.
type line struct {
	AgeMs      int64     `json:"ageMs,omitempty"`
	Attempt    int       `json:"attempt,omitempty"`
	Cause      string    `json:"cause,omitempty"`
	DataCentre string    `json:"dataCentre,omitempty"`
	DurationMs float64   `json:"durationMs,omitempty"`
	Kind       string    `json:"kind"`
	Level      string    `json:"level"`
	Message    string    `json:"msg"`
	Pool       string    `json:"pool,omitempty"`
	Reason     string    `json:"reason"`
	Request    string    `json:"request,omitempty"`
	Revision   uint64    `json:"revision,omitempty"`
	Run        int       `json:"run,omitempty"`
	Service    string    `json:"service,omitempty"`
	Task       string    `json:"task,omitempty"`
	Time       time.Time `json:"time"`
	VM         string    `json:"vm,omitempty"`
}

// lineFormatter formats log entries of records as JSON lines. logrus.JSONFormatter takes several times as long, since it
// sorts a map of the fields for each line. It is not safe for concurrent use, and a line is valid until the next one.
type lineFormatter struct {
	buffer  *bytes.Buffer
	encoder *json.Encoder
}

func newLineFormatter() lineFormatter {
	b := &bytes.Buffer{}
	return lineFormatter{buffer: b, encoder: json.NewEncoder(b)}
}

// Format implements logrus.Formatter.
func (f lineFormatter) Format(e *logrus.Entry) ([]byte, error) {
	r, ok := e.Data[recordField].(*Record)
	if !ok {
		return nil, trace.BadParameter("log entry without a record")
	}
	f.buffer.Reset()
	err := f.encoder.Encode(line{
		AgeMs: r.Age.Milliseconds(), Attempt: r.Attempt, Cause: r.Cause, DataCentre: r.DataCentre, DurationMs: float64(r.Duration.Microseconds()) / 1000, Kind: r.Kind.String(),
		Level: e.Level.String(), Message: e.Message, Pool: r.Pool, Reason: r.Reason, Request: r.Request, Revision: r.Revision,
		Run: r.Run, Service: r.Service, Task: r.Task, Time: e.Time, VM: r.VM,
	})
	return f.buffer.Bytes(), err
}
