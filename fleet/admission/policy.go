package admission

import (
	"fmt"
	"sort"
	"strings"

	"github.com/gravitational/trace"
)

// Policy decides from a forecast whether a request is taken.
type Policy interface {
	Admit(f Prediction) bool
}

// PolicyFunc is a Policy made of a function.
type PolicyFunc func(f Prediction) bool

// Admit calls the function.
func (x PolicyFunc) Admit(f Prediction) bool {
	return x(f)
}

// UnknownPolicyError reports a policy name that is not registered.
type UnknownPolicyError struct {
	Name     string
	Expected string
}

// Error describes the failure in one line.
func (e *UnknownPolicyError) Error() string {
	return fmt.Sprintf("unknown admission policy %q, expected one of %s", e.Name, e.Expected)
}

var policies = map[string]Policy{
	"deadline": PolicyFunc(Prediction.MeetsDeadline),
	"open":     PolicyFunc(func(Prediction) bool { return true }),
}

// GetPolicy finds a policy by name; it fails with an UnknownPolicyError.
func GetPolicy(name string) (Policy, error) {
	if p, ok := policies[name]; ok {
		return p, nil
	}
	l := make([]string, 0, len(policies))
	for n := range policies {
		l = append(l, n)
	}
	sort.Strings(l)
	return nil, trace.Wrap(&UnknownPolicyError{Name: name, Expected: strings.Join(l, ", ")})
}
