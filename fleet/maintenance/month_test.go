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

// The month's fleet, a tenth of the size that the design is for, and what befalls it in a day.
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
	// staleTicks is how long the second controller may be paused after it has read.
	staleTicks = 40
	longestGap = 14 * 24 * time.Hour
)

// record is what the store holds; it changes only by compare-and-swap.
type record struct {
	revision int
	states   map[string]vm.State
	waves    map[string]maintenance.PoolState
}

// month is a fleet's month under failures.
type month struct {
	random         *rand.Rand
	vms            []vm.VM
	record         record
	downTo         map[string]time.Time
	boots          map[string]int
	ignoreFailures bool
	violations     []string
	skipCompare    bool
	moves          int
	days           int
}

func newMonth(seed uint64) *month {
	m := &month{
		days: monthDays, random: rand.New(rand.NewPCG(seed, 3)), downTo: map[string]time.Time{}, boots: map[string]int{},
		record: record{states: map[string]vm.State{}, waves: map[string]maintenance.PoolState{}},
	}
	for i := range monthVMs {
		p := fmt.Sprintf("pool-%02d", i%monthPools)
		m.vms = append(m.vms, vm.VM{Name: fmt.Sprintf("vm-%03d", i), Rack: fmt.Sprintf("r%d", i/4), Pool: p, HomePool: p, Slots: 8})
	}
	return m
}

// pools groups the VMs by the record that a controller read.
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
	up := !now.Before(m.downTo[name])
	return maintenance.Observation{Running: up, Reachable: up, BootID: strconv.Itoa(m.boots[name])}
}

// fleetState is what a controller that read the record sees.
func (m *month) fleetState(now time.Time, r record, demand map[string]int) maintenance.FleetState {
	s := maintenance.FleetState{
		Rules:        maintenance.Rules{Period: maintenance.DefaultPeriod, Drain: time.Minute, RebootLimit: 10 * time.Minute, Halt: time.Hour, Stay: maintenance.DefaultStay},
		Pools:        m.pools(r),
		PoolStates:   r.waves,
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

// injectFailures fails and restarts VMs and loses racks.
func (m *month) injectFailures(now time.Time) {
	perTick := monthTick.Hours() / 24
	down := func(name string, d time.Duration) {
		m.downTo[name] = now.Add(d)
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

// reboot carries a recorded reboot out; one in fifty VMs does not come back for a day.
func (m *month) reboot(now time.Time, name string) {
	d := time.Duration(1+m.random.IntN(4)) * time.Minute
	if m.random.IntN(50) == 0 {
		d = 24 * time.Hour
	}
	m.downTo[name] = now.Add(d)
	m.boots[name]++
}

// compareAndSwap is the store's compare-and-compareAndSwap; unswept leaves the comparison out.
func (m *month) compareAndSwap(now time.Time, read record, l []maintenance.Action) bool {
	if read.revision != m.record.revision && !m.skipCompare {
		return false
	}
	before := m.planned(now)
	next := record{revision: m.record.revision + 1, states: maps.Clone(m.record.states), waves: maps.Clone(m.record.waves)}
	for _, a := range l {
		if a.VM == "" {
			next.waves[a.Pool] = a.PoolState
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
		if a.Reboot() {
			m.reboot(now, a.VM)
		}
	}
	return true
}

// planned counts by pool the VMs that are down by our doing.
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

// check says where a pool was taken below its budget by our doing, and where a VM is in two pools or none.
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

// run lets two controllers decide on what they read at different times, for a month.
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

// decide has a controller decide on what it read; where the answer is lost it asks again for the same.
func (m *month) decide(at time.Time, read record, demand map[string]int) {
	l := maintenance.Decide(at, m.fleetState(at, read, demand))
	if len(l) == 0 {
		return
	}
	if m.compareAndSwap(at, read, l) && m.random.Float64() < lostResponseProbability {
		m.compareAndSwap(at, read, l)
	}
}

// overdue lists VMs that were in service and not maintained in time at the end.
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

// runMonth runs a month and lists what went wrong in it.
func runMonth(seed uint64) []string {
	m := newMonth(seed)
	m.run()
	l := append([]string{}, m.violations...)
	for _, n := range m.overdue() {
		l = append(l, fmt.Sprintf("seed %d: %s is overdue", seed, n))
	}
	return l
}

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

var _ = ginkgo.Describe("a month", func() {
	ginkgo.It("never overdraws a budget, has each VM in one pool and maintains all in time", func() {
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

	ginkgo.It("is seen to overdraw when writes are not compared with what was read", func() {
		m := newMonth(1)
		m.skipCompare = true
		m.days = violationDays
		m.run()
		gomega.Expect(m.violations).NotTo(gomega.BeEmpty())
	})

	ginkgo.It("is seen to overdraw when failures are not counted", func() {
		m := newMonth(1)
		m.ignoreFailures = true
		m.days = violationDays
		m.run()
		gomega.Expect(m.violations).NotTo(gomega.BeEmpty())
	})
})
