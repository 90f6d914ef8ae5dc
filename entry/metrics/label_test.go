package metrics_test

import (
	"net/http/httptest"
	"testing"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"github.com/tarragonbank/tarragonbank/entry/metrics"
	"github.com/tarragonbank/tarragonbank/fleet/suite"
)

func TestMetrics(t *testing.T) {
	suite.Run(t, "metrics")
}

// A metric exists until the process ends, so names that come and go would fill the memory of an entry.
var _ = ginkgo.It("a label combines the names beyond its limit", func() {
	l := metrics.NewLabel(2)
	got := []string{}
	for _, n := range []string{"a", "b", "c", "a", "d"} {
		got = append(got, l.Value(n))
	}
	gomega.Expect(got).To(gomega.Equal([]string{"a", "b", metrics.Other, "a", metrics.Other}))
})

var _ = ginkgo.It("tagged gauges and counters are served with their labels", func() {
	m := metrics.New("e-1")
	m.TaggedGauge("workspace_tasks_waiting", map[string]string{"workspace": "dev"}, 4)
	m.TaggedCount("workspace_refusals", map[string]string{"workspace": "dev", "reason": "cap"}, 3)
	defer m.Close()
	serve := func() string {
		w := httptest.NewRecorder()
		m.Handler().ServeHTTP(w, httptest.NewRequest("GET", "/metrics", nil))
		return w.Body.String()
	}
	gomega.Eventually(serve, "5s", "100ms").Should(gomega.And(
		gomega.ContainSubstring(`tarragond_workspace_tasks_waiting{entry="e_1",workspace="dev"} 4`),
		gomega.ContainSubstring(`tarragond_workspace_refusals{entry="e_1",reason="cap",workspace="dev"} 3`),
	))
})
