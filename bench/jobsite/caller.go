package jobsite

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/tarragonbank/tarragonbank/fleet/schema"
	"github.com/tarragonbank/tarragonbank/platform/simulator"
)

const (
	// attemptTimeout and maxAttempts are the same as for the users' callers.
	attemptTimeout = 3 * time.Second
	maxAttempts    = 5
	// outcomeUnknownBackoff is the pause after a submission or a cancellation with an unknown outcome. After a refusal the
	// pause is the Retry-After of the response. maxBackoff bounds the pauses between submissions.
	outcomeUnknownBackoff = 300 * time.Millisecond
	maxBackoff            = 3 * time.Second
	// phasePollInterval is the interval between polls of the jobs' phases. queryTimeout bounds a poll, a cancellation and
	// every other query.
	phasePollInterval = 250 * time.Millisecond
	queryTimeout      = 2 * time.Second
)

// Job is a job request with the actual behaviour of its tasks.
type Job struct {
	Request *schema.JobRequest
	Steps   []simulator.Step
}

// Submission is a submitted job with the state that its caller has observed.
type Submission struct {
	Job
	// Workspace is that of the caller, empty if the caller belongs to none.
	Workspace string
	// Sent is when the first attempt was sent, Answered when the result of the last attempt was known.
	Sent     time.Time
	Answered time.Time
	Answer   simulator.Answer
	// resent is the answer to the sendings by Resubmit, Refused if there are none.
	resent simulator.Answer
	// Phase is the phase observed last, Ended when a final phase was first observed.
	Phase string
	Ended time.Time
	// Cancelled is set once the caller has decided to cancel the job.
	Cancelled bool
	// answered is closed when the submission has its final answer or its context has ended.
	answered chan struct{}
}

// Callers submits jobs through the HTTP interface of the entries and tracks their phases.
type Callers struct {
	site   *Site
	client *http.Client

	lock   sync.Mutex
	random *rand.Rand
	// keyRandom draws workspaces and keys, so that the other draws of a seed do not depend on them.
	keyRandom *rand.Rand
	// probeRandom draws the entries and queues of ProbeQueues.
	probeRandom *rand.Rand
	submissions []*Submission
	pending     sync.WaitGroup
}

// NewCallers returns callers of a site. The seed determines the choice of entries and the job IDs.
func NewCallers(s *Site, seed uint64) *Callers {
	return &Callers{site: s, client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 8}}, random: rand.New(rand.NewPCG(seed, 3)), keyRandom: rand.New(rand.NewPCG(seed, 22)), probeRandom: rand.New(rand.NewPCG(seed, 23))}
}

// Submissions returns copies of all submissions in their current state.
func (c *Callers) Submissions() []Submission {
	c.lock.Lock()
	defer c.lock.Unlock()
	l := []Submission{}
	for _, x := range c.submissions {
		l = append(l, *x)
	}
	return l
}

// Submission returns a copy of the submission of a job in its current state, or the zero value if there is none.
func (c *Callers) Submission(id string) Submission {
	c.lock.Lock()
	defer c.lock.Unlock()
	for _, x := range c.submissions {
		if x.Request.Id == id {
			return *x
		}
	}
	return Submission{}
}

func (c *Callers) all() []*Submission {
	c.lock.Lock()
	defer c.lock.Unlock()
	return append([]*Submission{}, c.submissions...)
}

// pickEntry returns a random ready entry, or a random one if none is ready, as a load balancer would choose.
func (c *Callers) pickEntry(ctx context.Context) *Entry {
	c.lock.Lock()
	l := c.random.Perm(len(c.site.Entries))
	c.lock.Unlock()
	for _, i := range l {
		if e := c.site.Entries[i]; e.Ready(ctx) {
			return e
		}
	}
	return c.site.Entries[l[0]]
}

// NewJobID generates a job ID of 16 hexadecimal digits.
func (c *Callers) NewJobID() string {
	c.lock.Lock()
	defer c.lock.Unlock()
	return fmt.Sprintf("%016x", c.random.Uint64())
}

// Submit submits a job in the background, with retries. Wait waits for the final answer. If workspaces are in use, the job
// is one of a random workspace.
func (c *Callers) Submit(ctx context.Context, j Job) *Submission {
	if w := c.drawWorkspace(); w != "" {
		return c.SubmitFor(ctx, w, j)
	}
	return c.submitInBackground(ctx, &Submission{Job: j, Sent: time.Now(), answered: make(chan struct{})})
}

