package operator

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"net/http"
	"slices"
	"time"

	"github.com/gravitational/trace"

	"github.com/tarragonbank/tarragonbank/fleet/config"
	"github.com/tarragonbank/tarragonbank/fleet/maintenance"
	"github.com/tarragonbank/tarragonbank/fleet/vm"
)

const (
	steerTries   = 5
	operatorHalt = 100 * 365 * 24 * time.Hour
)

// VMView is where one VM is and since when.
type VMView struct {
	Name       string    `json:"name"`
	Pool       string    `json:"pool"`
	Home       string    `json:"home"`
	DataCentre string    `json:"dataCentre"`
	Rack       string    `json:"rack"`
	Phase      string    `json:"phase"`
	Since      time.Time `json:"since"`
	Moved      time.Time `json:"moved"`
	Maintained time.Time `json:"maintained"`
	Reason     string    `json:"reason"`
}

func (s *Server) vms(w http.ResponseWriter, _ *http.Request) {
	l := []VMView{}
	c := s.view.Current()
	if c == nil {
		reply(w, http.StatusOK, l)
		return
	}
	for _, n := range slices.Sorted(maps.Keys(c.VMs)) {
		l = append(l, vmView(c, n))
	}
	reply(w, http.StatusOK, l)
}

func vmView(c *config.Snapshot, n string) VMView {
	v, x := c.VMs[n], c.VMStates[n]
	return VMView{
		Name: n, Pool: v.Pool, Home: v.HomePool, DataCentre: v.DataCentre, Rack: v.Rack, Phase: x.Phase.String(),
		Since: x.Since, Moved: x.MovedAt, Maintained: x.MaintainedAt, Reason: x.Reason,
	}
}

// Explanation is why a VM is where it is, and whether this entry uses it.
type Explanation struct {
	VMView
	// Seen says what the platform's list and requests show of the VM.
	Seen string `json:"seen"`
	// Waits is why its pool's maintenance waits, empty where it does not.
	Waits string `json:"waits"`
}

func (s *Server) explain(w http.ResponseWriter, r *http.Request) {
	c, n := s.view.Current(), r.PathValue("vm")
	if c == nil || c.VMs[n].Name == "" {
		refuse(w, trace.Wrap(&VerbError{Verb: "explain", Name: n}))
		return
	}
	site := s.entry.Site(c)
	x := Explanation{VMView: vmView(c, n), Seen: seen(site.Observations[n]), Waits: maintenance.Explain(time.Now(), site, c.VMs[n].Pool)}
	reply(w, http.StatusOK, x)
}

func seen(s maintenance.Observation) string {
	switch {
	case s.Healthy():
		return "listed as running, and requests are answered"
	case s.Running:
		return "listed as running, but this entry finds it unwell"
	default:
		return "not listed as running, which counts as down"
	}
}

// WaveView is how far a pool's maintenance has come.
type WaveView struct {
	Pool    string         `json:"pool"`
	VMs     int            `json:"vms"`
	MaxDown int            `json:"maxDown"`
	Width   int            `json:"width"`
	Phases  map[string]int `json:"phases"`
	Oldest  time.Time      `json:"oldest"`
	Waits   string         `json:"waits"`
	// Due is how many VMs are due now, Next when the next one is.
	Due  int       `json:"due"`
	Next time.Time `json:"next"`
}

func (s *Server) waves(w http.ResponseWriter, _ *http.Request) {
	l := []WaveView{}
	c := s.view.Current()
	if c == nil {
		reply(w, http.StatusOK, l)
		return
	}
	site := s.entry.Site(c)
	for _, n := range slices.Sorted(maps.Keys(c.Pools)) {
		p := c.Pools[n]
		v := WaveView{Pool: n, VMs: len(p.VMs), MaxDown: p.MaxDown, Width: max(c.Waves[n].Width, 1), Phases: map[string]int{}}
		for _, x := range p.VMs {
			y := c.VMStates[x.Name]
			v.Phases[y.Phase.String()]++
			if v.Oldest.IsZero() || y.MaintainedAt.Before(v.Oldest) {
				v.Oldest = y.MaintainedAt
			}
		}
		now := time.Now()
		v.Waits = maintenance.Explain(now, site, n)
		v.Due, v.Next = maintenance.Schedule(now, site, n)
		l = append(l, v)
	}
	reply(w, http.StatusOK, l)
}

