package platform

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"maps"
	"net"
	"net/http"
	"net/netip"
	"net/url"
	"strconv"
	"sync"
	"time"

	"github.com/gravitational/trace"

	"github.com/tarragonbank/tarragonbank/fleet/store"
)

const (
	requestTimeout = 2 * time.Second
	dialTimeout    = time.Second
	// watchGrace is added to the timeout of a watch, so that the platform ends the watch first.
	watchGrace       = 2 * time.Second
	idleTimeout      = 15 * time.Second
	maxResponseBytes = 4 << 20
	// estimatedHeaderBytes is the approximate size of the headers of a request or a response, for Counter.
	estimatedHeaderBytes = 120
	expectParam          = "expect"
	ttlParam             = "ttlMs"
	prefixParam          = "prefix"
	afterParam           = "after"
	waitParam            = "waitMs"
	bootParam            = "boot"
	revisionHeader       = "Store-Revision"
)

// Counter counts calls to the platform by kind, with the bytes sent and received.
type Counter interface {
	Count(kind string, sent, received int)
}

// Client calls the platform's HTTP API.
type Client struct {
	base       string
	http       *http.Client
	counter    Counter
	cachedList cachedList
}

// Option configures a Client.
type Option func(*Client, *net.Dialer)

// WithOutgoingAddress sets the local address of outgoing connections; an invalid address leaves the choice to the system.
func WithOutgoingAddress(a netip.Addr) Option {
	return func(_ *Client, d *net.Dialer) {
		if a.IsValid() {
			d.LocalAddr = net.TCPAddrFromAddrPort(netip.AddrPortFrom(a, 0))
		}
	}
}

// WithCounter sets the Counter of the client's calls.
func WithCounter(n Counter) Option {
	return func(c *Client, _ *net.Dialer) { c.counter = n }
}

// New returns a Client of the platform at the address.
func New(a netip.AddrPort, l ...Option) *Client {
	d := &net.Dialer{Timeout: dialTimeout}
	c := &Client{base: "http://" + a.String(), counter: nopCounter{}}
	for _, o := range l {
		o(c, d)
	}
	c.http = &http.Client{Transport: &http.Transport{
		DialContext:         d.DialContext,
		MaxIdleConnsPerHost: 4,
		IdleConnTimeout:     idleTimeout,
		DisableCompression:  true,
	}}
	return c
}

type nopCounter struct{}

func (nopCounter) Count(string, int, int) {}

// Get reads a key; it fails with a NotFoundError or an UnavailableError.
func (c *Client) Get(ctx context.Context, key string) (store.Item, error) {
	a, err := c.do(ctx, "get", http.MethodGet, "/v1/kv/"+url.PathEscape(key), nil, requestTimeout)
	if err != nil {
		return store.Item{}, err
	}
	switch a.status {
	case http.StatusOK:
		return store.Item{Key: key, Value: a.body, Revision: a.revision}, nil
	case http.StatusNotFound:
		return store.Item{}, trace.Wrap(&store.NotFoundError{Key: key})
	default:
		return store.Item{}, a.unavailable("get")
	}
}

// Swap writes a key if it is still at the expected revision, where 0 means that the key doesn't exist.
// It fails with a ConflictError, or with an UnavailableError after which the write may have taken effect.
func (c *Client) Swap(ctx context.Context, key string, expect store.Revision, v []byte) (store.Revision, error) {
	return c.write(ctx, http.MethodPut, key, url.Values{expectParam: {formatRevision(expect)}}, expect, v)
}

// SwapLease is Swap for a key that expires after ttl unless it is written again.
func (c *Client) SwapLease(ctx context.Context, key string, expect store.Revision, v []byte, ttl time.Duration) (store.Revision, error) {
	q := url.Values{expectParam: {formatRevision(expect)}, ttlParam: {strconv.FormatInt(ttl.Milliseconds(), 10)}}
	return c.write(ctx, http.MethodPut, key, q, expect, v)
}

// Delete removes a key if it is still at the expected revision; it fails as Swap does.
func (c *Client) Delete(ctx context.Context, key string, expect store.Revision) error {
	_, err := c.write(ctx, http.MethodDelete, key, url.Values{expectParam: {formatRevision(expect)}}, expect, nil)
	return err
}

// write sends a conditional write or delete of a key and returns the key's new revision.
func (c *Client) write(ctx context.Context, method, key string, q url.Values, expect store.Revision, v []byte) (store.Revision, error) {
	a, err := c.do(ctx, "write", method, "/v1/kv/"+url.PathEscape(key)+"?"+q.Encode(), v, requestTimeout)
	if err != nil {
		return 0, err
	}
	switch a.status {
	case http.StatusOK:
		return a.revision, nil
	case http.StatusConflict:
		return 0, trace.Wrap(&store.ConflictError{Key: key, Expected: expect})
	default:
		return 0, a.unavailable("write")
	}
}

// itemJSON is a key as the platform's lists encode it.
type itemJSON struct {
	Key      string `json:"key"`
	Value    []byte `json:"value"`
	Revision uint64 `json:"revision"`
}

// List reads all keys with a prefix and their revisions, without values. It fails with an UnavailableError.
func (c *Client) List(ctx context.Context, prefix string) ([]store.Item, error) {
	a, err := c.do(ctx, "list", http.MethodGet, "/v1/keys?"+url.Values{prefixParam: {prefix}}.Encode(), nil, requestTimeout)
	if err != nil {
		return nil, err
	}
	return a.items("list")
}

