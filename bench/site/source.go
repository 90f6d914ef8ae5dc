package site

import (
	"bytes"
	"context"
	"encoding/json"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"

	"github.com/BurntSushi/toml"
	"github.com/gravitational/trace"
	"google.golang.org/protobuf/encoding/protojson"
	"google.golang.org/protobuf/proto"
)

// WriteSource writes the site's inventory and rules, with its loopback addresses, for the operators' command.
func (s *Site) WriteSource() error {
	if err := writeTOML(s.inventoryFile(), s.Source.Inventory); err != nil {
		return err
	}
	return writeTOML(s.rulesFile(), s.Source.Rules)
}

func (s *Site) inventoryFile() string {
	return filepath.Join(s.Options.Out, "inventory.toml")
}

func (s *Site) rulesFile() string {
	return filepath.Join(s.Options.Out, "rules.toml")
}

func writeTOML(file string, m proto.Message) error {
	b, err := protojson.Marshal(m)
	if err != nil {
		return trace.Wrap(err, "encoding %s", file)
	}
	d := json.NewDecoder(bytes.NewReader(b))
	d.UseNumber()
	var t map[string]any
	if err := d.Decode(&t); err != nil {
		return trace.Wrap(err, "encoding %s", file)
	}
	var w bytes.Buffer
	if err := toml.NewEncoder(&w).Encode(native(t)); err != nil {
		return trace.Wrap(err, "encoding %s", file)
	}
	return trace.ConvertSystemError(os.WriteFile(file, w.Bytes(), 0o644))
}

// native turns JSON's numbers, and the strings that stand for long ones, into TOML's.
func native(v any) any {
	switch x := v.(type) {
	case map[string]any:
		for k, e := range x {
			x[k] = native(e)
			if s, ok := e.(string); ok && k == "memoryGb" {
				x[k], _ = strconv.ParseInt(s, 10, 64)
			}
		}
		return x
	case []any:
		for i, e := range x {
			x[i] = native(e)
		}
		return x
	case json.Number:
		if n, err := x.Int64(); err == nil {
			return n
		}
		f, _ := x.Float64()
		return f
	default:
		return v
	}
}

// Apply has tarragonctl apply the site's source through an entry and returns the revision.
func (s *Site) Apply(ctx context.Context, e *Entry, more ...string) (uint64, error) {
	if err := s.WriteSource(); err != nil {
		return 0, err
	}
	a := append([]string{"config", "apply", "--inventory", s.inventoryFile(), "--rules", s.rulesFile()}, more...)
	out, err := s.RunCtl(ctx, e, a...)
	if err != nil {
		return 0, err
	}
	f := strings.Fields(out)
	if len(f) < 2 {
		return 0, trace.BadParameter("tarragonctl printed %q", out)
	}
	n, err := strconv.ParseUint(f[1], 10, 64)
	return n, trace.Wrap(err, "reading the revision")
}

// RunCtl runs tarragonctl against an entry and returns what it printed.
func (s *Site) RunCtl(ctx context.Context, e *Entry, a ...string) (string, error) {
	c := exec.CommandContext(ctx, filepath.Join(s.Options.Binaries, "tarragonctl"), append([]string{"--entry", "http://" + e.OperatorAddress.String()}, a...)...)
	c.Env = append(os.Environ(), "TARRAGON_TOKEN="+Token)
	var out, failed bytes.Buffer
	c.Stdout = &out
	c.Stderr = &failed
	if err := c.Run(); err != nil {
		return "", trace.Wrap(&CtlError{Detail: strings.TrimSpace(failed.String())})
	}
	return out.String(), nil
}

// CtlError reports a command of the operators that failed.
type CtlError struct {
	Detail string
}

// Error describes the failure in one line.
func (e *CtlError) Error() string {
	return e.Detail
}
