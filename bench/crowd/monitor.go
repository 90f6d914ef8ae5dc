package crowd

import (
	"context"
	"encoding/binary"
	"encoding/hex"
	"errors"
	"net/netip"
	"os"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/gravitational/trace"
)

// sampleInterval is the time between two samples of a process.
const sampleInterval = 50 * time.Millisecond

// Peak is the most that a process has held at once.
type Peak struct {
	// MemoryBytes is resident memory and what sockets of the process have received that it has not read.
	MemoryBytes int64
	Descriptors int
}

// Monitor samples a process until it is stopped.
type Monitor struct {
	process   int
	addresses map[netip.AddrPort]bool
	stop      context.CancelFunc
	done      chan struct{}

	lock sync.Mutex
	peak Peak
	err  error
}

// Watch starts sampling a process that listens on the addresses.
func Watch(process int, addresses ...netip.AddrPort) *Monitor {
	ctx, stop := context.WithCancel(context.Background())
	m := &Monitor{process: process, addresses: map[netip.AddrPort]bool{}, stop: stop, done: make(chan struct{})}
	for _, a := range addresses {
		m.addresses[a] = true
	}
	go func() {
		defer close(m.done)
		for ctx.Err() == nil {
			m.sample()
			select {
			case <-ctx.Done():
			case <-time.After(sampleInterval):
			}
		}
	}()
	return m
}

// Stop ends the sampling and returns the peak, or an error if the process could not be sampled, as after its end.
func (m *Monitor) Stop() (Peak, error) {
	m.stop()
	<-m.done
	m.lock.Lock()
	defer m.lock.Unlock()
	return m.peak, m.err
}

func (m *Monitor) sample() {
	memory, err := m.residentBytes()
	unread, err2 := m.unreadBytes()
	l, err3 := os.ReadDir(m.path("fd"))
	m.lock.Lock()
	defer m.lock.Unlock()
	if err = errors.Join(err, err2, err3); err != nil {
		m.err = trace.ConvertSystemError(err)
		return
	}
	m.peak.MemoryBytes = max(m.peak.MemoryBytes, memory+unread)
	m.peak.Descriptors = max(m.peak.Descriptors, len(l))
}

func (m *Monitor) path(name string) string {
	return "/proc/" + strconv.Itoa(m.process) + "/" + name
}

func (m *Monitor) residentBytes() (int64, error) {
	b, err := os.ReadFile(m.path("statm"))
	if err != nil {
		return 0, err
	}
	f := strings.Fields(string(b))
	if len(f) < 2 {
		return 0, errors.New("no memory in statm")
	}
	pages, err := strconv.ParseInt(f[1], 10, 64)
	return pages * int64(os.Getpagesize()), err
}

// unreadBytes sums what the sockets of the listeners and of their connections have received and the process has not read.
func (m *Monitor) unreadBytes() (int64, error) {
	b, err := os.ReadFile("/proc/net/tcp")
	if err != nil {
		return 0, err
	}
	sum := int64(0)
	for _, l := range strings.Split(string(b), "\n") {
		f := strings.Fields(l)
		if len(f) < 5 || !m.addresses[localAddress(f[1])] || f[3] != established && f[3] != closeWait {
			continue
		}
		if _, q, ok := strings.Cut(f[4], ":"); ok {
			n, err := strconv.ParseInt(q, 16, 64)
			if err != nil {
				return 0, err
			}
			sum += n
		}
	}
	return sum, nil
}

// States of sockets in the kernel's table in which they may hold bytes to be read.
const (
	established = "01"
	closeWait   = "08"
)

// localAddress parses an address of the kernel's table, whose IPv4 address is in the byte order of the machine.
func localAddress(s string) netip.AddrPort {
	h, p, _ := strings.Cut(s, ":")
	b, err := hex.DecodeString(h)
	if err != nil || len(b) != 4 {
		return netip.AddrPort{}
	}
	port, err := strconv.ParseUint(p, 16, 16)
	if err != nil {
		return netip.AddrPort{}
	}
	var a [4]byte
	binary.NativeEndian.PutUint32(a[:], binary.BigEndian.Uint32(b))
	return netip.AddrPortFrom(netip.AddrFrom4(a), uint16(port))
}