// Watch waits up to wait for a key with the prefix to change after the given revision. It returns the changed items and the
// revision of the response, and fails with an UnavailableError.
func (c *Client) Watch(ctx context.Context, prefix string, after store.Revision, wait time.Duration) ([]store.Item, store.Revision, error) {
	q := url.Values{prefixParam: {prefix}, afterParam: {formatRevision(after)}, waitParam: {strconv.FormatInt(wait.Milliseconds(), 10)}}
	a, err := c.do(ctx, "watch", http.MethodGet, "/v1/watch?"+q.Encode(), nil, wait+watchGrace)
	if err != nil {
		return nil, 0, err
	}
	l, err := a.items("watch")
	return l, a.revision, err
}

// Machine is a VM in the platform's list.
type Machine struct {
	Name    string         `json:"name"`
	Address netip.AddrPort `json:"address"`
	Leaving bool           `json:"leaving"`
	// BootID identifies the VM's last boot; it is empty while the VM is down.
	BootID string `json:"boot"`
}

// Reboot makes the platform reboot a VM if its boot ID is still the given one, so that a repeated call reboots it once.
// It fails with an UnavailableError, after which the VM may be rebooting.
func (c *Client) Reboot(ctx context.Context, name, boot string) error {
	a, err := c.do(ctx, "reboot", http.MethodPost, "/v1/machines/"+url.PathEscape(name)+"/reboot?"+url.Values{bootParam: {boot}}.Encode(), nil, requestTimeout)
	if err != nil {
		return err
	}
	if a.status != http.StatusOK && a.status != http.StatusConflict {
		return a.unavailable("reboot")
	}
	return nil
}

// cachedList is the list of VMs as last read, with its ETag.
type cachedList struct {
	lock sync.Mutex
	etag string
	list []Machine
}

// Machines returns the list of VMs, which lags behind their actual state. It revalidates the cached list by its ETag.
// It fails with an UnavailableError.
func (c *Client) Machines(ctx context.Context) ([]Machine, error) {
	c.cachedList.lock.Lock()
	defer c.cachedList.lock.Unlock()
	a, err := c.getIfChanged(ctx, "machines", "/v1/machines", c.cachedList.etag)
	if err != nil {
		return nil, err
	}
	switch a.status {
	case http.StatusNotModified:
		return c.cachedList.list, nil
	case http.StatusOK:
	default:
		return nil, a.unavailable("machines")
	}
	var l []Machine
	if err := json.Unmarshal(a.body, &l); err != nil {
		return nil, trace.Wrap(&store.UnavailableError{Call: "machines", Detail: err.Error()})
	}
	c.cachedList.etag = a.etag
	c.cachedList.list = l
	return l, nil
}

// response is a complete response of the platform.
type response struct {
	status   int
	revision store.Revision
	body     []byte
	etag     string
}

// unavailable returns an UnavailableError with the response's status.
func (r response) unavailable(call string) error {
	return trace.Wrap(&store.UnavailableError{Call: call, Detail: http.StatusText(r.status)})
}

// items decodes a list of keys.
func (r response) items(call string) ([]store.Item, error) {
	if r.status != http.StatusOK {
		return nil, r.unavailable(call)
	}
	var l []itemJSON
	if err := json.Unmarshal(r.body, &l); err != nil {
		return nil, trace.Wrap(&store.UnavailableError{Call: call, Detail: err.Error()})
	}
	s := make([]store.Item, 0, len(l))
	for _, x := range l {
		s = append(s, store.Item{Key: x.Key, Value: x.Value, Revision: store.Revision(x.Revision)})
	}
	return s, nil
}

func (c *Client) do(ctx context.Context, kind, method, path string, body []byte, timeout time.Duration) (response, error) {
	return c.send(ctx, kind, method, path, body, timeout, nil)
}

// getIfChanged sends a GET request that is answered with 304 Not Modified if the resource still has the given ETag.
func (c *Client) getIfChanged(ctx context.Context, kind, path, etag string) (response, error) {
	h := http.Header{}
	if etag != "" {
		h.Set("If-None-Match", etag)
	}
	return c.send(ctx, kind, http.MethodGet, path, nil, requestTimeout, h)
}

// send sends a request and counts it. After a failure it closes the idle connections, so that the next request dials anew.
func (c *Client) send(ctx context.Context, kind, method, path string, body []byte, timeout time.Duration, h http.Header) (response, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, method, c.base+path, bytes.NewReader(body))
	if err != nil {
		return response{}, trace.Wrap(&store.UnavailableError{Call: kind, Detail: err.Error()})
	}
	maps.Copy(r.Header, h)
	a, err := c.roundTrip(r)
	c.counter.Count("store."+kind, len(body)+len(path)+estimatedHeaderBytes, len(a.body)+estimatedHeaderBytes)
	if err != nil {
		c.http.CloseIdleConnections()
		return response{}, trace.Wrap(&store.UnavailableError{Call: kind, Detail: err.Error()})
	}
	return a, nil
}

func (c *Client) roundTrip(r *http.Request) (response, error) {
	p, err := c.http.Do(r)
	if err != nil {
		return response{}, err
	}
	defer p.Body.Close()
	b, err := io.ReadAll(io.LimitReader(p.Body, maxResponseBytes))
	if err != nil {
		return response{}, err
	}
	n, _ := strconv.ParseUint(p.Header.Get(revisionHeader), 10, 64)
	return response{status: p.StatusCode, revision: store.Revision(n), body: b, etag: p.Header.Get("Etag")}, nil
}

func formatRevision(r store.Revision) string {
	return strconv.FormatUint(uint64(r), 10)
}
