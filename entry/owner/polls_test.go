package owner_test

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/tarragonbank/tarragonbank/fleet/scheduler"
	"github.com/tarragonbank/tarragonbank/fleet/server"
	"github.com/tarragonbank/tarragonbank/fleet/store"
)

// pollCounter counts the polls that are under way.
type pollCounter struct {
	*fakeServer
	lock        sync.Mutex
	now, most   int
	firstPolls  map[string]time.Time
	lostServers bool
}

func (s *pollCounter) Poll(ctx context.Context, h scheduler.PollRequest, _ uint64, wait time.Duration) (server.Listing, error) {
	s.lock.Lock()
	s.now++
	s.most = max(s.most, s.now)
	if s.firstPolls[h.Server.ID].IsZero() {
		s.firstPolls[h.Server.ID] = time.Now()
	}
	lost := s.lostServers
	s.lock.Unlock()
	defer func() {
		s.lock.Lock()
		s.now--
		s.lock.Unlock()
	}()
	if lost {
		<-ctx.Done()
		return server.Listing{}, ctx.Err()
	}
	pause(ctx, max(wait, 10*time.Millisecond))
	return server.Listing{StartedAt: h.Server.StartedAt, Clock: time.Duration(time.Now().UnixNano())}, nil
}

// mostPolls starts an owner of half a core with 2,000 servers and returns the most polls under way at a time, and the time from
// the first server's first poll to that of the last one.
func mostPolls(t *testing.T, lost bool) (most int, spread time.Duration) {
	t.Helper()
	runTest(t, func(g *gomega.WithT, s *cluster) {
		for i := range 2000 {
			n := fmt.Sprintf("s%04d", i)
			_, err := s.store.Transact(s.ctx, store.Transaction{Writes: []store.Write{{Key: "servers/" + n, Value: []byte(n)}}})
			g.Expect(err).NotTo(gomega.HaveOccurred())
		}
		c := &pollCounter{fakeServer: s.server, firstPolls: map[string]time.Time{}, lostServers: lost}
		s.servers, s.cores = c, 0.5
		s.startEntry("e1")
		time.Sleep(8 * time.Second)
		c.lock.Lock()
		defer c.lock.Unlock()
		g.Expect(c.firstPolls).To(gomega.HaveLen(2001))
		var first, last time.Time
		for _, at := range c.firstPolls {
			if first.IsZero() || at.Before(first) {
				first = at
			}
			if at.After(last) {
				last = at
			}
		}
		most, spread = c.most, last.Sub(first)
	})
	return most, spread
}

// An owner that polled all servers at once read their answers after the time limit and took them for silent.
func TestNewOwnerSpreadsItsFirstPolls(t *testing.T) {
	_, spread := mostPolls(t, false)
	gomega.NewWithT(t).Expect(spread).To(gomega.And(gomega.BeNumerically(">", time.Second), gomega.BeNumerically("<", 4*time.Second)))
}

// The polls of silent servers took the processor that the others needed.
func TestPollsOfSilentServersAreSpread(t *testing.T) {
	most, _ := mostPolls(t, true)
	gomega.NewWithT(t).Expect(most).To(gomega.BeNumerically("<", 600))
}
