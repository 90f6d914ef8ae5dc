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

// Entry is one entry process of the site and its addresses.
type Entry struct {
	*process.Process
	DataCentre      string
	CallerAddress   netip.AddrPort
	OperatorAddress netip.AddrPort
	// PeerAddress is the advertised address at which peers reach the entry, possibly through a proxy; the entry listens at
	// PeerListenAddress.
	PeerAddress       netip.AddrPort
	PeerListenAddress netip.AddrPort

	site *Site
}

func (s *Site) newEntry(name, dataCentre string) *Entry {
	p := process.New(name, filepath.Join(s.Options.Binaries, "tarragond"), filepath.Join(s.Options.Out, name+".log"))
	return &Entry{Process: p, DataCentre: dataCentre, site: s}
}

// Start writes the entry's settings file and starts the process with it.
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

// Status is the part of an entry's status report that the benchmarks use.
type Status struct {
	Revision    uint64 `json:"revision"`
	Ready       bool   `json:"ready"`
	Watching    bool   `json:"watching"`
	LogsDropped uint64 `json:"logsDropped"`
}

// Status fetches the entry's status. It returns an error if the entry does not respond within statusTimeout.
func (e *Entry) Status(ctx context.Context) (Status, error) {
	var s Status
	return s, e.GetJSON(ctx, "/v1/status", &s)
}

// GetJSON fetches a path from the operator address and decodes the JSON response into v.
func (e *Entry) GetJSON(ctx context.Context, path string, v any) error {
	b, err := e.Get(ctx, path)
	if err != nil {
		return err
	}
	return trace.Wrap(json.Unmarshal(b, v), "decoding the response of %s to GET %s", e.Name, path)
}

// Get fetches a path from the operator address and returns the response body, whatever the status code.
func (e *Entry) Get(ctx context.Context, path string) ([]byte, error) {
	ctx, stop := context.WithTimeout(ctx, statusTimeout)
	defer stop()
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+e.OperatorAddress.String()+path, nil)
	if err != nil {
		return nil, trace.Wrap(err, "GET %s from %s", path, e.Name)
	}
	p, err := http.DefaultClient.Do(r)
	if err != nil {
		return nil, trace.ConnectionProblem(err, "GET %s from %s", path, e.Name)
	}
	defer p.Body.Close()
	b, err := io.ReadAll(p.Body)
	return b, trace.Wrap(err, "GET %s from %s", path, e.Name)
}

// AwaitLive waits until the entry responds on its operator address. It returns an error if the process exits or the
// context ends before.
func (e *Entry) AwaitLive(ctx context.Context) error {
	for ctx.Err() == nil {
		if _, err := e.Status(ctx); err == nil {
			return nil
		}
		select {
		case <-e.Done():
			return trace.BadParameter("%s exited with code %d before it was live", e.Name, e.ExitCode())
		case <-time.After(statusPollInterval):
		}
	}
	return trace.LimitExceeded("%s was not live in time", e.Name)
}

// MetricSum returns the sum of a labelled metric over all its label values. The name is without the tarragond_ prefix.
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
