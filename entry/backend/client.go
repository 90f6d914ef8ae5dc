package backend

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"net/url"
	"os"
	"strconv"
	"time"

	"github.com/tarragonbank/tarragonbank/fleet/outcome"
	"github.com/tarragonbank/tarragonbank/fleet/request"
	"github.com/tarragonbank/tarragonbank/fleet/vm"
)

const probeTimeout = time.Second

// Call is one attempt to have a request run on a VM.
type Call struct {
	VM      vm.VM
	ID      string
	Attempt int
	Method  string
	Host    string
	URL     *url.URL
	Header  http.Header
	Body    []byte
	// RequireFresh asks for a connection that is new or answered just now.
	RequireFresh bool
	// StallTimeout is how long to wait for the first byte of the answer, 0 for the context's deadline only.
	StallTimeout time.Duration
	// RequireEcho requires the answer to repeat the request id.
	RequireEcho bool
}

// Response is one whole answer of a backend server.
type Response struct {
	Status int
	Header http.Header
	Body   []byte
	// Leaving says that the server takes no more work.
	Leaving bool
	// Refused says that the server did not run the request.
	Refused bool
}

// Client sends requests to backend servers.
type Client struct {
	connections *connections
	answerLimit int64
}

// Option changes a Client at its making.
type Option func(*Client)

// WithOutgoingAddress binds outgoing connections to an address of the entry.
func WithOutgoingAddress(a netip.Addr) Option {
	return func(c *Client) { c.connections = newConnections(a) }
}

// WithMaxResponseBytes bounds an answer's size in bytes.
func WithMaxResponseBytes(n int64) Option {
	return func(c *Client) { c.answerLimit = n }
}

// New makes a client.
func New(l ...Option) *Client {
	c := &Client{connections: newConnections(netip.Addr{}), answerLimit: 8 << 20}
	for _, o := range l {
		o(c)
	}
	return c
}

// Do sends the request once. It fails with a DialError, StallError, BrokenError, MismatchError or CancelledError.
func (c *Client) Do(ctx context.Context, q Call) (*Response, error) {
	x, err := c.connections.get(ctx, q.VM, q.RequireFresh)
	if err != nil {
		return nil, err
	}
	started := time.Now()
	a, err := c.exchange(ctx, q, x)
	if err == nil {
		return a, nil
	}
	x.Close()
	var s *StallError
	if errors.As(err, &s) {
		c.connections.condemn(q.VM.Address, started)
	}
	return nil, err
}

// Probe asks a VM on a new connection whether it takes work.
func (c *Client) Probe(ctx context.Context, v vm.VM, path string) bool {
	ctx, stop := context.WithTimeout(ctx, probeTimeout)
	defer stop()
	c.connections.condemn(v.Address, time.Now())
	a, err := c.Do(ctx, Call{VM: v, Method: http.MethodGet, Host: v.Address.String(), URL: &url.URL{Path: path}, RequireFresh: true})
	return err == nil && a.Status == http.StatusOK && !a.Leaving
}

// CloseExpired closes connections that have been idle for too long.
func (c *Client) CloseExpired(now time.Time) {
	c.connections.sweep(now)
}

// IdleConnections is how many connections are kept for later.
func (c *Client) IdleConnections() int {
	return c.connections.count()
}

func (c *Client) exchange(ctx context.Context, q Call, x *connection) (*Response, error) {
	stop := context.AfterFunc(ctx, func() { x.Close() })
	defer stop()
	r := q.request()
	if err := send(r, x); err != nil {
		return nil, failure(ctx, q, x, err)
	}
	if q.StallTimeout > 0 {
		_ = x.SetReadDeadline(time.Now().Add(q.StallTimeout))
	}
	p, err := head(r, x)
	if err != nil {
		return nil, failure(ctx, q, x, err)
	}
	x.heard = true
	_ = x.SetReadDeadline(time.Time{})
	b, err := io.ReadAll(io.LimitReader(p.Body, c.answerLimit+1))
	if err != nil {
		return nil, failure(ctx, q, x, err)
	}
	if err := c.verify(q, x, p, b); err != nil {
		return nil, err
	}
	if !stop() {
		return nil, &CancelledError{VM: q.VM.Name, Started: true}
	}
	c.keep(q, x, p)
	return newAnswer(p, b), nil
}

func (q Call) request() *http.Request {
	h := q.Header.Clone()
	if h == nil {
		h = http.Header{}
	}
	h.Set(request.HeaderRequestID, q.ID)
	h.Set(request.HeaderAttempt, strconv.Itoa(q.Attempt))
	if h.Get("User-Agent") == "" {
		h["User-Agent"] = []string{""}
	}
	r := &http.Request{Method: q.Method, URL: q.URL, Host: q.Host, Header: h, ContentLength: int64(len(q.Body))}
	if len(q.Body) > 0 {
		r.Body = io.NopCloser(bytes.NewReader(q.Body))
	}
	return r
}

func send(r *http.Request, x *connection) error {
	if err := r.Write(x.writer); err != nil {
		return err
	}
	return x.writer.Flush()
}

// head reads the head of the final answer.
func head(r *http.Request, x *connection) (*http.Response, error) {
	for {
		p, err := http.ReadResponse(x.reader, r)
		if err != nil || p.StatusCode >= http.StatusOK {
			return p, err
		}
	}
}

// verify finds answers that are too long, of unknown length, followed by more, or another request's.
func (c *Client) verify(q Call, x *connection, p *http.Response, b []byte) error {
	detail := ""
	switch id := p.Header.Get(request.HeaderRequestID); {
	case int64(len(b)) > c.answerLimit:
		detail = fmt.Sprintf("it is longer than %d bytes", c.answerLimit)
	case p.ContentLength < 0 && len(p.TransferEncoding) == 0 && q.Method != http.MethodHead:
		detail = "its length is not stated"
	case id != "" && id != q.ID:
		detail = "it answers request " + id
	case id == "" && q.RequireEcho:
		detail = "it does not repeat the request id"
	case x.reader.Buffered() > 0:
		detail = "it is longer than announced"
	default:
		return nil
	}
	return &InvalidResponseError{VM: q.VM.Name, Detail: detail}
}

func (c *Client) keep(q Call, x *connection, p *http.Response) {
	if p.Close {
		x.Close()
		return
	}
	c.connections.put(q.VM, x)
}

func newAnswer(p *http.Response, b []byte) *Response {
	return &Response{
		Status:  p.StatusCode,
		Header:  p.Header,
		Body:    b,
		Leaving: p.Header.Get(request.HeaderLeaving) == "true",
		Refused: p.Header.Get(request.HeaderOutcome) == outcome.NotRun.String(),
	}
}

func failure(ctx context.Context, q Call, x *connection, err error) error {
	switch {
	case ctx.Err() != nil:
		return &CancelledError{VM: q.VM.Name, Started: true}
	case errors.Is(err, os.ErrDeadlineExceeded):
		return &StallError{VM: q.VM.Name, NewConnection: x.fresh}
	default:
		return &BrokenConnectionError{VM: q.VM.Name, Detail: err.Error(), NoResponse: x.fresh && !x.heard}
	}
}
