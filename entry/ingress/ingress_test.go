package ingress_test

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"github.com/tarragonbank/tarragonbank/entry/ingress"
	"github.com/tarragonbank/tarragonbank/fleet/suite"
)

func TestIngress(t *testing.T) {
	suite.Run(t, "ingress")
}

const (
	bodyLimit   = 12000
	bodyTimeout = 200 * time.Millisecond
)

// site is a server that answers with the length of the body, and holds requests for /held until it is told to go on.
type site struct {
	listener *ingress.Listener
	release  chan struct{}
}

func start(m ingress.Limits) *site {
	l, err := ingress.Listen("callers", netip.MustParseAddrPort("127.0.0.1:0"), m)
	gomega.Expect(err).NotTo(gomega.HaveOccurred())
	x := &site{l, make(chan struct{})}
	s := &http.Server{Handler: http.HandlerFunc(x.serve)}
	l.Protect(s)
	go func() { _ = s.Serve(l) }()
	ginkgo.DeferCleanup(s.Close)
	return x
}

func (x *site) serve(w http.ResponseWriter, r *http.Request) {
	b, err := ingress.ReadBody(w, r, bodyLimit, bodyTimeout)
	var big *http.MaxBytesError
	var busy *ingress.BusyError
	switch {
	case errors.As(err, &big):
		w.WriteHeader(http.StatusRequestEntityTooLarge)
		return
	case errors.As(err, &busy):
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	case errors.Is(err, os.ErrDeadlineExceeded):
		w.WriteHeader(http.StatusRequestTimeout)
		return
	case err != nil:
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	if r.URL.Path == "/held" {
		<-x.release
	}
	fmt.Fprintf(w, "%d", len(b))
}

// open sends a text on a new connection.
func (x *site) open(text string) net.Conn {
	c, err := net.Dial("tcp", x.listener.Addr().String())
	gomega.Expect(err).NotTo(gomega.HaveOccurred())
	ginkgo.DeferCleanup(func() { c.Close() })
	_, err = io.WriteString(c, text)
	gomega.Expect(err).NotTo(gomega.HaveOccurred())
	return c
}

// answer returns the status and the body that a connection receives, 0 if it is closed without an answer.
func answer(c net.Conn) (int, string) {
	_ = c.SetReadDeadline(time.Now().Add(5 * time.Second))
	a, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return 0, ""
	}
	b, _ := io.ReadAll(a.Body)
	return a.StatusCode, string(b)
}

func request(path string, announced int, body string) string {
	return fmt.Sprintf("POST %s HTTP/1.1\r\nHost: a\r\nContent-Length: %d\r\n\r\n%s", path, announced, body)
}

var wide = ingress.Limits{Connections: 100, MemoryBytes: 1 << 20}

var _ = ginkgo.DescribeTable("ReadBody",
	func(text string, status int, body string) {
		n, b := answer(start(wide).open(text))
		gomega.Expect(n).To(gomega.Equal(status))
		gomega.Expect(b).To(gomega.Equal(body))
	},
	ginkgo.Entry("no body", "GET / HTTP/1.1\r\nHost: a\r\n\r\n", http.StatusOK, "0"),
	ginkgo.Entry("the largest body", request("/", bodyLimit, strings.Repeat("a", bodyLimit)), http.StatusOK, "12000"),
	ginkgo.Entry("the largest body in chunks", "POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n"+strings.Repeat("1\r\na\r\n", bodyLimit)+"0\r\n\r\n", http.StatusOK, "12000"),
	ginkgo.Entry("an announced body over the limit", request("/", bodyLimit+1, ""), http.StatusRequestEntityTooLarge, ""),
	ginkgo.Entry("chunks over the limit", "POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n2ee1\r\n"+strings.Repeat("a", bodyLimit+1)+"\r\n0\r\n\r\n", http.StatusRequestEntityTooLarge, ""),
	ginkgo.Entry("a body that does not arrive in time", request("/", 10, "a"), http.StatusRequestTimeout, ""),
)

