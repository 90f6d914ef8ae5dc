package backend_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"net/url"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"github.com/tarragonbank/tarragonbank/entry/backend"
	"github.com/tarragonbank/tarragonbank/fleet/suite"
	"github.com/tarragonbank/tarragonbank/fleet/vm"
)

func TestBackend(t *testing.T) {
	suite.Run(t, "backend")
}

// server is a backend server whose script maps the number of the connection, the number of the request on it and
// the request ID to a raw response. An empty response stalls; after one that ends with "!", which is not sent,
// the connection is closed.
type server struct {
	listener    net.Listener
	connections atomic.Int32
}

func newServer(script func(connection, request int, id string) string) *server {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	gomega.Expect(err).NotTo(gomega.HaveOccurred())
	s := &server{listener: l}
	ginkgo.DeferCleanup(func() { _ = l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go s.serve(c, int(s.connections.Add(1)), script)
		}
	}()
	return s
}

func (s *server) serve(c net.Conn, n int, script func(int, int, string) string) {
	defer c.Close()
	b := bufio.NewReader(c)
	for i := 1; ; i++ {
		r, err := http.ReadRequest(b)
		if err != nil {
			return
		}
		a := script(n, i, r.Header.Get("Tarragon-Request-Id"))
		if a == "" {
			_, _ = io.Copy(io.Discard, b)
			return
		}
		_, _ = c.Write([]byte(strings.TrimSuffix(a, "!")))
		if strings.HasSuffix(a, "!") {
			return
		}
	}
}

func (s *server) vm() vm.VM {
	return vm.VM{Name: "cups-01", Address: netip.MustParseAddrPort(s.listener.Addr().String()), Slots: 8}
}

func rawResponse(id, head, body string) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nTarragon-Request-Id: %s\r\n%s\r\n%s", id, head, body)
}

func good(_, _ int, id string) string {
	return rawResponse(id, "Content-Length: 2\r\n", "ok")
}

func call(s *server, id string) backend.Call {
	return backend.Call{
		VM: s.vm(), ID: id, Attempt: 1, Method: http.MethodPost, Host: "cups", URL: &url.URL{Path: "/cups/1"},
		Body: []byte("horn"), StallTimeout: 100 * time.Millisecond, RequireEcho: true,
	}
}

// describe returns the error, or the status and the body of the response.
func describe(a *backend.Response, err error) string {
	if err != nil {
		return err.Error()
	}
	return fmt.Sprintf("%d %s", a.Status, a.Body)
}

var _ = ginkgo.DescribeTable("Do with one response",
	func(script func(int, int, string) string, want string) {
		s := newServer(script)
		gomega.Expect(describe(backend.New(backend.WithMaxResponseBytes(10)).Do(context.Background(), call(s, "r1")))).To(gomega.Equal(want))
	},
	ginkgo.Entry("returns a complete one", good, "200 ok"),
	ginkgo.Entry("returns a chunked one", func(_, _ int, id string) string {
		return rawResponse(id, "Transfer-Encoding: chunked\r\n", "2\r\nok\r\n0\r\n\r\n")
	}, "200 ok"),
	ginkgo.Entry("rejects a truncated one", func(_, _ int, id string) string {
		return rawResponse(id, "Content-Length: 9\r\n", "ok!")
	}, "the connection to cups-01 broke: unexpected EOF"),
	ginkgo.Entry("rejects truncated chunks", func(_, _ int, id string) string {
		return rawResponse(id, "Transfer-Encoding: chunked\r\n", "2\r\nok\r\n!")
	}, "the connection to cups-01 broke: unexpected EOF"),
	ginkgo.Entry("rejects one longer than its content length", func(_, _ int, id string) string {
		return rawResponse(id, "Content-Length: 2\r\n", "okok")
	}, "the answer from cups-01 cannot be trusted: it is longer than announced"),
	ginkgo.Entry("rejects one of another request", func(int, int, string) string {
		return rawResponse("r0", "Content-Length: 2\r\n", "ok")
	}, "the answer from cups-01 cannot be trusted: it answers request r0"),
	ginkgo.Entry("rejects one without a request ID", func(int, int, string) string {
		return "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"
	}, "the answer from cups-01 cannot be trusted: it does not repeat the request id"),
	ginkgo.Entry("rejects one of unknown length", func(_, _ int, id string) string {
		return rawResponse(id, "Connection: close\r\n", "ok!")
	}, "the answer from cups-01 cannot be trusted: its length is not stated"),
	ginkgo.Entry("rejects one above the size limit", func(_, _ int, id string) string {
		return rawResponse(id, "Content-Length: 11\r\n", "hello world")
	}, "the answer from cups-01 cannot be trusted: it is longer than 10 bytes"),
	ginkgo.Entry("fails after the stall timeout", func(int, int, string) string { return "" }, "no answer from cups-01 in time"),
)

