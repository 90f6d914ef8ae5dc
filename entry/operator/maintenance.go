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
	maxRecordAttempts = 5
	// operatorHaltDuration is effectively without end: a wave that an operator halts stays halted until it is resumed.
	operatorHaltDuration = 100 * 365 * 24 * time.Hour
)

// VMView describes the placement and the maintenance phase of a VM. Pool is the pool that the VM currently serves, Home the
// one that the inventory assigns; Since is when the phase began.
type VMView struct {
	Name         string    `json:"name"`
	Pool         string    `json:"pool"`
	Home         string    `json:"home"`
	DataCentre   string    `json:"dataCentre"`
	Rack         string    `json:"rack"`
	Phase        string    `json:"phase"`
	Since        time.Time `json:"since"`
	MovedAt      time.Time `json:"moved"`
	MaintainedAt time.Time `json:"maintained"`
	Reason       string    `json:"reason"`
}

func (s *Server) vms(w http.ResponseWriter, _ *http.Request) {
	l := []VMView{}
	c := s.active.Current()
	if c == nil {
		writeJSON(w, http.StatusOK, l)
		return
	}
	for _, n := range slices.Sorted(maps.Keys(c.VMs)) {
		l = append(l, vmView(c, n))
	}
	writeJSON(w, http.StatusOK, l)
}

func vmView(c *config.Snapshot, n string) VMView {
	v, x := c.VMs[n], c.VMStates[n]
	return VMView{
		Name: n, Pool: v.Pool, Home: v.HomePool, DataCentre: v.DataCentre, Rack: v.Rack, Phase: x.Phase.String(),
		Since: x.Since, MovedAt: x.MovedAt, MaintainedAt: x.MaintainedAt, Reason: x.Reason,
	}
}

// VMExplanation adds to a VMView what this entry observes of the VM and why maintenance of its pool waits.
type VMExplanation struct {
	VMView
	// Observed describes the VM's condition according to the platform's list and this entry's requests.
	Observed string `json:"seen"`
	// WaitReason is why maintenance of the VM's pool waits, or empty if it does not.
	WaitReason string `json:"waits"`
}

func (s *Server) explainVM(w http.ResponseWriter, r *http.Request) {
	c, n := s.active.Current(), r.PathValue("vm")
	if c == nil || c.VMs[n].Name == "" {
		writeError(w, trace.Wrap(&InvalidActionError{Verb: "explain", Name: n}))
		return
	}
	state := s.entry.FleetState(c)
	x := VMExplanation{VMView: vmView(c, n), Observed: describeObservation(state.Observations[n]), WaitReason: maintenance.Explain(time.Now(), state, c.VMs[n].Pool)}
	writeJSON(w, http.StatusOK, x)
}

// describeObservation returns an observation in words.
func describeObservation(s maintenance.Observation) string {
	switch {
	case s.Healthy():
		return "listed as running, and requests are answered"
	case s.Running:
		return "listed as running, but this entry finds it unwell"
	default:
		return "not listed as running, which counts as down"
	}
}

// WaveView describes the progress of a pool's rolling maintenance. Phases counts the pool's VMs by phase, Width is how many
// VMs may be maintained at once, and OldestMaintenance is the earliest time of a VM's last maintenance.
type WaveView struct {
	Pool              string         `json:"pool"`
	VMs               int            `json:"vms"`
	MaxDown           int            `json:"maxDown"`
	Width             int            `json:"width"`
	Phases            map[string]int `json:"phases"`
	OldestMaintenance time.Time      `json:"oldest"`
	WaitReason        string         `json:"waits"`
	// DueNow is the number of VMs due for maintenance; NextDue is when the next VM becomes due.
	DueNow  int       `json:"due"`
	NextDue time.Time `json:"next"`
}

func (s *Server) waves(w http.ResponseWriter, _ *http.Request) {
	l := []WaveView{}
	c := s.active.Current()
	if c == nil {
		writeJSON(w, http.StatusOK, l)
		return
	}
	state := s.entry.FleetState(c)
	for _, n := range slices.Sorted(maps.Keys(c.Pools)) {
		p := c.Pools[n]
		v := WaveView{Pool: n, VMs: len(p.VMs), MaxDown: p.MaxDown, Width: max(c.PoolStates[n].Width, 1), Phases: map[string]int{}}
		for _, x := range p.VMs {
			y := c.VMStates[x.Name]
			v.Phases[y.Phase.String()]++
			if v.OldestMaintenance.IsZero() || y.MaintainedAt.Before(v.OldestMaintenance) {
				v.OldestMaintenance = y.MaintainedAt
			}
		}
		now := time.Now()
		v.WaitReason = maintenance.Explain(now, state, n)
		v.DueNow, v.NextDue = maintenance.Schedule(now, state, n)
		l = append(l, v)
	}
	writeJSON(w, http.StatusOK, l)
}

