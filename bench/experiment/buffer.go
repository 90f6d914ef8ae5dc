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
	simulatedDays     = 14
	learningDays      = 4
	poolCount         = 10
	vmsPerPool        = 4
	slotsPerVM        = 8
	targetUtilisation = 0.85
	tick              = time.Minute
	maxSpareVMs       = 60
	maxBufferRatio    = 0.7
	maxMovesRatio     = 0.5
	sparePool         = "spare"
	forecastHorizon   = time.Hour
	demandSmoothing   = 0.5
)

func init() {
	register("buffer", "two weeks of demand: VMs held and moved with fixed buffers, by need, and by forecast", buffer)
}

// fortnight is the demand of pools that each have some peaks at their own times of the day.
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

// demand is what a pool is asked for at a minute, in slots: some peaks of three quarters of an hour, in two
// bursts each, that come within ten minutes of the same time each day, and a floor.
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

// fleet makes the pools with the spare VMs.
func newFleet(spare int) maintenance.Site {
	s := maintenance.Site{
		Rules: maintenance.Rules{Stay: maintenance.DefaultStay}, Pools: map[string]pool.Pool{},
		Waves: map[string]maintenance.Wave{}, States: map[string]vm.State{}, Sights: map[string]maintenance.Sight{},
		Demand: map[string]int{}, Expected: map[string]int{},
	}
	add := func(name string, n int) {
		p := pool.Pool{Name: name, MaxDown: 1, Spare: name == sparePool}
		for i := range n {
			v := vm.VM{Name: fmt.Sprintf("%s-%02d", name, i), Rack: fmt.Sprintf("r%d", i/4), Pool: name, Home: name, Slots: slotsPerVM}
			p.VMs = append(p.VMs, v)
			s.Sights[v.Name] = maintenance.Sight{Live: true, Answers: true, Boot: "1"}
		}
		s.Pools[name] = p
	}
	for i := range poolCount {
		add(fmt.Sprintf("pool-%d", i), vmsPerPool)
	}
	add(sparePool, spare)
	return s
}

// needed is the VMs that the demand of all pools takes.
func (f *demandModel) requiredVMs(minute int) int {
	n := 0
	for i := range poolCount {
		d := f.demand(fmt.Sprintf("pool-%d", i), minute)
		n += int(math.Ceil(float64(d) / (targetUtilisation * slotsPerVM)))
	}
	return n
}

// lendingRun is what a policy came to.
type policyResult struct {
	shortMinutes int
	moves        int
}

// run counts the pool-minutes in which a pool was asked for more slots than it had, and the moves, after some days of learning.
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
				s.Expected[n] = p.Peak(now, n, forecastHorizon)
			}
			if counted && d > len(q.VMs)*slotsPerVM {
				x.shortMinutes++
			}
		}
		x.moves += applyActions(&s, maintenance.Decide(now, s), counted)
	}
	return x
}

// relocateAll records actions as the store would, and counts the moves.
func applyActions(s *maintenance.Site, l []maintenance.Action, counted bool) int {
	n := 0
	for _, a := range l {
		if a.VM == "" || a.State.Moved.IsZero() {
			continue
		}
		s.States[a.VM] = a.State
		relocate(s, a)
		if counted {
			n++
		}
	}
	return n
}

// rehome puts a VM that was moved under its new pool, as reading the record back does.
func relocate(s *maintenance.Site, a maintenance.Action) {
	for n, p := range s.Pools {
		for i, v := range p.VMs {
			if v.Name != a.VM {
				continue
			}
			p.VMs = append(append([]vm.VM{}, p.VMs[:i]...), p.VMs[i+1:]...)
			s.Pools[n] = p
			v.Pool = a.State.Pool
			if v.Pool == "" {
				v.Pool = v.Home
			}
			q := s.Pools[v.Pool]
			q.VMs = append(append([]vm.VM{}, q.VMs...), v)
			s.Pools[v.Pool] = q
			return
		}
	}
}

// least is the smallest spare pool with which no pool is short, by forecast.
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
	fixed := poolCount * int(math.Ceil(68/(targetUtilisation*slotsPerVM)))
	spareForecast, byForecast := f.smallestSparePool()
	byNeed := f.simulate(spareForecast, false)
	days := float64(simulatedDays - learningDays)
	needed := 0
	for m := learningDays * 24 * 60; m < simulatedDays*24*60; m++ {
		needed += f.requiredVMs(m)
	}
	used := float64(needed) / 60
	hours := func(vms int) float64 { return float64(vms)*24*days - used }
	shared := poolCount*vmsPerPool + spareForecast
	r.metric("fixedVms", fixed)
	r.metric("sharedVms", shared)
	r.metric("fixedBufferVmHours", roundThousandth(hours(fixed)))
	r.metric("sharedBufferVmHours", roundThousandth(hours(shared)))
	r.metric("needShortMinutes", byNeed.shortMinutes)
	r.metric("forecastShortMinutes", byForecast.shortMinutes)
	r.metric("needMovesPerDay", roundThousandth(float64(byNeed.moves)/days))
	r.metric("forecastMovesPerDay", roundThousandth(float64(byForecast.moves)/days))
	r.checkTarget(hours(shared) <= maxBufferRatio*hours(fixed), "the shared buffer is %.2f of the fixed one", hours(shared)/hours(fixed))
	r.checkTarget(float64(byForecast.moves) <= maxMovesRatio*float64(byNeed.moves), "%d moves by forecast, %d by need", byForecast.moves, byNeed.moves)
	r.checkTarget(byForecast.shortMinutes == 0, "pools were short for %d minutes", byForecast.shortMinutes)
	return nil
}
