package caller_test

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/gravitational/trace"
	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"
	"google.golang.org/protobuf/types/known/durationpb"

	"github.com/tarragonbank/tarragonbank/entry/activeconfig"
	"github.com/tarragonbank/tarragonbank/entry/backend"
	"github.com/tarragonbank/tarragonbank/entry/caller"
	"github.com/tarragonbank/tarragonbank/entry/decision"
	"github.com/tarragonbank/tarragonbank/entry/dispatch"
	"github.com/tarragonbank/tarragonbank/fleet/claim"
	"github.com/tarragonbank/tarragonbank/fleet/config"
	"github.com/tarragonbank/tarragonbank/fleet/outcome"
	"github.com/tarragonbank/tarragonbank/fleet/schema"
	"github.com/tarragonbank/tarragonbank/fleet/share"
	"github.com/tarragonbank/tarragonbank/fleet/store"
	"github.com/tarragonbank/tarragonbank/fleet/suite"
	"github.com/tarragonbank/tarragonbank/fleet/vm"
)

func TestCaller(t *testing.T) {
	suite.Run(t, "caller")
}

// stub discards decisions and metrics, and all its probes succeed.
type stub struct{}

func (stub) Add(decision.Record)                           {}
func (stub) Request(string, string, string, time.Duration) {}
func (stub) Retry(string)                                  {}
func (stub) Probe(context.Context, vm.VM, string) bool     { return true }

func unreachable(q backend.Call) (*backend.Response, error) {
	return nil, &backend.DialError{VM: q.VM.Name}
}

func broken(q backend.Call) (*backend.Response, error) {
	return nil, &backend.BrokenConnectionError{VM: q.VM.Name, Detail: "EOF"}
}

func stalled(q backend.Call) (*backend.Response, error) {
	return nil, &backend.StallError{VM: q.VM.Name}
}

func mismatched(q backend.Call) (*backend.Response, error) {
	return nil, &backend.InvalidResponseError{VM: q.VM.Name, Detail: "it answers request r0"}
}

func refused(backend.Call) (*backend.Response, error) {
	return &backend.Response{Status: http.StatusServiceUnavailable, Refused: true}, nil
}

func failed(backend.Call) (*backend.Response, error) {
	return &backend.Response{Status: http.StatusInternalServerError, Body: []byte("no")}, nil
}

func good(q backend.Call) (*backend.Response, error) {
	return &backend.Response{Status: http.StatusOK, Body: q.Body}, nil
}

type attempt func(backend.Call) (*backend.Response, error)

// servers answers the n-th attempt with the n-th function of the script, and further attempts with the last one.
type servers struct {
	lock   sync.Mutex
	script []attempt
	sent   int
}

func (s *servers) Do(_ context.Context, q backend.Call) (*backend.Response, error) {
	s.lock.Lock()
	f := s.script[min(s.sent, len(s.script)-1)]
	s.sent++
	s.lock.Unlock()
	return f(q)
}

// claims returns the same verdict and error for all operations and records the settled outcomes.
type claims struct {
	lock    sync.Mutex
	verdict claim.Verdict
	err     error
	settled []outcome.Outcome
}

func (c *claims) Decide(_ context.Context, l []claim.Operation) ([]claim.Verdict, error) {
	c.lock.Lock()
	defer c.lock.Unlock()
	if l[0].Settle {
		c.settled = append(c.settled, l[0].Outcome)
	}
	return []claim.Verdict{c.verdict}, c.err
}

