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

// Policy divides the slots of VMs among entries.
type Policy interface {
	Divide(self string, l []Entry, vms []vm.VM) Grant
}

// PolicyFunc is a Policy made of a function.
type PolicyFunc func(self string, l []Entry, vms []vm.VM) Grant

// Divide calls the function.
func (f PolicyFunc) Divide(self string, l []Entry, vms []vm.VM) Grant {
	return f(self, l, vms)
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
	"demand": PolicyFunc(byDemand),
	"fixed":  PolicyFunc(fixed),
	"none":   PolicyFunc(none),
}

// Get finds a policy by name; it fails with an UnknownPolicyError.
func Get(name string) (Policy, error) {
	if p, ok := policies[name]; ok {
		return p, nil
	}
	return nil, trace.Wrap(&UnknownPolicyError{Name: name, Expected: strings.Join(Names(), ", ")})
}

// Names lists the registered policies, sorted.
func Names() []string {
	l := make([]string, 0, len(policies))
	for n := range policies {
		l = append(l, n)
	}
	sort.Strings(l)
	return l
}
