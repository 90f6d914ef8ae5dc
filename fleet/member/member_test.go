package member_test

import (
	"testing"
	"time"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"github.com/tarragonbank/tarragonbank/fleet/member"
	"github.com/tarragonbank/tarragonbank/fleet/schema"
	"github.com/tarragonbank/tarragonbank/fleet/suite"
)

func TestMember(t *testing.T) {
	suite.Run(t, "member")
}

const interval = time.Second

var now = time.Unix(1_800_000_000, 0)

func body(dc string) *schema.RowBody {
	return &schema.RowBody{DataCentre: dc, Address: "10.0.0.1:7443"}
}

func row(name string, incarnation, sequence uint64) *schema.Row {
	return &schema.Row{Name: name, Incarnation: incarnation, Sequence: sequence, BodySequence: 1, Body: body("dc-1")}
}

func newTable() *member.Table {
	return member.New(now, "b", 5, body("dc-1"), interval)
}

func states(t *member.Table) map[string]member.State {
	m := map[string]member.State{}
	for _, x := range t.Members() {
		m[x.Name()] = x.State
	}
	return m
}

var _ = ginkgo.DescribeTable("Merge accepts",
	func(held, offered *schema.Row, want member.MergeResult) {
		t := newTable()
		t.Merge(now, held)
		gomega.Expect(t.Merge(now, offered)).To(gomega.Equal(want))
	},
	ginkgo.Entry("a later sequence", row("a", 1, 2), row("a", 1, 3), member.Heartbeat),
	ginkgo.Entry("not a duplicate", row("a", 1, 2), row("a", 1, 2), member.Unchanged),
	ginkgo.Entry("not a delayed row with an earlier sequence", row("a", 1, 9), row("a", 1, 3), member.Unchanged),
	ginkgo.Entry("the first row of a restarted entry", row("a", 1, 900), row("a", 2, 1), member.BodyChanged),
	ginkgo.Entry("not a row from before the restart", row("a", 2, 1), row("a", 1, 900), member.Unchanged),
)

var _ = ginkgo.Describe("a table", func() {
	ginkgo.It("requests the body that is missing from the first row of an entry", func() {
		t := newTable()
		short := row("a", 1, 2)
		short.Body = nil
		gomega.Expect(t.Merge(now, short)).To(gomega.Equal(member.BodyMissing))
	})

	ginkgo.It("marks a silent member suspect, then dead, and live again when it returns", func() {
		t := newTable()
		t.Merge(now, row("a", 1, 1))
		seen := []member.State{}
		for _, d := range []time.Duration{3, 5, 9} {
			t.Tick(now.Add(d * interval))
			seen = append(seen, states(t)["a"])
		}
		t.Merge(now.Add(10*interval), row("a", 1, 2))
		seen = append(seen, states(t)["a"])
		gomega.Expect(seen).To(gomega.Equal([]member.State{member.Live, member.Suspect, member.Dead, member.Live}))
	})

	ginkgo.It("raises its incarnation above a row of an earlier process of its own name", func() {
		t := newTable()
		t.Merge(now, row("b", 9, 9))
		gomega.Expect(member.VersionOf(t.Own())).To(gomega.Equal(member.Version{Incarnation: 10, Sequence: 1}))
	})

	ginkgo.It("excludes leaving members when work is divided", func() {
		t := newTable()
		r := row("a", 1, 1)
		r.Body.Leaving = true
		t.Merge(now, r)
		gomega.Expect(t.WorkSharers()).To(gomega.HaveLen(1))
	})

	ginkgo.It("makes the first live member of a data centre the watcher, and the next one when that becomes suspect", func() {
		t := newTable()
		t.Merge(now, row("a", 1, 1))
		first := t.IsWatcher()
		t.Tick(now.Add(5 * interval))
		gomega.Expect([]bool{first, t.IsWatcher()}).To(gomega.Equal([]bool{false, true}))
	})

	ginkgo.It("sends a body once, then heartbeats until it changes", func() {
		t := newTable()
		s := member.NewSentRows()
		none := func(string) bool { return false }
		first := t.Rows(s, none)
		again := t.Rows(s, none)
		t.Publish(now, body("dc-1"))
		beat := t.Rows(s, none)
		t.Publish(now, body("dc-2"))
		changed := t.Rows(s, none)
		gomega.Expect([]any{len(first), len(again), beat[0].Body == nil, changed[0].Body != nil}).To(gomega.Equal([]any{1, 0, true, true}))
	})

	ginkgo.It("relays the rows that the peer does not receive directly", func() {
		t := newTable()
		t.Merge(now, row("a", 1, 1))
		l := t.Rows(member.NewSentRows(), func(n string) bool { return n == "a" })
		gomega.Expect(l).To(gomega.HaveLen(2))
	})
})
