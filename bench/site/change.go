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

// RefusedError reports a change that an entry did not accept.
type RefusedError struct {
	Kind   string `json:"kind"`
	Detail string `json:"error"`
}

// Error describes the failure in one line.
func (e *RefusedError) Error() string {
	return e.Kind + ": " + e.Detail
}

// ChangeOption changes what is asked of an entry.
type ChangeOption func(map[string]any)

// WithBase states the revision that was edited.
func WithBase(n uint64) ChangeOption {
	return func(m map[string]any) { m["base"] = n }
}

// WithChangeID states the identity of the change.
func WithChangeID(s string) ChangeOption {
	return func(m map[string]any) { m["mark"] = s }
}

// PostSource has an entry accept the site's source, without a process for the command, and returns the revision.
// It fails with a RefusedError where the entry refuses.
func (s *Site) PostSource(ctx context.Context, e *Entry, o []ChangeOption) (uint64, error) {
	i, r, err := s.RenderSource()
	if err != nil {
		return 0, err
	}
	return s.PostConfig(ctx, e, i, r, o)
}

// RenderSource are the site's inventory and rules as an operator would write them.
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

// PostConfig asks an entry to accept an inventory and rules.
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
		return trace.Wrap(err, "encoding a change")
	}
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+e.OperatorAddress.String()+path, bytes.NewReader(b))
	if err != nil {
		return trace.Wrap(err, "asking %s", e.Name)
	}
	r.Header.Set("Authorization", "Bearer "+Token)
	p, err := http.DefaultClient.Do(r)
	if err != nil {
		return trace.ConnectionProblem(err, "asking %s", e.Name)
	}
	defer p.Body.Close()
	b, err = io.ReadAll(p.Body)
	if err != nil {
		return trace.ConnectionProblem(err, "asking %s", e.Name)
	}
	if p.StatusCode != http.StatusOK {
		f := &RefusedError{}
		_ = json.Unmarshal(b, f)
		return trace.Wrap(f)
	}
	return trace.Wrap(json.Unmarshal(b, v), "reading the answer of %s", e.Name)
}

// DataCentreOf names the data centre of the entry that sends from the address, empty for none.
func (s *Site) DataCentreOf(a netip.Addr) string {
	for _, e := range s.Entries {
		if e.CallerAddress.Addr() == a {
			return e.DataCentre
		}
	}
	return ""
}
