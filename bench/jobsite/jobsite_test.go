package jobsite_test

import (
	"context"
	"io"
	"math/rand/v2"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"testing"
	"time"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"github.com/tarragonbank/tarragonbank/bench/jobsite"
	"github.com/tarragonbank/tarragonbank/fleet/suite"
)

func TestJobsite(t *testing.T) {
	suite.Run(t, "jobsite")
}

const limit = time.Minute

func start(ctx context.Context, vmsPerPool int, changes ...func(*jobsite.Options)) *jobsite.Site {
	binaries := ginkgo.GinkgoT().TempDir()
	text, err := exec.Command("go", "build", "-o", binaries+"/", "../../platform/cmd/tarragonjobs").CombinedOutput()
	gomega.Expect(err).NotTo(gomega.HaveOccurred(), string(text))
	o := jobsite.Options{Binaries: binaries, Out: ginkgo.GinkgoT().TempDir(), Seed: 1, Entries: 2, VMsPerPool: vmsPerPool, Untimed: true}
	for _, f := range changes {
		f(&o)
	}
	s, err := jobsite.New(ctx, o)
	gomega.Expect(err).NotTo(gomega.HaveOccurred())
	ginkgo.DeferCleanup(s.Stop)
	return s
}

// documented returns the metric names in the table of the operations manual.
func documented() []string {
	b, err := os.ReadFile(filepath.Join("..", "..", "docs", "OPERATIONS.md"))
	gomega.Expect(err).NotTo(gomega.HaveOccurred())
	_, after, ok := strings.Cut(string(b), "## Metrics")
	gomega.Expect(ok).To(gomega.BeTrue())
	l := []string{}
	for _, row := range regexp.MustCompile(`(?m)^\| ([^|]*) \|`).FindAllStringSubmatch(after, -1) {
		for _, n := range regexp.MustCompile("`([a-z_]+)`").FindAllStringSubmatch(row[1], -1) {
			l = append(l, n[1])
		}
	}
	return l
}

// scraped returns the metric names that an entry exports, without the prefix tarragond_.
func scraped(ctx context.Context, e *jobsite.Entry) map[string]bool {
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+e.Spec.ReadinessAddress.String()+"/metrics", nil)
	gomega.Expect(err).NotTo(gomega.HaveOccurred())
	a, err := http.DefaultClient.Do(r)
	gomega.Expect(err).NotTo(gomega.HaveOccurred())
	defer a.Body.Close()
	b, err := io.ReadAll(a.Body)
	gomega.Expect(err).NotTo(gomega.HaveOccurred())
	m := map[string]bool{}
	for _, x := range regexp.MustCompile(`(?m)^# TYPE tarragond_([a-z_]+) `).FindAllStringSubmatch(string(b), -1) {
		m[x[1]] = true
	}
	return m
}

// rare lists documented metrics that do not appear in a short run without faults, or without workspaces.
var rare = map[string]bool{
	"orders": true, "store_failures": true, "advice": true, "unauthorized": true, "forbidden": true, "stale_configuration": true, "unknown_queue": true, "ingress_limited": true,
	"workspace_cores_running": true, "workspace_tasks_waiting": true, "workspace_refusals": true,
}

var _ = ginkgo.It("exports exactly the metrics that the operations manual lists", func() {
	ctx, stop := context.WithTimeout(context.Background(), limit)
	defer stop()
	s := start(ctx, 2)
	gomega.Expect(s.Platform.RequestWave(1, []string{"ledger-1"}, limit, 1)).To(gomega.Succeed())
	c := jobsite.NewCallers(s, 1)
	j := jobsite.Speculative(c.NewJobID(), jobsite.Pools[0])
	c.Submit(ctx, j)
	c.Wait()
	names := documented()
	gomega.Expect(len(names)).To(gomega.BeNumerically(">", 10))
	gomega.Eventually(func() []string {
		found := map[string]bool{}
		for _, e := range s.Entries {
			for n := range scraped(ctx, e) {
				found[n] = true
			}
		}
		wrong := []string{}
		for _, n := range names {
			if !found[n] && !rare[n] {
				wrong = append(wrong, "missing "+n)
			}
			delete(found, n)
		}
		for n := range found {
			wrong = append(wrong, "not documented: "+n)
		}
		return wrong
	}, "30s", "200ms").Should(gomega.BeEmpty())
})

// crashingLimit bounds the time until jobs whose tasks crash servers are given up and the jobs beside them are completed.
const crashingLimit = 18 * time.Second

// Guards against restarting a task that crashes every server that starts it without end, which takes one server after
// another from the other jobs.
var _ = ginkgo.It("gives up jobs whose tasks crash servers and completes the jobs beside them", func(ctx ginkgo.SpecContext) {
	s := start(ctx, 4)
	c := jobsite.NewCallers(s, 1)
	go c.PollPhases(ctx)
	expected := map[string]string{}
	submit := func(j jobsite.Job, phase string) {
		c.Submit(ctx, j)
		expected[j.Request.Id] = phase
	}
	random := rand.New(rand.NewPCG(1, 1))
	for _, q := range jobsite.Pools {
		for range 3 {
			submit(jobsite.TwoStep(c.NewJobID(), q, random), "completed")
		}
		submit(jobsite.Crashing(c.NewJobID(), q), "failed")
		submit(jobsite.Speculative(c.NewJobID(), q), "completed")
	}
	c.Wait()
	gomega.Eventually(func() (map[string]string, error) {
		if l := s.Platform.Checker.Violations(); len(l) > 0 {
			return nil, gomega.StopTrying(strings.Join(l, "\n"))
		}
		m := map[string]string{}
		for _, x := range c.Submissions() {
			m[x.Request.Id] = x.Phase
		}
		return m, nil
	}, crashingLimit, "100ms").Should(gomega.Equal(expected))
	gomega.Expect(s.Platform.Checker.Violations()).To(gomega.BeEmpty())
	gomega.Expect(s.Platform.Errors()).To(gomega.BeEmpty())
}, ginkgo.SpecTimeout(limit))
