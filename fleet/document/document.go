package document

import (
	"encoding/json"
	"errors"

	"github.com/BurntSushi/toml"
	"github.com/gravitational/trace"
	"google.golang.org/protobuf/encoding/protojson"
	"google.golang.org/protobuf/proto"
)

// Document is a parsed TOML text that remembers where its keys stand.
type Document struct {
	file  string
	tree  map[string]any
	lines index
}

// Parse reads the TOML text of a file; it fails with a SyntaxError.
func Parse(file string, text []byte) (*Document, error) {
	d := &Document{file: file, tree: map[string]any{}, lines: newIndex(string(text))}
	err := toml.Unmarshal(text, &d.tree)
	var p toml.ParseError
	if errors.As(err, &p) {
		return nil, trace.Wrap(&SyntaxError{File: file, Line: p.Position.Line, Detail: p.Message})
	}
	if err != nil {
		return nil, trace.Wrap(&SyntaxError{File: file, Detail: err.Error()})
	}
	return d, nil
}

// Decode fills the message; it fails with an UnknownKeyError or a TypeError.
func (d *Document) Decode(m proto.Message) error {
	t, err := d.table("", d.tree, m.ProtoReflect().Descriptor())
	if err != nil {
		return trace.Wrap(err)
	}
	b, err := json.Marshal(t)
	if err != nil {
		return trace.Wrap(err, "encoding %s", d.file)
	}
	return trace.Wrap(protojson.Unmarshal(b, m), "decoding %s", d.file)
}

// Position says where the key at the path stands.
func (d *Document) Position(path string) Position {
	return Position{File: d.file, Key: path, Line: d.lines[path]}
}

// NewRangeError makes the error for a value at the path that is not allowed.
func (d *Document) NewRangeError(path, expected, found string) error {
	return trace.Wrap(&RangeError{Position: d.Position(path), Expected: expected, Found: found})
}

// Decode reads a TOML text into the message in one call.
func Decode(file string, text []byte, m proto.Message) (*Document, error) {
	d, err := Parse(file, text)
	if err != nil {
		return nil, err
	}
	return d, d.Decode(m)
}
