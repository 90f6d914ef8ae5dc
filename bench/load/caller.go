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
	// lateGrace is how far after its deadline an answer may arrive at the caller.
	lateGrace   = 25 * time.Millisecond
	callerSlack = 3 * time.Second
	idlePerHost = 1024
)

// Kind is one kind of request that callers send.
type Kind struct {
	Name        string
	Service     string
	Path        string
	Priority    string
	Team        string
	Deadline    time.Duration
	ServiceTime time.Duration
	Idempotent  bool
	// Keyed has each request carry a key.
	Keyed bool
	// Copies is how many times each request is sent, at once, for 0 once.
	Copies int
	// CancelAfter has callers leave after the time, for 0 never.
	CancelAfter time.Duration
	// Rate is the requests a second at a time since the start.
	Rate func(since time.Duration) float64
}

// Callers send requests through a balancer.
type Callers struct {
	balancer *Balancer
	tally    *Tally
	client   *http.Client
	seed     uint64
	sending  sync.WaitGroup
}

// NewCallers makes callers whose arrivals are drawn from the seed.
func NewCallers(b *Balancer, t *Tally, seed uint64) *Callers {
	d := &net.Dialer{Timeout: time.Second}
	return &Callers{
		balancer: b, tally: t, seed: seed,
		client: &http.Client{Transport: &http.Transport{DialContext: d.DialContext, MaxIdleConnsPerHost: idlePerHost, DisableCompression: true}},
	}
}

// Run sends until the context ends, and waits for the answers.
func (c *Callers) Run(ctx context.Context, l []Kind) {
	var w sync.WaitGroup
	for i, k := range l {
		w.Add(1)
		go func() {
			defer w.Done()
			c.arrive(ctx, k, rand.New(rand.NewPCG(c.seed, uint64(i))))
		}()
	}
	w.Wait()
	c.sending.Wait()
}

// arrive draws the times between requests from an exponential distribution.
func (c *Callers) arrive(ctx context.Context, k Kind, r *rand.Rand) {
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

// Send sends one request and counts its answer.
func (c *Callers) Send(k Kind, nonce string) {
	c.SendTo(c.balancer.Pick(), k, nonce)
}

// SendTo is Send to one entry.
func (c *Callers) SendTo(to netip.AddrPort, k Kind, nonce string) {
	phase := c.tally.current()
	ctx, stop := context.WithTimeout(context.Background(), k.Deadline+callerSlack)
	defer stop()
	if k.CancelAfter > 0 {
		ctx, stop = context.WithTimeout(ctx, k.CancelAfter)
		defer stop()
	}
	body := "work of " + nonce
	started := time.Now()
	p, b, err := c.exchange(ctx, to, k, nonce, body)
	c.count(phase, k, nonce, body, p, b, err, time.Since(started))
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
	set(h, request.HeaderPriority, k.Priority)
	set(h, request.HeaderTeam, k.Team)
	if k.ServiceTime > 0 {
		h.Set(backend.HeaderWork, strconv.FormatInt(k.ServiceTime.Microseconds(), 10))
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

func set(h http.Header, name, v string) {
	if v != "" {
		h.Set(name, v)
	}
}

// count sorts an answer and checks that it is this request's.
func (c *Callers) count(phase string, k Kind, nonce, body string, p *http.Response, b string, err error, d time.Duration) {
	c.check(nonce, body, p, b, err)
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
		x.ran(p.StatusCode, d, k.Deadline)
	case "notRun":
		x.NotRun++
		_ = x.refusal.RecordValue(d.Microseconds())
		c.tally.notRun = append(c.tally.notRun, p.Header.Get(request.HeaderRequestID))
	default:
		x.Unknown++
	}
}

func (c *Counts) ran(status int, d, deadline time.Duration) {
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

func (c *Callers) check(nonce, body string, p *http.Response, b string, err error) {
	if err != nil || p.StatusCode != http.StatusOK {
		return
	}
	w := fmt.Sprintf("%s %d ", nonce, len(body))
	if !strings.HasPrefix(b, w) {
		c.tally.violate("request %s was answered %q", nonce, b)
	}
}
