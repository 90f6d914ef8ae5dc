package owner_test

import (
	"cmp"
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/tarragonbank/tarragonbank/fleet/scheduler"
	"github.com/tarragonbank/tarragonbank/fleet/server"
	"github.com/tarragonbank/tarragonbank/fleet/store"
)

// serverPair is two servers, by their IDs.
type serverPair map[string]*fakeServer

func (p serverPair) Start(ctx context.Context, o scheduler.StartOrder, token uint64) (scheduler.StartAnswer, time.Duration, error) {
	return p[o.Server.ID].Start(ctx, o, token)
}

func (p serverPair) Stop(context.Context, scheduler.StopOrder, uint64) error { return nil }
func (p serverPair) Pace(context.Context, scheduler.PaceOrder, uint64) error { return nil }

func (p serverPair) Poll(ctx context.Context, h scheduler.PollRequest, token uint64, wait time.Duration) (server.Listing, error) {
	return p[h.Server.ID].Poll(ctx, h, token, wait)
}

// leaseOnSlowClock is how long the longest lease lasts on a server whose clock runs 2% slow.
const leaseOnSlowClock = 4980 * time.Millisecond * 100 / 98

// A server and the owner were lost at the same time, and the task ran again after 8.8 s or more: the successor counted the
// time in which its predecessor may have renewed leases from its own takeover, however late that was.
func TestTasksRestartSoonAfterTheLossOfServerAndOwner(t *testing.T) {
	for _, c := range []struct {
		name         string
		cores        float64
		storeLatency time.Duration
		limit        time.Duration
	}{
		{"strong successor", 1, 0, 8 * time.Second},
		{"weak successor", 0.01, 0, 8 * time.Second},
		{"weak successor and slow store", 0.01, 240 * time.Millisecond, 8500 * time.Millisecond},
	} {
		for phase := time.Duration(0); phase < 400*time.Millisecond; phase += 70 * time.Millisecond {
			t.Run(fmt.Sprintf("%s/%s", c.name, phase), func(t *testing.T) {
				runTest(t, func(g *gomega.WithT, s *cluster) {
					x := loseServerAndOwner(g, s, losses{cores: c.cores, storeLatency: c.storeLatency, phase: phase})
					g.Expect(x.sinceLoss).To(gomega.BeNumerically("<=", c.limit))
					g.Expect(x.sinceVacant).To(gomega.BeNumerically(">=", leaseOnSlowClock+scheduler.MaxUnconfirmedRenewal),
						"from when the previous owner could last be confirmed: a cut-off one may have renewed since")
				})
			})
		}
	}
}

// The owner noticed that the server was silent after up to 1.6 s and stored that half a second later. If it was lost just before,
// the successor had to wait for 10 s or more after the loss of the server.
func TestTasksRestartIfTheOwnerIsLostBeforeItStoresThatAServerIs(t *testing.T) {
	const limit = 9 * time.Second
	for gap := 300 * time.Millisecond; gap <= 3*time.Second; gap += 300 * time.Millisecond {
		for phase := time.Duration(0); phase < time.Second; phase += 210 * time.Millisecond {
			t.Run(fmt.Sprintf("%s/%s", gap, phase), func(t *testing.T) {
				runTest(t, func(g *gomega.WithT, s *cluster) {
					x := loseServerAndOwner(g, s, losses{cores: 1, phase: phase, gap: gap})
					g.Expect(x.sinceLoss).To(gomega.BeNumerically("<=", limit))
				})
			})
		}
	}
}

// losses describes the loss of a server and the owner. cores are those of the next owner, storeLatency is the latency of the
// store and phase shifts the time of the losses. missedOwner makes the next owner miss that there was another one.
type losses struct {
	cores               float64
	storeLatency, phase time.Duration
	// gap is the time from the loss of the server to that of the owner, 100 ms if it is zero.
	gap         time.Duration
	missedOwner bool
}

// restart is the time until the task of the lost server is started on another one: since the server was lost, since the owner
// key was removed and since the next owner wrote it.
type restart struct {
	sinceLoss, sinceVacant, sinceTaken time.Duration
}

