package tarragonctl

import (
	"bytes"
	"context"
	"crypto/tls"
	"crypto/x509"
	"encoding/json"
	"io"
	"net/http"
	"os"
	"time"

	"github.com/gravitational/trace"
)

const requestTimeout = 30 * time.Second

// ResponseError reports a response with an error status. Detail is the entry's message, or the HTTP status if the
// response has none.
type ResponseError struct {
	Kind   string `json:"kind"`
	Detail string `json:"error"`
}

// Error returns the detail of the response.
func (e *ResponseError) Error() string {
	return e.Detail
}

// Client sends requests to the HTTP API of one entry.
type Client struct {
	baseURL string
	token   string
	http    *http.Client
}

// ClientOption configures a Client.
type ClientOption func(*Client)

// WithTLS sets the TLS configuration for connections to the entry.
func WithTLS(t *tls.Config) ClientOption {
	return func(c *Client) { c.http.Transport = &http.Transport{TLSClientConfig: t} }
}

// New returns a client of the entry at the base URL. Requests for changes need a token or, with WithTLS, a client
// certificate; an empty token is not sent.
func New(base, token string, l ...ClientOption) *Client {
	c := &Client{baseURL: base, token: token, http: &http.Client{Timeout: requestTimeout}}
	for _, o := range l {
		o(c)
	}
	return c
}

// LoadTLS returns a TLS configuration that trusts the CA certificate in the file and, if the file names of a client
// certificate and its key are given, presents that certificate. It fails if a file cannot be read or parsed.
func LoadTLS(authority, certificate, key string) (*tls.Config, error) {
	b, err := os.ReadFile(authority)
	if err != nil {
		return nil, trace.ConvertSystemError(err)
	}
	t := &tls.Config{MinVersion: tls.VersionTLS13, RootCAs: x509.NewCertPool()}
	if !t.RootCAs.AppendCertsFromPEM(b) {
		return nil, trace.BadParameter("%s contains no PEM certificate", authority)
	}
	if certificate == "" {
		return t, nil
	}
	c, err := tls.LoadX509KeyPair(certificate, key)
	if err != nil {
		return nil, trace.BadParameter("loading certificate %s: %s", certificate, err)
	}
	t.Certificates = []tls.Certificate{c}
	return t, nil
}

// Get requests the path and decodes the JSON response into v. It returns a ResponseError if the response has an error
// status.
func (c *Client) Get(ctx context.Context, path string, v any) error {
	return c.do(ctx, http.MethodGet, path, "", nil, v)
}

// Delete sends a DELETE request and decodes the JSON response into v. It returns a ResponseError if the response has an
// error status.
func (c *Client) Delete(ctx context.Context, path string, v any) error {
	return c.do(ctx, http.MethodDelete, path, "", nil, v)
}

// PostBody posts a body of the given content type and decodes the JSON response into v. It returns a ResponseError if
// the response has an error status.
func (c *Client) PostBody(ctx context.Context, path, contentType string, body []byte, v any) error {
	return c.do(ctx, http.MethodPost, path, contentType, body, v)
}

// Post posts q as JSON and decodes the JSON response into v. It returns a ResponseError if the response has an error
// status.
func (c *Client) Post(ctx context.Context, path string, q, v any) error {
	b, err := json.Marshal(q)
	if err != nil {
		return trace.Wrap(err, "encoding the request")
	}
	return c.do(ctx, http.MethodPost, path, jsonContentType, b, v)
}

// jsonContentType is the content type of the requests that Post sends, and of jobs in JSON.
const jsonContentType = "application/json"

func (c *Client) do(ctx context.Context, method, path, contentType string, body []byte, v any) error {
	r, err := http.NewRequestWithContext(ctx, method, c.baseURL+path, bytes.NewReader(body))
	if err != nil {
		return trace.BadParameter("invalid entry URL %s: %s", c.baseURL, err)
	}
	if contentType != "" {
		r.Header.Set("Content-Type", contentType)
	}
	if c.token != "" {
		r.Header.Set("Authorization", "Bearer "+c.token)
	}
	p, err := c.http.Do(r)
	if err != nil {
		return trace.ConnectionProblem(err, "request to %s failed", c.baseURL)
	}
	defer p.Body.Close()
	b, err := io.ReadAll(p.Body)
	if err != nil {
		return trace.ConnectionProblem(err, "reading the response from %s failed", c.baseURL)
	}
	if p.StatusCode >= http.StatusBadRequest && path != readyPath {
		f := &ResponseError{}
		if json.Unmarshal(b, f) != nil || f.Detail == "" {
			f.Detail = p.Status
		}
		return trace.Wrap(f)
	}
	return trace.Wrap(json.Unmarshal(b, v), "decoding the response")
}

// readyPath is the readiness endpoint. Its response has the same body whether or not the entry is ready, so an error
// status is not reported as a ResponseError.
const readyPath = "/ready"
