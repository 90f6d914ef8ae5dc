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
	// initialFrameBytes is the size of the buffer into which a message is read at first.
	initialFrameBytes = 64 << 10
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
	b, err := EncodeFrame(m)
	if err != nil {
		return 0, err
	}
	n, err := w.Write(b)
	return n, trace.Wrap(err, "sending message")
}

// EncodeFrame returns one message, prefixed with its length as a 32-bit big-endian integer.
func EncodeFrame(m *schema.Envelope) ([]byte, error) {
	b, err := proto.MarshalOptions{}.MarshalAppend(make([]byte, lengthPrefixBytes), m)
	if err != nil {
		return nil, trace.Wrap(err, "encoding message")
	}
	binary.BigEndian.PutUint32(b, uint32(len(b)-lengthPrefixBytes))
	return b, nil
}

// ReadFrame reads one message and returns it with its size in bytes, including the length prefix. It fails with a
// FrameError if the message is malformed or longer than MaxFrameBytes.
func ReadFrame(r io.Reader) (*schema.Envelope, int, error) {
	b, err := ReadEncoded(r)
	if err != nil {
		return nil, 0, err
	}
	m, err := DecodeFrame(b)
	if err != nil {
		return nil, 0, err
	}
	return m, lengthPrefixBytes + len(b), nil
}

// ReadEncoded reads one message without decoding it. It fails with a FrameError if the message is longer than MaxFrameBytes.
func ReadEncoded(r io.Reader) ([]byte, error) {
	var l [lengthPrefixBytes]byte
	if _, err := io.ReadFull(r, l[:]); err != nil {
		return nil, trace.Wrap(err, "reading message length")
	}
	n := binary.BigEndian.Uint32(l[:])
	if n > MaxFrameBytes {
		return nil, trace.Wrap(&FrameError{Detail: fmt.Sprintf("length of %d bytes exceeds the limit of %d", n, MaxFrameBytes)})
	}
	// The buffer grows with what arrives, since a peer may announce much and send little.
	b := make([]byte, min(n, initialFrameBytes))
	for read := 0; ; {
		k, err := io.ReadFull(r, b[read:])
		if err != nil {
			return nil, trace.Wrap(err, "reading message")
		}
		read += k
		if read == int(n) {
			return b, nil
		}
		b = append(b, make([]byte, min(len(b), int(n)-read))...)
	}
}

// DecodeFrame decodes one message. It fails with a FrameError if the message is malformed.
func DecodeFrame(b []byte) (*schema.Envelope, error) {
	m := &schema.Envelope{}
	if err := proto.Unmarshal(b, m); err != nil {
		return nil, trace.Wrap(&FrameError{Detail: err.Error()})
	}
	return m, nil
}
