package maintenance_test

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"os"
	"runtime"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"github.com/tarragonbank/tarragonbank/fleet/maintenance"
	"github.com/tarragonbank/tarragonbank/fleet/pool"
	"github.com/tarragonbank/tarragonbank/fleet/vm"
)

// The simulated fleet, a tenth of the size that the design targets, its failure rates and the daily outage of both
// controllers.
const (
	monthDays               = 30
	violationDays           = 14
	monthVMs                = 130
	monthPools              = 21
	monthTick               = time.Minute
	failuresPerDay          = 2.0
	restartsPerDay          = 8.2
	rackFailuresPerMonth    = 1.0
	outageMinutes           = 45
	lostResponseProbability = 0.05
	// staleTicks is for how many ticks the second controller may act on the same stale read.
	staleTicks = 40
	longestGap = 14 * 24 * time.Hour
)

// record is the content of the store; it changes only by compare-and-swap.
type record struct {
	revision   int
	states     map[string]vm.State
	poolStates map[string]maintenance.PoolState
}

// month simulates a fleet for a month, with failures. skipCompare and ignoreFailures each disable one safeguard, to
// show that the check detects the violations that follow.
type month struct {
	random         *rand.Rand
	vms            []vm.VM
	record         record
	downUntil      map[string]time.Time
	boots          map[string]int
	ignoreFailures bool
	violations     []string
	skipCompare    bool
	moves          int
	days           int
}

func newMonth(seed uint64) *month {
	m := &month{
		days: monthDays, random: rand.New(rand.NewPCG(seed, 3)), downUntil: map[string]time.Time{}, boots: map[string]int{},
		record: record{states: map[string]vm.State{}, poolStates: map[string]maintenance.PoolState{}},
	}
	for i := range monthVMs {
		p := fmt.Sprintf("pool-%02d", i%monthPools)
		m.vms = append(m.vms, vm.VM{Name: fmt.Sprintf("vm-%03d", i), Rack: fmt.Sprintf("r%d", i/4), Pool: p, HomePool: p, Slots: 8})
	}
	return m
}

// pools groups the VMs by pool, according to the record that a controller read.
func (m *month) pools(r record) map[string]pool.Pool {
	l := map[string]pool.Pool{}
	for _, v := range m.vms {
		if p := r.states[v.Name].Pool; p != "" {
			v.Pool = p
		}
		p := l[v.Pool]
		p.Name = v.Pool
		p.MaxDown = 1
		if v.Pool[len(v.Pool)-1]%2 == 0 {
			p.MaxDown = 2
		}
		p.Spare = v.Pool == "pool-00"
		p.VMs = append(p.VMs, v)
		l[v.Pool] = p
	}
	return l
}

func (m *month) observation(now time.Time, name string) maintenance.Observation {
	up := !now.Before(m.downUntil[name])
	return maintenance.Observation{Running: up, Reachable: up, BootID: strconv.Itoa(m.boots[name])}
}

// fleetState returns the input of a controller that read the record.
func (m *month) fleetState(now time.Time, r record, demand map[string]int) maintenance.FleetState {
	s := maintenance.FleetState{
		Rules:        maintenance.Rules{Period: maintenance.DefaultPeriod, Drain: time.Minute, RebootLimit: 10 * time.Minute, Halt: time.Hour, Stay: maintenance.DefaultStay},
		Pools:        m.pools(r),
		PoolStates:   r.poolStates,
		VMStates:     r.states,
		Observations: map[string]maintenance.Observation{},
		Demand:       demand,
	}
	for _, v := range m.vms {
		s.Observations[v.Name] = m.observation(now, v.Name)
		if m.ignoreFailures {
			s.Observations[v.Name] = maintenance.Observation{Running: true, Reachable: true, BootID: strconv.Itoa(m.boots[v.Name])}
		}
	}
	return s
}

// injectFailures fails and restarts random VMs, and fails whole racks.
func (m *month) injectFailures(now time.Time) {
	perTick := monthTick.Hours() / 24
	down := func(name string, d time.Duration) {
		m.downUntil[name] = now.Add(d)
		m.boots[name]++
	}
	if m.random.Float64() < failuresPerDay*perTick {
		down(m.vms[m.random.IntN(monthVMs)].Name, time.Duration(1+m.random.IntN(600))*time.Minute)
	}
	if m.random.Float64() < restartsPerDay*perTick {
		down(m.vms[m.random.IntN(monthVMs)].Name, time.Duration(1+m.random.IntN(5))*time.Minute)
	}
	if m.random.Float64() < rackFailuresPerMonth*perTick/monthDays {
		r := m.random.IntN(monthVMs) / 4 * 4
		for i := r; i < min(r+4, monthVMs); i++ {
			down(m.vms[i].Name, 3*time.Hour)
		}
	}
}

// reboot carries out a recorded reboot; one VM in fifty does not come back for a day.
func (m *month) reboot(now time.Time, name string) {
	d := time.Duration(1+m.random.IntN(4)) * time.Minute
	if m.random.IntN(50) == 0 {
		d = 24 * time.Hour
	}
	m.downUntil[name] = now.Add(d)
	m.boots[name]++
}

