package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// recorder writes record.txt.
type recorder struct {
	mu    sync.Mutex
	f     *os.File
	began time.Time
	lines int
}

const maxLines = 20000

func newRecorder(path string) *recorder {
	f, err := os.Create(path)
	if err != nil {
		fail("%v", err)
	}
	return &recorder{f: f, began: time.Now()}
}

func (r *recorder) add(format string, v ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.lines++; r.lines <= maxLines {
		fmt.Fprintf(r.f, "%8.3f %s\n", time.Since(r.began).Seconds(), fmt.Sprintf(format, v...))
	}
}

var (
	cleanUp   []func()
	cleanLock sync.Mutex
)

func onExit(f func()) {
	cleanLock.Lock()
	defer cleanLock.Unlock()
	cleanUp = append(cleanUp, f)
}

// exit ends all processes that the script started.
func exit(code int) {
	cleanLock.Lock()
	defer cleanLock.Unlock()
	for _, f := range cleanUp {
		f()
	}
	os.Exit(code)
}

// fail ends a case that cannot run.
func fail(format string, v ...any) {
	fmt.Fprintf(os.Stderr, "cannot run: "+format+"\n", v...)
	exit(2)
}

// site is a small deployment.
type site struct {
	rec     *recorder
	store   *store
	checker *checker
	dir     string
	program []string
	// repository is the folder in which programs start.
	repository string
	entries    []*entry
	pools      []string
	standby    string
	adviser    string
	// tickets is the advice service, nil if there is none.
	tickets *tickets

	mu       sync.Mutex
	machines map[string]*machine
	order    []string
	nextID   int
	cloud    string
	// moveTime and upkeepTime are how long a machine is down.
	moveTime, upkeepTime time.Duration
	// cloudHook is called before an order for a machine is carried out.
	cloudHook func(path, machine string, h http.Header) bool
}

// machine is a machine of the platform with the worker that runs on it.
type machine struct {
	name, pool, zone, rack, state string
	cap                           size
	guards                        bool
	w                             *worker
	upkeeps                       map[int]bool
}

// entry is one process of the system.
type entry struct {
	site              *site
	name, zone        string
	front, ready, ctl string
	store             string
	cmd               *exec.Cmd
	done              chan struct{}
	memory            int
	share             float64
	settings, logs    string
	startedAt         time.Time
}

func newSite(rec *recorder, program []string, repository string) *site {
	d, err := os.MkdirTemp("", "review3-")
	if err != nil {
		fail("%v", err)
	}
	onExit(func() {
		if os.Getenv("KEEP") == "" {
			os.RemoveAll(d)
		} else {
			fmt.Println("kept", d)
		}
	})
	s := &site{rec: rec, store: newStore(rec), dir: d, program: program, repository: repository, machines: map[string]*machine{}, moveTime: 1500 * time.Millisecond, upkeepTime: 2 * time.Second}
	s.checker = newChecker(s)
	go s.store.expireLoop()
	s.serveCloud()
	return s
}

var zones = []string{"za", "zb", "zc"}

// nextPort is the next port for a program, below the kernel's range of ephemeral ports, so that nothing else takes it meanwhile.
var nextPort atomic.Int32

func freePort() string {
	return fmt.Sprintf("%s:%d", loopback, 21000+nextPort.Add(1))
}

func (s *site) addEntries(n int, memory int, share float64) {
	for i := range n {
		e := &entry{site: s, name: fmt.Sprintf("front-%d", i+1), zone: zones[i%3], front: freePort(), ready: freePort(), ctl: freePort(), memory: memory, share: share}
		e.store = s.store.serve(e.name)
		s.entries = append(s.entries, e)
	}
	for _, e := range s.entries {
		e.start()
	}
}

