package maintenance

import (
	"fmt"
	"time"

	"github.com/tarragonbank/tarragonbank/fleet/vm"
)

// Action is one decision with its reason: the next state of a VM if VM is set, otherwise that of a pool's rolling
// maintenance.
type Action struct {
	VM        string
	VMState   vm.State
	Pool      string
	PoolState PoolState
	Reason    string
}

// RequiresReboot reports whether the VM has to be rebooted once the action is recorded.
func (a Action) RequiresReboot() bool {
	return a.VM != "" && a.VMState.Phase == vm.Rebooting
}

// BudgetExceededError reports an action that would take more VMs of a pool down than its budget permits.
type BudgetExceededError struct {
	Pool    string
	VM      string
	Down    int
	MaxDown int
}

// Error implements error.
func (e *BudgetExceededError) Error() string {
	return fmt.Sprintf("taking %s down would leave %d VMs of pool %s down, at most %d are allowed", e.VM, e.Down, e.Pool, e.MaxDown)
}

// decider collects actions and applies each one to its copy of the fleet's state, so that later decisions take it
// into account.
type decider struct {
	*FleetState
	now     time.Time
	actions []Action
}

// setVMState records a VM's next state. It panics if the action would exceed the pool's budget; callers must check the
// budget first.
func (d *decider) setVMState(name string, next vm.State, format string, a ...any) {
	before := d.VMStates[name]
	if next.Phase != before.Phase {
		next.Since = d.now
	}
	next.Reason = fmt.Sprintf(format, a...)
	p := d.poolOf(name)
	wasDown := d.IsDown(name)
	d.VMStates[name] = next
	if !wasDown && d.IsDown(name) && !d.Pools[p].WithinBudget(d.IsDown) {
		panic((&BudgetExceededError{Pool: p, VM: name, Down: d.Down(p), MaxDown: d.Pools[p].MaxDown}).Error())
	}
	d.actions = append(d.actions, Action{VM: name, VMState: next, Reason: next.Reason})
}

// setPoolState records the next state of a pool's rolling maintenance.
func (d *decider) setPoolState(p string, s PoolState, reason string) {
	d.PoolStates[p] = s
	d.actions = append(d.actions, Action{Pool: p, PoolState: s, Reason: reason})
}

// poolOf returns the name of the pool that the VM currently serves, or an empty string.
func (d *decider) poolOf(name string) string {
	for n, p := range d.Pools {
		for _, v := range p.VMs {
			if v.Name == name {
				return n
			}
		}
	}
	return ""
}
