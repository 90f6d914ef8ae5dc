package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	standbyPool = "ledger"
	pool        = "cups"
	host        = "cups.example"
	prefix      = "/cups/"
	// listLatency and orderLatency are the usual times of the list of machines and of the orders for them.
	listLatency  = 4 * time.Millisecond
	orderLatency = 20 * time.Millisecond
	// cpuShare is the share of a core of an entry in the small deployments.
	cpuShare = 0.4
)

// step is what a case knows of a step: how long its tasks take, 0 for tasks that last.
type step struct {
	duration time.Duration
}

// site is the platform, the workers and the clients of one play.
type site struct {
	record  *record
	root    string
	dir     string
	store   *kvStore
	cloud   net.Listener
	entries []*entry
	// storeAddress is where the store listens.
	storeAddress string

	lock     sync.Mutex
	machines map[string]*machine
	workers  int
	// alive counts the lives of workers by ID. keepsID is true if a worker keeps its ID over an upkeep of its machine.
	alive    map[string]int
	keepsID  bool
	vmOrders []vmOrder
	slow     int
	// steps are the steps of the jobs, by ID.STEP.
	steps map[string]step
	hooks hooks
}

// hooks are what a case does and sees.
type hooks struct {
	delay       func(kind string, o orderBody) time.Duration
	delayedDone func()
	started     func(w *worker, r *run)
	ended       func(w *worker, r *run, how string)
	stopOrdered func(w *worker, r *run, atWork bool)
	figure      func(w *worker, r *run) int
}

// entry is a process of the system.
type entry struct {
	name, front, ready, control string
	// share is the part of a core that the settings give the entry.
	share   float64
	command *exec.Cmd
	log     *os.File
}

func newSite(root, recordPath string) (*site, error) {
	r, err := newRecord(recordPath)
	if err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, err
	}
	s := &site{record: r, root: root, dir: dir, store: newStore(), machines: map[string]*machine{}, steps: map[string]step{}, alive: map[string]int{}}
	return s, nil
}

func listen(h http.Handler) (net.Listener, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	go func() { _ = http.Serve(l, h) }()
	return l, nil
}

// freeAddress returns a loopback address with a free port.
func freeAddress() string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		panic(err)
	}
	defer l.Close()
	return l.Addr().String()
}

// start publishes the configuration and starts the entries with the command of the deploy file.
func (s *site) start(entries int) error {
	return s.startWith(entries, cpuShare)
}

func (s *site) startWith(entries int, share float64) error {
	storeListener, err := listen(s.store)
	if err != nil {
		return err
	}
	s.storeAddress = storeListener.Addr().String()
	if s.cloud, err = listen(http.HandlerFunc(s.serveCloud)); err != nil {
		return err
	}
	s.store.set("op/config", map[string]any{
		"version": 1,
		"routes": []map[string]any{{
			"name": "r-cups", "hostname": host, "prefix": prefix, "route-type": "unsafe", "timeout-ms": 3000, "target-latency-ms": 600,
			"priority": 0, "backend": pool, "retry-attempts": 4, "slack-factor": 2,
		}},
		"backends": s.backends(),
		"limits":   map[string]any{"max-header-bytes": 16384, "max-body-bytes": 262144, "header-timeout-ms": 3000, "idle-timeout-ms": 15000},
	})
	for range entries {
		if _, err := s.addEntry(share); err != nil {
			return err
		}
	}
	return s.awaitReady()
}

// addEntry starts one more entry with the share of a core.
func (s *site) addEntry(share float64) (*entry, error) {
	e := &entry{name: fmt.Sprintf("front-%d", len(s.entries)+1), front: freeAddress(), ready: freeAddress(), control: freeAddress(), share: share}
	s.lock.Lock()
	s.entries = append(s.entries, e)
	s.lock.Unlock()
	return e, s.startEntry(e)
}

// backends returns the services of the configuration: the pool, and the standby pool if it has a machine.
func (s *site) backends() []map[string]any {
	l := []map[string]any{}
	for _, n := range []string{pool, standbyPool} {
		for _, m := range s.machines {
			if m.pool == n {
				l = append(l, map[string]any{
					"name": n, "health-path": "/health", "max-connections": 64, "protocol": "h1", "tls": false, "enforces-capacity": true, "standby": n == standbyPool,
				})
				break
			}
		}
	}
	return l
}

