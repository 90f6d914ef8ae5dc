package proxy_test

import (
	"io"
	"net"
	"net/netip"
	"testing"
	"time"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"github.com/tarragonbank/tarragonbank/bench/proxy"
	"github.com/tarragonbank/tarragonbank/fleet/suite"
)

func TestProxy(t *testing.T) {
	suite.Run(t, "proxy")
}

// sink is a target that records the data received on all connections and responds to each read.
type sink struct {
	listener net.Listener
	got      chan string
}

func newSink() *sink {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	gomega.Expect(err).NotTo(gomega.HaveOccurred())
	s := &sink{listener: l, got: make(chan string, 16)}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				b := make([]byte, 64)
				for {
					n, err := c.Read(b)
					if err != nil {
						return
					}
					s.got <- string(b[:n])
					_, _ = io.WriteString(c, "answer")
				}
			}()
		}
	}()
	return s
}

var _ = ginkgo.Describe("a proxy", func() {
	var s *sink
	var p *proxy.Proxy
	var address string
	ginkgo.BeforeEach(func() {
		s = newSink()
		p = proxy.New(netip.MustParseAddrPort(s.listener.Addr().String()))
		l, err := net.Listen("tcp", "127.0.0.1:0")
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		address = l.Addr().String()
		l.Close()
		gomega.Expect(p.Start(netip.MustParseAddrPort(address))).To(gomega.Succeed())
		ginkgo.DeferCleanup(func() { p.Stop(); s.listener.Close() })
	})
	dial := func() *net.TCPConn {
		c, err := net.Dial("tcp", address)
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		return c.(*net.TCPConn)
	}
	send := func(c net.Conn) {
		_, err := io.WriteString(c, "order")
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
	}
	answered := func(c net.Conn) bool {
		gomega.Expect(c.SetReadDeadline(time.Now().Add(100 * time.Millisecond))).To(gomega.Succeed())
		_, err := c.Read(make([]byte, 6))
		return err == nil
	}

	ginkgo.It("delivers held data after a partition if the sender's connection is still open", func() {
		c := dial()
		p.SetFault(proxy.Fault{Hold: true})
		send(c)
		gomega.Consistently(s.got, "100ms").ShouldNot(gomega.Receive())
		p.SetFault(proxy.Fault{})
		gomega.Eventually(s.got).Should(gomega.Receive(gomega.Equal("order")))
	})

	ginkgo.It("drops held data if the sender resets its connection during a partition", func() {
		c := dial()
		p.SetFault(proxy.Fault{Hold: true})
		send(c)
		time.Sleep(20 * time.Millisecond)
		gomega.Expect(c.SetLinger(0)).To(gomega.Succeed())
		c.Close()
		time.Sleep(20 * time.Millisecond)
		p.SetFault(proxy.Fault{})
		gomega.Consistently(s.got, "100ms").ShouldNot(gomega.Receive())
	})

	ginkgo.It("holds only the target's responses with HoldResponses", func() {
		c := dial()
		p.SetFault(proxy.Fault{HoldResponses: true})
		send(c)
		gomega.Eventually(s.got).Should(gomega.Receive())
		gomega.Expect(answered(c)).To(gomega.BeFalse())
		p.SetFault(proxy.Fault{})
		gomega.Expect(answered(c)).To(gomega.BeTrue())
	})

	ginkgo.It("blackholes open connections while new ones work", func() {
		c := dial()
		send(c)
		gomega.Eventually(s.got).Should(gomega.Receive())
		gomega.Expect(answered(c)).To(gomega.BeTrue())
		p.Blackhole()
		send(c)
		gomega.Consistently(s.got, "50ms").ShouldNot(gomega.Receive())
		send(dial())
		gomega.Eventually(s.got).Should(gomega.Receive())
	})
})