// loseServerAndOwner loses the server of a long-running task, and the owner after the gap.
func loseServerAndOwner(g *gomega.WithT, s *cluster, l losses) restart {
	p := serverPair{"s": {waits: true, lasts: true}, "t": {waits: true, lasts: true}}
	s.servers, s.killed = p, true
	_, err := s.store.Transact(s.ctx, store.Transaction{Writes: []store.Write{{Key: "servers/t", Value: []byte("t")}}})
	g.Expect(err).NotTo(gomega.HaveOccurred())
	first, stop := s.startEntry("e1")
	time.Sleep(time.Second)
	m := jobRecord(firstID)
	m.Steps[0].Count, m.Steps[0].Lasting = 1, true
	g.Expect(first.Current().Submit(s.ctx, m).Result).To(gomega.Equal(scheduler.Done))
	s.cores = l.cores
	s.startEntry("e2")
	s.store.update(func() {
		s.store.delay, s.store.readDelay, s.store.pageDelay = l.storeLatency, l.storeLatency, l.storeLatency
	})
	time.Sleep(5*time.Second + l.phase)
	lost, other := p["s"], p["t"]
	if len(lost.startOrders()) == 0 {
		lost, other = other, lost
	}
	g.Expect(lost.startOrders()).To(gomega.HaveLen(1))
	lost.lock.Lock()
	lost.lost = true
	lost.lock.Unlock()
	lostAt := time.Now()
	time.Sleep(cmp.Or(l.gap, 100*time.Millisecond))
	stop()
	if l.missedOwner {
		_, err := s.store.Transact(s.ctx, store.Transaction{Writes: []store.Write{{Key: "tarragonbank/term"}}})
		g.Expect(err).NotTo(gomega.HaveOccurred())
	}
	vacantAt := s.store.awaitOwner(false)
	takenAt := s.store.awaitOwner(true)
	for len(other.startOrders()) == 0 && time.Since(lostAt) < 20*time.Second {
		time.Sleep(10 * time.Millisecond)
	}
	return restart{time.Since(lostAt), time.Since(vacantAt), time.Since(takenAt)}
}

// awaitOwner waits until there is an owner, or none, and returns the time.
func (m *fakeStore) awaitOwner(present bool) time.Time {
	for {
		m.lock.Lock()
		m.expire()
		_, ok := m.items["tarragonbank/owner"]
		m.lock.Unlock()
		if ok == present {
			return time.Now()
		}
		time.Sleep(time.Millisecond)
	}
}

// Polls that wait at the servers made the last renewal of a lease come up to a second before renewals ended. Runs outlast a
// store outage by what is left of the lease then.
func TestRunsOutlastAStoreOutage(t *testing.T) {
	const outlasted = 5600 * time.Millisecond
	for phase := time.Duration(0); phase < time.Second; phase += 70 * time.Millisecond {
		t.Run(phase.String(), func(t *testing.T) {
			runTest(t, func(g *gomega.WithT, s *cluster) {
				s.server.waits = true
				s.startEntry("e1")
				time.Sleep(3*time.Second + phase)
				s.store.update(func() { s.store.unavailable = true })
				began := time.Now()
				time.Sleep(4 * time.Second)
				g.Expect(s.server.leaseEnd().Sub(began)).To(gomega.BeNumerically(">=", outlasted))
			})
		})
	}
}

// Registrations expire during a long store outage and are back up to two seconds later, when the leases have expired as well:
// an owner that knew the servers from its last term lost their runs all the same.
func TestOwnerPollsTheServersOfItsLastTermBeforeTheyRegister(t *testing.T) {
	runTest(t, func(g *gomega.WithT, s *cluster) {
		s.server.waits, s.server.lasts = true, true
		o, _ := s.startEntry("e1")
		time.Sleep(time.Second)
		m := jobRecord(firstID)
		m.Steps[0].Lasting = true
		g.Expect(o.Current().Submit(s.ctx, m).Result).To(gomega.Equal(scheduler.Done))
		time.Sleep(2 * time.Second)
		s.store.update(func() {
			s.store.unavailable = true
			s.store.remove("servers/s")
		})
		time.Sleep(5 * time.Second)
		s.store.update(func() { s.store.unavailable = false })
		for range 20 {
			time.Sleep(100 * time.Millisecond)
			g.Expect(s.server.leaseEnd()).To(gomega.BeTemporally(">", time.Now()))
		}
		_, err := s.store.Transact(s.ctx, store.Transaction{Writes: []store.Write{{Key: "servers/s", Value: []byte("s")}}})
		g.Expect(err).NotTo(gomega.HaveOccurred())
		time.Sleep(time.Second)
		g.Expect(s.server.startOrders()).To(gomega.HaveLen(2), "both runs continue")
	})
}

// A successor that has not seen every owner of late cannot tell since when none of them can have been confirmed.
func TestSuccessorThatMissedAnOwnerCountsFromItsTakeover(t *testing.T) {
	runTest(t, func(g *gomega.WithT, s *cluster) {
		x := loseServerAndOwner(g, s, losses{cores: 0.01, missedOwner: true})
		g.Expect(x.sinceTaken).To(gomega.BeNumerically(">=", leaseOnSlowClock+scheduler.MaxUnconfirmedRenewal))
	})
}
