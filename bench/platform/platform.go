package platform

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

const valueLimit = 1 << 20

// Faults are what is wrong with the platform.
type Faults struct {
	// Outage has every call fail without effect.
	Outage bool
	// LostResponseRate is the part of writes that take effect but are not answered, from 0 to 1.
	LostResponseRate float64
	// Delay holds each call back.
	Delay time.Duration
}

// VM is one VM in the list.
type VM struct {
	Name    string         `json:"name"`
	Address netip.AddrPort `json:"address"`
	Leaving bool           `json:"leaving"`
	// Boot identifies the VM's last start, empty while it is down.
	Boot string `json:"boot"`
}

// Calls counts the calls that were served.
type Calls struct {
	Reads   int64
	Writes  int64
	Watches int64
	Lists   int64
}

// Total is the number of all calls.
func (c Calls) Total() int64 {
	return c.Reads + c.Writes + c.Watches + c.Lists
}

// Platform is the stand-in; its zero faults serve everything.
type Platform struct {
	memory *memory
	server *http.Server
	lag    time.Duration

	lock     sync.Mutex
	faults   Faults
	calls    Calls
	machines map[string]VM
	lagging  []listed
	random   *rand.Rand
	onReboot func(name string)
	reboots  map[string]int
}

// listed is the list as it was at a time.
type listed struct {
	at   time.Time
	list []VM
}

// New makes a platform whose list of VMs lags by the time; the seed draws its faults.
func New(lag time.Duration, seed uint64) *Platform {
	return &Platform{
		memory:   newMemory(),
		lag:      lag,
		machines: map[string]VM{},
		reboots:  map[string]int{},
		random:   rand.New(rand.NewPCG(seed, seed)),
	}
}

// Start serves on the address until Stop.
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
	m.HandleFunc("GET /v1/machines", p.list)
	m.HandleFunc("POST /v1/machines/{name}/reboot", p.reboot)
	p.server = &http.Server{Handler: p.faulty(m)}
	go func() { _ = p.server.Serve(l) }()
	return nil
}

// Stop closes all connections.
func (p *Platform) Stop() {
	_ = p.server.Close()
}

// SetFaults changes what is wrong.
func (p *Platform) SetFaults(f Faults) {
	p.lock.Lock()
	defer p.lock.Unlock()
	p.faults = f
}

// OnReboot has the function called for each VM that is rebooted.
func (p *Platform) OnReboot(f func(name string)) {
	p.lock.Lock()
	defer p.lock.Unlock()
	p.onReboot = f
}

// RebootCount counts the reboots of a VM.
func (p *Platform) RebootCount(name string) int {
	p.lock.Lock()
	defer p.lock.Unlock()
	return p.reboots[name]
}

// reboot starts a VM anew if it is still at the boot.
func (p *Platform) reboot(w http.ResponseWriter, r *http.Request) {
	n := r.PathValue("name")
	p.lock.Lock()
	m, ok := p.machines[n]
	f := p.onReboot
	if !ok || m.Boot == "" || m.Boot != r.URL.Query().Get("boot") || f == nil {
		p.lock.Unlock()
		w.WriteHeader(http.StatusConflict)
		return
	}
	m.Boot = ""
	p.machines[n] = m
	p.reboots[n]++
	p.record()
	p.lock.Unlock()
	go f(n)
}

// Calls counts the calls so far.
func (p *Platform) Calls() Calls {
	p.lock.Lock()
	defer p.lock.Unlock()
	return p.calls
}

// SetVM puts a VM into the list.
func (p *Platform) SetVM(m VM) {
	p.lock.Lock()
	defer p.lock.Unlock()
	p.machines[m.Name] = m
	p.record()
}

// RemoveVM takes a VM from the list.
func (p *Platform) RemoveVM(name string) {
	p.lock.Lock()
	defer p.lock.Unlock()
	delete(p.machines, name)
	p.record()
}

