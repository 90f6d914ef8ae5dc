package site

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/netip"
	"os"
	"time"

	"github.com/gravitational/trace"
)

const changeTimeout = 10 * time.Second

// RefusedError reports that an entry rejected a configuration change.
type RefusedError struct {
	Kind   string `json:"kind"`
	Detail string `json:"error"`
}

// Error returns the kind and the detail of the rejection.
func (e *RefusedError) Error() string {
	return e.Kind + ": " + e.Detail
}

// ChangeOption sets a field in the request for a configuration change.
type ChangeOption func(map[string]any)

// WithBase sets the revision that the change is based on.
func WithBase(n uint64) ChangeOption {
	return func(m map[string]any) { m["base"] = n }
}

// WithChangeID sets the unique ID of the change, sent in the field mark.
func WithChangeID(s string) ChangeOption {
	return func(m map[string]any) { m["mark"] = s }
}

// PostSource sends the site's inventory and rules to an entry, without running tarragonctl, and returns the new revision.
// It returns a RefusedError if the entry rejects them.
func (s *Site) PostSource(ctx context.Context, e *Entry, o []ChangeOption) (uint64, error) {
	i, r, err := s.RenderSource()
	if err != nil {
		return 0, err
	}
	return s.PostConfig(ctx, e, i, r, o)
}

// RenderSource writes the site's inventory and rules to their files and returns the contents.
func (s *Site) RenderSource() (inventory, rules string, err error) {
	if err := s.WriteSource(); err != nil {
		return "", "", err
	}
	i, err := os.ReadFile(s.inventoryFile())
	if err != nil {
		return "", "", trace.ConvertSystemError(err)
	}
	r, err := os.ReadFile(s.rulesFile())
	return string(i), string(r), trace.ConvertSystemError(err)
}

// PostConfig sends an inventory and rules to an entry and returns the new revision. It returns a RefusedError if the
// entry rejects them.
func (s *Site) PostConfig(ctx context.Context, e *Entry, inventory, rules string, o []ChangeOption) (uint64, error) {
	q := map[string]any{"inventory": inventory, "rules": rules, "inventoryFile": "inventory.toml", "rulesFile": "rules.toml", "author": "bench"}
	for _, f := range o {
		f(q)
	}
	ctx, stop := context.WithTimeout(ctx, changeTimeout)
	defer stop()
	var v struct {
		Revision uint64 `json:"revision"`
	}
	err := e.post(ctx, "/v1/config", q, &v)
	return v.Revision, err
}

func (e *Entry) post(ctx context.Context, path string, q, v any) error {
	b, err := json.Marshal(q)
	if err != nil {
		return trace.Wrap(err, "encoding the request for %s", path)
	}
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+e.OperatorAddress.String()+path, bytes.NewReader(b))
	if err != nil {
		return trace.Wrap(err, "POST %s to %s", path, e.Name)
	}
	r.Header.Set("Authorization", "Bearer "+Token)
	p, err := http.DefaultClient.Do(r)
	if err != nil {
		return trace.ConnectionProblem(err, "POST %s to %s", path, e.Name)
	}
	defer p.Body.Close()
	b, err = io.ReadAll(p.Body)
	if err != nil {
		return trace.ConnectionProblem(err, "POST %s to %s", path, e.Name)
	}
	if p.StatusCode != http.StatusOK {
		f := &RefusedError{}
		_ = json.Unmarshal(b, f)
		return trace.Wrap(f)
	}
	return trace.Wrap(json.Unmarshal(b, v), "decoding the response of %s to POST %s", e.Name, path)
}

// DataCentreOf returns the data centre of the entry whose outgoing connections come from the address, or "" if there is
// no such entry.
func (s *Site) DataCentreOf(a netip.Addr) string {
	for _, e := range s.Entries {
		if e.CallerAddress.Addr() == a {
			return e.DataCentre
		}
	}
	return ""
}
