package tarragonctl

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"fmt"
	"io"
	"net/url"
	"os"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/gravitational/trace"
)

const (
	// jobIDBytes is the length of a job ID, which is written as twice as many hexadecimal digits.
	jobIDBytes = 8
	// waitPollInterval is how often "job wait" requests the state of the job.
	waitPollInterval = 500 * time.Millisecond
	tomlContentType  = "application/toml"
)

// JobNotCompletedError reports a job that ended in another phase than completed.
type JobNotCompletedError struct {
	ID    string
	Phase string
}

// Error returns the message with the job's ID and phase.
func (e *JobNotCompletedError) Error() string {
	return "job " + e.ID + " ended in phase " + e.Phase
}

// SubmissionError reports that the submission of a job failed or that its outcome is unknown. The job may be submitted
// again with the same ID.
type SubmissionError struct {
	ID     string
	Reason string
}

// Error returns the message with the job's ID and the reason.
func (e *SubmissionError) Error() string {
	return "job " + e.ID + ": " + e.Reason
}

// taskStatus is the status of a task as an entry reports it.
type taskStatus struct {
	Task     string `json:"task"`
	State    string `json:"state"`
	WaitsFor string `json:"waitsFor"`
	Server   string `json:"server"`
	Run      int    `json:"run"`
	Failures int    `json:"failures"`
	Percent  int    `json:"percent"`
	// HeardAgeMs is the time since the last message from the server in milliseconds. It is a string because the JSON
	// encoding of Protocol Buffers writes 64-bit integers as strings.
	HeardAgeMs string `json:"heardAgeMs"`
}

// jobStatus is the status of a job as an entry reports it.
type jobStatus struct {
	ID         string `json:"id"`
	Queue      string `json:"queue"`
	Pool       string `json:"pool"`
	Phase      string `json:"phase"`
	AcceptedMs string `json:"acceptedMs"`
	EndedMs    string `json:"endedMs"`
	NextDueMs  string `json:"nextDueMs"`
	Waiting    int    `json:"waiting"`
	Running    int    `json:"running"`
	Done       int    `json:"done"`
	// Workspace is empty if the job was submitted without one.
	Workspace string       `json:"workspace,omitempty"`
	Tasks     []taskStatus `json:"tasks,omitempty"`
}

// ended reports whether the phase is final.
func (j jobStatus) ended() bool {
	return j.Phase == "completed" || j.Phase == "failed" || j.Phase == "cancelled"
}

func submitJob(ctx context.Context, c *Client, o Options, w io.Writer) error {
	b, contentType, err := readJobFile(o.Argument)
	if err != nil {
		return err
	}
	id := o.JobID
	if id == "" {
		if id, err = newJobID(); err != nil {
			return trace.Wrap(err, "generating a job ID")
		}
	}
	var v jobStatus
	if err := c.PostBody(ctx, "/v1/jobs?"+fileQuery(o.Argument, id).Encode(), contentType, b, &v); err != nil {
		return trace.Wrap(&SubmissionError{ID: id, Reason: trace.Unwrap(err).Error()})
	}
	return printJob(w, o, v)
}

// readJobFile returns the contents of a file with a job and their content type.
func readJobFile(name string) (b []byte, contentType string, err error) {
	if b, err = os.ReadFile(name); err != nil {
		return nil, "", trace.ConvertSystemError(err)
	}
	if strings.HasSuffix(name, ".toml") {
		return b, tomlContentType, nil
	}
	return b, jsonContentType, nil
}

func newJobID() (string, error) {
	b := make([]byte, jobIDBytes)
	_, err := rand.Read(b)
	return hex.EncodeToString(b), err
}

func listJobs(ctx context.Context, c *Client, o Options, w io.Writer) error {
	path := "/v1/jobs"
	if o.Queue != "" {
		path += "?queue=" + url.QueryEscape(o.Queue)
	}
	return printTable(ctx, c, o, w, path, "id", "queue", "phase", "waiting", "running", "done")
}

func jobPath(id string) string {
	return "/v1/jobs/" + url.PathEscape(id)
}

