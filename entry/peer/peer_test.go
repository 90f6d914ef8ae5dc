package peer_test

import (
	"bytes"
	"context"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"math/big"
	"net"
	"net/netip"
	"os"
	"path/filepath"
	"sync"
	"testing"
	"time"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"github.com/tarragonbank/tarragonbank/entry/activeconfig"
	"github.com/tarragonbank/tarragonbank/entry/decision"
	"github.com/tarragonbank/tarragonbank/entry/peer"
	"github.com/tarragonbank/tarragonbank/fleet/claim"
	"github.com/tarragonbank/tarragonbank/fleet/config"
	"github.com/tarragonbank/tarragonbank/fleet/schema"
	"github.com/tarragonbank/tarragonbank/fleet/settings"
	"github.com/tarragonbank/tarragonbank/fleet/suite"
)

func TestPeer(t *testing.T) {
	suite.Run(t, "peer")
}

const (
	interval          = 20 * time.Millisecond
	eventuallyTimeout = 10 * time.Second
)

// logRecorder records the reasons of decisions, and ignores message counts.
type logRecorder struct {
	lock    sync.Mutex
	reasons []string
}

func (l *logRecorder) Count(string, int, int) {}

func (l *logRecorder) Add(r decision.Record) {
	l.lock.Lock()
	defer l.lock.Unlock()
	l.reasons = append(l.reasons, r.Reason)
}

func (l *logRecorder) loggedReasons() []string {
	l.lock.Lock()
	defer l.lock.Unlock()
	return append([]string{}, l.reasons...)
}

// entry is a node with its configuration.
type entry struct {
	seed     settings.Seed
	active   *activeconfig.Config
	node     *peer.Node
	listener net.Listener
	stop     context.CancelFunc
	log      *logRecorder
}

func newEntry(name string) *entry {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	gomega.Expect(err).NotTo(gomega.HaveOccurred())
	a := netip.MustParseAddrPort(l.Addr().String())
	return &entry{seed: settings.Seed{Name: name, DataCentre: "dc-1", Address: a}, active: activeconfig.New(), listener: l, log: &logRecorder{}}
}

// run starts the node with the seeds and stops it after the test.
func (e *entry) run(seeds []settings.Seed, o ...peer.Option) {
	s := &settings.Settings{Name: e.seed.Name, DataCentre: "dc-1", ExchangeInterval: interval, Seeds: seeds}
	body := func() *schema.RowBody {
		return &schema.RowBody{DataCentre: "dc-1", Address: e.seed.Address.String(), Revision: e.active.Current().Revision()}
	}
	e.node = peer.New(s, e.active, body, e.log, e.log, o...)
	ctx, stop := context.WithCancel(context.Background())
	e.stop = stop
	done := make(chan struct{})
	go func() {
		defer close(done)
		e.node.Run(ctx, e.listener)
	}()
	ginkgo.DeferCleanup(func() {
		stop()
		<-done
	})
}

func startEntries(n int, o ...peer.Option) []*entry {
	l := []*entry{}
	seeds := []settings.Seed{}
	for i := range n {
		e := newEntry("entry-" + string(rune('a'+i)))
		l = append(l, e)
		seeds = append(seeds, e.seed)
	}
	for _, e := range l {
		e.run(seeds, o...)
	}
	return l
}

func (e *entry) activate(revision uint64) {
	s, err := config.Split(config.Source{
		Inventory: &schema.Inventory{},
		Rules:     &schema.Rules{Pools: []*schema.Pool{{Name: "cups", MaxDown: int32(revision)}}},
	})
	gomega.Expect(err).NotTo(gomega.HaveOccurred())
	gomega.Expect(e.active.Activate(time.Now(), &schema.Head{Revision: revision, Sections: s.Refs()}, s.ByDigest())).To(gomega.Succeed())
}

func revisions(l []*entry) func() []uint64 {
	return func() []uint64 {
		r := []uint64{}
		for _, e := range l {
			r = append(r, e.active.Current().Revision())
		}
		return r
	}
}

