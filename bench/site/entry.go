package site

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"time"

	"github.com/gravitational/trace"

	"github.com/tarragonbank/tarragonbank/bench/process"
)

const statusTimeout = time.Second

// Entry is one entry process of the site.
type Entry struct {
	*process.Process
	DataCentre      string
	CallerAddress   netip.AddrPort
	OperatorAddress netip.AddrPort
	// PeerAddress is where peers reach the entry, PeerListen where it listens.
	PeerAddress       netip.AddrPort
	PeerListenAddress netip.AddrPort

	site *Site
}

func (s *Site) newEntry(name, dataCentre string) *Entry {
	p := process.New(name, filepath.Join(s.Options.Binaries, "tarragond"), filepath.Join(s.Options.Out, name+".log"))
	return &Entry{Process: p, DataCentre: dataCentre, site: s}
}

// Start starts the process with settings of its own.
func (e *Entry) Start() error {
	f := filepath.Join(e.site.Options.Out, e.Name+".toml")
	if err := os.WriteFile(f, []byte(e.settings()), 0o644); err != nil {
		return trace.ConvertSystemError(err)
	}
	return e.Process.Start([]string{"--settings", f}, e.site.Options.Environment)
}

func (e *Entry) settings() string {
	var b strings.Builder
	fmt.Fprintf(&b, "name = %q\ndataCentre = %q\nregion = \"bench\"\n", e.Name, e.DataCentre)
	fmt.Fprintf(&b, "callerAddress = %q\npeerAddress = %q\noperatorAddress = %q\n", e.CallerAddress, e.PeerListenAddress, e.OperatorAddress)
	fmt.Fprintf(&b, "advertisedPeerAddress = %q\n", e.PeerAddress)
	fmt.Fprintf(&b, "outgoingAddress = %q\nplatformAddress = %q\n", e.CallerAddress.Addr(), e.site.platformAddress)
	fmt.Fprintf(&b, "operatorToken = %q\nprofiling = true\n%s\n", Token, e.site.Options.Settings)
	for _, p := range e.site.Entries {
		if p != e {
			fmt.Fprintf(&b, "[[peers]]\nname = %q\ndataCentre = %q\naddress = %q\n", p.Name, p.DataCentre, p.PeerAddress)
		}
	}
	return b.String()
}

// Status is what the entry says of itself.
type Status struct {
	Revision    uint64 `json:"revision"`
	Ready       bool   `json:"ready"`
	Watching    bool   `json:"watching"`
	LogsDropped uint64 `json:"logsDropped"`
}

// Status asks the entry.
func (e *Entry) Status(ctx context.Context) (Status, error) {
	var s Status
	return s, e.GetJSON(ctx, "/v1/status", &s)
}

// GetJSON reads JSON from the operators' side.
func (e *Entry) GetJSON(ctx context.Context, path string, v any) error {
	b, err := e.Get(ctx, path)
	if err != nil {
		return err
	}
	return trace.Wrap(json.Unmarshal(b, v), "reading %s", path)
}

// Get reads from the operators' side.
func (e *Entry) Get(ctx context.Context, path string) ([]byte, error) {
	ctx, stop := context.WithTimeout(ctx, statusTimeout)
	defer stop()
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+e.OperatorAddress.String()+path, nil)
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
		case <-e.Done():
			return trace.BadParameter("%s ended with code %d", e.Name, e.ExitCode())
		case <-time.After(statusPoll):
		}
	}
	return trace.LimitExceeded("%s did not start in time", e.Name)
}

// MetricSum sums a counter of the entry over its tags.
func (e *Entry) MetricSum(ctx context.Context, name string) (float64, error) {
	b, err := e.Get(ctx, "/metrics")
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
