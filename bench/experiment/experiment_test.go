package experiment_test

import (
	"context"
	"os/exec"
	"path/filepath"
	"testing"
	"time"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"github.com/tarragonbank/tarragonbank/bench/experiment"
	"github.com/tarragonbank/tarragonbank/fleet/suite"
)

func TestExperiment(t *testing.T) {
	suite.Run(t, "experiment")
}

const (
	// shortScale is the DurationScale of the tests.
	shortScale = 0.25
	// runTimeout bounds one experiment.
	runTimeout = 2 * time.Minute
)

var binaries string

var _ = ginkgo.BeforeSuite(func() {
	binaries = ginkgo.GinkgoT().TempDir()
	out, err := exec.Command("go", "build", "-o", binaries+"/", "../../entry/cmd/tarragond", "../../ctl/cmd/tarragonctl",
		"../../platform/cmd/tarragonjobs").CombinedOutput()
	gomega.Expect(err).NotTo(gomega.HaveOccurred(), string(out))
})

// Runs the experiments shortened, with real processes, and checks only the invariants, because targets for latency and
// throughput do not hold in short runs on busy machines.
var _ = ginkgo.DescribeTable("the invariants hold with",
	func(name string) {
		ctx, stop := context.WithTimeout(context.Background(), runTimeout)
		defer stop()
		r, err := experiment.Run(ctx, name, experiment.Options{
			BinDir: binaries, DeployDir: filepath.Join("..", "..", "deploy", "horncraft"),
			OutDir: filepath.Join(ginkgo.GinkgoT().TempDir(), "site"), Seed: 1, DurationScale: shortScale, SkipTargets: true,
		})
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		gomega.Expect(r.Violations()).To(gomega.BeEmpty())
	},
	ginkgo.Entry("a configuration change and a replaced entry under load", "demo"),
	ginkgo.Entry("faulty backend servers", "badservers"),
	ginkgo.Entry("idempotency keys sent twice", "once"),
	ginkgo.Entry("leaving backend servers", "leaving"),
	ginkgo.Entry("connections that stop carrying data", "silent"),
	ginkgo.Entry("callers that cancel", "cancel"),
	ginkgo.Entry("network partitions of a data centre", "partition"),
	ginkgo.Entry("all entries restarted at once", "coldstart"),
	ginkgo.Entry("concurrent configuration changes", "race"),
	ginkgo.Entry("entries killed and paused at random", "churn"),
	ginkgo.Entry("jobs that lose their owner", "jobs"),
	ginkgo.Entry("workspaces whose keys change", "workspaces"),
)

var _ = ginkgo.Describe("Run", func() {
	ginkgo.It("fails for an unknown experiment", func() {
		_, err := experiment.Run(context.Background(), "none", experiment.Options{})
		gomega.Expect(err).To(gomega.MatchError(gomega.ContainSubstring(`unknown experiment "none", see tarragonbench list`)))
	})
})
