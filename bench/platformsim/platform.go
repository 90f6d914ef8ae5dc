package platformsim

import (
	"encoding/json"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"net/url"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/gravitational/trace"
)

const maxValueBytes = 1 << 20

// Faults describes the injected faults. The zero value injects none.
type Faults struct {
	// Outage fails every call with status 503 and without effect.
	Outage bool
	// LostResponseRate is the fraction, from 0 to 1, of writes that take effect but whose connection is closed without a
	// response.
	LostResponseRate float64
	// Delay is added before each call.
	Delay time.Duration
}

// VM is one VM in the platform's list.
type VM struct {
	Name    string         `json:"name"`
	Address netip.AddrPort `json:"address"`
	Leaving bool           `json:"leaving"`
	// Boot identifies the VM's last boot. It is empty while the VM is down.
	Boot string `json:"boot"`
}

// Calls counts the calls received, by type.
type Calls struct {
	Reads   int64
	Writes  int64
	Watches int64
	Lists   int64
}

// Total returns the number of calls of all types.
func (c Calls) Total() int64 {
	return c.Reads + c.Writes + c.Watches + c.Lists
}

// Platform is a simulated platform. It serves every call unless faults are set.
type Platform struct {
	store  *memoryStore
	server *http.Server
	lag    time.Duration

	lock      sync.Mutex
	faults    Faults
	calls     Calls
	vms       map[string]VM
	snapshots []vmSnapshot
	random    *rand.Rand
	onReboot  func(name string)
	reboots   map[string]int
}

// vmSnapshot is the list of VMs as of a time.
type vmSnapshot struct {
	at  time.Time
	vms []VM
}

// New returns a platform whose list of VMs is stale by lag. The seed determines which responses are lost.
func New(lag time.Duration, seed uint64) *Platform {
	return &Platform{
		store:   newMemoryStore(),
		lag:     lag,
		vms:     map[string]VM{},
		reboots: map[string]int{},
		random:  rand.New(rand.NewPCG(seed, seed)),
	}
}

// Start listens on the address and serves until Stop. It returns an error if the address cannot be bound.
func (p *Platform) Start(a netip.AddrPort) error {
	l, err := net.Listen("tcp", a.String())
	if err != nil {
		return trace.ConvertSystemError(err)
	}
	m := http.NewServeMux()
	m.HandleFunc("GET /v1/kv/{key}", p.get)
	m.HandleFunc("PUT /v1/kv/{key}", p.put)
	m.HandleFunc("DELETE /v1/kv/{key}", p.remove)
	m.HandleFunc("GET /v1/keys", p.keys)
	m.HandleFunc("GET /v1/watch", p.watch)
	m.HandleFunc("GET /v1/machines", p.listVMs)
	m.HandleFunc("POST /v1/machines/{name}/reboot", p.reboot)
	p.server = &http.Server{Handler: p.injectFaults(m)}
	go func() { _ = p.server.Serve(l) }()
	return nil
}

// Stop closes the listener and all connections.
func (p *Platform) Stop() {
	_ = p.server.Close()
}

// SetFaults replaces the injected faults.
func (p *Platform) SetFaults(f Faults) {
	p.lock.Lock()
	defer p.lock.Unlock()
	p.faults = f
}

// OnReboot sets the function that is called, on its own goroutine, for each VM that is rebooted.
func (p *Platform) OnReboot(f func(name string)) {
	p.lock.Lock()
	defer p.lock.Unlock()
	p.onReboot = f
}

// RebootCount returns the number of reboots of a VM.
func (p *Platform) RebootCount(name string) int {
	p.lock.Lock()
	defer p.lock.Unlock()
	return p.reboots[name]
}

// reboot reboots a VM if the request names its current boot. Otherwise it responds with status 409, which makes repeated
// requests idempotent.
func (p *Platform) reboot(w http.ResponseWriter, r *http.Request) {
	n := r.PathValue("name")
	p.lock.Lock()
	m, ok := p.vms[n]
	f := p.onReboot
	if !ok || m.Boot == "" || m.Boot != r.URL.Query().Get("boot") || f == nil {
		p.lock.Unlock()
		w.WriteHeader(http.StatusConflict)
		return
	}
	m.Boot = ""
	p.vms[n] = m
	p.reboots[n]++
	p.recordSnapshot()
	p.lock.Unlock()
	go f(n)
}

// Calls returns the counts of calls so far.
func (p *Platform) Calls() Calls {
	p.lock.Lock()
	defer p.lock.Unlock()
	return p.calls
}

// SetVM adds a VM to the list or replaces the VM of the same name.
func (p *Platform) SetVM(m VM) {
	p.lock.Lock()
	defer p.lock.Unlock()
	p.vms[m.Name] = m
	p.recordSnapshot()
}

// RemoveVM removes a VM from the list.
func (p *Platform) RemoveVM(name string) {
	p.lock.Lock()
	defer p.lock.Unlock()
	delete(p.vms, name)
	p.recordSnapshot()
}

// recordSnapshot appends the current list and drops the snapshots that are too old to be served again.
func (p *Platform) recordSnapshot() {
	l := make([]VM, 0, len(p.vms))
	for _, m := range p.vms {
		l = append(l, m)
	}
	sort.Slice(l, func(i, j int) bool { return l[i].Name < l[j].Name })
	now := time.Now()
	p.snapshots = append(p.snapshots, vmSnapshot{at: now, vms: l})
	for len(p.snapshots) > 1 && now.Sub(p.snapshots[1].at) >= p.lag {
		p.snapshots = p.snapshots[1:]
	}
}

