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

// ResponseError reports what the entry did not do.
type ResponseError struct {
	Kind   string `json:"kind"`
	Detail string `json:"error"`
}

// Error describes the failure in one line.
func (e *ResponseError) Error() string {
	return e.Detail
}

// Client speaks to the operators' side of one entry.
type Client struct {
	baseURL string
	token   string
	http    *http.Client
}

// ClientOption changes a Client at its making.
type ClientOption func(*Client)

// WithTLS speaks over TLS.
func WithTLS(t *tls.Config) ClientOption {
	return func(c *Client) { c.http.Transport = &http.Transport{TLSClientConfig: t} }
}

// New makes a client; changes need the token or a certificate.
func New(base, token string, l ...ClientOption) *Client {
	c := &Client{baseURL: base, token: token, http: &http.Client{Timeout: requestTimeout}}
	for _, o := range l {
		o(c)
	}
	return c
}

// LoadTLS reads the authority's certificate and, where given, the operator's own.
func LoadTLS(authority, certificate, key string) (*tls.Config, error) {
	b, err := os.ReadFile(authority)
	if err != nil {
		return nil, trace.ConvertSystemError(err)
	}
	t := &tls.Config{MinVersion: tls.VersionTLS13, RootCAs: x509.NewCertPool()}
	if !t.RootCAs.AppendCertsFromPEM(b) {
		return nil, trace.BadParameter("%s holds no certificate", authority)
	}
	if certificate == "" {
		return t, nil
	}
	c, err := tls.LoadX509KeyPair(certificate, key)
	if err != nil {
		return nil, trace.BadParameter("certificate %s: %s", certificate, err)
	}
	t.Certificates = []tls.Certificate{c}
	return t, nil
}

// Get reads JSON; it fails with a RefusedError where the entry refuses.
func (c *Client) Get(ctx context.Context, path string, v any) error {
	return c.do(ctx, http.MethodGet, path, "", nil, v)
}

// Delete ends what is at the path and reads the result; it fails with a RefusedError where the entry refuses.
func (c *Client) Delete(ctx context.Context, path string, v any) error {
	return c.do(ctx, http.MethodDelete, path, "", nil, v)
}

// PostBody posts a text of a type and reads the result; it fails with a RefusedError where the entry refuses.
func (c *Client) PostBody(ctx context.Context, path, contentType string, body []byte, v any) error {
	return c.do(ctx, http.MethodPost, path, contentType, body, v)
}

// Post asks for a change and reads its result; it fails with a RefusedError where the entry refuses.
func (c *Client) Post(ctx context.Context, path string, q, v any) error {
	b, err := json.Marshal(q)
	if err != nil {
		return trace.Wrap(err, "encoding the request")
	}
	return c.do(ctx, http.MethodPost, path, jsonContentType, b, v)
}

// jsonContentType is the content type of what is encoded here.
const jsonContentType = "application/json"

func (c *Client) do(ctx context.Context, method, path, contentType string, body []byte, v any) error {
	r, err := http.NewRequestWithContext(ctx, method, c.baseURL+path, bytes.NewReader(body))
	if err != nil {
		return trace.BadParameter("entry address %s: %s", c.baseURL, err)
	}
	if contentType != "" {
		r.Header.Set("Content-Type", contentType)
	}
	if c.token != "" {
		r.Header.Set("Authorization", "Bearer "+c.token)
	}
	p, err := c.http.Do(r)
	if err != nil {
		return trace.ConnectionProblem(err, "asking %s", c.baseURL)
	}
	defer p.Body.Close()
	b, err := io.ReadAll(p.Body)
	if err != nil {
		return trace.ConnectionProblem(err, "asking %s", c.baseURL)
	}
	if p.StatusCode >= http.StatusBadRequest && path != readyPath {
		f := &ResponseError{}
		if json.Unmarshal(b, f) != nil || f.Detail == "" {
			f.Detail = p.Status
		}
		return trace.Wrap(f)
	}
	return trace.Wrap(json.Unmarshal(b, v), "reading the entry's answer")
}

const readyPath = "/ready"
