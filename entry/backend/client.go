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

// Call is one attempt to send a request to a VM.
type Call struct {
	VM      vm.VM
	ID      string
	Attempt int
	Method  string
	Host    string
	URL     *url.URL
	Header  http.Header
	Body    []byte
	// RequireFresh requires a connection that is new or was used within the last 250 ms.
	RequireFresh bool
	// StallTimeout limits the wait for the response header; 0 means that only the context limits it.
	StallTimeout time.Duration
	// RequireEcho requires the response to contain the request ID.
	RequireEcho bool
}

// Response is a complete response of a backend server.
type Response struct {
	Status int
	Header http.Header
	Body   []byte
	// Leaving reports whether the server announced that it accepts no more requests.
	Leaving bool
	// Refused reports whether the server stated that it did not run the request.
	Refused bool
}

// Client sends requests to backend servers. It is safe for concurrent use.
type Client struct {
	pool             *connectionPool
	maxResponseBytes int64
}

// Option configures a new Client.
type Option func(*Client)

// WithOutgoingAddress sets the local IP address of connections to backend servers.
func WithOutgoingAddress(a netip.Addr) Option {
	return func(c *Client) { c.pool = newConnectionPool(a) }
}

// WithMaxResponseBytes limits the size of a response body in bytes; the default is 8 MiB.
func WithMaxResponseBytes(n int64) Option {
	return func(c *Client) { c.maxResponseBytes = n }
}

const defaultMaxResponseBytes = 8 << 20

// New creates a client without connections.
func New(l ...Option) *Client {
	c := &Client{pool: newConnectionPool(netip.Addr{}), maxResponseBytes: defaultMaxResponseBytes}
	for _, o := range l {
		o(c)
	}
	return c
}

// Do sends the request once. It fails with a DialError, StallError, BrokenConnectionError, InvalidResponseError
// or CancelledError. After a stall, it also closes the idle connections to the VM that were last used before
// the request was sent.
func (c *Client) Do(ctx context.Context, q Call) (*Response, error) {
	x, err := c.pool.get(ctx, q.VM, q.RequireFresh)
	if err != nil {
		return nil, err
	}
	started := time.Now()
	a, err := c.roundTrip(ctx, q, x)
	if err == nil {
		return a, nil
	}
	x.Close()
	var s *StallError
	if errors.As(err, &s) {
		c.pool.closeLastUsedBefore(q.VM.Address, started)
	}
	return nil, err
}

// Probe sends a health check to a VM on a new connection and reports whether the VM accepts requests. It closes
// the idle connections to the VM.
func (c *Client) Probe(ctx context.Context, v vm.VM, path string) bool {
	ctx, stop := context.WithTimeout(ctx, probeTimeout)
	defer stop()
	c.pool.closeLastUsedBefore(v.Address, time.Now())
	a, err := c.Do(ctx, Call{VM: v, Method: http.MethodGet, Host: v.Address.String(), URL: &url.URL{Path: path}, RequireFresh: true})
	return err == nil && a.Status == http.StatusOK && !a.Leaving
}

// CloseExpired closes the connections that have been idle for longer than 10 s.
func (c *Client) CloseExpired(now time.Time) {
	c.pool.closeExpired(now)
}

// IdleConnections returns the number of idle connections.
func (c *Client) IdleConnections() int {
	return c.pool.idleCount()
}

// roundTrip sends the request on the connection and reads the response. If it succeeds, the connection has been
// returned to the pool or closed; otherwise the caller closes it.
func (c *Client) roundTrip(ctx context.Context, q Call, x *connection) (*Response, error) {
	stop := context.AfterFunc(ctx, func() { x.Close() })
	defer stop()
	r := q.request()
	if err := writeRequest(r, x); err != nil {
		return nil, newError(ctx, q, x, err)
	}
	if q.StallTimeout > 0 {
		_ = x.SetReadDeadline(time.Now().Add(q.StallTimeout))
	}
	p, err := readResponse(r, x)
	if err != nil {
		return nil, newError(ctx, q, x, err)
	}
	x.headerReceived = true
	_ = x.SetReadDeadline(time.Time{})
	b, err := io.ReadAll(io.LimitReader(p.Body, c.maxResponseBytes+1))
	if err != nil {
		return nil, newError(ctx, q, x, err)
	}
	if err := c.verify(q, x, p, b); err != nil {
		return nil, err
	}
	if !stop() {
		return nil, &CancelledError{VM: q.VM.Name, Started: true}
	}
	c.release(q, x, p)
	return newResponse(p, b), nil
}

func (q Call) request() *http.Request {
	h := q.Header.Clone()
	if h == nil {
		h = http.Header{}
	}
	h.Set(request.HeaderRequestID, q.ID)
	h.Set(request.HeaderAttempt, strconv.Itoa(q.Attempt))
	if h.Get("User-Agent") == "" {
		// The empty value keeps http.Request.Write from sending the default of net/http.
		h["User-Agent"] = []string{""}
	}
	r := &http.Request{Method: q.Method, URL: q.URL, Host: q.Host, Header: h, ContentLength: int64(len(q.Body))}
	if len(q.Body) > 0 {
		r.Body = io.NopCloser(bytes.NewReader(q.Body))
	}
	return r
}

func writeRequest(r *http.Request, x *connection) error {
	if err := r.Write(x.writer); err != nil {
		return err
	}
	return x.writer.Flush()
}

// readResponse reads the header of the final response and skips informational ones (1xx).
func readResponse(r *http.Request, x *connection) (*http.Response, error) {
	for {
		p, err := http.ReadResponse(x.reader, r)
		if err != nil || p.StatusCode >= http.StatusOK {
			return p, err
		}
	}
}

// verify rejects responses that are too long, of unknown length, followed by more data, of another request or without
// a required request ID.
func (c *Client) verify(q Call, x *connection, p *http.Response, b []byte) error {
	detail := ""
	switch id := p.Header.Get(request.HeaderRequestID); {
	case int64(len(b)) > c.maxResponseBytes:
		detail = fmt.Sprintf("it is longer than %d bytes", c.maxResponseBytes)
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

// release returns the connection to the pool, or closes it if the server asked for that.
func (c *Client) release(q Call, x *connection, p *http.Response) {
	if p.Close {
		x.Close()
		return
	}
	c.pool.put(q.VM, x)
}

func newResponse(p *http.Response, b []byte) *Response {
	return &Response{
		Status:  p.StatusCode,
		Header:  p.Header,
		Body:    b,
		Leaving: p.Header.Get(request.HeaderLeaving) == "true",
		Refused: p.Header.Get(request.HeaderOutcome) == outcome.NotRun.String(),
	}
}

// newError converts an I/O error on the connection.
func newError(ctx context.Context, q Call, x *connection, err error) error {
	switch {
	case ctx.Err() != nil:
		return &CancelledError{VM: q.VM.Name, Started: true}
	case errors.Is(err, os.ErrDeadlineExceeded):
		return &StallError{VM: q.VM.Name, NewConnection: x.isNew}
	default:
		return &BrokenConnectionError{VM: q.VM.Name, Detail: err.Error(), NoResponse: x.isNew && !x.headerReceived}
	}
}
