package admission

import (
	"fmt"
	"sort"
	"strings"

	"github.com/gravitational/trace"
)

// Policy decides from a prediction whether a request is admitted.
type Policy interface {
	Admit(f Prediction) bool
}

// PolicyFunc adapts a function to a Policy.
type PolicyFunc func(f Prediction) bool

// Admit calls x(f).
func (x PolicyFunc) Admit(f Prediction) bool {
	return x(f)
}

// UnknownPolicyError reports a policy name that is not registered.
type UnknownPolicyError struct {
	Name     string
	Expected string
}

// Error names the unknown policy and the registered ones.
func (e *UnknownPolicyError) Error() string {
	return fmt.Sprintf("unknown admission policy %q, expected one of %s", e.Name, e.Expected)
}

var policies = map[string]Policy{
	"deadline": PolicyFunc(Prediction.MeetsDeadline),
	"open":     PolicyFunc(func(Prediction) bool { return true }),
}

// GetPolicy returns the policy with the name, or an UnknownPolicyError.
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
