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

	"google.golang.org/protobuf/encoding/protojson"

	"github.com/tarragonbank/tarragonbank/fleet/schema"
	"github.com/tarragonbank/tarragonbank/platform/standin"
)

const (
	// attemptLimit bounds one attempt, mostAttempts their number, as for the users' callers.
	attemptLimit = 3 * time.Second
	mostAttempts = 5
	// unsurePause is before the next attempt after one without a clear answer; refused callers come back when they
	// are told to, at most after mostRetry.
	unsurePause = 300 * time.Millisecond
	mostRetry   = 3 * time.Second
	// statePoll is between looks at the jobs' phases, statusTimeout bounds one.
	statePoll     = 250 * time.Millisecond
	statusTimeout = 2 * time.Second
)

// Job is a submission with what its tasks truly are.
type Job struct {
	Request *schema.JobRequest
	Steps   []standin.Step
}

// Submission is a job with what its caller knows of it.
type Submission struct {
	Job
	// Sent and Answered are when the first attempt was sent and the last one answered.
	Sent     time.Time
	Answered time.Time
	Answer   standin.Answer
	// Phase is the phase that was shown last, Ended when a final one was.
	Phase     string
	Ended     time.Time
	Cancelled bool
	// answered is closed with the last answer.
	answered chan struct{}
}

// Callers submit jobs through the product's own interface and follow them.
type Callers struct {
	site   *Site
	client *http.Client

	lock   sync.Mutex
	random *rand.Rand
	jobs   []*Submission
	work   sync.WaitGroup
}

// NewCallers makes callers that choose entries by the seed.
func NewCallers(s *Site, seed uint64) *Callers {
	return &Callers{site: s, client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 8}}, random: rand.New(rand.NewPCG(seed, 3))}
}

// Submissions lists what was submitted as it stands now.
func (c *Callers) Submissions() []Submission {
	c.lock.Lock()
	defer c.lock.Unlock()
	l := []Submission{}
	for _, x := range c.jobs {
		l = append(l, *x)
	}
	return l
}

// Submission is a submission as it stands now.
func (c *Callers) Submission(id string) Submission {
	c.lock.Lock()
	defer c.lock.Unlock()
	for _, x := range c.jobs {
		if x.Request.Id == id {
			return *x
		}
	}
	return Submission{}
}

func (c *Callers) all() []*Submission {
	c.lock.Lock()
	defer c.lock.Unlock()
	return append([]*Submission{}, c.jobs...)
}

