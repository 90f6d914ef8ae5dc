package request_test

import (
	"net/http"
	"testing"
	"time"

	"github.com/gravitational/trace"
	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"github.com/tarragonbank/tarragonbank/fleet/priority"
	"github.com/tarragonbank/tarragonbank/fleet/request"
	"github.com/tarragonbank/tarragonbank/fleet/service"
	"github.com/tarragonbank/tarragonbank/fleet/suite"
)

func TestRequest(t *testing.T) {
	suite.Run(t, "request")
}

var (
	now    = time.Unix(1_800_000_000, 0)
	export = service.Service{Name: "export", Timeout: 2 * time.Second, NeverTwice: []string{"/export/papers"}}
)

func header(l ...string) http.Header {
	h := http.Header{}
	for i := 0; i < len(l); i += 2 {
		h.Set(l[i], l[i+1])
	}
	return h
}

var _ = ginkgo.DescribeTable("Parse",
	func(method, path string, h http.Header, want request.Request) {
		r, err := request.Parse(now, method, path, h, export)
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		want.Service = "export"
		gomega.Expect(r).To(gomega.Equal(want))
	},
	ginkgo.Entry("fills in defaults", http.MethodGet, "/export/list", header(),
		request.Request{Priority: priority.Normal, Idempotent: true, Deadline: now.Add(2 * time.Second)}),
	ginkgo.Entry("treats POST as not idempotent", http.MethodPost, "/export/list", header(),
		request.Request{Priority: priority.Normal, Deadline: now.Add(2 * time.Second)}),
	ginkgo.Entry("reads all headers", http.MethodPost, "/export/list",
		header("Tarragon-Priority", "urgent", "Tarragon-Deadline-Ms", "150", "Tarragon-Idempotent", "true", "Tarragon-Team", "buyers", "Idempotency-Key", "k1"),
		request.Request{Priority: priority.Urgent, Idempotent: true, Team: "buyers", Key: "k1", Deadline: now.Add(150 * time.Millisecond)}),
	ginkgo.Entry("does not let the caller override NeverTwice", http.MethodPut, "/export/papers/7", header("Tarragon-Idempotent", "true"),
		request.Request{Priority: priority.Normal, Deadline: now.Add(2 * time.Second)}),
)

var _ = ginkgo.DescribeTable("Parse rejects",
	func(h http.Header, want string) {
		_, err := request.Parse(now, http.MethodGet, "/", h, export)
		gomega.Expect(trace.Unwrap(err)).To(gomega.MatchError(want))
	},
	ginkgo.Entry("an unknown priority", header("Tarragon-Priority", "now"), `header Tarragon-Priority: expected urgent, high, normal or low, found "now"`),
	ginkgo.Entry("a deadline of zero", header("Tarragon-Deadline-Ms", "0"), `header Tarragon-Deadline-Ms: expected 1 to 600000 milliseconds, found "0"`),
	ginkgo.Entry("a deadline that is not a number", header("Tarragon-Deadline-Ms", "2s"), `header Tarragon-Deadline-Ms: expected 1 to 600000 milliseconds, found "2s"`),
	ginkgo.Entry("an idempotent header that is not a boolean", header("Tarragon-Idempotent", "maybe"), `header Tarragon-Idempotent: expected true or false, found "maybe"`),
)

func FuzzParse(f *testing.F) {
	f.Add("POST", "/export/papers", "urgent", "100", "true", "k", "t")
	f.Fuzz(func(t *testing.T, method, path, p, d, i, k, m string) {
		h := header("Tarragon-Priority", p, "Tarragon-Deadline-Ms", d, "Tarragon-Idempotent", i, "Idempotency-Key", k, "Tarragon-Team", m)
		r, err := request.Parse(now, method, path, h, export)
		if err != nil {
			return
		}
		if !r.Deadline.After(now) || r.Deadline.After(now.Add(request.MaxDeadline)) {
			t.Fatalf("deadline %s", r.Deadline)
		}
		if r.Idempotent && !export.AllowsRetry(path) {
			t.Fatalf("%s is idempotent, but the service forbids its retry", path)
		}
	})
}
