package maintenance

import (
	"fmt"
	"time"

	"github.com/tarragonbank/tarragonbank/fleet/vm"
)

// Action is one decision: a VM's next state, or a pool's next wave, and why.
type Action struct {
	VM        string
	VMState   vm.State
	Pool      string
	PoolState PoolState
	Reason    string
}

// Reboot says that the VM is to be rebooted once the action is recorded.
func (a Action) Reboot() bool {
	return a.VM != "" && a.VMState.Phase == vm.Rebooting
}

// BudgetExceededError reports an action that would take a pool below its budget.
type BudgetExceededError struct {
	Pool    string
	VM      string
	Down    int
	MaxDown int
}

// Error describes the failure in one line.
func (e *BudgetExceededError) Error() string {
	return fmt.Sprintf("taking %s down would leave %d VMs of pool %s down, at most %d are allowed", e.VM, e.Down, e.Pool, e.MaxDown)
}

// decider collects actions and applies each to the site, so that later ones see it.
type decider struct {
	*FleetState
	now     time.Time
	actions []Action
}

// setVMState records a VM's next state. It panics where the action would overdraw the pool's budget.
func (d *decider) setVMState(name string, next vm.State, reason string, a ...any) {
	before := d.VMStates[name]
	if next.Phase != before.Phase {
		next.Since = d.now
	}
	next.Reason = fmt.Sprintf(reason, a...)
	p := d.poolOf(name)
	wasDown := d.IsDown(name)
	d.VMStates[name] = next
	if !wasDown && d.IsDown(name) && !d.Pools[p].WithinBudget(d.IsDown) {
		panic((&BudgetExceededError{Pool: p, VM: name, Down: d.Down(p), MaxDown: d.Pools[p].MaxDown}).Error())
	}
	d.actions = append(d.actions, Action{VM: name, VMState: next, Reason: next.Reason})
}

func (d *decider) setPoolState(p string, w PoolState, reason string) {
	d.PoolStates[p] = w
	d.actions = append(d.actions, Action{Pool: p, PoolState: w, Reason: reason})
}

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
