package owner_test

import (
	"context"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/tarragonbank/tarragonbank/fleet/scheduler"
	"github.com/tarragonbank/tarragonbank/fleet/schema"
)

// slowServer takes a while for each start order, and counts those that it has at the same time.
type slowServer struct {
	*fakeServer
	sending, most int
}

func (s *slowServer) Start(ctx context.Context, o scheduler.StartOrder, token uint64) (scheduler.StartAnswer, time.Duration, error) {
	s.lock.Lock()
	s.sending++
	s.most = max(s.most, s.sending)
	s.lock.Unlock()
	pause(ctx, 20*time.Millisecond)
	s.lock.Lock()
	s.sending--
	s.lock.Unlock()
	return s.fakeServer.Start(ctx, o, token)
}

// The start orders of a job of thousands of tasks took all memory of the owner at once.
func TestStartOrdersOfAWideJobAreSentAFewAtATime(t *testing.T) {
	for _, limit := range []int{0, 3} {
		runTest(t, func(g *gomega.WithT, s *cluster) {
			x := &slowServer{fakeServer: s.server}
			s.servers, s.maxOrders = x, limit
			o, _ := s.startEntry("e1")
			time.Sleep(time.Second)
			m := jobRecord(firstID)
			m.Steps = []*schema.StepRecord{{Count: 30, CpuMilli: 1, EstimateMs: 1000}}
			g.Expect(o.Current().Submit(s.ctx, m).Result).To(gomega.Equal(scheduler.Done))
			time.Sleep(3 * time.Second)
			g.Expect(s.server.startOrders()).To(gomega.HaveLen(30))
			if limit == 0 {
				limit = 30
			}
			g.Expect(x.most).To(gomega.Equal(limit))
		})
	}
}
