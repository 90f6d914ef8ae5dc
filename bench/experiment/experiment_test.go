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
	shortLength = 0.25
	limit       = 2 * time.Minute
)

var binaries string

var _ = ginkgo.BeforeSuite(func() {
	binaries = ginkgo.GinkgoT().TempDir()
	out, err := exec.Command("go", "build", "-o", binaries+"/", "../../entry/cmd/tarragond", "../../ctl/cmd/tarragonctl",
		"../../platform/cmd/tarragonjobs").CombinedOutput()
	gomega.Expect(err).NotTo(gomega.HaveOccurred(), string(out))
})

// The experiments run real processes, short and without the targets of time and amount.
var _ = ginkgo.DescribeTable("what must always hold, holds in",
	func(name string) {
		ctx, stop := context.WithTimeout(context.Background(), limit)
		defer stop()
		r, err := experiment.Run(ctx, name, experiment.Options{
			BinDir: binaries, DeployDir: filepath.Join("..", "..", "deploy", "horncraft"),
			OutDir: filepath.Join(ginkgo.GinkgoT().TempDir(), "site"), Seed: 1, DurationScale: shortLength, SkipTargets: true,
		})
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		gomega.Expect(r.Violations()).To(gomega.BeEmpty())
	},
	ginkgo.Entry("a site under load that is changed", "demo"),
	ginkgo.Entry("servers that misbehave", "badservers"),
	ginkgo.Entry("keyed requests sent twice", "once"),
	ginkgo.Entry("servers that leave", "leaving"),
	ginkgo.Entry("connections that go silent", "silent"),
	ginkgo.Entry("callers that leave", "cancel"),
	ginkgo.Entry("data centres that are cut off", "partition"),
	ginkgo.Entry("entries that are replaced at once", "coldstart"),
	ginkgo.Entry("operators who race", "race"),
	ginkgo.Entry("entries that come and go", "churn"),
	ginkgo.Entry("jobs whose owner is lost", "jobs"),
)

var _ = ginkgo.Describe("Run", func() {
	ginkgo.It("names no experiment that there is not", func() {
		_, err := experiment.Run(context.Background(), "none", experiment.Options{})
		gomega.Expect(err).To(gomega.MatchError(gomega.ContainSubstring(`unknown experiment "none", see tarragonbench list`)))
	})
})