func newConfig() *activeconfig.Config {
	vms := []*schema.Vm{}
	for i := range 4 {
		vms = append(vms, &schema.Vm{Name: fmt.Sprintf("vm-%d", i), DataCentre: "dc", Rack: "r", Address: fmt.Sprintf("127.0.0.1:%d", 1000+i), Pool: "export", Slots: 2, Connections: 2})
	}
	s, err := config.Split(config.Source{
		Inventory: &schema.Inventory{Vms: vms},
		Rules: &schema.Rules{
			Pools: []*schema.Pool{{Name: "export", MaxDown: 1}},
			Services: []*schema.Service{{
				Name: "export", Prefix: "/export/", Pool: "export", NeverTwice: []string{"/export/papers"},
				ExpectedTime: durationpb.New(time.Millisecond), Timeout: durationpb.New(5 * time.Second),
			}},
		},
	})
	gomega.Expect(err).NotTo(gomega.HaveOccurred())
	a := activeconfig.New()
	gomega.Expect(a.Activate(time.Now(), &schema.Head{Revision: 1, Sections: s.Refs()}, s.ByDigest())).To(gomega.Succeed())
	return a
}

func newServer(a *activeconfig.Config, b caller.Backend, c caller.Decider) *caller.Server {
	p, err := share.GetPolicy("lending")
	gomega.Expect(err).NotTo(gomega.HaveOccurred())
	d := dispatch.New("entry-1", stub{}, stub{}, dispatch.WithSharePolicy(p))
	if s := a.Current(); s != nil {
		d.SetConfig(s)
	}
	return caller.New("entry-1", a, d, b, c, stub{}, stub{}, 16)
}

// post sends a request and returns the status, the outcome, the reason or else the body, and the number of attempts.
func post(s *caller.Server, b *servers, path, body string, header ...string) string {
	r := httptest.NewRequest(http.MethodPost, path, strings.NewReader(body))
	for i := 0; i < len(header); i += 2 {
		r.Header.Set(header[i], header[i+1])
	}
	w := httptest.NewRecorder()
	s.ServeHTTP(w, r)
	h := w.Result().Header
	x, err := io.ReadAll(w.Result().Body)
	gomega.Expect(err).NotTo(gomega.HaveOccurred())
	if h.Get("Tarragon-Reason") != "" {
		x = []byte(h.Get("Tarragon-Reason"))
	}
	return fmt.Sprintf("%d %s %s, sent %d", w.Code, h.Get("Tarragon-Outcome"), x, b.sent)
}

var idempotent = []string{"Tarragon-Idempotent", "true"}

var _ = ginkgo.DescribeTable("a request",
	func(script []attempt, header []string, want string) {
		b := &servers{script: script}
		gomega.Expect(post(newServer(newConfig(), b, &claims{}), b, "/export/list", "horn", header...)).To(gomega.Equal(want))
	},
	ginkgo.Entry("that ran", []attempt{good}, nil, "200 ran horn, sent 1"),
	ginkgo.Entry("with a server error has run", []attempt{failed}, nil, "500 ran no, sent 1"),
	ginkgo.Entry("that was refused is sent again", []attempt{refused, refused, good}, nil, "200 ran horn, sent 3"),
	ginkgo.Entry("that reached no server is sent again", []attempt{unreachable, good}, nil, "200 ran horn, sent 2"),
	ginkgo.Entry("that reached no server twice has not run, as the retry budget is exhausted", []attempt{unreachable}, nil, "503 notRun unreachable, sent 2"),
	ginkgo.Entry("that is not idempotent is not sent again after a broken connection", []attempt{broken, good}, nil, "502 unknown noWholeAnswer, sent 1"),
	ginkgo.Entry("that is not idempotent is not sent again after the response of another request", []attempt{mismatched, good}, nil, "502 unknown noWholeAnswer, sent 1"),
	ginkgo.Entry("that is idempotent is sent again after a broken connection", []attempt{broken, good}, idempotent, "200 ran horn, sent 2"),
	ginkgo.Entry("that is idempotent is sent again after a stall", []attempt{stalled, good}, idempotent, "200 ran horn, sent 2"),
	ginkgo.Entry("that is idempotent is sent again after a server error", []attempt{failed, good}, idempotent, "200 ran horn, sent 2"),
	ginkgo.Entry("with a server error and then a broken connection gets the server error", []attempt{failed, broken}, idempotent, "500 ran no, sent 2"),
	ginkgo.Entry("with a broken connection and then an unreachable server has an unknown outcome", []attempt{broken, unreachable}, idempotent, "502 unknown noWholeAnswer, sent 2"),
	ginkgo.Entry("with an invalid header is refused", []attempt{good}, []string{"Tarragon-Priority", "now"}, "400 notRun badRequest, sent 0"),
)

