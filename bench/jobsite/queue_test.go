package jobsite_test

import (
	"fmt"
	"net/http"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"github.com/tarragonbank/tarragonbank/bench/jobsite"
	"github.com/tarragonbank/tarragonbank/bench/proxy"
	"github.com/tarragonbank/tarragonbank/fleet/queue"
)

// Guards against 404 for a queue in force at an entry that the store turns away.
var _ = ginkgo.It("serves a new queue at an entry that reaches the owner but not the store", func(ctx ginkgo.SpecContext) {
	s := start(ctx, 1)
	c := jobsite.NewCallers(s, 1)
	var o *jobsite.Entry
	gomega.Eventually(func() *jobsite.Entry { o = c.Owner(ctx); return o }, changeTimeout).ShouldNot(gomega.BeNil())
	var e *jobsite.Entry
	for _, x := range s.Entries {
		if x != o {
			e = x
		}
	}
	e.StoreProxy.SetFault(proxy.Fault{Cut: true})
	gomega.Expect(s.Reconfigure()).To(gomega.Succeed())
	q := s.Table.ByName(fmt.Sprintf("seasonal-%d", s.Table.Version))
	gomega.Eventually(func() int { return c.RequestQueue(ctx, e, q) }, changeTimeout).Should(gomega.Equal(http.StatusOK))
	gomega.Expect(c.RequestQueue(ctx, e, &queue.Queue{Name: "never", Host: q.Host, Prefix: "/never/"})).To(gomega.Equal(http.StatusNotFound))
	gomega.Expect(s.Platform.Checker.Violations()).To(gomega.BeEmpty())
}, ginkgo.SpecTimeout(limit))
