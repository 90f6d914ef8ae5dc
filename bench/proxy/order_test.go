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
	"github.com/tarragonbank/tarragonbank/entry/steward"
	"github.com/tarragonbank/tarragonbank/platform"
)

type nothing struct{}

func (nothing) Event(string, string)               {}
func (nothing) Time(string, string, time.Duration) {}

// An order that was given up may not take effect when a partition ends, after a later owner's orders.
var _ = ginkgo.It("an order for a VM that was given up in a partition is lost with it", func() {
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
	f := platform.NewCloudAPI(address, nothing{})
	order := func(limit time.Duration) steward.Answer {
		ctx, stop := context.WithTimeout(context.Background(), limit)
		defer stop()
		a, _ := f.Move(ctx, "m-1", "cups", steward.Stamp{Holder: "e", Fence: 1})
		return a
	}
	gomega.Expect(order(time.Second)).To(gomega.Equal(steward.Accepted))
	gomega.Eventually(arrived).Should(gomega.Receive())
	p.SetFault(proxy.Fault{Hold: true})
	gomega.Expect(order(100 * time.Millisecond)).To(gomega.Equal(steward.Unanswered))
	time.Sleep(50 * time.Millisecond)
	p.SetFault(proxy.Fault{})
	gomega.Consistently(arrived, "200ms").ShouldNot(gomega.Receive())
})
