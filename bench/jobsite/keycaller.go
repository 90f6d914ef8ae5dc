package jobsite

import (
	"context"
	"io"
	"net/http"
	"sync"
	"time"

	"google.golang.org/protobuf/encoding/protojson"

	"github.com/tarragonbank/tarragonbank/fleet/schema"
	"github.com/tarragonbank/tarragonbank/platform/simulator"
)

// Of the submissions of callers of workspaces, one in unknownKeyRate carries an unknown key, and one in withdrawnKeyRate a
// withdrawn one if there is any.
const (
	unknownKeyRate   = 16
	withdrawnKeyRate = 8
	// One in missingKeyRate of the requests with an unknown key has none at all.
	missingKeyRate = 4
	// probeTimeout is longer than the usual pause of an entry, so that answers after it are seen.
	probeTimeout = 7 * time.Second
	// probeInterval is the time between probes by ProbeKeys.
	probeInterval = 60 * time.Millisecond
)

// SubmitFor submits a job of a workspace in the background, with retries. Wait waits for the final answer.
func (c *Callers) SubmitFor(ctx context.Context, workspace string, j Job) *Submission {
	c.site.Platform.Checker.RecordWorkspace(j.Request.Id, workspace)
	return c.submitInBackground(ctx, &Submission{Job: j, Workspace: workspace, Sent: time.Now(), answered: make(chan struct{})})
}

// drawWorkspace draws a workspace, or returns "" if they are not in use.
func (c *Callers) drawWorkspace() string {
	l := c.site.Workspaces()
	if len(l) == 0 {
		return ""
	}
	return l[c.drawKey(len(l))]
}

func (c *Callers) drawKey(n int) int {
	c.lock.Lock()
	defer c.lock.Unlock()
	return c.keyRandom.IntN(n)
}

// unknownKey returns a new key that no workspace has, or no key.
func (c *Callers) unknownKey() string {
	c.lock.Lock()
	defer c.lock.Unlock()
	if c.keyRandom.IntN(missingKeyRate) == 0 {
		return ""
	}
	return simulator.NewKey(c.keyRandom)
}

// pickKey returns a key of a workspace: mostly one of its current keys, sometimes a withdrawn or an unknown one.
func (c *Callers) pickKey(workspace string) string {
	current, withdrawn := c.site.Keys(workspace)
	switch {
	case c.drawKey(unknownKeyRate) == 0 || len(current)+len(withdrawn) == 0:
		return c.unknownKey()
	case len(withdrawn) > 0 && (len(current) == 0 || c.drawKey(withdrawnKeyRate) == 0):
		return withdrawn[c.drawKey(len(withdrawn))]
	default:
		return current[c.drawKey(len(current))]
	}
}

// encode returns the function that makes the HTTP request of one attempt to submit a job at an entry.
func (c *Callers) encode(x *Submission) func(ctx context.Context, e *Entry) (*http.Request, string, error) {
	if x.Workspace != "" {
		return func(ctx context.Context, e *Entry) (*http.Request, string, error) {
			key := c.pickKey(x.Workspace)
			r, err := c.callerRequest(e, x.Request, key).Submission(ctx, x.Request)
			return r, key, err
		}
	}
	b, err := protojson.Marshal(x.Request)
	if err != nil {
		panic(err)
	}
	return func(ctx context.Context, e *Entry) (*http.Request, string, error) {
		r, err := newOperatorSubmission(ctx, e, b)
		return r, "", err
	}
}

func (c *Callers) callerRequest(e *Entry, j *schema.JobRequest, key string) simulator.CallerRequest {
	return simulator.CallerRequest{Entry: e.Spec.CallerAddress, Queue: c.site.table().ByName(j.Queue), Key: key, Job: j.Id}
}

// notRun reports whether the status of a response says that a submission of a workspace was not carried out.
func notRun(status int) bool {
	switch status {
	case http.StatusTooManyRequests, http.StatusUnauthorized, http.StatusForbidden, http.StatusServiceUnavailable:
		return true
	default:
		return false
	}
}

// ProbeKeys asks random entries, ready or not, for the states of jobs until the context ends, with current, withdrawn and
// unknown keys and with those of other workspaces. The checker judges the answers.
func (c *Callers) ProbeKeys(ctx context.Context) {
	callEvery(ctx, probeInterval, func() { c.probe(ctx) })
}

// callEvery calls f at each interval, without waiting for earlier calls, until the context ends. It returns once all have
// returned.
func callEvery(ctx context.Context, interval time.Duration, f func()) {
	var work sync.WaitGroup
	defer work.Wait()
	t := time.NewTicker(interval)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
			work.Go(f)
		}
	}
}

func (c *Callers) probe(ctx context.Context) {
	l := c.all()
	if len(l) == 0 {
		return
	}
	j := l[c.drawKey(len(l))].Request
	c.Probe(ctx, c.site.Entries[c.drawKey(len(c.site.Entries))], j, c.pickKey(c.drawWorkspace()))
}

// Probe asks an entry for the state of a job with a key, passes the answer to the checker and returns its status.
func (c *Callers) Probe(ctx context.Context, e *Entry, j *schema.JobRequest, key string) int {
	return c.probeRequest(ctx, e, c.callerRequest(e, j, key))
}

// ProbeQueue is Probe for the state of a queue.
func (c *Callers) ProbeQueue(ctx context.Context, e *Entry, queue, key string) int {
	return c.probeRequest(ctx, e, c.callerRequest(e, &schema.JobRequest{Queue: queue}, key))
}

func (c *Callers) probeRequest(ctx context.Context, e *Entry, q simulator.CallerRequest) int {
	ctx, stop := context.WithTimeout(ctx, probeTimeout)
	defer stop()
	r, err := q.Query(ctx, http.MethodGet)
	if err != nil {
		return 0
	}
	sent := time.Now()
	status := c.send(r)
	if status != 0 {
		c.recordRequest(e, q.Key, q.Job, sent, status)
	}
	return status
}

// send sends a request and returns the status of the response, 0 without a complete one.
func (c *Callers) send(r *http.Request) int {
	a, err := c.client.Do(r)
	if err != nil {
		return 0
	}
	defer a.Body.Close()
	if _, err := io.Copy(io.Discard, a.Body); err != nil {
		return 0
	}
	return a.StatusCode
}

func (c *Callers) recordRequest(e *Entry, key, id string, sent time.Time, status int) {
	c.site.Platform.Checker.RecordRequest(simulator.Request{Entry: e.Name, Key: key, Job: id, SentAt: sent, AnsweredAt: time.Now(), Status: status})
}
