package admission_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/tarragonbank/tarragonbank/fleet/admission"
	"github.com/tarragonbank/tarragonbank/fleet/priority"
	"github.com/tarragonbank/tarragonbank/fleet/request"
	"github.com/tarragonbank/tarragonbank/fleet/service"
	"github.com/tarragonbank/tarragonbank/fleet/share"
	"github.com/tarragonbank/tarragonbank/fleet/suite"
	"github.com/tarragonbank/tarragonbank/fleet/team"
	"github.com/tarragonbank/tarragonbank/fleet/vm"
)

func TestAdmission(t *testing.T) {
	suite.Run(t, "admission")
}

const (
	serviceTime = 100 * time.Millisecond
	deadline    = time.Second
)

var now = time.Unix(1_800_000_000, 0)

var services = []service.Service{
	{Name: "plans", Pool: "carving", ReservedShare: 0.5, ExpectedTime: serviceTime},
	{Name: "quotes", Pool: "carving", ReservedShare: 0.5, ExpectedTime: serviceTime},
}

var vms = map[string]vm.VM{"a": {Name: "a", Slots: 2}, "b": {Name: "b", Slots: 2}}

func all(string) bool { return true }

func newPool(a share.Allocation) *admission.Pool {
	p := admission.New("carving", admission.WithRandom(rand.New(rand.NewPCG(1, 1))))
	p.SetServices(services, map[string]team.Team{"benches": {Name: "benches", Quota: 0.6}, "buyers": {Name: "buyers", Quota: 0.2}})
	p.SetAllocation(a, vms, all)
	return p
}

func newRequest(s string, p priority.Priority) request.Request {
	return request.Request{Service: s, Priority: p, Deadline: now.Add(deadline)}
}

// fill offers n copies of a request, dispatches them and returns the tickets of the admitted ones.
func fill(p *admission.Pool, n int, r request.Request) []*admission.Ticket {
	l := []*admission.Ticket{}
	for range n {
		if t, f := p.Offer(now, r); f.Reason == admission.None {
			l = append(l, t)
		}
	}
	p.Dispatch(now)
	return l
}

func running(l []*admission.Ticket) int {
	n := 0
	for _, t := range l {
		if t.VM != "" {
			n++
		}
	}
	return n
}

var granted = share.Allocation{Own: share.Grant{"a": 2, "b": 2}}

