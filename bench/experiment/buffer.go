package experiment

import (
	"context"
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"github.com/tarragonbank/tarragonbank/fleet/forecast"
	"github.com/tarragonbank/tarragonbank/fleet/maintenance"
	"github.com/tarragonbank/tarragonbank/fleet/pool"
	"github.com/tarragonbank/tarragonbank/fleet/vm"
)

const (
	simulatedDays = 14
	// learningDays come before the days that are counted, to train the forecast.
	learningDays = 4
	poolCount    = 10
	vmsPerPool   = 4
	slotsPerVM   = 8
	// targetUtilisation is the fraction of its slots that a VM is planned to use.
	targetUtilisation = 0.85
	// tick is the time between two decisions of the simulated controller.
	tick = time.Minute
	// maxSpareVMs bounds the search for the smallest spare pool.
	maxSpareVMs = 60
	// maxBufferRatio bounds the unused VM hours of the shared buffer relative to the fixed buffers.
	maxBufferRatio = 0.7
	// maxMovesRatio bounds the moves with a forecast relative to those without.
	maxMovesRatio   = 0.5
	sparePool       = "spare"
	forecastHorizon = time.Hour
	// demandSmoothing is the weight of the newest sample in the moving average of demand.
	demandSmoothing = 0.5
)

func init() {
	register("buffer", "two simulated weeks of demand: VMs held and moved with fixed buffers, on current demand and on a forecast", buffer)
}

// demandModel generates the demand of pools that each have peaks at their own times of the day.
type demandModel struct {
	seed        uint64
	peakMinutes map[string][]int
}

func newDemandModel(seed uint64) *demandModel {
	r := rand.New(rand.NewPCG(seed, 5))
	f := &demandModel{seed: seed, peakMinutes: map[string][]int{}}
	for i := range poolCount {
		n := fmt.Sprintf("pool-%d", i)
		for range 3 {
			f.peakMinutes[n] = append(f.peakMinutes[n], r.IntN(24*60))
		}
	}
	return f
}

// demand returns the demand of a pool in slots, at a minute since the start. Each peak starts within ten minutes of the
// same time each day and has two bursts of 15 minutes with 20 minutes between them; at other times demand is at its floor.
func (f *demandModel) demand(name string, minute int) int {
	day, at := minute/(24*60), minute%(24*60)
	r := rand.New(rand.NewPCG(f.seed+uint64(day), uint64(len(name))*131+uint64(name[len(name)-1])))
	for _, p := range f.peakMinutes[name] {
		begin := p + r.IntN(20) - 10
		height := 52 + r.IntN(16)
		if d := at - begin; d >= 0 && d < 15 || d >= 35 && d < 50 {
			return height
		}
	}
	return 12
}

// newFleet returns the initial state of all pools, with the given number of VMs in the spare pool.
func newFleet(spare int) maintenance.FleetState {
	s := maintenance.FleetState{
		Rules: maintenance.Rules{Stay: maintenance.DefaultStay}, Pools: map[string]pool.Pool{},
		PoolStates: map[string]maintenance.PoolState{}, VMStates: map[string]vm.State{}, Observations: map[string]maintenance.Observation{},
		Demand: map[string]int{}, ForecastDemand: map[string]int{},
	}
	add := func(name string, n int) {
		p := pool.Pool{Name: name, MaxDown: 1, Spare: name == sparePool}
		for i := range n {
			v := vm.VM{Name: fmt.Sprintf("%s-%02d", name, i), Rack: fmt.Sprintf("r%d", i/4), Pool: name, HomePool: name, Slots: slotsPerVM}
			p.VMs = append(p.VMs, v)
			s.Observations[v.Name] = maintenance.Observation{Running: true, Reachable: true, BootID: "1"}
		}
		s.Pools[name] = p
	}
	for i := range poolCount {
		add(fmt.Sprintf("pool-%d", i), vmsPerPool)
	}
	add(sparePool, spare)
	return s
}

// requiredVMs returns the number of VMs that serve the demand of all pools at targetUtilisation.
func (f *demandModel) requiredVMs(minute int) int {
	n := 0
	for i := range poolCount {
		d := f.demand(fmt.Sprintf("pool-%d", i), minute)
		n += int(math.Ceil(float64(d) / (targetUtilisation * slotsPerVM)))
	}
	return n
}

// policyResult has the pool-minutes with less capacity than demand, and the moves of VMs, under one policy.
type policyResult struct {
	shortMinutes int
	moves        int
}