// entry is a random entry that is ready, or any where none is, as a balancer would choose.
func (c *Callers) entry(ctx context.Context) *Entry {
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

// ID is a new job's identity.
func (c *Callers) ID() string {
	c.lock.Lock()
	defer c.lock.Unlock()
	return fmt.Sprintf("%016x", c.random.Uint64())
}

// Submit hands a job in, on its own; Wait waits for the answers.
func (c *Callers) Submit(ctx context.Context, j Job) *Submission {
	x := &Submission{Job: j, Sent: time.Now(), answered: make(chan struct{})}
	c.lock.Lock()
	c.jobs = append(c.jobs, x)
	c.lock.Unlock()
	c.site.Platform.Ledger.Submit(j.Request.Id, j.Request.Payload, j.Steps)
	c.work.Add(1)
	go func() {
		defer c.work.Done()
		defer close(x.answered)
		c.submit(ctx, x)
	}()
	return x
}

// Resubmit submits a job that may have been accepted once more, which must change nothing.
func (c *Callers) Resubmit(ctx context.Context, x *Submission) {
	b, err := protojson.Marshal(x.Request)
	if err != nil {
		panic(err)
	}
	status, _ := c.attempt(ctx, b)
	if status != http.StatusTooManyRequests {
		return
	}
	if c.Submission(x.Request.Id).Answer == standin.Accepted {
		c.site.Platform.Ledger.Blame("job %s is refused, though it was accepted before", x.Request.Id)
	}
}

// Wait waits until all submissions have their last answer.
func (c *Callers) Wait() {
	c.work.Wait()
}

func (c *Callers) submit(ctx context.Context, x *Submission) {
	b, err := protojson.Marshal(x.Request)
	if err != nil {
		panic(err)
	}
	a := standin.Refused
	for range mostAttempts {
		status, retry := c.attempt(ctx, b)
		if status == http.StatusOK {
			a = standin.Accepted
			break
		}
		if status != http.StatusTooManyRequests {
			a = standin.Unsure
			retry = unsurePause
		}
		select {
		case <-ctx.Done():
			return
		case <-time.After(min(retry, mostRetry)):
		}
	}
	c.lock.Lock()
	x.Answer, x.Answered = a, time.Now()
	c.lock.Unlock()
	c.site.Platform.Ledger.Answered(x.Request.Id, a)
}

// attempt sends a job once; status 0 means that no answer came.
func (c *Callers) attempt(ctx context.Context, b []byte) (int, time.Duration) {
	e := c.entry(ctx)
	t, stop := context.WithTimeout(ctx, attemptLimit)
	defer stop()
	r, err := http.NewRequestWithContext(t, http.MethodPost, "http://"+e.Spec.Ready.String()+"/v1/jobs", bytes.NewReader(b))
	if err != nil {
		return 0, 0
	}
	a, err := c.client.Do(r)
	if err != nil {
		return 0, 0
	}
	defer a.Body.Close()
	if _, err := io.Copy(io.Discard, a.Body); err != nil {
		return 0, 0
	}
	n, err := strconv.Atoi(a.Header.Get("Retry-After"))
	if err != nil {
		n = 1
	}
	return a.StatusCode, time.Duration(n) * time.Second
}

// Cancel cancels a job, unless it was not accepted, until that is acknowledged or the context ends.
func (c *Callers) Cancel(ctx context.Context, x *Submission) {
	c.work.Add(1)
	go func() {
		defer c.work.Done()
		<-x.answered
		c.lock.Lock()
		accepted := x.Answer == standin.Accepted
		x.Cancelled = accepted
		c.lock.Unlock()
		if !accepted {
			return
		}
		for ctx.Err() == nil {
			status, _ := c.ask(ctx, http.MethodDelete, "/v1/jobs/"+x.Request.Id)
			if status == http.StatusOK || status == http.StatusNotFound {
				c.site.Platform.Ledger.Cancelled(x.Request.Id, time.Now())
				return
			}
			time.Sleep(unsurePause)
		}
	}()
}

// ask asks a ready entry; status 0 means that no answer came.
func (c *Callers) ask(ctx context.Context, method, path string) (int, []byte) {
	return c.askEntry(ctx, c.entry(ctx), method, path)
}

func (c *Callers) askEntry(ctx context.Context, e *Entry, method, path string) (int, []byte) {
	t, stop := context.WithTimeout(ctx, statusTimeout)
	defer stop()
	r, err := http.NewRequestWithContext(t, method, "http://"+e.Spec.Ready.String()+path, nil)
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

// PollPhases asks for the phases of all accepted jobs until the context ends.
func (c *Callers) PollPhases(ctx context.Context) {
	t := time.NewTicker(statePoll)
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

// Poll takes the phases of all jobs as an entry lists them now.
func (c *Callers) Poll(ctx context.Context) bool {
	status, b := c.ask(ctx, http.MethodGet, "/v1/jobs")
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
		c.take(x, m[x.Request.Id], now)
	}
	return true
}

func (c *Callers) take(x *Submission, phase string, now time.Time) {
	c.lock.Lock()
	defer c.lock.Unlock()
	if phase == "" {
		return
	}
	x.Phase = phase
	if x.Ended.IsZero() && (phase == "completed" || phase == "failed" || phase == "cancelled") {
		x.Ended = now
	}
	if phase == "completed" {
		c.site.Platform.Ledger.Completed(x.Request.Id)
	}
}

// Explain is what an entry tells of a job's tasks.
func (c *Callers) Explain(ctx context.Context, id string) string {
	_, b := c.ask(ctx, http.MethodGet, "/v1/jobs/"+id)
	return string(b)
}

// ConfigVersion is the version of the configuration that an entry has in force, 0 where it does not tell.
func (c *Callers) ConfigVersion(ctx context.Context, e *Entry) uint64 {
	_, b := c.askEntry(ctx, e, http.MethodGet, "/v1/owner")
	var v struct {
		Config uint64 `json:"config"`
	}
	if json.Unmarshal(b, &v) != nil {
		return 0
	}
	return v.Config
}

// Owner is the entry that owns all pools as an entry tells, nil where none does.
func (c *Callers) Owner(ctx context.Context) *Entry {
	status, b := c.ask(ctx, http.MethodGet, "/v1/owner")
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
