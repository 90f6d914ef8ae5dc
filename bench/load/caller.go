package load

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/tarragonbank/tarragonbank/bench/backend"
	"github.com/tarragonbank/tarragonbank/fleet/request"
)

const (
	// lateGrace is how long after its deadline a response still counts as on time.
	lateGrace = 25 * time.Millisecond
	// responseSlack is how long after its deadline a caller gives up on a request.
	responseSlack       = 3 * time.Second
	maxIdleConnsPerHost = 1024
)

// Kind describes one kind of request and its arrival rate.
type Kind struct {
	Name        string
	Service     string
	Path        string
	Priority    string
	Team        string
	Deadline    time.Duration
	ServiceTime time.Duration
	Idempotent  bool
	// Keyed sends each request with an idempotency key.
	Keyed bool
	// Copies is the number of times that each request is sent concurrently; 0 means once.
	Copies int
	// CancelAfter is the time after which callers cancel a request; 0 means never.
	CancelAfter time.Duration
	// Rate returns the requests per second at the time since the start.
	Rate func(since time.Duration) float64
}

// Callers sends requests through a balancer as an open-loop load generator.
type Callers struct {
	balancer *Balancer
	tally    *Tally
	client   *http.Client
	seed     uint64
	sending  sync.WaitGroup
}

// NewCallers returns callers that record their results in the tally. The seed determines the arrival times.
func NewCallers(b *Balancer, t *Tally, seed uint64) *Callers {
	d := &net.Dialer{Timeout: time.Second}
	return &Callers{
		balancer: b, tally: t, seed: seed,
		client: &http.Client{Transport: &http.Transport{DialContext: d.DialContext, MaxIdleConnsPerHost: maxIdleConnsPerHost, DisableCompression: true}},
	}
}

// Run sends requests of all kinds until the context is cancelled, then waits for the outstanding responses.
func (c *Callers) Run(ctx context.Context, l []Kind) {
	var w sync.WaitGroup
	for i, k := range l {
		w.Add(1)
		go func() {
			defer w.Done()
			c.generate(ctx, k, rand.New(rand.NewPCG(c.seed, uint64(i))))
		}()
	}
	w.Wait()
	c.sending.Wait()
}

// generate sends requests of one kind with exponentially distributed interarrival times.
func (c *Callers) generate(ctx context.Context, k Kind, r *rand.Rand) {
	started := time.Now()
	next := started
	for n := 0; ctx.Err() == nil; n++ {
		rate := k.Rate(time.Since(started))
		if rate <= 0 {
			time.Sleep(10 * time.Millisecond)
			next = time.Now()
			continue
		}
		next = next.Add(time.Duration(r.ExpFloat64() / rate * float64(time.Second)))
		select {
		case <-ctx.Done():
			return
		case <-time.After(time.Until(next)):
		}
		nonce := fmt.Sprintf("%s-%d-%d", k.Name, c.seed, n)
		for range max(k.Copies, 1) {
			c.sending.Add(1)
			go func() {
				defer c.sending.Done()
				c.Send(k, nonce)
			}()
		}
	}
}

// Send sends one request to an entry picked by the balancer and records the result.
func (c *Callers) Send(k Kind, nonce string) {
	c.SendTo(c.balancer.Pick(), k, nonce)
}

// SendTo is like Send, but to the given caller address.
func (c *Callers) SendTo(to netip.AddrPort, k Kind, nonce string) {
	phase := c.tally.currentPhase()
	ctx, stop := context.WithTimeout(context.Background(), k.Deadline+responseSlack)
	defer stop()
	if k.CancelAfter > 0 {
		ctx, stop = context.WithTimeout(ctx, k.CancelAfter)
		defer stop()
	}
	body := "work of " + nonce
	started := time.Now()
	p, b, err := c.exchange(ctx, to, k, nonce, body)
	c.record(phase, k, nonce, body, p, b, err, time.Since(started))
}

func (c *Callers) exchange(ctx context.Context, to netip.AddrPort, k Kind, nonce, body string) (*http.Response, string, error) {
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+to.String()+k.Path, strings.NewReader(body))
	if err != nil {
		return nil, "", err
	}
	h := r.Header
	h.Set(backend.HeaderNonce, nonce)
	h.Set(request.HeaderIdempotent, strconv.FormatBool(k.Idempotent))
	h.Set(request.HeaderDeadline, strconv.FormatInt(k.Deadline.Milliseconds(), 10))
	setNonEmpty(h, request.HeaderPriority, k.Priority)
	setNonEmpty(h, request.HeaderTeam, k.Team)
	if k.ServiceTime > 0 {
		h.Set(backend.HeaderServiceTime, strconv.FormatInt(k.ServiceTime.Microseconds(), 10))
	}
	if k.Keyed {
		h.Set(request.HeaderKey, nonce)
	}
	p, err := c.client.Do(r)
	if err != nil {
		return nil, "", err
	}
	defer p.Body.Close()
	b, err := io.ReadAll(p.Body)
	return p, string(b), err
}

func setNonEmpty(h http.Header, name, v string) {
	if v != "" {
		h.Set(name, v)
	}
}

// record classifies a response and verifies that it belongs to this request.
func (c *Callers) record(phase string, k Kind, nonce, body string, p *http.Response, b string, err error, d time.Duration) {
	c.verifyBody(nonce, body, p, b, err)
	c.tally.lock.Lock()
	defer c.tally.lock.Unlock()
	x := c.tally.get(phase, k.Name)
	x.Sent++
	if err != nil {
		x.Broken++
		return
	}
	x.Reasons[p.Header.Get(request.HeaderReason)]++
	switch p.Header.Get(request.HeaderOutcome) {
	case "ran":
		x.recordRan(p.StatusCode, d, k.Deadline)
	case "notRun":
		x.NotRun++
		_ = x.refusal.RecordValue(d.Microseconds())
		c.tally.notRun = append(c.tally.notRun, p.Header.Get(request.HeaderRequestID))
	default:
		x.Unknown++
	}
}

func (c *Counts) recordRan(status int, d, deadline time.Duration) {
	switch {
	case status >= http.StatusBadRequest:
		c.Errors++
	case d > deadline+lateGrace:
		c.Late++
	default:
		c.Good++
		_ = c.latency.RecordValue(d.Microseconds())
	}
}

// verifyBody records a violation if a successful response does not begin with the nonce and the length of the request body.
func (c *Callers) verifyBody(nonce, body string, p *http.Response, b string, err error) {
	if err != nil || p.StatusCode != http.StatusOK {
		return
	}
	w := fmt.Sprintf("%s %d ", nonce, len(body))
	if !strings.HasPrefix(b, w) {
		c.tally.addViolation("request %s received the unexpected body %q", nonce, b)
	}
}