// simulate runs the maintenance controller on the modelled demand, with or without a forecast. Only the days after
// learningDays are counted.
func (f *demandModel) simulate(spare int, forecasting bool) policyResult {
	s := newFleet(spare)
	p := forecast.New()
	start := time.Date(2026, 12, 4, 0, 0, 0, 0, time.UTC)
	averages := map[string]float64{}
	var x policyResult
	for m := range simulatedDays * 24 * 60 {
		now := start.Add(time.Duration(m) * tick)
		counted := m >= learningDays*24*60
		for n, q := range s.Pools {
			if n == sparePool {
				continue
			}
			d := f.demand(n, m)
			averages[n] += demandSmoothing * (float64(d) - averages[n])
			s.Demand[n] = int(averages[n] + 0.5)
			p.Observe(now, n, d)
			if forecasting {
				s.ForecastDemand[n] = p.PeakDemand(now, n, forecastHorizon)
			}
			if counted && d > len(q.VMs)*slotsPerVM {
				x.shortMinutes++
			}
		}
		x.moves += applyActions(&s, maintenance.Decide(now, s), counted)
	}
	return x
}

// applyActions applies the moves among the controller's actions to the state and returns their number, or 0 if they
// are not counted.
func applyActions(s *maintenance.FleetState, l []maintenance.Action, counted bool) int {
	n := 0
	for _, a := range l {
		if a.VM == "" || a.VMState.MovedAt.IsZero() {
			continue
		}
		s.VMStates[a.VM] = a.VMState
		relocate(s, a)
		if counted {
			n++
		}
	}
	return n
}

// relocate puts a moved VM into its new pool, as an entry does when it reads the stored state.
func relocate(s *maintenance.FleetState, a maintenance.Action) {
	for n, p := range s.Pools {
		for i, v := range p.VMs {
			if v.Name != a.VM {
				continue
			}
			p.VMs = append(append([]vm.VM{}, p.VMs[:i]...), p.VMs[i+1:]...)
			s.Pools[n] = p
			v.Pool = a.VMState.Pool
			if v.Pool == "" {
				v.Pool = v.HomePool
			}
			q := s.Pools[v.Pool]
			q.VMs = append(append([]vm.VM{}, q.VMs...), v)
			s.Pools[v.Pool] = q
			return
		}
	}
}

// smallestSparePool returns the least number of spare VMs with which no pool lacks capacity under forecasting, and the
// result with it. If maxSpareVMs is reached, the result is empty.
func (f *demandModel) smallestSparePool() (int, policyResult) {
	for n := 1; n < maxSpareVMs; n++ {
		if x := f.simulate(n, true); x.shortMinutes == 0 {
			return n, x
		}
	}
	return maxSpareVMs, policyResult{}
}

func buffer(_ context.Context, e Options, r *Report) error {
	f := newDemandModel(e.Seed)
	// Fixed buffers size each pool for the upper bound of a peak, 52+16 slots.
	fixed := poolCount * int(math.Ceil(68/(targetUtilisation*slotsPerVM)))
	spare, byForecast := f.smallestSparePool()
	byNeed := f.simulate(spare, false)
	days := float64(simulatedDays - learningDays)
	needed := 0
	for m := learningDays * 24 * 60; m < simulatedDays*24*60; m++ {
		needed += f.requiredVMs(m)
	}
	used := float64(needed) / 60
	hours := func(vms int) float64 { return float64(vms)*24*days - used }
	shared := poolCount*vmsPerPool + spare
	r.metric("fixedVms", fixed)
	r.metric("sharedVms", shared)
	r.metric("fixedBufferVmHours", roundThousandth(hours(fixed)))
	r.metric("sharedBufferVmHours", roundThousandth(hours(shared)))
	r.metric("needShortMinutes", byNeed.shortMinutes)
	r.metric("forecastShortMinutes", byForecast.shortMinutes)
	r.metric("needMovesPerDay", roundThousandth(float64(byNeed.moves)/days))
	r.metric("forecastMovesPerDay", roundThousandth(float64(byForecast.moves)/days))
	r.checkTarget(hours(shared) <= maxBufferRatio*hours(fixed), "the VM hours of the shared buffer are %.2f of those of the fixed buffers", hours(shared)/hours(fixed))
	r.checkTarget(float64(byForecast.moves) <= maxMovesRatio*float64(byNeed.moves), "%d moves with a forecast, %d on current demand", byForecast.moves, byNeed.moves)
	r.checkTarget(byForecast.shortMinutes == 0, "pools lacked capacity for %d pool-minutes", byForecast.shortMinutes)
	return nil
}
