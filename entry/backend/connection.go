package backend

import (
	"bufio"
	"net"
	"syscall"
	"time"
)

const bufferBytes = 4 << 10

// connection is one connection to a backend server, used by one request at a time.
type connection struct {
	net.Conn
	reader   *bufio.Reader
	writer   *bufio.Writer
	lastUsed time.Time
	// isNew reports whether no request has been answered on the connection yet, headerReceived whether a final
	// response header has been received on it.
	isNew          bool
	headerReceived bool
}

func newConnection(c net.Conn, now time.Time) *connection {
	return &connection{
		Conn:     c,
		reader:   bufio.NewReaderSize(c, bufferBytes),
		writer:   bufio.NewWriterSize(c, bufferBytes),
		lastUsed: now,
		isNew:    true,
	}
}

// reusable reports whether the connection is open and has no unread data. Such data may be a late response to
// an earlier request.
func (c *connection) reusable() bool {
	if c.reader.Buffered() > 0 {
		return false
	}
	s, ok := c.Conn.(syscall.Conn)
	if !ok {
		return true
	}
	r, err := s.SyscallConn()
	if err != nil {
		return false
	}
	open := false
	err = r.Read(func(fd uintptr) bool {
		var b [1]byte
		_, _, e := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		open = e == syscall.EAGAIN
		return true
	})
	return err == nil && open
}
