package ingress

import (
	"io"
	"math/bits"
	"sync"
)

const (
	// initialBodyBytes is the size of the buffer into which a body is read at first.
	initialBodyBytes = 4 << 10
	// bufferSizes is the number of sizes of buffers that are used again, each twice the one before.
	bufferSizes = 12
)

// buffers holds buffers whose bodies did not arrive in full or have moved to larger ones. Without them, the garbage of a crowd of
// unfinished bodies would grow faster than it is collected.
var buffers [bufferSizes]sync.Pool

// sizeClass returns the index of a buffer size in buffers, or -1 if buffers of that size are not used again.
func sizeClass(n int) int {
	i := bits.Len(uint(n/initialBodyBytes)) - 1
	if i < 0 || i >= bufferSizes || initialBodyBytes<<i != n {
		return -1
	}
	return i
}

func newBuffer(n int) []byte {
	if i := sizeClass(n); i >= 0 {
		if b, ok := buffers[i].Get().(*[]byte); ok {
			return (*b)[:0]
		}
	}
	return make([]byte, 0, n)
}

func releaseBuffer(b []byte) {
	if i := sizeClass(cap(b)); i >= 0 {
		buffers[i].Put(&b)
	}
}

// readAll reads to the end, at most size bytes, into a buffer that grows with what has arrived. The reader fails beyond that.
func readAll(r io.Reader, size int64) ([]byte, error) {
	b := newBuffer(int(min(initialBodyBytes, size)))
	var beyond [1]byte
	for {
		free := b[len(b):cap(b)]
		if len(free) == 0 && int64(len(b)) >= size {
			free = beyond[:]
		} else if len(free) == 0 {
			grown := append(newBuffer(int(min(2*int64(cap(b)), size))), b...)
			releaseBuffer(b)
			b, free = grown, grown[len(grown):cap(grown)]
		}
		n, err := r.Read(free)
		if int64(len(b)+n) > size && n > 0 {
			err = io.ErrUnexpectedEOF
		} else {
			b = b[:len(b)+n]
		}
		if err == io.EOF {
			return b, nil
		}
		if err != nil {
			releaseBuffer(b)
			return nil, err
		}
	}
}
