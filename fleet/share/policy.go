package share

import (
	"fmt"
	"sort"
	"strings"

	"github.com/gravitational/trace"

	"github.com/tarragonbank/tarragonbank/fleet/vm"
)

// Entry is one entry that wants slots of a pool.
type Entry struct {
	Name       string
	DataCentre string
	Demand     int
}

// Grant is how many slots of each VM one entry may use, by the VM's name.
type Grant map[string]int

// Slots is the number of slots in the grant.
func (g Grant) Slots() int {
	n := 0
	for _, s := range g {
		n += s
	}
	return n
}

// Allocation is one entry's part of a pool.
type Allocation struct {
	// Own are the slots that are the entry's.
	Own Grant
	// MayBorrow says that the entry may also try slots that are another's, which are likely to be free.
	MayBorrow bool
}

// Policy divides the slots of VMs among entries.
type Policy interface {
	Allocate(self string, l []Entry, vms []vm.VM) Allocation
}

// PolicyFunc is a Policy made of a function.
type PolicyFunc func(self string, l []Entry, vms []vm.VM) Allocation

// Allocate calls the function.
func (f PolicyFunc) Allocate(self string, l []Entry, vms []vm.VM) Allocation {
	return f(self, l, vms)
}

// own makes a policy of a function that gives an entry its own slots and lends none.
func own(f func(self string, l []Entry, vms []vm.VM) Grant) Policy {
	return PolicyFunc(func(self string, l []Entry, vms []vm.VM) Allocation {
		return Allocation{Own: f(self, l, vms)}
	})
}

// lendUpTo is the demand, in parts of the slots, up to which slots are lent; published demand errs upwards.
const lendUpTo = 1.2

// lending wraps a policy and lends slots while the entries together do not ask for more than there are.
func lending(p Policy) Policy {
	return PolicyFunc(func(self string, l []Entry, vms []vm.VM) Allocation {
		d := p.Allocate(self, l, vms)
		d.MayBorrow = float64(demand(l)) < lendUpTo*float64(slots(vms))
		return d
	})
}

func demand(l []Entry) int {
	n := 0
	for _, e := range l {
		n += e.Demand
	}
	return n
}

func slots(l []vm.VM) int {
	n := 0
	for _, v := range l {
		n += v.Slots
	}
	return n
}

// UnknownPolicyError reports a policy name that is not registered.
type UnknownPolicyError struct {
	Name     string
	Expected string
}

// Error describes the failure in one line.
func (e *UnknownPolicyError) Error() string {
	return fmt.Sprintf("unknown share policy %q, expected one of %s", e.Name, e.Expected)
}

var policies = map[string]Policy{
	"demand":  own(byDemand),
	"fixed":   own(fixed),
	"lending": lending(own(byDemand)),
	"none":    own(none),
}

// GetPolicy finds a policy by name; it fails with an UnknownPolicyError.
func GetPolicy(name string) (Policy, error) {
	if p, ok := policies[name]; ok {
		return p, nil
	}
	return nil, trace.Wrap(&UnknownPolicyError{Name: name, Expected: strings.Join(PolicyNames(), ", ")})
}

// PolicyNames lists the registered policies, sorted.
func PolicyNames() []string {
	l := make([]string, 0, len(policies))
	for n := range policies {
		l = append(l, n)
	}
	sort.Strings(l)
	return l
}
