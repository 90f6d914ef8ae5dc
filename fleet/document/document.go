package document

import (
	"encoding/json"
	"errors"

	"github.com/BurntSushi/toml"
	"github.com/gravitational/trace"
	"google.golang.org/protobuf/encoding/protojson"
	"google.golang.org/protobuf/proto"
)

// Document is a parsed TOML file that records the line of each key.
type Document struct {
	file  string
	tree  map[string]any
	lines lineIndex
}

// Parse parses the TOML text of a file. It fails with a SyntaxError.
func Parse(file string, text []byte) (*Document, error) {
	d := &Document{file: file, tree: map[string]any{}, lines: newLineIndex(string(text))}
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

// Decode decodes the document into the message. It fails with an UnknownKeyError, a TypeError or a RangeError.
func (d *Document) Decode(m proto.Message) error {
	t, err := d.convertTable("", d.tree, m.ProtoReflect().Descriptor())
	if err != nil {
		return trace.Wrap(err)
	}
	b, err := json.Marshal(t)
	if err != nil {
		return trace.Wrap(err, "encoding %s", d.file)
	}
	return trace.Wrap(protojson.Unmarshal(b, m), "decoding %s", d.file)
}

// Position returns the position of the key at the path.
func (d *Document) Position(path string) Position {
	return Position{File: d.file, Key: path, Line: d.lines[path]}
}

// NewRangeError returns a RangeError for the value at the path.
func (d *Document) NewRangeError(path, expected, found string) error {
	return trace.Wrap(&RangeError{Position: d.Position(path), Expected: expected, Found: found})
}

// Decode parses the TOML text of a file and decodes it into the message. It fails with the errors of Parse and of
// Document.Decode.
func Decode(file string, text []byte, m proto.Message) (*Document, error) {
	d, err := Parse(file, text)
	if err != nil {
		return nil, err
	}
	return d, d.Decode(m)
}
