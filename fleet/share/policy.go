package share

import (
	"fmt"
	"sort"
	"strings"

	"github.com/gravitational/trace"

	"github.com/tarragonbank/tarragonbank/fleet/vm"
)

// Entry is an entry and its demand for slots of a pool.
type Entry struct {
	Name       string
	DataCentre string
	// Demand is in slots.
	Demand int
}

// Grant maps the name of a VM to the number of its slots that an entry may use.
type Grant map[string]int

// Slots returns the total number of slots.
func (g Grant) Slots() int {
	n := 0
	for _, s := range g {
		n += s
	}
	return n
}

// Allocation is the part of a pool that one entry may use.
type Allocation struct {
	// Own are the slots granted to the entry.
	Own Grant
	// MayBorrow reports whether the entry may also use slots granted to other entries, which are likely to be free.
	MayBorrow bool
}

// Policy divides the slots of VMs among entries.
type Policy interface {
	Allocate(self string, l []Entry, vms []vm.VM) Allocation
}

// PolicyFunc adapts a function to a Policy.
type PolicyFunc func(self string, l []Entry, vms []vm.VM) Allocation

// Allocate calls f(self, l, vms).
func (f PolicyFunc) Allocate(self string, l []Entry, vms []vm.VM) Allocation {
	return f(self, l, vms)
}

// exclusive returns a policy without borrowing.
func exclusive(f func(self string, l []Entry, vms []vm.VM) Grant) Policy {
	return PolicyFunc(func(self string, l []Entry, vms []vm.VM) Allocation {
		return Allocation{Own: f(self, l, vms)}
	})
}

// maxLendingDemand is the ratio of total demand to slots up to which entries may borrow;
// it is above 1 because published demand is an overestimate.
const maxLendingDemand = 1.2

// lending extends a policy by borrowing while the ratio of total demand to slots is below maxLendingDemand.
func lending(p Policy) Policy {
	return PolicyFunc(func(self string, l []Entry, vms []vm.VM) Allocation {
		a := p.Allocate(self, l, vms)
		a.MayBorrow = float64(totalDemand(l)) < maxLendingDemand*float64(totalSlots(vms))
		return a
	})
}

func totalDemand(l []Entry) int {
	n := 0
	for _, e := range l {
		n += e.Demand
	}
	return n
}

func totalSlots(l []vm.VM) int {
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

// Error names the unknown policy and the registered ones.
func (e *UnknownPolicyError) Error() string {
	return fmt.Sprintf("unknown share policy %q, expected one of %s", e.Name, e.Expected)
}

var policies = map[string]Policy{
	"demand":  exclusive(byDemand),
	"fixed":   exclusive(fixed),
	"lending": lending(exclusive(byDemand)),
	"none":    exclusive(none),
}

// GetPolicy returns the policy with the name, or an UnknownPolicyError.
func GetPolicy(name string) (Policy, error) {
	if p, ok := policies[name]; ok {
		return p, nil
	}
	return nil, trace.Wrap(&UnknownPolicyError{Name: name, Expected: strings.Join(PolicyNames(), ", ")})
}

// PolicyNames returns the sorted names of the registered policies.
func PolicyNames() []string {
	l := make([]string, 0, len(policies))
	for n := range policies {
		l = append(l, n)
	}
	sort.Strings(l)
	return l
}