var _ = ginkgo.DescribeTable("a request with a key on a path that must not run twice",
	func(c *claims, script []attempt, want string, settled []outcome.Outcome) {
		b := &servers{script: script}
		got := post(newServer(newConfig(), b, c), b, "/export/papers", "horn", "Idempotency-Key", "k1", "Tarragon-Idempotent", "true")
		gomega.Expect([]any{got, c.settled}).To(gomega.Equal([]any{want, settled}))
	},
	ginkgo.Entry("runs after its key is claimed", &claims{verdict: claim.Verdict{Granted: true}}, []attempt{good},
		"200 ran horn, sent 1", []outcome.Outcome{outcome.Ran}),
	ginkgo.Entry("releases its key if it did not run", &claims{verdict: claim.Verdict{Granted: true}}, []attempt{unreachable},
		"503 notRun unreachable, sent 2", []outcome.Outcome{outcome.NotRun}),
	ginkgo.Entry("keeps its key claimed if its outcome is unknown", &claims{verdict: claim.Verdict{Granted: true}}, []attempt{broken},
		"502 unknown noWholeAnswer, sent 1", nil),
	ginkgo.Entry("gets the outcome of the first request, which ran", &claims{verdict: claim.Verdict{Outcome: outcome.Ran}}, []attempt{good},
		"409 ran duplicateKey, sent 0", nil),
	ginkgo.Entry("gets the outcome of the first request, which is unknown", &claims{}, []attempt{good},
		"409 unknown duplicateKey, sent 0", nil),
	ginkgo.Entry("is refused while the store is unavailable", &claims{err: trace.Wrap(&store.UnavailableError{Call: "claim"})}, []attempt{good},
		"503 notRun storeAway, sent 0", []outcome.Outcome{outcome.NotRun}),
)

var _ = ginkgo.Describe("the server", func() {
	ginkgo.It("refuses requests while it has no configuration", func() {
		b := &servers{script: []attempt{good}}
		gomega.Expect(post(newServer(activeconfig.New(), b, &claims{}), b, "/export/list", "")).To(gomega.Equal("503 notRun notReady, sent 0"))
	})

	ginkgo.It("refuses requests for an unknown service", func() {
		b := &servers{script: []attempt{good}}
		gomega.Expect(post(newServer(newConfig(), b, &claims{}), b, "/cups/1", "")).To(gomega.Equal("404 notRun unknownService, sent 0"))
	})

	ginkgo.It("refuses a body above the size limit", func() {
		b := &servers{script: []attempt{good}}
		gomega.Expect(post(newServer(newConfig(), b, &claims{}), b, "/export/list", "seventeen letters")).To(gomega.Equal("413 notRun bodyTooLarge, sent 0"))
	})

	ginkgo.It("refuses new requests once it is closed", func() {
		b := &servers{script: []attempt{good}}
		s := newServer(newConfig(), b, &claims{})
		s.Close()
		gomega.Expect(post(s, b, "/export/list", "")).To(gomega.Equal("503 notRun leaving, sent 0"))
	})

	ginkgo.It("tells a refused caller when to retry", func() {
		b := &servers{script: []attempt{unreachable}}
		w := httptest.NewRecorder()
		newServer(newConfig(), b, &claims{}).ServeHTTP(w, httptest.NewRequest(http.MethodGet, "/export/list", nil))
		gomega.Expect([]string{w.Header().Get("Retry-After"), w.Header().Get("Tarragon-Retry-After-Ms")}).To(gomega.Equal([]string{"1", "500"}))
	})
})