var _ = ginkgo.Describe("a pool", func() {
	ginkgo.It("refuses requests that cannot meet their deadline, with a retry-after time", func() {
		p := newPool(granted)
		admitted := len(fill(p, 100, newRequest("plans", priority.Normal)))
		admitted += len(fill(p, 100, newRequest("plans", priority.Normal)))
		_, f := p.Offer(now, newRequest("plans", priority.Normal))
		gomega.Expect([]any{admitted < 40, admitted > 12, f.Reason, f.RetryAfter > 0}).To(gomega.Equal([]any{true, true, admission.Overloaded, true}))
	})

	ginkgo.It("refuses immediately without usable VMs", func() {
		p := newPool(granted)
		p.SetAllocation(granted, vms, func(string) bool { return false })
		_, f := p.Offer(now, newRequest("plans", priority.Normal))
		gomega.Expect(f.Reason).To(gomega.Equal(admission.NoCapacity))
	})

	ginkgo.It("lends the unused share of a service and reclaims it as slots become free", func() {
		p := newPool(granted)
		plans := fill(p, 8, newRequest("plans", priority.Normal))
		lent := running(plans)
		quotes := fill(p, 4, newRequest("quotes", priority.Normal))
		p.Done(now, plans[0], true)
		p.Dispatch(now)
		p.Done(now, plans[1], true)
		p.Dispatch(now)
		gomega.Expect([]int{lent, running(quotes)}).To(gomega.Equal([]int{4, 2}))
	})

	ginkgo.It("runs urgent requests first but serves the lowest priority its minimum share", func() {
		p := newPool(granted)
		first := fill(p, 4, newRequest("plans", priority.Normal))
		low := fill(p, 1, newRequest("plans", priority.Low))
		urgent := []*admission.Ticket{}
		served := 0
		next := first
		for ; served < 60 && running(low) == 0; served++ {
			urgent = append(urgent, fill(p, 1, newRequest("plans", priority.Urgent))...)
			p.Done(now, next[0], true)
			p.Dispatch(now)
			next = append(next[1:], urgent[served])
		}
		gomega.Expect([]bool{served >= 10, served <= 25}).To(gomega.Equal([]bool{true, true}))
	})

	ginkgo.It("limits an overloading team to its quota when other teams have requests", func() {
		p := newPool(granted)
		r := newRequest("plans", priority.Normal)
		r.Team = "buyers"
		overload := fill(p, 12, r)
		r.Team = "benches"
		others := fill(p, 4, r)
		for _, t := range overload[:4] {
			p.Done(now, t, true)
			p.Dispatch(now)
		}
		gomega.Expect(running(others)).To(gomega.BeNumerically(">=", 3))
	})

	ginkgo.It("refuses a queued request that can no longer meet its deadline", func() {
		p := newPool(granted)
		l := fill(p, 6, newRequest("plans", priority.Normal))
		p.Done(now.Add(deadline), l[0], true)
		p.Dispatch(now.Add(deadline))
		gomega.Expect(l[4].Refused).To(gomega.Equal(admission.DeadlinePassed))
	})

	ginkgo.It("removes a cancelled request from the queue once", func() {
		p := newPool(granted)
		l := fill(p, 6, newRequest("plans", priority.Normal))
		gomega.Expect([]any{p.Cancel(l[5]), p.Cancel(l[5]), p.Cancel(l[0]), p.Load().Waiting}).To(gomega.Equal([]any{true, false, false, 1}))
	})

	ginkgo.It("dispatches a requeued request first, on another VM", func() {
		p := newPool(share.Allocation{Own: share.Grant{"a": 1, "b": 1}})
		l := fill(p, 3, newRequest("plans", priority.Normal))
		refused := l[0].VM
		p.Done(now, l[0], false)
		p.BackOff(now, l[0])
		again := p.Requeue(now, l[0])
		p.Done(now, l[1], true)
		p.Dispatch(now)
		gomega.Expect([]any{again.VM != refused && again.VM != "", l[2].VM}).To(gomega.Equal([]any{true, ""}))
	})

	ginkgo.It("borrows a slot only for a request that has waited", func() {
		p := newPool(share.Allocation{Own: share.Grant{"a": 1}, MayBorrow: true})
		l := fill(p, 2, newRequest("plans", priority.Normal))
		before := running(l)
		p.Dispatch(now.Add(serviceTime / 4))
		gomega.Expect([]int{before, running(l)}).To(gomega.Equal([]int{1, 2}))
	})

	ginkgo.It("borrows without granted slots, and has no capacity once borrowing is off", func() {
		p := newPool(share.Allocation{Own: share.Grant{}, MayBorrow: true})
		l := fill(p, 1, newRequest("plans", priority.Normal))
		p.Dispatch(now.Add(serviceTime / 4))
		p.SetAllocation(share.Allocation{Own: share.Grant{}}, vms, all)
		_, f := p.Offer(now, newRequest("plans", priority.Normal))
		gomega.Expect([]any{running(l), f.Reason}).To(gomega.Equal([]any{1, admission.NoCapacity}))
	})

	ginkgo.It("panics when a slot is freed twice", func() {
		p := newPool(granted)
		l := fill(p, 1, newRequest("plans", priority.Normal))
		p.Done(now, l[0], true)
		gomega.Expect(func() { p.Done(now, l[0], true) }).To(gomega.PanicWith(gomega.ContainSubstring("was not taken")))
	})

	ginkgo.It("keeps its counts consistent under random event orders", func() {
		rapid.Check(ginkgo.GinkgoT(), checkCounts)
	})
})

// checkCounts applies random events to a pool and compares its load with the state of the tickets.
func checkCounts(t *rapid.T) {
	p := newPool(granted)
	at := now
	open := []*admission.Ticket{}
	for range rapid.IntRange(1, 200).Draw(t, "events") {
		at = at.Add(time.Duration(rapid.IntRange(0, 30).Draw(t, "ms")) * time.Millisecond)
		r := newRequest(services[rapid.IntRange(0, 1).Draw(t, "service")].Name, priority.Priority(rapid.IntRange(0, 3).Draw(t, "priority")))
		r.Team = []string{"", "benches", "buyers"}[rapid.IntRange(0, 2).Draw(t, "team")]
		r.Deadline = at.Add(deadline)
		i := 0
		if len(open) > 0 {
			i = rapid.IntRange(0, len(open)-1).Draw(t, "ticket")
		}
		switch k := rapid.IntRange(0, 4).Draw(t, "event"); {
		case k <= 1 || len(open) == 0:
			if x, f := p.Offer(at, r); f.Reason == admission.None {
				open = append(open, x)
			}
		case k == 2 && open[i].VM != "":
			p.Done(at, open[i], true)
			open = append(open[:i], open[i+1:]...)
		case k == 3 && open[i].VM != "":
			p.Done(at, open[i], false)
			p.BackOff(at, open[i])
			p.EndBackoff(open[i].VM)
			open[i] = p.Requeue(at, open[i])
		case k == 4 && p.Cancel(open[i]):
			open = append(open[:i], open[i+1:]...)
		}
		p.Dispatch(at)
		open = unrefused(open)
		compare(t, p, open)
	}
}

func unrefused(l []*admission.Ticket) []*admission.Ticket {
	r := []*admission.Ticket{}
	for _, t := range l {
		if t.Refused == admission.None {
			r = append(r, t)
		}
	}
	return r
}

func compare(t *rapid.T, p *admission.Pool, open []*admission.Ticket) {
	busy := running(open)
	want := admission.Load{Busy: busy, Waiting: len(open) - busy, Free: 4 - busy, Usable: 4}
	if got := p.Load(); got != want {
		t.Fatalf("load %s, want %s", fmt.Sprint(got), fmt.Sprint(want))
	}
}