func (c *Callers) submitInBackground(ctx context.Context, x *Submission) *Submission {
	x.resent = simulator.Refused
	c.lock.Lock()
	c.submissions = append(c.submissions, x)
	c.lock.Unlock()
	c.site.Platform.Checker.AddJob(x.Request.Id, x.Request.Payload, x.Steps)
	c.pending.Add(1)
	go func() {
		defer c.pending.Done()
		defer close(x.answered)
		c.submit(ctx, x)
	}()
	return x
}

// Resubmit sends the request of an earlier submission once more. Submission is idempotent: it records a violation if an
// accepted job is now refused. A job that was refused before may be accepted now.
func (c *Callers) Resubmit(ctx context.Context, x *Submission) {
	status, _ := c.attempt(ctx, x, c.encode(x))
	if status == http.StatusTooManyRequests && c.Submission(x.Request.Id).Answer == simulator.Accepted {
		c.site.Platform.Checker.AddViolation("job %s was refused on resubmission although it was accepted before", x.Request.Id)
	}
	c.lock.Lock()
	x.resent = x.resent.Or(x.answer(status))
	known := x.resent == simulator.Accepted || !x.Answered.IsZero()
	if known {
		x.Answer = x.Answer.Or(x.resent)
	}
	a := x.Answer
	c.lock.Unlock()
	if known {
		c.site.Platform.Checker.RecordAnswer(x.Request.Id, a)
	}
}

// answer returns what a status says about the job.
func (x *Submission) answer(status int) simulator.Answer {
	switch {
	case status == http.StatusOK:
		return simulator.Accepted
	case status == http.StatusTooManyRequests || x.Workspace != "" && notRun(status):
		return simulator.Refused
	default:
		return simulator.OutcomeUnknown
	}
}

// Wait waits until all submissions and cancellations in the background have finished.
func (c *Callers) Wait() {
	c.pending.Wait()
}

func (c *Callers) submit(ctx context.Context, x *Submission) {
	encode := c.encode(x)
	a := simulator.Refused
	for range maxAttempts {
		status, retry := c.attempt(ctx, x, encode)
		n := x.answer(status)
		if a = a.Or(n); a == simulator.Accepted {
			break
		}
		if n == simulator.OutcomeUnknown {
			retry = outcomeUnknownBackoff
		}
		select {
		case <-ctx.Done():
			return
		case <-time.After(min(retry, maxBackoff)):
		}
	}
	c.lock.Lock()
	a = a.Or(x.resent)
	x.Answer, x.Answered = a, time.Now()
	c.lock.Unlock()
	c.site.Platform.Checker.RecordAnswer(x.Request.Id, a)
}

// attempt submits a job once and returns the status code and the Retry-After delay, one second if there is none.
// Status 0 means that there was no complete response.
func (c *Callers) attempt(ctx context.Context, x *Submission, encode func(context.Context, *Entry) (*http.Request, string, error)) (int, time.Duration) {
	e := c.pickEntry(ctx)
	t, stop := context.WithTimeout(ctx, attemptTimeout)
	defer stop()
	r, key, err := encode(t, e)
	if err != nil {
		return 0, 0
	}
	sent := time.Now()
	a, err := c.client.Do(r)
	if err != nil {
		return 0, 0
	}
	defer a.Body.Close()
	if _, err := io.Copy(io.Discard, a.Body); err != nil {
		return 0, 0
	}
	if x.Workspace != "" {
		c.recordRequest(e, key, x.Request.Id, sent, a.StatusCode)
	}
	n, err := strconv.Atoi(a.Header.Get("Retry-After"))
	if err != nil {
		n = 1
	}
	return a.StatusCode, time.Duration(n) * time.Second
}

// newOperatorSubmission returns the request that submits a job on the operators' side of an entry, without a key.
func newOperatorSubmission(ctx context.Context, e *Entry, b []byte) (*http.Request, error) {
	return http.NewRequestWithContext(ctx, http.MethodPost, "http://"+e.Spec.ReadinessAddress.String()+"/v1/jobs", bytes.NewReader(b))
}

// Cancel waits for a submission's answer in the background and, if the job was accepted, retries its cancellation until it
// is acknowledged or the context ends.
func (c *Callers) Cancel(ctx context.Context, x *Submission) {
	c.cancel(ctx, x, func(a simulator.Answer) bool { return a == simulator.Accepted })
}

