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
	// MaxFrameBytes is the largest size of a message between entries, without its length prefix.
	MaxFrameBytes = 4 << 20
)

// FrameError reports a malformed or oversized message.
type FrameError struct {
	Detail string
}

// Error implements error.
func (e *FrameError) Error() string {
	return "invalid message from a peer: " + e.Detail
}

// WriteFrame writes one message, prefixed with its length as a 32-bit big-endian integer, and returns the number of
// bytes written.
func WriteFrame(w io.Writer, m *schema.Envelope) (int, error) {
	b, err := proto.MarshalOptions{}.MarshalAppend(make([]byte, lengthPrefixBytes), m)
	if err != nil {
		return 0, trace.Wrap(err, "encoding message")
	}
	binary.BigEndian.PutUint32(b, uint32(len(b)-lengthPrefixBytes))
	n, err := w.Write(b)
	return n, trace.Wrap(err, "sending message")
}

// ReadFrame reads one message and returns it with its size in bytes, including the length prefix. It fails with a
// FrameError if the message is malformed or longer than MaxFrameBytes.
func ReadFrame(r io.Reader) (*schema.Envelope, int, error) {
	var l [lengthPrefixBytes]byte
	if _, err := io.ReadFull(r, l[:]); err != nil {
		return nil, 0, trace.Wrap(err, "reading message length")
	}
	n := binary.BigEndian.Uint32(l[:])
	if n > MaxFrameBytes {
		return nil, 0, trace.Wrap(&FrameError{Detail: fmt.Sprintf("length of %d bytes exceeds the limit of %d", n, MaxFrameBytes)})
	}
	b := make([]byte, n)
	if _, err := io.ReadFull(r, b); err != nil {
		return nil, 0, trace.Wrap(err, "reading message")
	}
	m := &schema.Envelope{}
	if err := proto.Unmarshal(b, m); err != nil {
		return nil, 0, trace.Wrap(&FrameError{Detail: err.Error()})
	}
	return m, lengthPrefixBytes + int(n), nil
}