func showJob(ctx context.Context, c *Client, o Options, w io.Writer) error {
	var v jobStatus
	if err := c.Get(ctx, jobPath(o.Argument), &v); err != nil {
		return err
	}
	return printJob(w, o, v)
}

// explainJob explains a submitted job, or one in a file that is not submitted.
func explainJob(ctx context.Context, c *Client, o Options, w io.Writer) error {
	if (o.Argument == "") == (o.File == "") {
		return trace.BadParameter("give either the ID of a job or --file")
	}
	if o.File != "" {
		return previewJob(ctx, c, o, w)
	}
	var v jobStatus
	if err := c.Get(ctx, jobPath(o.Argument), &v); err != nil {
		return err
	}
	if o.JSON {
		return printJSON(w, v)
	}
	if err := printJob(w, o, v); err != nil {
		return err
	}
	if v.Workspace != "" {
		fmt.Fprintln(w, "workspace "+v.Workspace)
	}
	t := tabwriter.NewWriter(w, 0, 8, 2, ' ', 0)
	fmt.Fprintln(t, "task\tstate\trun\tfailures\tpercent\tserver\theard ms ago\twaits for")
	for _, x := range v.Tasks {
		fmt.Fprintf(t, "%s\t%s\t%d\t%d\t%d\t%s\t%s\t%s\n", x.Task, x.State, x.Run, x.Failures, x.Percent, x.Server, x.HeardAgeMs, x.WaitsFor)
	}
	return t.Flush()
}

// waitJob prints each change of the job's summary until the job has ended. It returns a JobNotCompletedError if the
// final phase is not completed.
func waitJob(ctx context.Context, c *Client, o Options, w io.Writer) error {
	last := ""
	for {
		var v jobStatus
		if err := c.Get(ctx, jobPath(o.Argument), &v); err != nil {
			return err
		}
		if s := v.summary(); s != last {
			fmt.Fprintln(w, s)
			last = s
		}
		if v.ended() {
			if v.Phase != "completed" {
				return trace.Wrap(&JobNotCompletedError{ID: o.Argument, Phase: v.Phase})
			}
			return nil
		}
		select {
		case <-ctx.Done():
			return trace.Wrap(ctx.Err(), "waiting for job %s", o.Argument)
		case <-time.After(waitPollInterval):
		}
	}
}

func cancelJob(ctx context.Context, c *Client, o Options, w io.Writer) error {
	var v jobStatus
	if err := c.Delete(ctx, jobPath(o.Argument), &v); err != nil {
		return err
	}
	return printJob(w, o, v)
}

func (j jobStatus) summary() string {
	return fmt.Sprintf("%s %s: %d waiting, %d running, %d done", j.ID, j.Phase, j.Waiting, j.Running, j.Done)
}

func printJob(w io.Writer, o Options, v jobStatus) error {
	if o.JSON {
		return printJSON(w, v)
	}
	_, err := fmt.Fprintln(w, v.summary())
	return err
}

func listQueues(ctx context.Context, c *Client, o Options, w io.Writer) error {
	return printTable(ctx, c, o, w, "/v1/queues", "name", "pool", "priority", "attempts", "pending")
}

func listPoolCapacity(ctx context.Context, c *Client, o Options, w io.Writer) error {
	return printTable(ctx, c, o, w, "/v1/pools", "name", "servers", "usable", "silent", "cores", "coresUsed", "coresNeeded",
		"tasksRunning", "tasksWaiting")
}

func listWaves(ctx context.Context, c *Client, o Options, w io.Writer) error {
	return printTable(ctx, c, o, w, "/v1/waves", "number", "complete", "maintained")
}

func showOwner(ctx context.Context, c *Client, o Options, w io.Writer) error {
	var v jsonObject
	if err := c.Get(ctx, "/v1/owner", &v); err != nil {
		return err
	}
	if o.JSON {
		return printJSON(w, v)
	}
	return printFields(w, v, "name", "address", "revision", "config", "logsDropped")
}