func (p *Platform) record() {
	l := make([]VM, 0, len(p.machines))
	for _, m := range p.machines {
		l = append(l, m)
	}
	sort.Slice(l, func(i, j int) bool { return l[i].Name < l[j].Name })
	now := time.Now()
	p.lagging = append(p.lagging, listed{at: now, list: l})
	for len(p.lagging) > 1 && now.Sub(p.lagging[1].at) >= p.lag {
		p.lagging = p.lagging[1:]
	}
}

func (p *Platform) lagged() []VM {
	p.lock.Lock()
	defer p.lock.Unlock()
	r := []VM{}
	for _, x := range p.lagging {
		if time.Since(x.at) >= p.lag {
			r = x.list
		}
	}
	return r
}

// faulty counts calls and brings about the faults.
func (p *Platform) faulty(h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		p.lock.Lock()
		f := p.faults
		lost := r.Method != http.MethodGet && p.random.Float64() < f.LostResponseRate
		p.count(r)
		p.lock.Unlock()
		time.Sleep(f.Delay)
		if f.Outage {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		if lost {
			h.ServeHTTP(discard{}, r)
			panic(http.ErrAbortHandler)
		}
		h.ServeHTTP(w, r)
	})
}

func (p *Platform) count(r *http.Request) {
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

// discard is the answer that gets lost.
type discard struct{}

func (discard) Header() http.Header         { return http.Header{} }
func (discard) Write(b []byte) (int, error) { return len(b), nil }
func (discard) WriteHeader(int)             {}

func (p *Platform) get(w http.ResponseWriter, r *http.Request) {
	i, ok := p.memory.get(r.PathValue("key"))
	if !ok {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	setRevision(w, i.revision)
	_, _ = w.Write(i.value)
}

func (p *Platform) put(w http.ResponseWriter, r *http.Request) {
	b, err := io.ReadAll(io.LimitReader(r.Body, valueLimit+1))
	if err != nil || len(b) > valueLimit {
		w.WriteHeader(http.StatusRequestEntityTooLarge)
		return
	}
	ttl := time.Duration(number(r.URL.Query(), "ttlMs")) * time.Millisecond
	n, ok := p.memory.swap(r.PathValue("key"), number(r.URL.Query(), "expect"), b, ttl)
	if !ok {
		w.WriteHeader(http.StatusConflict)
		return
	}
	setRevision(w, n)
}

func (p *Platform) remove(w http.ResponseWriter, r *http.Request) {
	if !p.memory.remove(r.PathValue("key"), number(r.URL.Query(), "expect")) {
		w.WriteHeader(http.StatusConflict)
	}
}

// itemJSON is one key in a list.
type itemJSON struct {
	Key      string `json:"key"`
	Value    []byte `json:"value"`
	Revision uint64 `json:"revision"`
}

func (p *Platform) keys(w http.ResponseWriter, r *http.Request) {
	l := []itemJSON{}
	for k, n := range p.memory.list(r.URL.Query().Get("prefix")) {
		l = append(l, itemJSON{Key: k, Revision: n})
	}
	_ = json.NewEncoder(w).Encode(l)
}

func (p *Platform) watch(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after := number(q, "after")
	t := time.NewTimer(time.Duration(number(q, "waitMs")) * time.Millisecond)
	defer t.Stop()
	for {
		l, changed := p.memory.since(q.Get("prefix"), after)
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

func (p *Platform) list(w http.ResponseWriter, r *http.Request) {
	b, err := json.Marshal(p.lagged())
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

// Value reads a key without a call, for checks.
func (p *Platform) Value(key string) ([]byte, bool) {
	i, ok := p.memory.get(key)
	return i.value, ok
}

// KeyCount counts the keys with a prefix, for checks.
func (p *Platform) KeyCount(prefix string) int {
	return len(p.memory.list(prefix))
}

func setRevision(w http.ResponseWriter, n uint64) {
	w.Header().Set("Store-Revision", strconv.FormatUint(n, 10))
}

func number(q url.Values, name string) uint64 {
	n, _ := strconv.ParseUint(strings.TrimSpace(q.Get(name)), 10, 64)
	return n
}
