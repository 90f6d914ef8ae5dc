package tarragonctl

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"time"

	"github.com/gravitational/trace"
)

const callTimeout = 30 * time.Second

// RefusedError reports what the entry did not do.
type RefusedError struct {
	Kind   string `json:"kind"`
	Detail string `json:"error"`
}

// Error describes the failure in one line.
func (e *RefusedError) Error() string {
	return e.Detail
}

// Client speaks to the operators' side of one entry.
type Client struct {
	base  string
	token string
	http  *http.Client
}

// New makes a client; the token is needed for changes.
func New(base, token string) *Client {
	return &Client{base: base, token: token, http: &http.Client{Timeout: callTimeout}}
}

// Get reads JSON; it fails with a RefusedError where the entry refuses.
func (c *Client) Get(ctx context.Context, path string, v any) error {
	return c.call(ctx, http.MethodGet, path, nil, v)
}

// Post asks for a change and reads its result; it fails with a RefusedError where the entry refuses.
func (c *Client) Post(ctx context.Context, path string, q, v any) error {
	b, err := json.Marshal(q)
	if err != nil {
		return trace.Wrap(err, "encoding the request")
	}
	return c.call(ctx, http.MethodPost, path, b, v)
}

func (c *Client) call(ctx context.Context, method, path string, body []byte, v any) error {
	r, err := http.NewRequestWithContext(ctx, method, c.base+path, bytes.NewReader(body))
	if err != nil {
		return trace.BadParameter("entry address %s: %s", c.base, err)
	}
	if c.token != "" {
		r.Header.Set("Authorization", "Bearer "+c.token)
	}
	p, err := c.http.Do(r)
	if err != nil {
		return trace.ConnectionProblem(err, "asking %s", c.base)
	}
	defer p.Body.Close()
	b, err := io.ReadAll(p.Body)
	if err != nil {
		return trace.ConnectionProblem(err, "asking %s", c.base)
	}
	if p.StatusCode >= http.StatusBadRequest && path != readyPath {
		f := &RefusedError{}
		if json.Unmarshal(b, f) != nil || f.Detail == "" {
			f.Detail = p.Status
		}
		return trace.Wrap(f)
	}
	return trace.Wrap(json.Unmarshal(b, v), "reading the entry's answer")
}

const readyPath = "/ready"
