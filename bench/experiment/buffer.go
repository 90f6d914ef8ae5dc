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
	bufferDays   = 14
	bufferLearn  = 4
	bufferPools  = 10
	bufferBase   = 4
	bufferSlots  = 8
	bufferFull   = 0.85
	bufferTick   = time.Minute
	bufferMost   = 60
	bufferLess   = 0.7
	movesLess    = 0.5
	bufferSpare  = "spare"
	bufferAhead  = time.Hour
	bufferMemory = 0.5
)

func init() {
	register("buffer", "two weeks of demand: VMs held and moved with fixed buffers, by need, and by forecast", buffer)
}

// fortnight is the demand of pools that each have some peaks at their own times of the day.
type fortnight struct {
	seed  uint64
	peaks map[string][]int
}

func newFortnight(seed uint64) *fortnight {
	r := rand.New(rand.NewPCG(seed, 5))
	f := &fortnight{seed: seed, peaks: map[string][]int{}}
	for i := range bufferPools {
		n := fmt.Sprintf("pool-%d", i)
		for range 3 {
			f.peaks[n] = append(f.peaks[n], r.IntN(24*60))
		}
	}
	return f
}

// demand is what a pool is asked for at a minute, in slots: some peaks of three quarters of an hour, in two
// bursts each, that come within ten minutes of the same time each day, and a floor.
func (f *fortnight) demand(name string, minute int) int {
	day, at := minute/(24*60), minute%(24*60)
	r := rand.New(rand.NewPCG(f.seed+uint64(day), uint64(len(name))*131+uint64(name[len(name)-1])))
	for _, p := range f.peaks[name] {
		begin := p + r.IntN(20) - 10
		height := 52 + r.IntN(16)
		if d := at - begin; d >= 0 && d < 15 || d >= 35 && d < 50 {
			return height
		}
	}
	return 12
}

// fleet makes the pools with the spare VMs.
func bufferFleet(spare int) maintenance.Site {
	s := maintenance.Site{
		Rules: maintenance.Rules{Stay: maintenance.DefaultStay}, Pools: map[string]pool.Pool{},
		Waves: map[string]maintenance.Wave{}, States: map[string]vm.State{}, Sights: map[string]maintenance.Sight{},
		Demand: map[string]int{}, Expected: map[string]int{},
	}
	add := func(name string, n int) {
		p := pool.Pool{Name: name, MaxDown: 1, Spare: name == bufferSpare}
		for i := range n {
			v := vm.VM{Name: fmt.Sprintf("%s-%02d", name, i), Rack: fmt.Sprintf("r%d", i/4), Pool: name, Home: name, Slots: bufferSlots}
			p.VMs = append(p.VMs, v)
			s.Sights[v.Name] = maintenance.Sight{Live: true, Answers: true, Boot: "1"}
		}
		s.Pools[name] = p
	}
	for i := range bufferPools {
		add(fmt.Sprintf("pool-%d", i), bufferBase)
	}
	add(bufferSpare, spare)
	return s
}

// needed is the VMs that the demand of all pools takes.
func (f *fortnight) needed(minute int) int {
	n := 0
	for i := range bufferPools {
		d := f.demand(fmt.Sprintf("pool-%d", i), minute)
		n += int(math.Ceil(float64(d) / (bufferFull * bufferSlots)))
	}
	return n
}

// lendingRun is what a policy came to.
type lendingRun struct {
	short int
	moves int
}

// run counts the pool-minutes in which a pool was asked for more slots than it had, and the moves, after some days of learning.
func (f *fortnight) run(spare int, forecasting bool) lendingRun {
	s := bufferFleet(spare)
	p := forecast.New()
	start := time.Date(2026, 12, 4, 0, 0, 0, 0, time.UTC)
	averages := map[string]float64{}
	var x lendingRun
	for m := range bufferDays * 24 * 60 {
		now := start.Add(time.Duration(m) * bufferTick)
		counted := m >= bufferLearn*24*60
		for n, q := range s.Pools {
			if n == bufferSpare {
				continue
			}
			d := f.demand(n, m)
			averages[n] += bufferMemory * (float64(d) - averages[n])
			s.Demand[n] = int(averages[n] + 0.5)
			p.Observe(now, n, d)
			if forecasting {
				s.Expected[n] = p.Peak(now, n, bufferAhead)
			}
			if counted && d > len(q.VMs)*bufferSlots {
				x.short++
			}
		}
		x.moves += relocateAll(&s, maintenance.Decide(now, s), counted)
	}
	return x
}

// relocateAll records actions as the store would, and counts the moves.
func relocateAll(s *maintenance.Site, l []maintenance.Action, counted bool) int {
	n := 0
	for _, a := range l {
		if a.VM == "" || a.State.Moved.IsZero() {
			continue
		}
		s.States[a.VM] = a.State
		rehome(s, a)
		if counted {
			n++
		}
	}
	return n
}

// rehome puts a VM that was moved under its new pool, as reading the record back does.
func rehome(s *maintenance.Site, a maintenance.Action) {
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
func (f *fortnight) least() (int, lendingRun) {
	for n := 1; n < bufferMost; n++ {
		if x := f.run(n, true); x.short == 0 {
			return n, x
		}
	}
	return bufferMost, lendingRun{}
}

func buffer(_ context.Context, e Options, r *Report) error {
	f := newFortnight(e.Seed)
	fixed := bufferPools * int(math.Ceil(68/(bufferFull*bufferSlots)))
	spareForecast, byForecast := f.least()
	byNeed := f.run(spareForecast, false)
	days := float64(bufferDays - bufferLearn)
	needed := 0
	for m := bufferLearn * 24 * 60; m < bufferDays*24*60; m++ {
		needed += f.needed(m)
	}
	used := float64(needed) / 60
	hours := func(vms int) float64 { return float64(vms)*24*days - used }
	shared := bufferPools*bufferBase + spareForecast
	r.figure("fixedVms", fixed)
	r.figure("sharedVms", shared)
	r.figure("fixedBufferVmHours", round(hours(fixed)))
	r.figure("sharedBufferVmHours", round(hours(shared)))
	r.figure("needShortMinutes", byNeed.short)
	r.figure("forecastShortMinutes", byForecast.short)
	r.figure("needMovesPerDay", round(float64(byNeed.moves)/days))
	r.figure("forecastMovesPerDay", round(float64(byForecast.moves)/days))
	r.target(hours(shared) <= bufferLess*hours(fixed), "the shared buffer is %.2f of the fixed one", hours(shared)/hours(fixed))
	r.target(float64(byForecast.moves) <= movesLess*float64(byNeed.moves), "%d moves by forecast, %d by need", byForecast.moves, byNeed.moves)
	r.target(byForecast.short == 0, "pools were short for %d minutes", byForecast.short)
	return nil
}