var _ = ginkgo.Describe("A listener", func() {
	ginkgo.It("closes the connection that has been unfinished for longest for a new one", func() {
		x := start(ingress.Limits{Connections: 3, MemoryBytes: 1 << 20})
		crowd := []net.Conn{}
		for range 3 {
			crowd = append(crowd, x.open("POST / HTTP/1.1\r\n"))
			time.Sleep(20 * time.Millisecond)
		}
		n, _ := answer(x.open(request("/", 1, "a")))
		gomega.Expect(n).To(gomega.Equal(http.StatusOK))
		n, _ = answer(crowd[0])
		gomega.Expect(n).To(gomega.BeZero())
		_, err := io.WriteString(crowd[2], "Host: a\r\nContent-Length: 1\r\n\r\na")
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		n, _ = answer(crowd[2])
		gomega.Expect(n).To(gomega.Equal(http.StatusOK))
	})

	ginkgo.It("closes no connection on which a request is handled", func() {
		x := start(ingress.Limits{Connections: 2, MemoryBytes: 1 << 20})
		held := []net.Conn{x.open(request("/held", 1, "a")), x.open(request("/held", 1, "a"))}
		time.Sleep(100 * time.Millisecond)
		n, _ := answer(x.open(request("/", 1, "a")))
		gomega.Expect(n).To(gomega.BeZero())
		close(x.release)
		for _, c := range held {
			n, _ = answer(c)
			gomega.Expect(n).To(gomega.Equal(http.StatusOK))
		}
	})

	ginkgo.It("closes what holds most memory for longest", func() {
		x := start(ingress.Limits{Connections: 100, MemoryBytes: 40000})
		crowd := []net.Conn{}
		for range 3 {
			crowd = append(crowd, x.open("POST / HTTP/1.1\r\nX: "+strings.Repeat("a", 310)))
			time.Sleep(20 * time.Millisecond)
		}
		n, _ := answer(x.open("POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 500\r\n\r\n" + strings.Repeat("b", 500)))
		gomega.Expect(n).To(gomega.Equal(http.StatusOK))
		n, _ = answer(crowd[0])
		gomega.Expect(n).To(gomega.BeZero())
	})

	ginkgo.It("refuses a request if those that are handled hold too much memory", func() {
		x := start(ingress.Limits{Connections: 100, MemoryBytes: 40000})
		held := []net.Conn{}
		for range 12 {
			held = append(held, x.open(request("/held", 1, "a")))
		}
		time.Sleep(100 * time.Millisecond)
		n, _ := answer(x.open(request("/held", bodyLimit, strings.Repeat("a", bodyLimit))))
		gomega.Expect(n).To(gomega.Equal(http.StatusServiceUnavailable))
		close(x.release)
		for _, c := range held {
			n, _ = answer(c)
			gomega.Expect(n).To(gomega.Equal(http.StatusOK))
		}
		n, _ = answer(x.open(request("/", bodyLimit, strings.Repeat("a", bodyLimit))))
		gomega.Expect(n).To(gomega.Equal(http.StatusOK))
	})

	// What had arrived of a body with the header counted as header, so that usual submissions were refused beside large ones.
	ginkgo.It("never refuses a request of usual size", func() {
		x := start(ingress.Limits{Connections: 100, MemoryBytes: 40000})
		large := x.open(request("/held", bodyLimit, strings.Repeat("a", bodyLimit)))
		time.Sleep(100 * time.Millisecond)
		for range 20 {
			x.open(request("/held", 3000, strings.Repeat("a", 3000)))
		}
		time.Sleep(100 * time.Millisecond)
		n, _ := answer(x.open(request("/", 3000, strings.Repeat("a", 3000))))
		gomega.Expect(n).To(gomega.Equal(http.StatusOK))
		close(x.release)
		n, _ = answer(large)
		gomega.Expect(n).To(gomega.Equal(http.StatusOK))
	})

	ginkgo.It("passes so many requests at a time to a handler", func() {
		entered, release := make(chan struct{}), make(chan struct{})
		h := ingress.LimitRequests(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {
			entered <- struct{}{}
			<-release
		}), 1)
		serve := func() int {
			w := httptest.NewRecorder()
			h.ServeHTTP(w, httptest.NewRequest(http.MethodGet, "/", nil))
			return w.Code
		}
		first := make(chan int)
		go func() { first <- serve() }()
		<-entered
		gomega.Expect(serve()).To(gomega.Equal(http.StatusServiceUnavailable))
		close(release)
		gomega.Expect(<-first).To(gomega.Equal(http.StatusOK))
	})

	ginkgo.It("serves request after request on a connection", func() {
		x := start(ingress.Limits{Connections: 1, MemoryBytes: 40000})
		c := x.open("")
		r := bufio.NewReader(c)
		for range 200 {
			_, err := io.WriteString(c, request("/", 500, strings.Repeat("a", 500)))
			gomega.Expect(err).NotTo(gomega.HaveOccurred())
			a, err := http.ReadResponse(r, nil)
			gomega.Expect(err).NotTo(gomega.HaveOccurred())
			gomega.Expect(a.StatusCode).To(gomega.Equal(http.StatusOK))
			_, _ = io.Copy(io.Discard, a.Body)
		}
	})
})
