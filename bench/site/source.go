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

// WriteSource writes the site's inventory, with its loopback addresses, and rules to files for tarragonctl.
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
	if err := toml.NewEncoder(&w).Encode(tomlValue(t)); err != nil {
		return trace.Wrap(err, "encoding %s", file)
	}
	return trace.ConvertSystemError(os.WriteFile(file, w.Bytes(), 0o644))
}

// tomlValue converts decoded JSON numbers to TOML integers and floats. The field memoryGb is an int64, which protojson
// encodes as a string, and becomes an integer too.
func tomlValue(v any) any {
	switch x := v.(type) {
	case map[string]any:
		for k, e := range x {
			x[k] = tomlValue(e)
			if s, ok := e.(string); ok && k == "memoryGb" {
				x[k], _ = strconv.ParseInt(s, 10, 64)
			}
		}
		return x
	case []any:
		for i, e := range x {
			x[i] = tomlValue(e)
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

// Apply runs "tarragonctl config apply" with the site's inventory and rules against an entry and returns the new revision.
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
		return 0, trace.BadParameter("unexpected output of tarragonctl config apply: %q", out)
	}
	n, err := strconv.ParseUint(f[1], 10, 64)
	return n, trace.Wrap(err, "parsing the revision")
}

// RunCtl runs tarragonctl against an entry and returns its standard output. It returns a CtlError if the command fails.
func (s *Site) RunCtl(ctx context.Context, e *Entry, a ...string) (string, error) {
	c := exec.CommandContext(ctx, filepath.Join(s.Options.Binaries, "tarragonctl"), append([]string{"--entry", "http://" + e.OperatorAddress.String()}, a...)...)
	c.Env = append(os.Environ(), "TARRAGON_TOKEN="+Token)
	var stdout, stderr bytes.Buffer
	c.Stdout = &stdout
	c.Stderr = &stderr
	if err := c.Run(); err != nil {
		return "", trace.Wrap(&CtlError{Detail: strings.TrimSpace(stderr.String())})
	}
	return stdout.String(), nil
}

// CtlError reports a failed tarragonctl command. Detail is its standard error output.
type CtlError struct {
	Detail string
}

// Error returns the command's standard error output.
func (e *CtlError) Error() string {
	return e.Detail
}