// compareAndSwap applies the actions unless the record changed since it was read; skipCompare omits that comparison.
func (m *month) compareAndSwap(now time.Time, read record, l []maintenance.Action) bool {
	if read.revision != m.record.revision && !m.skipCompare {
		return false
	}
	before := m.planned(now)
	next := record{revision: m.record.revision + 1, states: maps.Clone(m.record.states), poolStates: maps.Clone(m.record.poolStates)}
	for _, a := range l {
		if a.VM == "" {
			next.poolStates[a.Pool] = a.PoolState
			continue
		}
		if a.VMState.Pool != next.states[a.VM].Pool {
			m.moves++
		}
		next.states[a.VM] = a.VMState
	}
	m.record = next
	m.check(now, before)
	for _, a := range l {
		if a.RequiresReboot() {
			m.reboot(now, a.VM)
		}
	}
	return true
}

// planned counts the VMs of each pool that are down for maintenance.
func (m *month) planned(time.Time) map[string]int {
	n := map[string]int{}
	for p, x := range m.pools(m.record) {
		for _, v := range x.VMs {
			switch m.record.states[v.Name].Phase {
			case vm.Draining, vm.Rebooting:
				n[p]++
			}
		}
	}
	return n
}

// check records a violation if maintenance exceeded a pool's budget, or if a VM is in more than one pool.
func (m *month) check(now time.Time, before map[string]int) {
	after := m.planned(now)
	seen := map[string]int{}
	for n, p := range m.pools(m.record) {
		down := 0
		for _, v := range p.VMs {
			seen[v.Name]++
			s := m.observation(now, v.Name)
			if !m.record.states[v.Name].Phase.Serves() || !s.Healthy() {
				down++
			}
		}
		if after[n] > before[n] && down > p.MaxDown {
			m.violations = append(m.violations, fmt.Sprintf("%s: %d of %s down", now.Format(time.RFC3339), down, n))
		}
	}
	for n, k := range seen {
		if k != 1 {
			m.violations = append(m.violations, fmt.Sprintf("%s is in %d pools", n, k))
		}
	}
}

// run simulates a month with two controllers, one of which decides on stale reads.
func (m *month) run() {
	start := now
	stale := m.record
	outage := 0
	for i := range m.days * 24 * 60 {
		at := start.Add(time.Duration(i) * monthTick)
		m.injectFailures(at)
		if i%(24*60) == 0 {
			outage = i + m.random.IntN(20*60)
		}
		if i >= outage && i < outage+outageMinutes {
			continue
		}
		demand := map[string]int{fmt.Sprintf("pool-%02d", 1+i/600%(monthPools-1)): 60}
		if m.random.IntN(3) == 0 {
			m.decide(at, stale, demand)
		}
		if i%staleTicks == 0 {
			stale = m.record
		}
		m.decide(at, m.record, demand)
	}
}

// decide lets a controller decide on what it read; if the response to its write is lost, it retries the same write.
func (m *month) decide(at time.Time, read record, demand map[string]int) {
	l := maintenance.Decide(at, m.fleetState(at, read, demand))
	if len(l) == 0 {
		return
	}
	if m.compareAndSwap(at, read, l) && m.random.Float64() < lostResponseProbability {
		m.compareAndSwap(at, read, l)
	}
}

// overdue returns the VMs that were not maintained for longestGap at the end of the month, except failed ones.
func (m *month) overdue() []string {
	end := now.Add(monthDays * 24 * time.Hour)
	l := []string{}
	for n, x := range m.record.states {
		if end.Sub(x.MaintainedAt) > longestGap && x.Phase != vm.Failed {
			l = append(l, n)
		}
	}
	return l
}

// runMonth simulates a month and returns all violations.
func runMonth(seed uint64) []string {
	m := newMonth(seed)
	m.run()
	l := append([]string{}, m.violations...)
	for _, n := range m.overdue() {
		l = append(l, fmt.Sprintf("seed %d: %s is overdue", seed, n))
	}
	return l
}

// seeds returns the seeds 1 to MONTHS, an environment variable that defaults to 1.
func seeds() []uint64 {
	n, err := strconv.Atoi(os.Getenv("MONTHS"))
	if err != nil {
		n = 1
	}
	l := []uint64{}
	for i := range n {
		l = append(l, uint64(i+1))
	}
	return l
}

var _ = ginkgo.Describe("a simulated month", func() {
	ginkgo.It("never exceeds a budget, keeps each VM in one pool and maintains all VMs in time", func() {
		l := seeds()
		found := make([][]string, len(l))
		var w sync.WaitGroup
		free := make(chan struct{}, runtime.GOMAXPROCS(0))
		for i, seed := range l {
			w.Add(1)
			go func() {
				defer w.Done()
				free <- struct{}{}
				defer func() { <-free }()
				found[i] = runMonth(seed)
			}()
		}
		w.Wait()
		gomega.Expect(slices.Concat(found...)).To(gomega.BeEmpty())
	})

	ginkgo.It("exceeds a budget if writes skip the revision comparison", func() {
		m := newMonth(1)
		m.skipCompare = true
		m.days = violationDays
		m.run()
		gomega.Expect(m.violations).NotTo(gomega.BeEmpty())
	})

	ginkgo.It("exceeds a budget if failures are not counted as down", func() {
		m := newMonth(1)
		m.ignoreFailures = true
		m.days = violationDays
		m.run()
		gomega.Expect(m.violations).NotTo(gomega.BeEmpty())
	})
})
