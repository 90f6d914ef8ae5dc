package owner_test

import (
	"context"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/tarragonbank/tarragonbank/entry/owner"
	"github.com/tarragonbank/tarragonbank/fleet/scheduler"
)

// An owner that was cut off from the store, and did not know of its successor, told callers that there were no such jobs as the
// successor had accepted.
func TestReplacedOwnerDoesNotDenyLaterJobs(t *testing.T) {
	runTest(t, func(g *gomega.WithT, s *cluster) {
		f := freeze{make(chan struct{}), make(chan struct{})}
		s.entryStore = frozenStore{killedStore{s.store}, f}
		first, _ := s.startEntry("e1")
		time.Sleep(time.Second)
		g.Expect(submit(first, firstID).Result).To(gomega.Equal(scheduler.Done))
		ask := func(o *owner.Owner, id string) []scheduler.Result {
			d := o.Current()
			ctx, stop := context.WithTimeout(s.ctx, time.Second)
			defer stop()
			return []scheduler.Result{d.JobPhase(id, "").Result, d.Explain(id).Result, d.Cancel(ctx, id, "").Result}
		}
		g.Expect(ask(first, secondID)).To(gomega.Equal([]scheduler.Result{scheduler.NotFound, scheduler.NotFound, scheduler.NotFound}))

		// Servers would tell the first owner of the second one's fencing token.
		s.server.setLost(true)
		close(f.began)
		s.entryStore = nil
		second, _ := s.startEntry("e2")
		time.Sleep(3 * time.Second)
		g.Expect(submit(second, secondID).Result).To(gomega.Equal(scheduler.Done))
		g.Expect(first.Current()).NotTo(gomega.BeNil(), "the first owner knows nothing of the second")
		g.Expect(ask(first, secondID)).To(gomega.Equal([]scheduler.Result{scheduler.Refused, scheduler.Refused, scheduler.Refused}))
		g.Expect(first.Current().JobPhase(firstID, "").Result).To(gomega.Equal(scheduler.Done), "what it knows is served")
		close(f.ended)
	})
}