// VerbError reports a word that is nothing to be done to a pool or VM, or a pool or VM that there is not.
type VerbError struct {
	Verb string
	Name string
}

// Error describes the failure in one line.
func (e *VerbError) Error() string {
	return fmt.Sprintf("%q cannot be done to %q", e.Verb, e.Name)
}

// BudgetError reports a VM that cannot be taken down within its pool's budget.
type BudgetError struct {
	VM   string
	Pool string
	Down int
	Most int
}

// Error describes the failure in one line.
func (e *BudgetError) Error() string {
	return fmt.Sprintf("%s cannot be taken down: %d VMs of pool %s are, at most %d may be", e.VM, e.Down, e.Pool, e.Most)
}

// steer pauses, resumes or halts a pool's wave.
func (s *Server) steer(w http.ResponseWriter, r *http.Request) {
	n, verb := r.PathValue("pool"), r.PathValue("verb")
	s.record(w, r, func(c *config.Snapshot) (maintenance.Action, error) {
		x := c.Waves[n]
		switch {
		case c.Pools[n].Name == "":
			return maintenance.Action{}, trace.Wrap(&VerbError{Verb: verb, Name: n})
		case verb == "pause":
			x.Paused = true
		case verb == "resume":
			x = maintenance.PoolState{Width: 1}
		case verb == "halt":
			x.HaltedUntil = time.Now().Add(operatorHalt)
			x.Reason = "an operator halted the wave"
		default:
			return maintenance.Action{}, trace.Wrap(&VerbError{Verb: verb, Name: n})
		}
		return maintenance.Action{Pool: n, PoolState: x}, nil
	})
}

// hold drains a VM for an operator, within the budget, or gives it back.
func (s *Server) hold(w http.ResponseWriter, r *http.Request) {
	n, verb := r.PathValue("vm"), r.PathValue("verb")
	s.record(w, r, func(c *config.Snapshot) (maintenance.Action, error) {
		v, x := c.VMs[n], c.VMStates[n]
		site := s.entry.Site(c)
		switch {
		case v.Name == "":
			return maintenance.Action{}, trace.Wrap(&VerbError{Verb: verb, Name: n})
		case verb == "drain" && x.Phase == vm.InService:
			p := c.Pools[v.Pool]
			down := func(x string) bool { return x == n || site.IsDown(x) }
			if !p.WithinBudget(down) {
				return maintenance.Action{}, trace.Wrap(&BudgetError{VM: n, Pool: v.Pool, Down: site.Down(v.Pool), Most: p.MaxDown})
			}
			x.Phase = vm.Held
		case verb == "undrain" && x.Phase == vm.Held:
			x.Phase = vm.InService
		default:
			return maintenance.Action{}, trace.Wrap(&VerbError{Verb: verb, Name: n})
		}
		x.Since = time.Now()
		x.Reason = "an operator asked to " + verb + " it"
		return maintenance.Action{VM: n, VMState: x}, nil
	})
}

// record has an action accepted, worked out anew while others are faster.
func (s *Server) record(w http.ResponseWriter, r *http.Request, f func(*config.Snapshot) (maintenance.Action, error)) {
	var err error
	for range steerTries {
		c := s.view.Current()
		if c == nil {
			break
		}
		var a maintenance.Action
		if a, err = f(c); err != nil {
			break
		}
		if err = s.publisher.Record(r.Context(), c, []maintenance.Action{a}, "operator"); err == nil {
			reply(w, http.StatusOK, map[string]uint64{"revision": s.view.Current().Revision()})
			return
		}
		var base *BaseError
		if !errors.As(err, &base) {
			break
		}
		time.Sleep(settlePause)
	}
	refuse(w, trace.Wrap(err))
}

// Record has the store accept the controller's actions, if the configuration they rest on is still in force.
func (p *Publisher) Record(ctx context.Context, c *config.Snapshot, l []maintenance.Action, author string) error {
	s, err := c.ApplyActions(l)
	if err != nil {
		return err
	}
	_, err = p.Publish(ctx, Change{Base: c.Revision(), Author: author, Mark: NewMark(), Sections: s, Stateful: true})
	return err
}