var _ = ginkgo.Describe("nodes", func() {
	ginkgo.It("fetch the first and later configurations from each other", func() {
		l := startEntries(3)
		l[0].activate(1)
		gomega.Eventually(revisions(l), eventuallyTimeout).Should(gomega.Equal([]uint64{1, 1, 1}))
		l[2].activate(5)
		gomega.Eventually(revisions(l), eventuallyTimeout).Should(gomega.Equal([]uint64{5, 5, 5}))
	})

	ginkgo.It("discover all others through one seed", func() {
		a, b, c := newEntry("entry-a"), newEntry("entry-b"), newEntry("entry-c")
		a.run(nil)
		b.run([]settings.Seed{a.seed})
		c.run([]settings.Seed{a.seed})
		a.activate(3)
		gomega.Eventually(revisions([]*entry{a, b, c}), eventuallyTimeout).Should(gomega.Equal([]uint64{3, 3, 3}))
	})

	ginkgo.It("remove a stopped node from the work sharers", func() {
		l := startEntries(2)
		count := func() int { return len(l[0].node.WorkSharers()) }
		gomega.Eventually(count, eventuallyTimeout).Should(gomega.Equal(2))
		l[1].stop()
		gomega.Eventually(count, eventuallyTimeout).Should(gomega.Equal(1))
	})

	ginkgo.It("batch claims for each other and access the store themselves when the peer is stopped", func() {
		l := startEntries(2)
		gomega.Eventually(func() int { return len(l[0].node.WorkSharers()) }, eventuallyTimeout).Should(gomega.Equal(2))
		decided := map[string]int{}
		claims := []*peer.Claims{}
		for _, e := range l {
			claims = append(claims, peer.NewClaims(e.node, grantingDecider(func() { decided[e.seed.Name]++ })))
		}
		for i := range 4 * claim.BucketCount {
			_, err := claims[0].Decide(context.Background(), []claim.Operation{{Claim: claim.Claim{Key: claim.Key{7: byte(i)}, Token: 1}}})
			gomega.Expect(err).NotTo(gomega.HaveOccurred())
		}
		both := len(decided)
		l[1].stop()
		_, err := claims[0].Decide(context.Background(), []claim.Operation{{Claim: claim.Claim{Token: 1}}})
		gomega.Expect([]any{both, err}).To(gomega.Equal([]any{2, nil}))
	})
})

// grantingDecider calls the function and grants every operation.
type grantingDecider func()

func (d grantingDecider) Decide(_ context.Context, l []claim.Operation) ([]claim.Verdict, error) {
	d()
	return make([]claim.Verdict, len(l)), nil
}

// authority is a certificate authority that writes the certificates it issues to a directory.
type authority struct {
	dir  string
	key  *ecdsa.PrivateKey
	cert *x509.Certificate
	raw  []byte
}

func newAuthority(dir string) *authority {
	k, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	gomega.Expect(err).NotTo(gomega.HaveOccurred())
	t := &x509.Certificate{
		SerialNumber: big.NewInt(1), Subject: pkix.Name{CommonName: "authority"}, IsCA: true, BasicConstraintsValid: true,
		NotAfter: time.Now().Add(time.Hour), KeyUsage: x509.KeyUsageCertSign,
	}
	b, err := x509.CreateCertificate(rand.Reader, t, t, k.Public(), k)
	gomega.Expect(err).NotTo(gomega.HaveOccurred())
	return &authority{dir: dir, key: k, cert: t, raw: b}
}

// issue writes a certificate signed by the authority and returns settings that use it and trust the given authority.
func (a *authority) issue(name string, trusted *authority) settings.TLS {
	k, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	gomega.Expect(err).NotTo(gomega.HaveOccurred())
	t := &x509.Certificate{SerialNumber: big.NewInt(2), Subject: pkix.Name{CommonName: name}, NotAfter: time.Now().Add(time.Hour)}
	b, err := x509.CreateCertificate(rand.Reader, t, a.cert, k.Public(), a.key)
	gomega.Expect(err).NotTo(gomega.HaveOccurred())
	d, err := x509.MarshalECPrivateKey(k)
	gomega.Expect(err).NotTo(gomega.HaveOccurred())
	return settings.TLS{
		CertificateFile: a.write(name+".crt", "CERTIFICATE", b),
		KeyFile:         a.write(name+".key", "EC PRIVATE KEY", d),
		AuthorityFile:   a.write(name+".ca", "CERTIFICATE", trusted.raw),
	}
}

