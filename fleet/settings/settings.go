package settings

import (
	"net/netip"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/gravitational/trace"
	"github.com/sirupsen/logrus"
	"google.golang.org/protobuf/types/known/durationpb"

	"github.com/tarragonbank/tarragonbank/fleet/document"
	"github.com/tarragonbank/tarragonbank/fleet/schema"
)

// Defaults of the optional settings.
const (
	DefaultBalancerWait     = 2 * time.Second
	DefaultDrainLimit       = 30 * time.Second
	DefaultExchangeInterval = 500 * time.Millisecond
	DefaultListInterval     = time.Second
	DefaultStallLimit       = time.Second
	DefaultBodyLimitBytes   = 1 << 20
	DefaultAnswerLimitBytes = 8 << 20
	DefaultSharePolicy      = "lending"
	DefaultAdmissionPolicy  = "deadline"
	DefaultLogLevel         = "info"
	DefaultMemoryLimitBytes = 256 << 20
	DefaultDescriptorLimit  = 4096
	// maxLimitBytes is the largest value that the settings bodyLimitBytes and answerLimitBytes accept, minMemoryLimitBytes and
	// minDescriptorLimit are the smallest ones of memoryLimitBytes and descriptorLimit.
	maxLimitBytes       = 1 << 30
	minMemoryLimitBytes = 64 << 20
	minDescriptorLimit  = 256
)

// Settings holds the startup settings of an entry. The schema message of this name describes the fields.
type Settings struct {
	Name                  string
	DataCentre            string
	Region                string
	CallerAddress         netip.AddrPort
	PeerAddress           netip.AddrPort
	AdvertisedPeerAddress netip.AddrPort
	OperatorAddress       netip.AddrPort
	OutgoingAddress       netip.Addr
	PlatformAddress       netip.AddrPort
	Seeds                 []Seed
	LogLevel              logrus.Level
	Profiling             bool
	OperatorToken         string
	BalancerWait          time.Duration
	DrainLimit            time.Duration
	ExchangeInterval      time.Duration
	ListInterval          time.Duration
	StallLimit            time.Duration
	BodyLimitBytes        int64
	AnswerLimitBytes      int64
	MemoryLimitBytes      int64
	DescriptorLimit       int64
	SharePolicy           string
	AdmissionPolicy       string
	WatchPolicy           WatchPolicy
	TLS                   TLS
}

// Seed is a peer that the entry contacts before it knows any members.
type Seed struct {
	Name       string
	DataCentre string
	Address    netip.AddrPort
}

// TLS holds the paths of the PEM files for mutual TLS between entries.
type TLS struct {
	CertificateFile string
	KeyFile         string
	AuthorityFile   string
}

// Enabled reports whether entries connect to each other over TLS.
func (t TLS) Enabled() bool {
	return t.CertificateFile != ""
}

// Load reads settings from a TOML file. It fails with the error types of package document, or with a system error if
// the file cannot be read.
func Load(file string) (*Settings, error) {
	b, err := os.ReadFile(file)
	if err != nil {
		return nil, trace.ConvertSystemError(err)
	}
	return Parse(file, b)
}

// Parse reads settings from the TOML text of a file and fills in defaults. It fails with the error types of package
// document.
func Parse(file string, text []byte) (*Settings, error) {
	m := &schema.Settings{}
	d, err := document.Decode(file, text, m)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	c := converter{document: d}
	s := &Settings{
		Name:                  c.requiredString("name", m.Name),
		DataCentre:            c.requiredString("dataCentre", m.DataCentre),
		Region:                c.requiredString("region", m.Region),
		CallerAddress:         c.addressAndPort("callerAddress", m.CallerAddress),
		PeerAddress:           c.addressAndPort("peerAddress", m.PeerAddress),
		AdvertisedPeerAddress: c.addressAndPort("advertisedPeerAddress", valueOrDefault(m.AdvertisedPeerAddress, m.PeerAddress)),
		OperatorAddress:       c.addressAndPort("operatorAddress", m.OperatorAddress),
		OutgoingAddress:       c.ipAddress("outgoingAddress", m.OutgoingAddress),
		PlatformAddress:       c.addressAndPort("platformAddress", m.PlatformAddress),
		Seeds:                 c.seeds(m.Peers),
		LogLevel:              c.logLevel("logLevel", m.LogLevel),
		Profiling:             m.Profiling,
		OperatorToken:         m.OperatorToken,
		BalancerWait:          c.duration("balancerWait", m.BalancerWait, DefaultBalancerWait),
		DrainLimit:            c.duration("drainLimit", m.DrainLimit, DefaultDrainLimit),
		ExchangeInterval:      c.duration("exchangeInterval", m.ExchangeInterval, DefaultExchangeInterval),
		ListInterval:          c.duration("listInterval", m.ListInterval, DefaultListInterval),
		StallLimit:            c.duration("stallLimit", m.StallLimit, DefaultStallLimit),
		BodyLimitBytes:        c.limitBytes("bodyLimitBytes", m.BodyLimitBytes, DefaultBodyLimitBytes),
		AnswerLimitBytes:      c.limitBytes("answerLimitBytes", m.AnswerLimitBytes, DefaultAnswerLimitBytes),
		MemoryLimitBytes:      c.atLeast("memoryLimitBytes", "bytes", m.MemoryLimitBytes, minMemoryLimitBytes, DefaultMemoryLimitBytes),
		DescriptorLimit:       c.atLeast("descriptorLimit", "descriptors", m.DescriptorLimit, minDescriptorLimit, DefaultDescriptorLimit),
		SharePolicy:           valueOrDefault(m.SharePolicy, DefaultSharePolicy),
		AdmissionPolicy:       valueOrDefault(m.AdmissionPolicy, DefaultAdmissionPolicy),
		WatchPolicy:           c.watchPolicy("watchPolicy", m.WatchPolicy),
		TLS:                   c.tls(m.Tls),
	}
	return s, trace.Wrap(c.err)
}

