package suite

import (
	"testing"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"
)

// Seed is the fixed Ginkgo seed, which gives every run the same spec order.
const Seed = 1

// Run runs all specs registered in the calling test binary and reports them under the given name.
func Run(t *testing.T, name string) {
	t.Helper()
	gomega.RegisterFailHandler(ginkgo.Fail)
	s, r := ginkgo.GinkgoConfiguration()
	s.RandomSeed = Seed
	ginkgo.RunSpecs(t, name, s, r)
}
