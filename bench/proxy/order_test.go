package proxy_test

import (
	"context"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"time"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"github.com/tarragonbank/tarragonbank/bench/proxy"
	"github.com/tarragonbank/tarragonbank/entry/vmcontroller"
	"github.com/tarragonbank/tarragonbank/platform"
)

type discardMetrics struct{}

func (discardMetrics) Event(string, string)               {}
func (discardMetrics) Time(string, string, time.Duration) {}

// Guards against a stale order: a request that timed out during a partition must not reach the platform once the
// partition ends, since a later owner may have sent its own orders by then.
var _ = ginkgo.It("drops a VM order that timed out during a partition", func() {
	arrived := make(chan string, 4)
	target := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) { arrived <- r.URL.Path }))
	defer target.Close()
	p := proxy.New(netip.MustParseAddrPort(strings.TrimPrefix(target.URL, "http://")))
	l, err := net.Listen("tcp", "127.0.0.1:0")
	gomega.Expect(err).NotTo(gomega.HaveOccurred())
	address := netip.MustParseAddrPort(l.Addr().String())
	l.Close()
	gomega.Expect(p.Start(address)).To(gomega.Succeed())
	defer p.Stop()
	f := platform.NewCloudAPI(address, discardMetrics{})
	order := func(limit time.Duration) vmcontroller.Result {
		ctx, stop := context.WithTimeout(context.Background(), limit)
		defer stop()
		a, _ := f.Move(ctx, "m-1", "cups", vmcontroller.Issuer{Name: "e", FencingToken: 1})
		return a
	}
	gomega.Expect(order(time.Second)).To(gomega.Equal(vmcontroller.Accepted))
	gomega.Eventually(arrived).Should(gomega.Receive())
	p.SetFault(proxy.Fault{Hold: true})
	gomega.Expect(order(100 * time.Millisecond)).To(gomega.Equal(vmcontroller.OutcomeUnknown))
	time.Sleep(50 * time.Millisecond)
	p.SetFault(proxy.Fault{})
	gomega.Consistently(arrived, "200ms").ShouldNot(gomega.Receive())
})
