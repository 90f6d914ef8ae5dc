package platform_test

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strconv"
	"sync"
	"testing"
	"time"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"github.com/tarragonbank/tarragonbank/entry/platform"
	"github.com/tarragonbank/tarragonbank/fleet/claim"
	"github.com/tarragonbank/tarragonbank/fleet/outcome"
	"github.com/tarragonbank/tarragonbank/fleet/suite"
)

func TestPlatform(t *testing.T) {
	suite.Run(t, "platform")
}

// memoryStore is an in-memory store behind the platform's HTTP API that can lose responses and be unavailable.
type memoryStore struct {
	lock      sync.Mutex
	values    map[string][]byte
	revisions map[string]uint64
	revision  uint64
	writes    int
	// loseResponseEvery makes every n-th write take effect without a response; 0 means none.
	loseResponseEvery int
	unavailable       bool
}

func newMemoryStore() (*memoryStore, *platform.Client) {
	m := &memoryStore{values: map[string][]byte{}, revisions: map[string]uint64{}}
	s := httptest.NewServer(m)
	ginkgo.DeferCleanup(s.Close)
	return m, platform.New(netip.MustParseAddrPort(s.Listener.Addr().String()))
}

func (m *memoryStore) set(f func()) {
	m.lock.Lock()
	defer m.lock.Unlock()
	f()
}

func (m *memoryStore) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	m.lock.Lock()
	defer m.lock.Unlock()
	k := r.URL.EscapedPath()
	switch {
	case m.unavailable:
		w.WriteHeader(http.StatusServiceUnavailable)
	case r.Method == http.MethodGet && m.revisions[k] == 0:
		w.WriteHeader(http.StatusNotFound)
	case r.Method == http.MethodGet:
		m.respond(w, k, m.values[k])
	case strconv.FormatUint(m.revisions[k], 10) != r.URL.Query().Get("expect"):
		w.WriteHeader(http.StatusConflict)
	default:
		m.write(w, r, k)
	}
}

func (m *memoryStore) write(w http.ResponseWriter, r *http.Request, k string) {
	m.revision++
	m.writes++
	m.revisions[k] = m.revision
	m.values[k], _ = io.ReadAll(r.Body)
	if m.loseResponseEvery > 0 && m.writes%m.loseResponseEvery == 0 {
		panic(http.ErrAbortHandler)
	}
	m.respond(w, k, nil)
}

func (m *memoryStore) respond(w http.ResponseWriter, k string, b []byte) {
	w.Header().Set("Store-Revision", strconv.FormatUint(m.revisions[k], 10))
	_, _ = w.Write(b)
}

func acquire(key string, token uint64) []claim.Operation {
	return []claim.Operation{{Claim: claim.Claim{Key: claim.NewKey("export", key), Token: token}}}
}

// countGrants claims each of n keys through all deciders concurrently. It returns the number of keys by how often the key was
// granted.
func countGrants(n int, deciders ...*platform.Claims) map[int]int {
	var lock sync.Mutex
	var w sync.WaitGroup
	counts := map[int]int{}
	for i := range n {
		granted := 0
		var one sync.WaitGroup
		for j, d := range deciders {
			one.Add(1)
			w.Add(1)
			go func() {
				defer w.Done()
				defer one.Done()
				v, err := d.Decide(context.Background(), acquire(strconv.Itoa(i), uint64(j+1)))
				lock.Lock()
				defer lock.Unlock()
				if err == nil && v[0].Granted {
					granted++
				}
			}()
		}
		w.Add(1)
		go func() {
			defer w.Done()
			one.Wait()
			lock.Lock()
			defer lock.Unlock()
			counts[granted]++
		}()
	}
	w.Wait()
	return counts
}

var _ = ginkgo.Describe("Claims", func() {
	ctx := context.Background()

	ginkgo.It("grant each key once through two entries", func() {
		_, c := newMemoryStore()
		gomega.Expect(countGrants(200, platform.NewClaims(c), platform.NewClaims(c))).To(gomega.Equal(map[int]int{1: 200}))
	})

	ginkgo.It("grant each key once if every third response is lost", func() {
		m, c := newMemoryStore()
		m.set(func() { m.loseResponseEvery = 3 })
		gomega.Expect(countGrants(100, platform.NewClaims(c), platform.NewClaims(c))).To(gomega.Equal(map[int]int{1: 100}))
	})

	ginkgo.It("batch many claims in one write", func() {
		m, c := newMemoryStore()
		countGrants(400, platform.NewClaims(c))
		m.set(func() { gomega.Expect(m.writes).To(gomega.BeNumerically("<", 100)) })
	})

	ginkgo.It("fail while the store is unavailable", func() {
		m, c := newMemoryStore()
		m.set(func() { m.unavailable = true })
		_, err := platform.NewClaims(c).Decide(ctx, acquire("a", 1))
		gomega.Expect(err).To(gomega.MatchError(gomega.ContainSubstring("the store did not answer get")))
	})

	ginkgo.It("return the outcome to another entry once it is recorded", func() {
		_, c := newMemoryStore()
		a, b := platform.NewClaims(c), platform.NewClaims(c)
		_, err := a.Decide(ctx, acquire("a", 1))
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		o := acquire("a", 1)
		o[0].Settle = true
		o[0].Outcome = outcome.Ran
		_, _ = a.Decide(ctx, o)
		a.Close()
		gomega.Eventually(func() claim.Verdict {
			v, err := b.Decide(ctx, acquire("a", 2))
			gomega.Expect(err).NotTo(gomega.HaveOccurred())
			return v[0]
		}, 5*time.Second).Should(gomega.Equal(claim.Verdict{Outcome: outcome.Ran}))
	})
})