// InvalidActionError reports an unknown action, an action that the VM's phase doesn't permit, or an unknown pool or VM.
// Name is the pool or VM.
type InvalidActionError struct {
	Verb string
	Name string
}

// Error describes the failure in one line.
func (e *InvalidActionError) Error() string {
	return fmt.Sprintf("%q cannot be done to %q", e.Verb, e.Name)
}

// BudgetError reports that draining a VM would exceed its pool's disruption budget. Down is the number of VMs already
// down, MaxDown the number allowed.
type BudgetError struct {
	VM      string
	Pool    string
	Down    int
	MaxDown int
}

// Error describes the failure in one line.
func (e *BudgetError) Error() string {
	return fmt.Sprintf("%s cannot be taken down: %d VMs of pool %s are, at most %d may be", e.VM, e.Down, e.Pool, e.MaxDown)
}

// controlWave pauses, resumes or halts the rolling maintenance of a pool.
func (s *Server) controlWave(w http.ResponseWriter, r *http.Request) {
	n, verb := r.PathValue("pool"), r.PathValue("verb")
	s.recordAction(w, r, func(c *config.Snapshot) (maintenance.Action, error) {
		x := c.PoolStates[n]
		switch {
		case c.Pools[n].Name == "":
			return maintenance.Action{}, trace.Wrap(&InvalidActionError{Verb: verb, Name: n})
		case verb == "pause":
			x.Paused = true
		case verb == "resume":
			x = maintenance.PoolState{Width: 1}
		case verb == "halt":
			x.HaltedUntil = time.Now().Add(operatorHaltDuration)
			x.Reason = "an operator halted the wave"
		default:
			return maintenance.Action{}, trace.Wrap(&InvalidActionError{Verb: verb, Name: n})
		}
		return maintenance.Action{Pool: n, PoolState: x}, nil
	})
}

// controlVM drains a VM within its pool's disruption budget, or returns a VM that an operator drained to service.
func (s *Server) controlVM(w http.ResponseWriter, r *http.Request) {
	n, verb := r.PathValue("vm"), r.PathValue("verb")
	s.recordAction(w, r, func(c *config.Snapshot) (maintenance.Action, error) {
		v, x := c.VMs[n], c.VMStates[n]
		state := s.entry.FleetState(c)
		switch {
		case v.Name == "":
			return maintenance.Action{}, trace.Wrap(&InvalidActionError{Verb: verb, Name: n})
		case verb == "drain" && x.Phase == vm.InService:
			p := c.Pools[v.Pool]
			down := func(x string) bool { return x == n || state.IsDown(x) }
			if !p.WithinBudget(down) {
				return maintenance.Action{}, trace.Wrap(&BudgetError{VM: n, Pool: v.Pool, Down: state.Down(v.Pool), MaxDown: p.MaxDown})
			}
			x.Phase = vm.Held
		case verb == "undrain" && x.Phase == vm.Held:
			x.Phase = vm.InService
		default:
			return maintenance.Action{}, trace.Wrap(&InvalidActionError{Verb: verb, Name: n})
		}
		x.Since = time.Now()
		x.Reason = "an operator asked to " + verb + " it"
		return maintenance.Action{VM: n, VMState: x}, nil
	})
}

// recordAction publishes an operator's action. If another change was accepted first, it computes the action again from the
// new configuration.
func (s *Server) recordAction(w http.ResponseWriter, r *http.Request, f func(*config.Snapshot) (maintenance.Action, error)) {
	var err error
	for range maxRecordAttempts {
		c := s.active.Current()
		if c == nil {
			err = trace.Wrap(&NoConfigurationError{})
			break
		}
		var a maintenance.Action
		if a, err = f(c); err != nil {
			break
		}
		if err = s.publisher.Record(r.Context(), c, []maintenance.Action{a}, "operator"); err == nil {
			writeJSON(w, http.StatusOK, map[string]uint64{"revision": s.active.Current().Revision()})
			return
		}
		var stale *StaleBaseError
		if !errors.As(err, &stale) {
			break
		}
		time.Sleep(retryInterval)
	}
	writeError(w, trace.Wrap(err))
}

// Record publishes maintenance actions that were decided under configuration c. It fails with a StaleBaseError if c is no
// longer the active configuration, and otherwise as Publish does.
func (p *Publisher) Record(ctx context.Context, c *config.Snapshot, l []maintenance.Action, author string) error {
	s, err := c.ApplyActions(l)
	if err != nil {
		return err
	}
	_, err = p.Publish(ctx, Change{Base: c.Revision(), Author: author, Mark: NewMark(), Sections: s, FromController: true})
	return err
}