func (a *authority) write(name, kind string, b []byte) string {
	f := filepath.Join(a.dir, name)
	gomega.Expect(os.WriteFile(f, pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: b}), 0o600)).To(gomega.Succeed())
	return f
}

func withTLS(t settings.TLS) peer.Option {
	c, s, err := peer.NewTLS(t)
	gomega.Expect(err).NotTo(gomega.HaveOccurred())
	return peer.WithTLS(c, s)
}

var _ = ginkgo.Describe("nodes with certificates", func() {
	ginkgo.It("connect only to nodes with a certificate of their authority", func() {
		ours, theirs := newAuthority(ginkgo.GinkgoT().TempDir()), newAuthority(ginkgo.GinkgoT().TempDir())
		a, b, c := newEntry("entry-a"), newEntry("entry-b"), newEntry("entry-c")
		seeds := []settings.Seed{a.seed, b.seed, c.seed}
		a.run(seeds, withTLS(ours.issue("a", ours)))
		b.run(seeds, withTLS(ours.issue("b", ours)))
		c.run(seeds, withTLS(theirs.issue("c", ours)))
		a.activate(2)
		gomega.Eventually(revisions([]*entry{a, b}), eventuallyTimeout).Should(gomega.Equal([]uint64{2, 2}))
		gomega.Eventually(a.log.loggedReasons, eventuallyTimeout).Should(gomega.ContainElement(gomega.MatchRegexp("refused peer at .*unknown authority")))
		gomega.Expect(c.active.Current().Revision()).To(gomega.BeZero())
	})

	ginkgo.It("reload changed files without a restart", func() {
		ours, theirs := newAuthority(ginkgo.GinkgoT().TempDir()), newAuthority(ginkgo.GinkgoT().TempDir())
		a, b := newEntry("entry-a"), newEntry("entry-b")
		seeds := []settings.Seed{a.seed, b.seed}
		a.run(seeds, withTLS(ours.issue("a", ours)))
		old := theirs.issue("b", ours)
		b.run(seeds, withTLS(old))
		a.activate(2)
		gomega.Eventually(a.log.loggedReasons, eventuallyTimeout).Should(gomega.ContainElement(gomega.ContainSubstring("refused peer")))
		fresh := ours.issue("b", ours)
		for from, to := range map[string]string{fresh.CertificateFile: old.CertificateFile, fresh.KeyFile: old.KeyFile} {
			x, err := os.ReadFile(from)
			gomega.Expect(err).NotTo(gomega.HaveOccurred())
			gomega.Expect(os.WriteFile(to, x, 0o600)).To(gomega.Succeed())
		}
		gomega.Eventually(revisions([]*entry{b}), eventuallyTimeout).Should(gomega.Equal([]uint64{2}))
	})

	ginkgo.It("are not configured without certificate files", func() {
		_, _, err := peer.NewTLS(settings.TLS{CertificateFile: "none.crt", KeyFile: "none.key"})
		gomega.Expect(err).To(gomega.MatchError(gomega.ContainSubstring("certificate file none.crt: open none.crt: no such file or directory")))
	})
})

func FuzzReadFrame(f *testing.F) {
	var b bytes.Buffer
	_, _ = peer.WriteFrame(&b, &schema.Envelope{Body: &schema.Envelope_HeadRequest{HeadRequest: &schema.HeadRequest{Have: 7}}})
	f.Add(b.Bytes())
	f.Add([]byte{255, 255, 255, 255})
	f.Fuzz(func(t *testing.T, in []byte) {
		m, n, err := peer.ReadFrame(bytes.NewReader(in))
		if err == nil && (m == nil || n > len(in)) {
			t.Fatalf("%d of %d bytes", n, len(in))
		}
	})
}
