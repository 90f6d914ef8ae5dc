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

// Defaults of the settings that a document may leave out.
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
	limitCeiling            = 1 << 30
)

// Settings is what one entry process is told when it starts.
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
	SharePolicy           string
	AdmissionPolicy       string
	WatchPolicy           WatchPolicy
	TLS                   TLS
}

// Seed is a peer that is tried before any membership is known.
type Seed struct {
	Name       string
	DataCentre string
	Address    netip.AddrPort
}

// TLS names the files of the mutual certificates between entries.
type TLS struct {
	CertificateFile string
	KeyFile         string
	AuthorityFile   string
}

// Enabled says whether the entries speak over TLS.
func (t TLS) Enabled() bool {
	return t.CertificateFile != ""
}

// Load reads the settings in a file; it fails with the types of package document.
func Load(file string) (*Settings, error) {
	b, err := os.ReadFile(file)
	if err != nil {
		return nil, trace.ConvertSystemError(err)
	}
	return Parse(file, b)
}

// Parse reads settings from TOML text; it fails with the types of package document.
func Parse(file string, text []byte) (*Settings, error) {
	m := &schema.Settings{}
	d, err := document.Decode(file, text, m)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	r := reader{document: d}
	s := &Settings{
		Name:                  r.required("name", m.Name),
		DataCentre:            r.required("dataCentre", m.DataCentre),
		Region:                r.required("region", m.Region),
		CallerAddress:         r.address("callerAddress", m.CallerAddress),
		PeerAddress:           r.address("peerAddress", m.PeerAddress),
		AdvertisedPeerAddress: r.address("advertisedPeerAddress", fallback(m.AdvertisedPeerAddress, m.PeerAddress)),
		OperatorAddress:       r.address("operatorAddress", m.OperatorAddress),
		OutgoingAddress:       r.ip("outgoingAddress", m.OutgoingAddress),
		PlatformAddress:       r.address("platformAddress", m.PlatformAddress),
		Seeds:                 r.seeds(m.Peers),
		LogLevel:              r.level("logLevel", m.LogLevel),
		Profiling:             m.Profiling,
		OperatorToken:         m.OperatorToken,
		BalancerWait:          r.duration("balancerWait", m.BalancerWait, DefaultBalancerWait),
		DrainLimit:            r.duration("drainLimit", m.DrainLimit, DefaultDrainLimit),
		ExchangeInterval:      r.duration("exchangeInterval", m.ExchangeInterval, DefaultExchangeInterval),
		ListInterval:          r.duration("listInterval", m.ListInterval, DefaultListInterval),
		StallLimit:            r.duration("stallLimit", m.StallLimit, DefaultStallLimit),
		BodyLimitBytes:        r.limit("bodyLimitBytes", m.BodyLimitBytes, DefaultBodyLimitBytes),
		AnswerLimitBytes:      r.limit("answerLimitBytes", m.AnswerLimitBytes, DefaultAnswerLimitBytes),
		SharePolicy:           fallback(m.SharePolicy, DefaultSharePolicy),
		AdmissionPolicy:       fallback(m.AdmissionPolicy, DefaultAdmissionPolicy),
		WatchPolicy:           r.watch("watchPolicy", m.WatchPolicy),
		TLS:                   r.tls(m.Tls),
	}
	return s, trace.Wrap(r.err)
}

// reader converts values and keeps the first failure.
type reader struct {
	document *document.Document
	err      error
}

func (r *reader) fail(key, expected, found string) {
	if r.err == nil {
		r.err = r.document.NewRangeError(key, expected, found)
	}
}

func (r *reader) required(key, v string) string {
	if v == "" {
		r.fail(key, "a name", v)
	}
	return v
}

func (r *reader) address(key, v string) netip.AddrPort {
	a, err := netip.ParseAddrPort(v)
	if err != nil {
		r.fail(key, "an IP address and port", v)
	}
	return a
}

func (r *reader) ip(key, v string) netip.Addr {
	if v == "" {
		return netip.Addr{}
	}
	a, err := netip.ParseAddr(v)
	if err != nil {
		r.fail(key, "an IP address", v)
	}
	return a
}

func (r *reader) level(key, v string) logrus.Level {
	l, err := logrus.ParseLevel(fallback(v, DefaultLogLevel))
	if err != nil {
		r.fail(key, "a log level such as info", v)
	}
	return l
}

func (r *reader) duration(key string, v *durationpb.Duration, d time.Duration) time.Duration {
	if v == nil {
		return d
	}
	if v.AsDuration() <= 0 {
		r.fail(key, "a duration above 0s", v.AsDuration().String())
	}
	return v.AsDuration()
}

func (r *reader) limit(key string, v, d int64) int64 {
	if v == 0 {
		return d
	}
	if v < 0 || v > limitCeiling {
		r.fail(key, "1 to "+strconv.Itoa(limitCeiling)+" bytes", strconv.FormatInt(v, 10))
	}
	return v
}

func (r *reader) watch(key, v string) WatchPolicy {
	if v == "" {
		return WatchOnePerDataCentre
	}
	p, err := WatchPolicyString(v)
	if err != nil {
		r.fail(key, "one of "+strings.Join(WatchPolicyStrings(), ", "), v)
	}
	return p
}

func (r *reader) seeds(l []*schema.Seed) []Seed {
	s := make([]Seed, 0, len(l))
	for i, p := range l {
		k := "peers[" + strconv.Itoa(i) + "]."
		s = append(s, Seed{
			Name:       r.required(k+"name", p.Name),
			DataCentre: r.required(k+"dataCentre", p.DataCentre),
			Address:    r.address(k+"address", p.Address),
		})
	}
	return s
}

func (r *reader) tls(t *schema.Tls) TLS {
	if t == nil {
		return TLS{}
	}
	return TLS{
		CertificateFile: r.required("tls.certificateFile", t.CertificateFile),
		KeyFile:         r.required("tls.keyFile", t.KeyFile),
		AuthorityFile:   r.required("tls.authorityFile", t.AuthorityFile),
	}
}

func fallback(v, d string) string {
	if v == "" {
		return d
	}
	return v
}
