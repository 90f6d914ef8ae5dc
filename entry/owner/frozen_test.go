package owner_test

import (
	"context"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/tarragonbank/tarragonbank/entry/owner"
	"github.com/tarragonbank/tarragonbank/fleet/scheduler"
	"github.com/tarragonbank/tarragonbank/fleet/server"
	"github.com/tarragonbank/tarragonbank/fleet/store"
)

// freeze holds the answers to the calls of an entry back, from when began is closed until ended is, as if its process stood still.
type freeze struct{ began, ended chan struct{} }

func (f freeze) await() {
	select {
	case <-f.began:
		<-f.ended
	default:
	}
}

// frozenStore is the store as a frozen entry uses it.
type frozenStore struct {
	killedStore
	freeze
}

func (m frozenStore) Transact(ctx context.Context, t store.Transaction) (store.Revision, error) {
	n, err := m.killedStore.Transact(ctx, t)
	m.await()
	return n, err
}

func (m frozenStore) KeepAlive(ctx context.Context, l store.LeaseID) error {
	m.await()
	return m.killedStore.KeepAlive(ctx, l)
}

func (m frozenStore) Watch(ctx context.Context, prefix string, after store.Revision, wait time.Duration) ([]store.Event, store.Revision, error) {
	m.await()
	l, n, err := m.killedStore.Watch(ctx, prefix, after, wait)
	m.await()
	return l, n, err
}

// frozenServers are the servers as a frozen entry uses them.
type frozenServers struct {
	owner.Servers
	freeze
}

func (s frozenServers) Poll(ctx context.Context, h scheduler.PollRequest, token uint64, wait time.Duration) (server.Listing, error) {
	l, err := s.Servers.Poll(ctx, h, token, wait)
	s.await()
	return l, err
}

// An owner whose process had stood still read the answer to its last commit and sent the start orders, though another owner had
// waited for all leases by then and had started the tasks elsewhere.
func TestOwnerThatWasFrozenSendsNoStartOrders(t *testing.T) {
	for _, lost := range []string{"s", "t"} {
		t.Run(lost, func(t *testing.T) {
			runTest(t, func(g *gomega.WithT, s *cluster) {
				p := serverPair{"s": {lasts: true}, "t": {lasts: true}}
				_, err := s.store.Transact(s.ctx, store.Transaction{Writes: []store.Write{{Key: "servers/t", Value: []byte("t")}}})
				g.Expect(err).NotTo(gomega.HaveOccurred())
				f := freeze{make(chan struct{}), make(chan struct{})}
				s.servers, s.entryStore = frozenServers{p, f}, frozenStore{killedStore{s.store}, f}
				first, _ := s.startEntry("e1")
				time.Sleep(2 * time.Second)
				s.servers, s.entryStore = p, nil
				s.startEntry("e2")
				time.Sleep(time.Second)

				close(f.began)
				go submit(first, firstID)
				time.Sleep(50 * time.Millisecond)
				p[lost].setLost(true)
				time.Sleep(9 * time.Second)
				p[lost].setLost(false)
				close(f.ended)
				time.Sleep(3 * time.Second)
				g.Expect(p[lost].startOrders()).To(gomega.BeEmpty())
			})
		})
	}
}

func (s *fakeServer) setLost(lost bool) {
	s.lock.Lock()
	defer s.lock.Unlock()
	s.lost = lost
}
