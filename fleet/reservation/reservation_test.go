package reservation_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"github.com/tarragonbank/tarragonbank/fleet/job"
	"github.com/tarragonbank/tarragonbank/fleet/reservation"
	"github.com/tarragonbank/tarragonbank/fleet/suite"
)

func TestReservation(t *testing.T) {
	suite.Run(t, "reservation")
}

var now = time.Unix(1_800_000_000, 0)

func after(ms int) time.Time { return now.Add(time.Duration(ms) * time.Millisecond) }

func cores(n int64) job.Size { return job.Size{CPU: n} }

// servers are the candidates of a test.
type servers []reservation.Server

func (l servers) Len() int { return len(l) }
func (l servers) Find(id string) int {
	return slices.IndexFunc(l, func(v reservation.Server) bool { return v.ID == id })
}
func (l servers) Server(i int) (reservation.Server, bool) { return l[i], true }

// busy returns a server with one free core, on which runs of two cores end at the given times in milliseconds.
func busy(id string, ends ...int) reservation.Server {
	v := reservation.Server{ID: id, Free: cores(1)}
	for _, ms := range ends {
		v.Ends = append(v.Ends, reservation.End{At: after(ms), Size: cores(2)})
	}
	return v
}

func large(i int) reservation.Task {
	return reservation.Task{Key: job.Task{Job: "a", Index: i}, Demand: cores(4)}
}

var _ = ginkgo.Describe("a book of reservations", func() {
	var b *reservation.Book
	pass := func(l servers, at time.Time, tasks ...reservation.Task) ([]*reservation.Reservation, []reservation.Event) {
		b.Begin(at)
		made := []*reservation.Reservation{}
		for _, t := range tasks {
			made = append(made, b.Reserve(t, l, at))
		}
		return made, b.Finish()
	}
	ginkgo.BeforeEach(func() { b = reservation.New() })

	ginkgo.It("reserves the server where enough room is foreseen earliest, and admits what ends before or fits beside", func() {
		made, _ := pass(servers{busy("x", 100, 400), busy("y", 200, 300), busy("z", 50)}, now, large(1))
		r := made[0]
		gomega.Expect(r.Server).To(gomega.Equal("y"))
		gomega.Expect(r.Start).To(gomega.Equal(after(300)))
		gomega.Expect(r.Admits(cores(2), after(300))).To(gomega.BeTrue())
		gomega.Expect(r.Admits(cores(2), after(301))).To(gomega.BeFalse())
		gomega.Expect(r.Admits(cores(1), after(9000))).To(gomega.BeTrue(), "one core is spare")
		r.Take(cores(1), after(9000))
		gomega.Expect(r.Admits(cores(1), after(9000))).To(gomega.BeFalse(), "it was taken")
	})
	// A choice that changed in each pass would empty several servers by half and none in full.
	ginkgo.It("keeps its choice while the server is a candidate, and moves otherwise", func() {
		pass(servers{busy("x", 100, 200), busy("y", 300, 400)}, now, large(1))
		made, events := pass(servers{busy("x", 100, 450), busy("y", 300, 400)}, now, large(1))
		gomega.Expect(made[0].Server).To(gomega.Equal("x"))
		gomega.Expect(events).To(gomega.BeEmpty())
		made, events = pass(servers{busy("y", 300, 400)}, now, large(1))
		gomega.Expect(made[0].Server).To(gomega.Equal("y"))
		gomega.Expect(events[0].Change).To(gomega.Equal(reservation.Moved))
	})
	// Runs that do not end as foreseen would keep a server from small tasks for as long as they last.
	ginkgo.It("gives up a reservation that is not met, and makes none for its task for a while", func() {
		late := func(at int) servers { return servers{busy("x", at+100, at+200)} }
		pass(late(0), now, large(1))
		gomega.Expect(first(pass(late(1100), after(1100), large(1)))).NotTo(gomega.BeNil())
		made, events := pass(late(1300), after(1300), large(1))
		gomega.Expect(made[0]).To(gomega.BeNil())
		gomega.Expect(events[0].Change).To(gomega.Equal(reservation.Overdue))
		gomega.Expect(b.Idle()).To(gomega.BeFalse(), "a book that was dropped now would forget it")
		gomega.Expect(first(pass(late(3200), after(3200), large(1)))).To(gomega.BeNil())
		gomega.Expect(first(pass(late(3400), after(3400), large(1)))).NotTo(gomega.BeNil())
	})
	ginkgo.It("reports reservations that were met or that are no longer needed", func() {
		pass(servers{busy("x", 100, 200)}, now, large(1))
		b.Begin(now)
		b.Placed(large(1).Key)
		gomega.Expect(b.Finish()[0].Change).To(gomega.Equal(reservation.Met))
		pass(servers{busy("x", 100, 200)}, now, large(1))
		_, events := pass(servers{busy("x", 100, 200)}, now)
		gomega.Expect(events[0].Change).To(gomega.Equal(reservation.Dropped))
	})
	// While a turn asks for more than the pool holds, dozens of large tasks wait.
	ginkgo.It("reserves an eighth of the servers, one task each, and none far ahead", func() {
		l := servers{busy("far", 10, 5000)}
		gomega.Expect(first(pass(l, now, large(1)))).To(gomega.BeNil())
		l, tasks := servers{}, []reservation.Task{}
		for i := range 24 {
			l, tasks = append(l, busy(fmt.Sprint(i), 100, 200)), append(tasks, large(i))
		}
		made, _ := pass(l, now, tasks...)
		gomega.Expect(made[:3]).NotTo(gomega.ContainElement(gomega.BeNil()))
		gomega.Expect(made[3:]).To(gomega.HaveEach(gomega.BeNil()))
		gomega.Expect(b.Len()).To(gomega.Equal(3))
	})
})

func first(l []*reservation.Reservation, _ []reservation.Event) *reservation.Reservation { return l[0] }
