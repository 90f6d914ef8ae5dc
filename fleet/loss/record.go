package loss

import (
	"bytes"
	"encoding/json"
	"strings"
	"time"
)

// The reasons of log lines by which the analysis recognises them. Those that end with a space precede details.
const (
	ReasonAdmitted        = "admitted"
	ReasonAdmittedLasting = "admitted, no finite job"
	ReasonStartOrdered    = "start ordered"
	ReasonCompleted       = "completed"
	ReasonCompletedLate   = "completed late by "
	ReasonJobFailed       = "job failed: "
	ReasonCancelled       = "cancelled by its caller"
	ReasonCommitFailed    = "commit failed: "
	ReasonCommitsSucceed  = "commits succeed again"
	ReasonTermStarted     = "term started, stored jobs loaded"
	ReasonTermEnded       = "term ended"
	ReasonMoveToPool      = "move: "
	ReasonVMBack          = "VM is back"
	ReasonSubmission      = "submission "
	ReasonRefused         = "refused: "
	ReasonRunEnded        = "ended "
	ReasonLeaseExpired    = "lease expired on an unreachable server"
	ReasonServerRestarted = "server restarted"
	ReasonStalled         = "run is stalled"
	ReasonStraggles       = "straggles"
)

// Record is a line of an entry's log, as far as the analysis reads it.
type Record struct {
	Time       time.Time `json:"time"`
	Kind       string    `json:"kind"`
	Request    string    `json:"request"`
	Task       string    `json:"task"`
	Pool       string    `json:"pool"`
	Service    string    `json:"service"`
	Reason     string    `json:"reason"`
	Cause      string    `json:"cause"`
	DataCentre string    `json:"dataCentre"`
	VM         string    `json:"vm"`
	Run        int       `json:"run"`
	// Source is the entry that wrote the line.
	Source string `json:"-"`
}

// Parse decodes a line of a log. Text before the JSON object, such as the name of the entry in a merged log, becomes a part of
// the source. It returns false for a line that is torn or of another kind.
func Parse(line []byte, source string) (Record, bool) {
	i := bytes.IndexByte(line, '{')
	if i < 0 {
		return Record{}, false
	}
	r := Record{}
	if err := json.Unmarshal(line[i:], &r); err != nil || r.Time.IsZero() || r.Kind == "" {
		return Record{}, false
	}
	r.Source = source
	if f := strings.Fields(string(line[:i])); len(f) > 0 {
		r.Source += f[0]
	}
	return r, true
}
