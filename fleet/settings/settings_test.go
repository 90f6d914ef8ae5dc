package settings_test

import (
	"net/netip"
	"strings"
	"testing"
	"time"

	"github.com/gravitational/trace"
	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"
	"github.com/sirupsen/logrus"

	"github.com/tarragonbank/tarragonbank/fleet/settings"
	"github.com/tarragonbank/tarragonbank/fleet/suite"
)

func TestSettings(t *testing.T) {
	suite.Run(t, "settings")
}

const minimal = `name = "entry-1"
dataCentre = "arusha-1"
region = "arusha"
callerAddress = "127.0.0.1:8080"
peerAddress = "127.0.0.1:7443"
operatorAddress = "127.0.0.1:9090"
platformAddress = "127.0.0.1:2379"
`

var _ = ginkgo.Describe("Parse", func() {
	ginkgo.It("fills in defaults", func() {
		s, err := settings.Parse("entry.toml", []byte(minimal+"[[peers]]\nname = \"entry-2\"\ndataCentre = \"arusha-2\"\naddress = \"127.0.0.2:7443\"\n"))
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		gomega.Expect(s).To(gomega.Equal(&settings.Settings{
			Name: "entry-1", DataCentre: "arusha-1", Region: "arusha",
			CallerAddress:         netip.MustParseAddrPort("127.0.0.1:8080"),
			PeerAddress:           netip.MustParseAddrPort("127.0.0.1:7443"),
			AdvertisedPeerAddress: netip.MustParseAddrPort("127.0.0.1:7443"),
			OperatorAddress:       netip.MustParseAddrPort("127.0.0.1:9090"),
			PlatformAddress:       netip.MustParseAddrPort("127.0.0.1:2379"),
			Seeds:                 []settings.Seed{{Name: "entry-2", DataCentre: "arusha-2", Address: netip.MustParseAddrPort("127.0.0.2:7443")}},
			LogLevel:              logrus.InfoLevel, BalancerWait: 2 * time.Second, DrainLimit: 30 * time.Second,
			ExchangeInterval: 500 * time.Millisecond, ListInterval: time.Second, StallLimit: time.Second,
			BodyLimitBytes: 1 << 20, AnswerLimitBytes: 8 << 20, MemoryLimitBytes: 256 << 20, DescriptorLimit: 4096, SharePolicy: "lending", AdmissionPolicy: "deadline",
		}))
	})
})

var _ = ginkgo.DescribeTable("Parse rejects",
	func(old, replacement, want string) {
		_, err := settings.Parse("entry.toml", []byte(strings.Replace(minimal, old, replacement, 1)))
		gomega.Expect(trace.Unwrap(err)).To(gomega.MatchError(want))
	},
	ginkgo.Entry("an unknown key", "region =", "zone = \"a\"\nregion =",
		"entry.toml:3: zone: unknown key, expected one of admissionPolicy, advertisedPeerAddress, answerLimitBytes, balancerWait, bodyLimitBytes, callerAddress, dataCentre, descriptorLimit, drainLimit, exchangeInterval, listInterval, logLevel, memoryLimitBytes, name, operatorAddress, operatorToken, outgoingAddress, peerAddress, peers, platformAddress, profiling, region, sharePolicy, stallLimit, tls, watchPolicy"),
	ginkgo.Entry("no name", `"entry-1"`, `""`, `entry.toml:1: name: expected a name, found ""`),
	ginkgo.Entry("a host name", "127.0.0.1:8080", "localhost:8080", `entry.toml:4: callerAddress: expected an IP address and port, found "localhost:8080"`),
	ginkgo.Entry("an address without a port", "127.0.0.1:2379", "127.0.0.1", `entry.toml:7: platformAddress: expected an IP address and port, found "127.0.0.1"`),
	ginkgo.Entry("an invalid outgoing address", "region =", "outgoingAddress = \"10.0.0\"\nregion =", `entry.toml:3: outgoingAddress: expected an IP address, found "10.0.0"`),
	ginkgo.Entry("an unknown log level", "region =", "logLevel = \"loud\"\nregion =", `entry.toml:3: logLevel: expected a log level such as info, found "loud"`),
	ginkgo.Entry("a negative duration", "region =", "drainLimit = \"-1s\"\nregion =", `entry.toml:3: drainLimit: expected a duration above 0s, found "-1s"`),
	ginkgo.Entry("a limit that is too small", "region =", "descriptorLimit = 10\nregion =", `entry.toml:3: descriptorLimit: expected at least 256 descriptors, found "10"`),
	ginkgo.Entry("a limit that is too large", "region =", "bodyLimitBytes = 9000000000\nregion =", `entry.toml:3: bodyLimitBytes: expected 1 to 1073741824 bytes, found "9000000000"`),
)
