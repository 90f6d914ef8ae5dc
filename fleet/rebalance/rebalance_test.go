package rebalance_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"github.com/tarragonbank/tarragonbank/fleet/rebalance"
	"github.com/tarragonbank/tarragonbank/fleet/suite"
)

func TestRebalance(t *testing.T) {
	suite.Run(t, "rebalance")
}

var (
	now    = time.Unix(1_800_000_000, 0)
	policy = rebalance.DefaultPolicy()
)

const cores = 64

func vms(pool string, count int, idle time.Duration, movable bool) []rebalance.VM {
	l := []rebalance.VM{}
	for i := range count {
		l = append(l, rebalance.VM{
			Name: fmt.Sprintf("%s-%02d", pool, i), Pool: pool, Kind: "plain", Cores: cores, Movable: movable, IdleSince: now.Add(-idle),
		})
	}
	return l
}

func noneExcluded(string, string) bool {
	return false
}

// countMoves counts moves by source and destination pool.
func countMoves(l []rebalance.Move) map[string]int {
	m := map[string]int{}
	for _, x := range l {
		m[x.From+">"+x.To]++
	}
	return m
}

var _ = ginkgo.Describe("moves between pools", func() {
	long := now.Add(-time.Minute)
	pools := func(cups, saws float64) []rebalance.Pool {
		return []rebalance.Pool{
			{Name: "cups", DemandCores: cups, SurplusSince: long}, {Name: "saws", DemandCores: saws, SurplusSince: long}, {Name: "off", Standby: true},
		}
	}
	site := append(append(vms("cups", 6, time.Minute, true), vms("saws", 6, time.Minute, true)...), vms("off", 4, time.Minute, true)...)

	ginkgo.DescribeTable("follow the demand", func(cups, saws float64, want map[string]int) {
		gomega.Expect(countMoves(rebalance.Decide(now, policy, pools(cups, saws), site, noneExcluded))).To(gomega.Equal(want))
	},
		ginkgo.Entry("a demand peak takes idle VMs of other pools first, then VMs that are switched off", 700.0, 10.0,
			map[string]int{"saws>cups": 4, "off>cups": 3}),
		ginkgo.Entry("low demand switches off all VMs but the minimum", 10.0, 10.0, map[string]int{"cups>off": 4, "saws>off": 4}),
		ginkgo.Entry("two simultaneous peaks share the available VMs", 450.0, 450.0, map[string]int{"off>cups": 2, "off>saws": 2}))

	ginkgo.It("never take a VM that runs a task", func() {
		l := append(vms("cups", 4, 0, false), vms("off", 0, 0, true)...)
		gomega.Expect(rebalance.Decide(now, policy, pools(0, 0), l, noneExcluded)).To(gomega.BeEmpty())
	})

	// A turn begins while the pool of the turn before is busy with work that is late anyway.
	ginkgo.It("drain busy VMs of a pool that needs fewer, after the idle and the switched-off ones", func() {
		l := append(vms("cups", 3, 0, true), vms("off", 2, 0, true)...)
		l = append(l, vms("saws", 8, 0, false)...)
		for i := range l[5:] {
			l[5+i].Drainable = i > 0
		}
		moves := rebalance.Decide(now, policy, pools(400, 110), l, noneExcluded)
		gomega.Expect(countMoves(moves)).To(gomega.Equal(map[string]int{"off>cups": 2, "saws>cups": 3}))
		for _, m := range moves {
			gomega.Expect(m.Drain).To(gomega.Equal(m.From == "saws"))
			gomega.Expect(m.VM).NotTo(gomega.Equal("saws-00"), "it runs a long-running task")
		}
	})

	ginkgo.It("drain no VM that its pool needs", func() {
		l := append(vms("cups", 2, 0, true), vms("saws", 8, 0, false)...)
		for i := range l {
			l[i].Drainable = !l[i].Movable
		}
		gomega.Expect(rebalance.Decide(now, policy, pools(400, 430), l, noneExcluded)).To(gomega.BeEmpty())
	})

	ginkgo.It("wait until a pool has had a surplus for MinSurplus", func() {
		p := pools(10, 10)
		p[0].SurplusSince, p[1].SurplusSince = now, now
		gomega.Expect(rebalance.Decide(now, policy, p, site, noneExcluded)).To(gomega.BeEmpty())
	})

	ginkgo.It("leave a pool at least MinVMs VMs, and raise it to that number", func() {
		p := pools(10, 10)
		p[0].MinVMs = 7
		m := countMoves(rebalance.Decide(now, policy, p, site, noneExcluded))
		gomega.Expect(m["cups>off"]).To(gomega.BeZero())
		gomega.Expect(m["saws>cups"]).To(gomega.Equal(1))
	})

	ginkgo.It("respect the kinds of VM that a pool excludes", func() {
		excluded := func(_, pool string) bool { return pool == "cups" }
		m := countMoves(rebalance.Decide(now, policy, pools(700, 300), site, excluded))
		gomega.Expect(m).To(gomega.BeEmpty())
	})
})