// converter converts the values of a document and keeps the first error.
type converter struct {
	document *document.Document
	err      error
}

func (c *converter) fail(key, expected, found string) {
	if c.err == nil {
		c.err = c.document.NewRangeError(key, expected, found)
	}
}

func (c *converter) requiredString(key, v string) string {
	if v == "" {
		c.fail(key, "a name", v)
	}
	return v
}

func (c *converter) addressAndPort(key, v string) netip.AddrPort {
	a, err := netip.ParseAddrPort(v)
	if err != nil {
		c.fail(key, "an IP address and port", v)
	}
	return a
}

func (c *converter) ipAddress(key, v string) netip.Addr {
	if v == "" {
		return netip.Addr{}
	}
	a, err := netip.ParseAddr(v)
	if err != nil {
		c.fail(key, "an IP address", v)
	}
	return a
}

func (c *converter) logLevel(key, v string) logrus.Level {
	l, err := logrus.ParseLevel(valueOrDefault(v, DefaultLogLevel))
	if err != nil {
		c.fail(key, "a log level such as info", v)
	}
	return l
}

func (c *converter) duration(key string, v *durationpb.Duration, d time.Duration) time.Duration {
	if v == nil {
		return d
	}
	if v.AsDuration() <= 0 {
		c.fail(key, "a duration above 0s", v.AsDuration().String())
	}
	return v.AsDuration()
}

func (c *converter) limitBytes(key string, v, d int64) int64 {
	if v == 0 {
		return d
	}
	if v < 0 || v > maxLimitBytes {
		c.fail(key, "1 to "+strconv.Itoa(maxLimitBytes)+" bytes", strconv.FormatInt(v, 10))
	}
	return v
}

// atLeast returns v, or the default d if v is 0.
func (c *converter) atLeast(key, unit string, v, least, d int64) int64 {
	if v == 0 {
		return d
	}
	if v < least {
		c.fail(key, "at least "+strconv.FormatInt(least, 10)+" "+unit, strconv.FormatInt(v, 10))
	}
	return v
}

func (c *converter) watchPolicy(key, v string) WatchPolicy {
	if v == "" {
		return WatchOnePerDataCentre
	}
	p, err := WatchPolicyString(v)
	if err != nil {
		c.fail(key, "one of "+strings.Join(WatchPolicyStrings(), ", "), v)
	}
	return p
}

func (c *converter) seeds(l []*schema.Seed) []Seed {
	s := make([]Seed, 0, len(l))
	for i, p := range l {
		k := "peers[" + strconv.Itoa(i) + "]."
		s = append(s, Seed{
			Name:       c.requiredString(k+"name", p.Name),
			DataCentre: c.requiredString(k+"dataCentre", p.DataCentre),
			Address:    c.addressAndPort(k+"address", p.Address),
		})
	}
	return s
}

func (c *converter) tls(t *schema.Tls) TLS {
	if t == nil {
		return TLS{}
	}
	return TLS{
		CertificateFile: c.requiredString("tls.certificateFile", t.CertificateFile),
		KeyFile:         c.requiredString("tls.keyFile", t.KeyFile),
		AuthorityFile:   c.requiredString("tls.authorityFile", t.AuthorityFile),
	}
}

func valueOrDefault(v, d string) string {
	if v == "" {
		return d
	}
	return v
}