// staleVMs returns the list as of lag ago, empty if there was none yet.
func (p *Platform) staleVMs() []VM {
	p.lock.Lock()
	defer p.lock.Unlock()
	r := []VM{}
	for _, x := range p.snapshots {
		if time.Since(x.at) >= p.lag {
			r = x.vms
		}
	}
	return r
}

// injectFaults wraps a handler to count calls and inject the configured faults.
func (p *Platform) injectFaults(h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		p.lock.Lock()
		f := p.faults
		lost := r.Method != http.MethodGet && p.random.Float64() < f.LostResponseRate
		p.countCall(r)
		p.lock.Unlock()
		time.Sleep(f.Delay)
		if f.Outage {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		if lost {
			h.ServeHTTP(discardWriter{}, r)
			panic(http.ErrAbortHandler)
		}
		h.ServeHTTP(w, r)
	})
}

func (p *Platform) countCall(r *http.Request) {
	switch {
	case r.Method != http.MethodGet:
		p.calls.Writes++
	case r.URL.Path == "/v1/watch":
		p.calls.Watches++
	case r.URL.Path == "/v1/machines" || r.URL.Path == "/v1/keys":
		p.calls.Lists++
	default:
		p.calls.Reads++
	}
}

// discardWriter is a response writer for lost responses.
type discardWriter struct{}

func (discardWriter) Header() http.Header         { return http.Header{} }
func (discardWriter) Write(b []byte) (int, error) { return len(b), nil }
func (discardWriter) WriteHeader(int)             {}

func (p *Platform) get(w http.ResponseWriter, r *http.Request) {
	i, ok := p.store.get(r.PathValue("key"))
	if !ok {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	setRevision(w, i.revision)
	_, _ = w.Write(i.value)
}

func (p *Platform) put(w http.ResponseWriter, r *http.Request) {
	b, err := io.ReadAll(io.LimitReader(r.Body, maxValueBytes+1))
	if err != nil || len(b) > maxValueBytes {
		w.WriteHeader(http.StatusRequestEntityTooLarge)
		return
	}
	ttl := time.Duration(queryUint(r.URL.Query(), "ttlMs")) * time.Millisecond
	n, ok := p.store.compareAndSwap(r.PathValue("key"), queryUint(r.URL.Query(), "expect"), b, ttl)
	if !ok {
		w.WriteHeader(http.StatusConflict)
		return
	}
	setRevision(w, n)
}

func (p *Platform) remove(w http.ResponseWriter, r *http.Request) {
	if !p.store.remove(r.PathValue("key"), queryUint(r.URL.Query(), "expect")) {
		w.WriteHeader(http.StatusConflict)
	}
}

// itemJSON is the JSON form of a key in a listing or of an event in a watch.
type itemJSON struct {
	Key      string `json:"key"`
	Value    []byte `json:"value"`
	Revision uint64 `json:"revision"`
}

func (p *Platform) keys(w http.ResponseWriter, r *http.Request) {
	l := []itemJSON{}
	for k, n := range p.store.list(r.URL.Query().Get("prefix")) {
		l = append(l, itemJSON{Key: k, Revision: n})
	}
	_ = json.NewEncoder(w).Encode(l)
}

func (p *Platform) watch(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after := queryUint(q, "after")
	t := time.NewTimer(time.Duration(queryUint(q, "waitMs")) * time.Millisecond)
	defer t.Stop()
	for {
		l, changed := p.store.eventsAfter(q.Get("prefix"), after)
		if len(l) > 0 {
			writeEvents(w, l)
			return
		}
		select {
		case <-changed:
		case <-t.C:
			writeEvents(w, nil)
			return
		case <-r.Context().Done():
			return
		}
	}
}

func writeEvents(w http.ResponseWriter, l []event) {
	r := []itemJSON{}
	for _, e := range l {
		r = append(r, itemJSON{Key: e.key, Value: e.value, Revision: e.revision})
	}
	_ = json.NewEncoder(w).Encode(r)
}

func (p *Platform) listVMs(w http.ResponseWriter, r *http.Request) {
	b, err := json.Marshal(p.staleVMs())
	if err != nil {
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	tag := strconv.Quote(strconv.FormatUint(xxhash.Sum64(b), 16))
	w.Header().Set("ETag", tag)
	if r.Header.Get("If-None-Match") == tag {
		w.WriteHeader(http.StatusNotModified)
		return
	}
	_, _ = w.Write(b)
}

// Value returns the value of a key and whether it exists, for checks: it counts no call and injects no
// faults.
func (p *Platform) Value(key string) ([]byte, bool) {
	i, ok := p.store.get(key)
	return i.value, ok
}

// KeyCount returns the number of keys with a prefix, expired ones included, for checks: it counts no call and injects no
// faults.
func (p *Platform) KeyCount(prefix string) int {
	return len(p.store.list(prefix))
}

func setRevision(w http.ResponseWriter, n uint64) {
	w.Header().Set("Store-Revision", strconv.FormatUint(n, 10))
}

func queryUint(q url.Values, name string) uint64 {
	n, _ := strconv.ParseUint(strings.TrimSpace(q.Get(name)), 10, 64)
	return n
}