var _ = ginkgo.Describe("Do", func() {
	ginkgo.It("reuses a connection and closes it after an invalid response", func() {
		s := newServer(func(_, n int, id string) string {
			if n == 2 {
				return rawResponse("other", "Content-Length: 2\r\n", "ok")
			}
			return good(0, 0, id)
		})
		c := backend.New()
		for i := range 3 {
			_, _ = c.Do(context.Background(), call(s, fmt.Sprintf("r%d", i)))
		}
		gomega.Expect(s.connections.Load()).To(gomega.BeEquivalentTo(2))
	})

	ginkgo.It("closes a connection on which data follows the response", func() {
		s := newServer(func(n, _ int, id string) string {
			a := good(0, 0, id)
			if n == 1 {
				a += rawResponse("late", "Content-Length: 2\r\n", "ok")
			}
			return a
		})
		c := backend.New()
		first := describe(c.Do(context.Background(), call(s, "r1")))
		second := describe(c.Do(context.Background(), call(s, "r2")))
		gomega.Expect([]any{first, second, s.connections.Load()}).To(gomega.Equal([]any{
			"the answer from cups-01 cannot be trusted: it is longer than announced", "200 ok", int32(2),
		}))
	})

	ginkgo.It("closes the idle connections last used before a request that stalled", func() {
		var open sync.WaitGroup
		open.Add(2)
		s := newServer(func(n, i int, id string) string {
			if n <= 2 && i > 1 {
				return ""
			}
			if n <= 2 {
				// Both requests are in flight before one is answered, so that neither reuses the other's connection.
				open.Done()
				open.Wait()
			}
			return good(0, 0, id)
		})
		c := backend.New()
		done := make(chan string, 2)
		for i := range 2 {
			q := call(s, fmt.Sprintf("w%d", i))
			q.StallTimeout = 10 * time.Second
			go func() { done <- describe(c.Do(context.Background(), q)) }()
		}
		gomega.Expect([]string{<-done, <-done}).To(gomega.Equal([]string{"200 ok", "200 ok"}))
		idle := c.IdleConnections()
		stalled := describe(c.Do(context.Background(), call(s, "r1")))
		gomega.Expect([]any{stalled, idle > c.IdleConnections(), c.IdleConnections()}).To(gomega.Equal([]any{"no answer from cups-01 in time", true, 0}))
	})

	ginkgo.It("reports that nothing was sent if no connection can be made", func() {
		s := newServer(good)
		q := call(s, "r1")
		s.listener.Close()
		_, err := backend.New().Do(context.Background(), q)
		d, ok := err.(*backend.DialError)
		gomega.Expect([]any{ok, ok && d.Sent()}).To(gomega.Equal([]any{true, false}))
	})

	ginkgo.It("returns when the context ends", func() {
		s := newServer(func(int, int, string) string { return "" })
		ctx, stop := context.WithTimeout(context.Background(), 20*time.Millisecond)
		defer stop()
		q := call(s, "r1")
		q.StallTimeout = 0
		_, err := backend.New().Do(ctx, q)
		gomega.Expect(err).To(gomega.Equal(&backend.CancelledError{VM: "cups-01", Started: true}))
	})

	ginkgo.It("makes a new connection if a fresh one is required and the idle one is too old", func() {
		s := newServer(good)
		c := backend.New()
		q := call(s, "r1")
		q.RequireFresh = true
		_, _ = c.Do(context.Background(), q)
		time.Sleep(300 * time.Millisecond)
		q.ID = "r2"
		_, _ = c.Do(context.Background(), q)
		gomega.Expect(s.connections.Load()).To(gomega.BeEquivalentTo(2))
	})
})