func (e *entry) start() {
	s := e.site
	m := map[string]any{
		"node-name": e.name, "role": "entry", "machine-class": "front", "serves": []string{"front", "control"}, "ip": loopback, "zone": e.zone, "region": "r",
		"zones":        map[string]string{"za": "r", "zb": "r", "zc": "r"},
		"listen-addrs": map[string]string{"front": e.front, "ready": e.ready, "control": e.ctl},
		"seeds":        []string{}, "bootstrap": false, "counts-as-loss": false,
		"limits":    map[string]any{"cpu-share": e.share, "cores": 1, "memory-mb": e.memory, "max-fds": 4100, "link-mbps": 1000, "disk-mb": 0},
		"discovery": "platform", "entry": "vip", "heartbeat-ms": 1500,
		"contracts": []string{"base", "drain", "config", "cost", "recover", "sched", "platform", "advice", "upkeep", "sharing"},
		"bounds": map[string]any{
			"seed-lag-s": 3, "reuse-after-s": 2, "contact-ms": 3000, "ack-ms": 4000, "catch-up-s": 4, "drain-ms": 2000, "grace-s": 6, "loss-slack-ms": 200,
			"config-apply-ms": 2000, "rollback-slack-ms": 250, "max-stretch-ms": 5000, "recovery-s": 12, "hold-max-ms": 6000, "stop-timeout-ms": 400,
			"gang-timeout-ms": 3000, "cancel_ms": 3000, "visible_ms": 3000, "early_ms": 250, "finish_s": 14, "status_s": 120, "cross-rack-factor": 2,
			"checkpoint-s": 1, "restore-ms": 100, "notice-ms": 4500, "move-s": 1.5, "maintenance-s": 2, "require-fencing": false, "lease-ms": 3000,
			"thaw-slack-ms": 300, "pace-ms": 100, "harm-ms": 4000,
		},
		"orders": "call", "advice": s.adviser,
		"platform":  map[string]any{"address": e.store, "form": "kv", "writes-per-s": 400, "reads-per-s": 2000, "history-s": 20, "value-bytes": valueBytes, "ttl-min-ms": 1000},
		"cloud-api": map[string]any{"address": s.cloud, "rate-per-s": 64.0, "duties": []string{}, "duty-per-s": 64.0},
	}
	b, _ := json.Marshal(m)
	e.settings = filepath.Join(s.dir, e.name+".json")
	if err := os.WriteFile(e.settings, b, 0o644); err != nil {
		fail("%v", err)
	}
	e.logs = filepath.Join(s.dir, e.name+".log")
	f, err := os.OpenFile(e.logs, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		fail("%v", err)
	}
	c := exec.Command(s.program[0], s.program[1:]...)
	c.Dir = s.repository
	c.Env = []string{"TARRAGONBANK_CONFIG=" + e.settings, "PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME")}
	c.Stdout, c.Stderr = f, f
	if err := c.Start(); err != nil {
		fail("%v", err)
	}
	f.Close()
	e.cmd, e.done, e.startedAt = c, make(chan struct{}), time.Now()
	done := e.done
	go func() { _ = c.Wait(); close(done) }()
	onExit(func() { _ = c.Process.Signal(syscall.SIGCONT); _ = c.Process.Kill(); <-done })
	s.rec.add("%s started", e.name)
}

func (e *entry) signal(x syscall.Signal) {
	e.site.rec.add("%s gets %s", e.name, x)
	_ = e.cmd.Process.Signal(x)
}

func (e *entry) kill() {
	e.signal(syscall.SIGKILL)
	<-e.done
}

func (e *entry) exited() bool {
	select {
	case <-e.done:
		return true
	default:
		return false
	}
}

func (e *entry) isReady() bool {
	c := &http.Client{Timeout: time.Second}
	a, err := c.Get("http://" + e.ready + "/tarragonbank/readiness")
	if err != nil {
		return false
	}
	a.Body.Close()
	return a.StatusCode == 200
}

