package operator_test

import (
	"net/http"
	"net/http/httptest"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"github.com/tarragonbank/tarragonbank/entry/activeconfig"
	"github.com/tarragonbank/tarragonbank/entry/operator"
)

// An action before any configuration dereferenced a nil error.
var _ = ginkgo.DescribeTable("an action at an entry without a configuration is refused", func(path string) {
	c := activeconfig.New()
	s := operator.New(nil, c, operator.NewPublisher(newMemoryStore(), c), "secret", http.NotFoundHandler())
	r := httptest.NewRequest(http.MethodPost, path, nil)
	r.Header.Set("Authorization", "Bearer secret")
	w := httptest.NewRecorder()
	s.ServeHTTP(w, r)
	gomega.Expect(w.Code).To(gomega.Equal(http.StatusServiceUnavailable))
	gomega.Expect(w.Body.String()).To(gomega.ContainSubstring("noConfiguration"))
},
	ginkgo.Entry("of a VM", "/v1/vms/cups-01/drain"),
	ginkgo.Entry("of a wave", "/v1/maintenance/cups/pause"))