// runCommand returns the words of run in the deploy file.
func (s *site) runCommand() ([]string, error) {
	b, err := os.ReadFile(filepath.Join(s.root, "deploy", "system.toml"))
	if err != nil {
		return nil, err
	}
	for _, l := range strings.Split(string(b), "\n") {
		if k, v, ok := strings.Cut(l, "="); ok && strings.TrimSpace(k) == "run" {
			return strings.Fields(strings.Trim(strings.TrimSpace(v), `"`)), nil
		}
	}
	return nil, fmt.Errorf("no run in the deploy file")
}

func (s *site) startEntry(e *entry) error {
	settings, err := json.Marshal(map[string]any{
		"node-name": e.name, "role": "entry", "machine-class": "front", "serves": []string{"front", "control"}, "ip": "127.0.0.1",
		"zone": "njiro", "region": "arusha", "zones": map[string]string{"njiro": "arusha"},
		"listen-addrs": map[string]string{"front": e.front, "ready": e.ready, "control": e.control},
		"port-range":   []int{7060, 7075}, "seeds": []string{}, "bootstrap": true, "counts-as-loss": false,
		"limits":   map[string]any{"cpu-share": e.share, "cores": 1, "memory-mb": 284, "max-fds": 4100, "link-mbps": 1000.0, "disk-mb": 0},
		"data-dir": nil, "discovery": "platform", "entry": "vip", "heartbeat-ms": heartbeat.Milliseconds(),
		"contracts":       []string{"base", "drain", "config", "cost", "recover", "sched", "platform", "advice", "upkeep", "sharing"},
		"fault-tolerance": map[string]int{"machines": 2, "zones": 1, "regions": 0},
		"bounds": map[string]any{
			"seed-lag-s": 3, "reuse-after-s": 2, "contact-ms": 3000, "ack-ms": 4000, "catch-up-s": 4, "drain-ms": 2000, "grace-s": 6,
			"loss-slack-ms": 200, "config-apply-ms": 2000, "rollback-slack-ms": 250, "max-stretch-ms": 5000, "recovery-s": 12,
			"hold-max-ms": holdMax.Milliseconds(), "stop-timeout-ms": 400, "gang-timeout-ms": 3000, "cancel_ms": 3000, "visible_ms": 3000,
			"early_ms": 250, "finish_s": 14, "status_s": 120, "cross-rack-factor": 2, "checkpoint-s": 1, "restore-ms": 100,
			"notice-ms": 4500, "move-s": moveTime.Seconds(), "maintenance-s": maintenanceTime.Seconds(), "require-fencing": false, "lease-ms": orderLease.Milliseconds(),
			"thaw-slack-ms": 300, "pace-ms": 100, "harm-ms": harmTime.Milliseconds(),
		},
		"orders": "call", "advice": "",
		"platform": map[string]any{
			"address": s.storeAddress, "form": "kv", "writes-per-s": 400, "reads-per-s": 2000, "history-s": 20, "value-bytes": 1048576, "ttl-min-ms": 1000,
		},
		"cloud-api": map[string]any{"address": s.cloud.Addr().String(), "rate-per-s": 64.0, "duties": []string{}, "duty-per-s": 64.0},
	})
	if err != nil {
		return err
	}
	file := filepath.Join(s.dir, e.name+".json")
	if err := os.WriteFile(file, settings, 0o600); err != nil {
		return err
	}
	words, err := s.runCommand()
	if err != nil {
		return err
	}
	if e.log, err = os.Create(filepath.Join(s.dir, e.name+".out")); err != nil {
		return err
	}
	e.command = exec.Command(filepath.Join(s.root, words[0]), words[1:]...)
	e.command.Dir = s.root
	e.command.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "LANG=" + os.Getenv("LANG"), "TARRAGONBANK_CONFIG=" + file}
	e.command.Stdout, e.command.Stderr = e.log, e.log
	s.record.add("%s starts, with %.3f of a core in its settings", e.name, e.share)
	return e.command.Start()
}