// CancelUnlessRefused is Cancel for a job that may have been accepted. No attempt to submit it may be under way.
func (c *Callers) CancelUnlessRefused(ctx context.Context, x *Submission) {
	c.cancel(ctx, x, func(a simulator.Answer) bool { return a != simulator.Refused })
}

func (c *Callers) cancel(ctx context.Context, x *Submission, concerns func(simulator.Answer) bool) {
	c.pending.Add(1)
	go func() {
		defer c.pending.Done()
		<-x.answered
		c.lock.Lock()
		x.Cancelled = concerns(x.Answer)
		cancelled := x.Cancelled
		c.lock.Unlock()
		if !cancelled {
			return
		}
		for ctx.Err() == nil {
			status, _ := c.query(ctx, http.MethodDelete, "/v1/jobs/"+x.Request.Id)
			if status == http.StatusOK || status == http.StatusNotFound {
				c.site.Platform.Checker.RecordCancellation(x.Request.Id, time.Now())
				return
			}
			time.Sleep(outcomeUnknownBackoff)
		}
	}()
}

// query sends a request without a body to an entry that pickEntry returns. Status 0 means that there was no complete
// response.
func (c *Callers) query(ctx context.Context, method, path string) (int, []byte) {
	return c.queryEntry(ctx, c.pickEntry(ctx), method, path)
}

func (c *Callers) queryEntry(ctx context.Context, e *Entry, method, path string) (int, []byte) {
	t, stop := context.WithTimeout(ctx, queryTimeout)
	defer stop()
	r, err := http.NewRequestWithContext(t, method, "http://"+e.Spec.ReadinessAddress.String()+path, nil)
	if err != nil {
		return 0, nil
	}
	a, err := c.client.Do(r)
	if err != nil {
		return 0, nil
	}
	defer a.Body.Close()
	b, err := io.ReadAll(a.Body)
	if err != nil {
		return 0, nil
	}
	return a.StatusCode, b
}

// PollPhases polls the phases of all jobs until the context ends.
func (c *Callers) PollPhases(ctx context.Context) {
	t := time.NewTicker(phasePollInterval)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
			c.Poll(ctx)
		}
	}
}

// Poll updates the phases of all submissions from the job list of one entry. It returns false if the list could not be
// fetched.
func (c *Callers) Poll(ctx context.Context) bool {
	status, b := c.query(ctx, http.MethodGet, "/v1/jobs")
	var l []struct {
		ID    string `json:"id"`
		Phase string `json:"phase"`
	}
	if status != http.StatusOK || json.Unmarshal(b, &l) != nil {
		return false
	}
	m := map[string]string{}
	for _, x := range l {
		m[x.ID] = x.Phase
	}
	now := time.Now()
	for _, x := range c.all() {
		c.recordPhase(x, m[x.Request.Id], now)
	}
	return true
}

func (c *Callers) recordPhase(x *Submission, phase string, now time.Time) {
	c.lock.Lock()
	defer c.lock.Unlock()
	if phase == "" {
		return
	}
	x.Phase = phase
	if x.Ended.IsZero() && (phase == "completed" || phase == "failed" || phase == "cancelled") {
		x.Ended = now
	}
	switch phase {
	case "completed":
		c.site.Platform.Checker.RecordCompletion(x.Request.Id)
	case "failed":
		c.site.Platform.Checker.RecordFailure(x.Request.Id, TaskAttempts)
	}
}

// Explain returns an entry's description of a job and its tasks, or "" if there was no response.
func (c *Callers) Explain(ctx context.Context, id string) string {
	_, b := c.query(ctx, http.MethodGet, "/v1/jobs/"+id)
	return string(b)
}

// ConfigVersion returns the version of the configuration in force at an entry, or 0 if it is unknown.
func (c *Callers) ConfigVersion(ctx context.Context, e *Entry) uint64 {
	_, b := c.queryEntry(ctx, e, http.MethodGet, "/v1/owner")
	var v struct {
		Config uint64 `json:"config"`
	}
	if json.Unmarshal(b, &v) != nil {
		return 0
	}
	return v.Config
}

// Owner returns the entry that owns the fleet, according to an entry that pickEntry returns, or nil if it is unknown.
func (c *Callers) Owner(ctx context.Context) *Entry {
	status, b := c.query(ctx, http.MethodGet, "/v1/owner")
	var v struct {
		Name string `json:"name"`
	}
	if status != http.StatusOK || json.Unmarshal(b, &v) != nil {
		return nil
	}
	for _, e := range c.site.Entries {
		if e.Name == v.Name {
			return e
		}
	}
	return nil
}
