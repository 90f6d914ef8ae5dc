package peer

import (
	"encoding/binary"
	"fmt"
	"io"

	"google.golang.org/protobuf/proto"

	"github.com/gravitational/trace"

	"github.com/tarragonbank/tarragonbank/fleet/schema"
)

const (
	lengthPrefixBytes = 4
	// MaxFrameBytes bounds one message between entries in bytes.
	MaxFrameBytes = 4 << 20
)

// FrameError reports a message that cannot be read.
type FrameError struct {
	Detail string
}

// Error describes the failure in one line.
func (e *FrameError) Error() string {
	return "a peer's message cannot be read: " + e.Detail
}

// WriteFrame writes one message with its length and returns the bytes written.
func WriteFrame(w io.Writer, m *schema.Envelope) (int, error) {
	b, err := proto.MarshalOptions{}.MarshalAppend(make([]byte, lengthPrefixBytes), m)
	if err != nil {
		return 0, trace.Wrap(err, "encoding a message")
	}
	binary.BigEndian.PutUint32(b, uint32(len(b)-lengthPrefixBytes))
	n, err := w.Write(b)
	return n, trace.Wrap(err, "sending a message")
}

// ReadFrame reads one message and its size in bytes; it fails with a FrameError where the message is malformed.
func ReadFrame(r io.Reader) (*schema.Envelope, int, error) {
	var l [lengthPrefixBytes]byte
	if _, err := io.ReadFull(r, l[:]); err != nil {
		return nil, 0, trace.Wrap(err, "reading a message")
	}
	n := binary.BigEndian.Uint32(l[:])
	if n > MaxFrameBytes {
		return nil, 0, trace.Wrap(&FrameError{Detail: fmt.Sprintf("%d bytes are announced, at most %d are allowed", n, MaxFrameBytes)})
	}
	b := make([]byte, n)
	if _, err := io.ReadFull(r, b); err != nil {
		return nil, 0, trace.Wrap(err, "reading a message")
	}
	m := &schema.Envelope{}
	if err := proto.Unmarshal(b, m); err != nil {
		return nil, 0, trace.Wrap(&FrameError{Detail: err.Error()})
	}
	return m, lengthPrefixBytes + int(n), nil
}
