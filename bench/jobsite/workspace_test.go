package jobsite_test

import (
	"net/http"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"github.com/tarragonbank/tarragonbank/bench/jobsite"
	"github.com/tarragonbank/tarragonbank/platform/simulator"
)

// changeTimeout bounds the time until a change of keys is in force on a busy machine.
const changeTimeout = "20s"

// Guards against entries that ignore keys, that miss changes of keys, or that end the jobs of a workspace with its keys.
var _ = ginkgo.It("serves callers by the current keys of their workspaces", func(ctx ginkgo.SpecContext) {
	s := start(ctx, 2, func(o *jobsite.Options) { o.Workspaces = 2 })
	c := jobsite.NewCallers(s, 1)
	go c.PollPhases(ctx)
	l := s.Workspaces()
	x := c.SubmitFor(ctx, l[0], jobsite.Checkpointing(c.NewJobID(), jobsite.Pools[0]))
	c.Wait()
	gomega.Expect(c.Submission(x.Request.Id).Answer).To(gomega.Equal(simulator.Accepted))
	own, _ := s.Keys(l[0])
	foreign, _ := s.Keys(l[1])
	status := func(key string) func() int {
		return func() int { return c.Probe(ctx, s.Entries[0], x.Request, key) }
	}
	gomega.Expect(status(own[0])()).To(gomega.Equal(http.StatusOK))
	gomega.Expect(status("unknown")()).To(gomega.Equal(http.StatusUnauthorized))
	gomega.Expect(status("")()).To(gomega.Equal(http.StatusUnauthorized))
	gomega.Expect(status(foreign[0])()).To(gomega.Equal(http.StatusForbidden))
	gomega.Expect(s.AddKey(l[0])).To(gomega.Succeed())
	current, _ := s.Keys(l[0])
	gomega.Eventually(status(current[2]), changeTimeout).Should(gomega.Equal(http.StatusOK))
	gomega.Expect(s.WithdrawKeys(l[0], 0)).To(gomega.Succeed())
	for _, k := range current {
		gomega.Eventually(status(k), changeTimeout).Should(gomega.Equal(http.StatusUnauthorized))
	}
	gomega.Eventually(func() string { return c.Submission(x.Request.Id).Phase }, changeTimeout, "100ms").Should(gomega.Equal("completed"))
	gomega.Expect(s.Platform.Checker.Violations()).To(gomega.BeEmpty())
}, ginkgo.SpecTimeout(limit))