// awaitReady waits until all entries are ready and the owner is known.
func (s *site) awaitReady() error {
	for end := time.Now().Add(20 * time.Second); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		n := 0
		for _, e := range s.entries {
			if a, err := http.Get("http://" + e.ready + "/tarragonbank/readiness"); err == nil {
				a.Body.Close()
				if a.StatusCode == http.StatusOK {
					n++
				}
			}
		}
		if n == len(s.entries) {
			s.record.add("all entries are ready")
			return nil
		}
	}
	return fmt.Errorf("the entries were not ready in time")
}

// stop ends all processes that the site started.
func (s *site) stop() {
	for _, e := range s.entries {
		if e.command != nil && e.command.Process != nil {
			_ = e.command.Process.Kill()
			_ = e.command.Wait()
		}
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(s.dir)
	}
}

// request sends a client's request to an entry and returns the status and the body.
func (s *site) request(e *entry, method, path string, body any) (int, string) {
	var b io.Reader
	if body != nil {
		x, _ := json.Marshal(body)
		b = bytes.NewReader(x)
	}
	r, err := http.NewRequest(method, "http://"+e.front+path, b)
	if err != nil {
		return 0, err.Error()
	}
	r.Host = host
	r.Header.Set("Content-Type", "application/json")
	r.Header.Set("Tarragonbank-Request-Deadline", "3000")
	c := http.Client{Timeout: 3 * time.Second}
	a, err := c.Do(r)
	if err != nil {
		s.record.add("client: %s %s at %s: no answer: %v", method, path, e.name, err)
		return 0, ""
	}
	defer a.Body.Close()
	x, _ := io.ReadAll(a.Body)
	s.record.add("client: %s %s at %s -> %d %s", method, path, e.name, a.StatusCode, strings.TrimSpace(string(x)))
	return a.StatusCode, string(x)
}

// submit hands a job in, with retries, and returns whether it was accepted.
func (s *site) submit(id string, steps []map[string]any, kinds ...step) bool {
	s.lock.Lock()
	for i, k := range kinds {
		s.steps[id+"."+strconv.Itoa(i)] = k
	}
	s.lock.Unlock()
	for try := range 5 {
		if n, _ := s.request(s.entries[try%len(s.entries)], http.MethodPost, prefix+id, map[string]any{"task-spec": "spec-" + id, "steps": steps}); n == http.StatusOK {
			return true
		}
		time.Sleep(500 * time.Millisecond)
	}
	return false
}

// setStep records what a step's tasks do.
func (s *site) setStep(id string, n int, k step) {
	s.lock.Lock()
	defer s.lock.Unlock()
	s.steps[id+"."+strconv.Itoa(n)] = k
}

// durationOf returns how long a task takes, 0 if it lasts.
func (s *site) durationOf(task string) time.Duration {
	p := strings.Split(task, ".")
	s.lock.Lock()
	defer s.lock.Unlock()
	return s.steps[p[0]+"."+p[2]].duration
}

func (s *site) delay(kind string, o orderBody) time.Duration {
	if f := s.hooks.delay; f != nil {
		return f(kind, o)
	}
	return 0
}

func (s *site) delayedDone() {
	if f := s.hooks.delayedDone; f != nil {
		f()
	}
}

func (s *site) started(w *worker, r *run) {
	s.record.add("worker %s (machine %s): %s run %d starts", w.id, w.machine.name, r.task, r.number)
	if f := s.hooks.started; f != nil {
		f(w, r)
	}
}

func (s *site) ended(w *worker, r *run, how string) {
	if f := s.hooks.ended; f != nil {
		f(w, r, how)
	}
}

func (s *site) stopOrdered(w *worker, r *run, atWork bool) {
	s.record.add("worker %s: %s run %d is ordered to stop, at work: %v", w.id, r.task, r.number, atWork)
	if f := s.hooks.stopOrdered; f != nil {
		f(w, r, atWork)
	}
}

func (s *site) figure(w *worker, r *run) int {
	if f := s.hooks.figure; f != nil {
		return f(w, r)
	}
	return 0
}

// setSlow makes the answers of the list of machines and of the orders for them take so many times as long.
func (s *site) setSlow(x int) {
	s.lock.Lock()
	s.slow = x
	s.lock.Unlock()
	s.record.add("platform: answers about machines take %d times as long", max(x, 1))
}

func (s *site) pause(d time.Duration) {
	s.lock.Lock()
	x := max(s.slow, 1)
	s.lock.Unlock()
	time.Sleep(d * time.Duration(x))
}