func (s *site) awaitReady(limit time.Duration) {
	end := time.Now().Add(limit)
	for _, e := range s.entries {
		for !e.isReady() {
			if time.Now().After(end) {
				fail("%s was not ready in time", e.name)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
}

// owner returns the entry that the store names as the owner, nil if there is none.
func (s *site) owner() *entry {
	i, ok := s.store.get("tarragonbank/owner")
	if !ok {
		return nil
	}
	for _, e := range s.entries {
		if bytes.Contains(i.Value, []byte(e.name)) {
			return e
		}
	}
	return nil
}

// configure publishes a configuration with one queue for each pool, and those in extra.
func (s *site) configure(version int, extra ...map[string]any) {
	routes, backends := []map[string]any{}, []map[string]any{}
	for _, p := range s.pools {
		backends = append(backends, map[string]any{"name": p, "health-path": "/health", "max-connections": 64, "protocol": "h1", "tls": false, "enforces-capacity": true, "standby": p == s.standby})
		if p != s.standby {
			routes = append(routes, route("r-"+p, "/"+p+"/", p))
		}
	}
	routes = append(routes, extra...)
	b, _ := json.Marshal(map[string]any{"version": version, "routes": routes, "backends": backends, "limits": map[string]any{"max-header-bytes": 16384, "max-body-bytes": 262144, "header-timeout-ms": 3000, "idle-timeout-ms": 15000}})
	s.store.write("op/config", b)
	s.rec.add("configuration %d acknowledged", version)
}

func route(name, prefix, pool string) map[string]any {
	return map[string]any{"name": name, "hostname": host, "prefix": prefix, "route-type": "unsafe", "timeout-ms": 3000, "target-latency-ms": 2000, "priority": 0, "backend": pool, "retry-attempts": 4, "slack-factor": 1.6}
}

const host = "pule25.example"

// addMachines adds machines to a pool, each with a worker.
func (s *site) addMachines(pool string, n int, cap size, guards bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !contains(s.pools, pool) {
		s.pools = append(s.pools, pool)
	}
	for range n {
		i := len(s.order)
		m := &machine{name: fmt.Sprintf("m-%05x", 0xa3f1+i*37), pool: pool, zone: zones[i%3], rack: fmt.Sprintf("r%d-%d", i%3+1, i/12+1), state: "up", cap: cap, guards: guards, upkeeps: map[int]bool{}}
		s.machines[m.name] = m
		s.order = append(s.order, m.name)
		if pool != s.standby {
			s.bootLocked(m)
		}
	}
}

func contains(l []string, x string) bool {
	for _, y := range l {
		if x == y {
			return true
		}
	}
	return false
}

// bootLocked starts a new worker on a machine.
func (s *site) bootLocked(m *machine) {
	s.nextID++
	m.w = &worker{site: s, id: fmt.Sprintf("i-%08x", 0x7f3a0000+s.nextID*4099), machine: m.name, pool: m.pool, zone: m.zone, rack: m.rack, labels: []string{"a", m.rack}, cap: m.cap, guards: m.guards}
	m.state = "up"
	m.w.start()
}

// reborn starts a worker again under its id, after a crash.
func (s *site) reborn(m *machine) {
	s.mu.Lock()
	defer s.mu.Unlock()
	old := m.w
	m.w = &worker{site: s, id: old.id, machine: m.name, pool: m.pool, zone: m.zone, rack: m.rack, labels: old.labels, cap: m.cap, guards: m.guards}
	l, err := relisten(old.addr)
	if err != nil {
		fail("%v", err)
	}
	m.w.lst, m.w.addr, m.w.hook = l, old.addr, old.hook
	m.w.start()
}

func (s *site) workers(pool string) []*worker {
	s.mu.Lock()
	defer s.mu.Unlock()
	l := []*worker{}
	for _, n := range s.order {
		if m := s.machines[n]; m.w != nil && m.pool == pool {
			l = append(l, m.w)
		}
	}
	return l
}

func (s *site) serveCloud() {
	l := listen()
	s.cloud = l.Addr().String()
	mux := http.NewServeMux()
	mux.HandleFunc("GET /tarragonbank/machines", func(w http.ResponseWriter, _ *http.Request) {
		s.mu.Lock()
		rows := []map[string]any{}
		for _, n := range s.order {
			m := s.machines[n]
			id := ""
			if m.w != nil {
				id = m.w.id
			}
			rows = append(rows, map[string]any{"machine": m.name, "pool": m.pool, "state": m.state, "zone": m.zone, "labels": []string{"a", m.rack}, "capacity": m.cap, "id": id})
		}
		s.mu.Unlock()
		reply(w, 200, map[string]any{"machines": rows, "next-token": nil})
	})
	mux.HandleFunc("POST /tarragonbank/machine-move", s.orderMachine)
	mux.HandleFunc("POST /tarragonbank/machine-upkeep", s.orderMachine)
	go func() { _ = http.Serve(l, mux) }()
}

func (s *site) orderMachine(w http.ResponseWriter, r *http.Request) {
	b, _ := io.ReadAll(r.Body)
	var o struct {
		Machine string `json:"machine"`
		Pool    string `json:"pool"`
		Wave    int    `json:"wave"`
	}
	_ = json.Unmarshal(b, &o)
	if h := s.cloudHook; h != nil && !h(r.URL.Path, o.Machine, r.Header) {
		<-r.Context().Done()
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	m := s.machines[o.Machine]
	token, _ := strconv.ParseUint(r.Header.Get("Tarragonbank-Fencing-Token"), 10, 64)
	s.checker.machineOrder(r.URL.Path, o.Machine, o.Pool, o.Wave, r.Header.Get("Tarragonbank-Lease-Holder"), token)
	isMove := r.URL.Path == "/tarragonbank/machine-move"
	switch {
	case m == nil || isMove && !contains(s.pools, o.Pool):
		reply(w, 400, map[string]any{})
		return
	case isMove && m.pool == o.Pool || !isMove && m.upkeeps[o.Wave]:
		reply(w, 200, map[string]any{})
		return
	case m.state != "up":
		reply(w, 409, map[string]any{"reason": "busy"})
		return
	}
	old := m.w
	m.w = nil
	d := s.upkeepTime
	if isMove {
		m.pool, m.state, d = o.Pool, "moving", s.moveTime
	} else {
		m.upkeeps[o.Wave], m.state = true, "upkeep"
	}
	if old != nil {
		old.crash()
		s.store.drop("servers/" + old.id)
	}
	time.AfterFunc(d, func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		m.state = "up"
		if m.pool != s.standby {
			s.bootLocked(m)
		}
	})
	reply(w, 200, map[string]any{})
}

// call sends a client's request to an entry. The status is 0 if there was no complete answer.
func (s *site) call(e *entry, method, path string, body any, deadline time.Duration) (int, []byte) {
	var b io.Reader
	if body != nil {
		t, _ := json.Marshal(body)
		b = bytes.NewReader(t)
	}
	r, err := http.NewRequest(method, "http://"+e.front+path, b)
	if err != nil {
		return 0, nil
	}
	r.Host = host
	r.Header.Set("Content-Type", "application/json")
	r.Header.Set("Tarragonbank-Request-Deadline", strconv.FormatInt(deadline.Milliseconds(), 10))
	c := &http.Client{Timeout: deadline, Transport: &http.Transport{DisableKeepAlives: true}}
	a, err := c.Do(r)
	if err != nil {
		return 0, nil
	}
	defer a.Body.Close()
	t, err := io.ReadAll(a.Body)
	if err != nil {
		return 0, nil
	}
	return a.StatusCode, t
}
