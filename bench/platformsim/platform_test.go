package platformsim_test

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"testing"
	"time"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"github.com/tarragonbank/tarragonbank/bench/platformsim"
	"github.com/tarragonbank/tarragonbank/fleet/suite"
)

func TestPlatform(t *testing.T) {
	suite.Run(t, "platformsim")
}

func start() (*platformsim.Platform, string) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	gomega.Expect(err).NotTo(gomega.HaveOccurred())
	a := netip.MustParseAddrPort(l.Addr().String())
	l.Close()
	p := platformsim.New(0, 1)
	gomega.Expect(p.Start(a)).To(gomega.Succeed())
	ginkgo.DeferCleanup(p.Stop)
	return p, "http://" + a.String()
}

// call sends a request and returns the status and body of the response, or "no answer" if there is none.
func call(method, url, body string) string {
	r, err := http.NewRequest(method, url, strings.NewReader(body))
	gomega.Expect(err).NotTo(gomega.HaveOccurred())
	w, err := http.DefaultClient.Do(r)
	if err != nil {
		return "no answer"
	}
	defer w.Body.Close()
	b, err := io.ReadAll(w.Body)
	gomega.Expect(err).NotTo(gomega.HaveOccurred())
	return fmt.Sprintf("%d %s", w.StatusCode, strings.TrimSpace(string(b)))
}

var _ = ginkgo.Describe("the simulated platform", func() {
	ginkgo.It("writes and removes a key only at the expected revision", func() {
		_, u := start()
		k := u + "/v1/kv/a?expect="
		got := []string{
			call(http.MethodGet, u+"/v1/kv/a", ""), call(http.MethodPut, k+"0", "one"), call(http.MethodPut, k+"0", "two"),
			call(http.MethodPut, k+"1", "three"), call(http.MethodGet, u+"/v1/kv/a", ""), call(http.MethodDelete, k+"1", ""), call(http.MethodDelete, k+"2", ""),
		}
		gomega.Expect(got).To(gomega.Equal([]string{"404 ", "200 ", "409 ", "200 ", "200 three", "409 ", "200 "}))
	})

	ginkgo.It("expires a key after its time to live", func() {
		_, u := start()
		call(http.MethodPut, u+"/v1/kv/l?expect=0&ttlMs=30", "entry-1")
		gomega.Eventually(func() string { return call(http.MethodGet, u+"/v1/kv/l", "") }, 5*time.Second).Should(gomega.Equal("404 "))
	})

	ginkgo.It("ends a watch when the key changes", func() {
		_, u := start()
		done := make(chan string)
		go func() { done <- call(http.MethodGet, u+"/v1/watch?prefix=a&after=0&waitMs=5000", "") }()
		call(http.MethodPut, u+"/v1/kv/a?expect=0", "x")
		gomega.Expect(<-done).To(gomega.Equal(`200 [{"key":"a","value":"eA==","revision":1}]`))
	})

	ginkgo.It("applies a write whose response is lost, but none during an outage", func() {
		p, u := start()
		p.SetFaults(platformsim.Faults{LostResponseRate: 1})
		lost := call(http.MethodPut, u+"/v1/kv/a?expect=0", "x")
		p.SetFaults(platformsim.Faults{Outage: true})
		rejected := call(http.MethodPut, u+"/v1/kv/a?expect=1", "y")
		p.SetFaults(platformsim.Faults{})
		gomega.Expect([]string{lost, rejected, call(http.MethodGet, u+"/v1/kv/a", "")}).To(gomega.Equal([]string{"no answer", "503 ", "200 x"}))
	})

	ginkgo.It("reboots a VM at most once per boot", func() {
		p, u := start()
		p.SetVM(platformsim.VM{Name: "a", Boot: "1"})
		p.OnReboot(func(string) {})
		first := call(http.MethodPost, u+"/v1/machines/a/reboot?boot=1", "")
		again := call(http.MethodPost, u+"/v1/machines/a/reboot?boot=1", "")
		gomega.Expect([]any{first, again, p.RebootCount("a")}).To(gomega.Equal([]any{"200 ", "409 ", 1}))
	})
})
