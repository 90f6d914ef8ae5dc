package site

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/gravitational/trace"
)

const (
	ticksPerSecond = 100
	pageBytes      = 4096
	statusTimeout  = time.Second
)

// Entry is one entry process of the site.
type Entry struct {
	Name       string
	DataCentre string
	Caller     netip.AddrPort
	Operator   netip.AddrPort
	// Peer is where peers reach the entry, PeerListen where it listens.
	Peer       netip.AddrPort
	PeerListen netip.AddrPort

	site    *Site
	command *exec.Cmd
	done    chan struct{}
	code    int
	broken  atomic.Bool
	run     atomic.Int64
}

// Run counts the processes that the entry has had.
func (e *Entry) Run() int64 {
	return e.run.Load()
}

// Broken says whether a process of the entry ever ended by itself on a broken invariant or a panic.
func (e *Entry) Broken() bool {
	return e.broken.Load()
}

// Start starts the process with settings of its own.
func (e *Entry) Start() error {
	f := filepath.Join(e.site.Plan.Out, e.Name+".toml")
	if err := os.WriteFile(f, []byte(e.settings()), 0o644); err != nil {
		return trace.ConvertSystemError(err)
	}
	w, err := os.OpenFile(filepath.Join(e.site.Plan.Out, e.Name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return trace.ConvertSystemError(err)
	}
	defer w.Close()
	c := exec.Command(filepath.Join(e.site.Plan.Binaries, "tarragond"), "--settings", f)
	c.Env = append(os.Environ(), e.site.Plan.Environment...)
	c.Stdout = w
	c.Stderr = w
	c.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := c.Start(); err != nil {
		return trace.Wrap(err, "starting %s", e.Name)
	}
	e.command = c
	e.run.Add(1)
	e.done = make(chan struct{})
	go func(done chan struct{}) {
		_ = c.Wait()
		e.code = c.ProcessState.ExitCode()
		e.broken.Store(e.broken.Load() || e.code > 1)
		close(done)
	}(e.done)
	return nil
}

func (e *Entry) settings() string {
	var b strings.Builder
	fmt.Fprintf(&b, "name = %q\ndataCentre = %q\nregion = \"bench\"\n", e.Name, e.DataCentre)
	fmt.Fprintf(&b, "callerAddress = %q\npeerAddress = %q\noperatorAddress = %q\n", e.Caller, e.PeerListen, e.Operator)
	fmt.Fprintf(&b, "advertisedPeerAddress = %q\n", e.Peer)
	fmt.Fprintf(&b, "outgoingAddress = %q\nplatformAddress = %q\n", e.Caller.Addr(), e.site.platformAddress)
	fmt.Fprintf(&b, "operatorToken = %q\nprofiling = true\n%s\n", Token, e.site.Plan.Settings)
	for _, p := range e.site.Entries {
		if p != e {
			fmt.Fprintf(&b, "[[peers]]\nname = %q\ndataCentre = %q\naddress = %q\n", p.Name, p.DataCentre, p.Peer)
		}
	}
	return b.String()
}

// Signal sends a signal to the process.
func (e *Entry) Signal(s os.Signal) {
	if e.command != nil {
		_ = e.command.Process.Signal(s)
	}
}

// Kill ends the process at once and waits for its end.
func (e *Entry) Kill() {
	if e.command == nil {
		return
	}
	_ = e.command.Process.Kill()
	<-e.done
}

// Leave asks the process to leave and returns its exit code, or -1 where it did not end in time.
func (e *Entry) Leave(limit time.Duration) int {
	e.Signal(syscall.SIGTERM)
	select {
	case <-e.done:
		return e.code
	case <-time.After(limit):
		return -1
	}
}

// Status is what the entry says of itself.
type Status struct {
	Revision uint64 `json:"revision"`
	Ready    bool   `json:"ready"`
	Watching bool   `json:"watching"`
	Dropped  uint64 `json:"logsDropped"`
}

// Status asks the entry.
func (e *Entry) Status(ctx context.Context) (Status, error) {
	var s Status
	return s, e.Ask(ctx, "/v1/status", &s)
}

// Ask reads JSON from the operators' side.
func (e *Entry) Ask(ctx context.Context, path string, v any) error {
	b, err := e.Read(ctx, path)
	if err != nil {
		return err
	}
	return trace.Wrap(json.Unmarshal(b, v), "reading %s", path)
}

// Read reads from the operators' side.
func (e *Entry) Read(ctx context.Context, path string) ([]byte, error) {
	ctx, stop := context.WithTimeout(ctx, statusTimeout)
	defer stop()
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+e.Operator.String()+path, nil)
	if err != nil {
		return nil, trace.Wrap(err, "asking %s", e.Name)
	}
	p, err := http.DefaultClient.Do(r)
	if err != nil {
		return nil, trace.ConnectionProblem(err, "asking %s", e.Name)
	}
	defer p.Body.Close()
	b, err := io.ReadAll(p.Body)
	return b, trace.Wrap(err, "asking %s", e.Name)
}

// AwaitLive waits until the process serves its operators' side.
func (e *Entry) AwaitLive(ctx context.Context) error {
	for ctx.Err() == nil {
		if _, err := e.Status(ctx); err == nil {
			return nil
		}
		select {
		case <-e.done:
			return trace.BadParameter("%s ended with code %d", e.Name, e.code)
		case <-time.After(statusPoll):
		}
	}
	return trace.LimitExceeded("%s did not start in time", e.Name)
}

// Usage is what the process has used.
type Usage struct {
	CPU    time.Duration
	Memory int64
}

// Usage reads the process's processor time and resident memory in bytes.
func (e *Entry) Usage() (Usage, error) {
	p := "/proc/" + strconv.Itoa(e.command.Process.Pid)
	s, err := os.ReadFile(p + "/stat")
	if err != nil {
		return Usage{}, trace.ConvertSystemError(err)
	}
	m, err := os.ReadFile(p + "/statm")
	if err != nil {
		return Usage{}, trace.ConvertSystemError(err)
	}
	f := strings.Fields(string(s[strings.LastIndexByte(string(s), ')')+1:]))
	user, _ := strconv.Atoi(f[11])
	system, _ := strconv.Atoi(f[12])
	pages, _ := strconv.ParseInt(strings.Fields(string(m))[1], 10, 64)
	return Usage{CPU: time.Duration(user+system) * time.Second / ticksPerSecond, Memory: pages * pageBytes}, nil
}

// Metric sums a counter of the entry over its tags.
func (e *Entry) Metric(ctx context.Context, name string) (float64, error) {
	b, err := e.Read(ctx, "/metrics")
	if err != nil {
		return 0, err
	}
	sum := 0.0
	for _, l := range strings.Split(string(b), "\n") {
		f := strings.Fields(l)
		if len(f) == 2 && strings.HasPrefix(f[0], "tarragond_"+name+"{") {
			x, _ := strconv.ParseFloat(f[1], 64)
			sum += x
		}
	}
	return sum, nil
}
