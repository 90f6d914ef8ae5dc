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
	reader *bufio.Reader
	writer *bufio.Writer
	used   time.Time
	// fresh says that no request has been answered on the connection, heard that an answer has begun.
	fresh bool
	heard bool
}

func newConnection(c net.Conn, now time.Time) *connection {
	return &connection{
		Conn:   c,
		reader: bufio.NewReaderSize(c, bufferBytes),
		writer: bufio.NewWriterSize(c, bufferBytes),
		used:   now,
		fresh:  true,
	}
}

// quiet says that the connection is open and nothing unread waits on it.
func (c *connection) quiet() bool {
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
	quiet := false
	err = r.Read(func(fd uintptr) bool {
		var b [1]byte
		_, _, e := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		quiet = e == syscall.EAGAIN
		return true
	})
	return err == nil && quiet
}
