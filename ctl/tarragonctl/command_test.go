package tarragonctl_test

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"testing"

	"github.com/gravitational/trace"
	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"github.com/tarragonbank/tarragonbank/ctl/tarragonctl"
	"github.com/tarragonbank/tarragonbank/fleet/suite"
)

func TestTarragonctl(t *testing.T) {
	suite.Run(t, "tarragonctl")
}

// entry answers one path with a status and body and remembers what it was asked.
type entry struct {
	status int
	body   string
	asked  string
	token  string
}

func (e *entry) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	b, _ := io.ReadAll(r.Body)
	e.asked = r.Method + " " + r.URL.Path + " " + string(b)
	e.token = r.Header.Get("Authorization")
	w.WriteHeader(e.status)
	_, _ = io.WriteString(w, e.body)
}

func run(e *entry, words string, o tarragonctl.Options) (string, error) {
	s := httptest.NewServer(e)
	defer s.Close()
	var w bytes.Buffer
	err := tarragonctl.Run(context.Background(), words, tarragonctl.New(s.URL, "secret"), o, &w)
	return w.String(), err
}

var _ = ginkgo.DescribeTable("a command prints",
	func(words, body, asked, want string) {
		e := &entry{status: http.StatusOK, body: body}
		out, err := run(e, words, tarragonctl.Options{Name: "cups", Revision: 4, Base: -1})
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		gomega.Expect([]string{e.asked, out, e.token}).To(gomega.Equal([]string{asked, want, "Bearer secret"}))
	},
	ginkgo.Entry("pools", "pools", `[{"name":"cups","granted":12,"load":{"busy":3},"out":{"cups-01":"failing"}}]`,
		"GET /v1/pools ", "name  granted  load         out\ncups  12       map[busy:3]  map[cups-01:failing]  \n"),
	ginkgo.Entry("what is paused", "maintenance pause", `{"revision":7}`, "POST /v1/maintenance/cups/pause {}", "revision 7\n"),
	ginkgo.Entry("what is drained", "vm drain", `{"revision":8}`, "POST /v1/vms/cups/drain {}", "revision 8\n"),
	ginkgo.Entry("a rollback", "config rollback", `{"revision":9}`, `POST /v1/config/rollback {"author":"","mark":"","revision":4}`, "revision 9\n"),
	ginkgo.Entry("what was collected", "config collect", `{"deleted":3}`, "POST /v1/config/collect {}", "deleted 3 sections\n"),
)

var _ = ginkgo.Describe("a command", func() {
	ginkgo.It("prints what an apply changes", func() {
		d := ginkgo.GinkgoT().TempDir()
		i, r := filepath.Join(d, "inventory.toml"), filepath.Join(d, "rules.toml")
		gomega.Expect(os.WriteFile(i, []byte("# vms"), 0o600)).To(gomega.Succeed())
		gomega.Expect(os.WriteFile(r, []byte("# rules"), 0o600)).To(gomega.Succeed())
		e := &entry{status: http.StatusOK, body: `{"revision":3,"changed":["pool/cups"]}`}
		out, err := run(e, "config check", tarragonctl.Options{Inventory: i, Rules: r, Base: 2})
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		gomega.Expect(out).To(gomega.Equal("revision 3\n  changes pool/cups\n"))
	})

	ginkgo.It("fails with the entry's own words", func() {
		e := &entry{status: http.StatusConflict, body: `{"error":"the change is based on revision 1, but revision 2 is in force","kind":"base"}`}
		_, err := run(e, "config rollback", tarragonctl.Options{})
		gomega.Expect(trace.Unwrap(err)).To(gomega.MatchError("the change is based on revision 1, but revision 2 is in force"))
	})

	ginkgo.It("is refused where there is none of its words", func() {
		_, err := run(&entry{}, "config burn", tarragonctl.Options{})
		gomega.Expect(trace.Unwrap(err)).To(gomega.MatchError(`unknown command "config burn"`))
	})

	ginkgo.It("is refused where a file is missing", func() {
		_, err := run(&entry{}, "config apply", tarragonctl.Options{Inventory: "none.toml"})
		gomega.Expect(trace.IsNotFound(err)).To(gomega.BeTrue())
	})
})
