package suite

import (
	"testing"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"
)

// Seed orders the specs of every run in the same way.
const Seed = 1

// Run runs all specs registered in the calling test binary.
func Run(t *testing.T, name string) {
	t.Helper()
	gomega.RegisterFailHandler(ginkgo.Fail)
	s, r := ginkgo.GinkgoConfiguration()
	s.RandomSeed = Seed
	ginkgo.RunSpecs(t, name, s, r)
}
