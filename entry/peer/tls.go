package peer

import (
	"crypto/tls"
	"crypto/x509"
	"os"
	"sync"
	"time"

	"github.com/gravitational/trace"

	"github.com/tarragonbank/tarragonbank/fleet/settings"
)

// CertificateError reports key files that cannot be used.
type CertificateError struct {
	File   string
	Detail string
}

// Error describes the failure in one line.
func (e *CertificateError) Error() string {
	return "certificate file " + e.File + ": " + e.Detail
}

// keys are the entry's certificate and the authority's, read again when their files have changed.
type keys struct {
	files settings.TLS
	lock  sync.Mutex
	read  time.Time
	own   *tls.Certificate
	roots *x509.CertPool
}

// NewTLS makes the mutual configurations of both ends; the files are read again without a restart.
// It fails with a CertificateError.
func NewTLS(f settings.TLS) (client, server *tls.Config, err error) {
	k := &keys{files: f}
	if err := k.load(); err != nil {
		return nil, nil, err
	}
	client = &tls.Config{
		MinVersion:           tls.VersionTLS13,
		InsecureSkipVerify:   true,
		GetClientCertificate: func(*tls.CertificateRequestInfo) (*tls.Certificate, error) { return k.certificate(), nil },
		VerifyConnection:     k.verify,
	}
	server = &tls.Config{
		MinVersion:       tls.VersionTLS13,
		ClientAuth:       tls.RequireAnyClientCert,
		GetCertificate:   func(*tls.ClientHelloInfo) (*tls.Certificate, error) { return k.certificate(), nil },
		VerifyConnection: k.verify,
	}
	return client, server, nil
}

// NewOperatorTLS makes the operators' configuration: their certificates are asked for, and must be the authority's where given.
// It fails with a CertificateError.
func NewOperatorTLS(f settings.TLS) (*tls.Config, error) {
	k := &keys{files: f}
	if err := k.load(); err != nil {
		return nil, err
	}
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		GetConfigForClient: func(*tls.ClientHelloInfo) (*tls.Config, error) {
			c := k.certificate()
			return &tls.Config{
				MinVersion: tls.VersionTLS13, ClientAuth: tls.VerifyClientCertIfGiven,
				ClientCAs: k.authorities(), Certificates: []tls.Certificate{*c},
			}, nil
		},
	}, nil
}

func (k *keys) authorities() *x509.CertPool {
	k.lock.Lock()
	defer k.lock.Unlock()
	return k.roots
}

func (k *keys) load() error {
	c, err := tls.LoadX509KeyPair(k.files.CertificateFile, k.files.KeyFile)
	if err != nil {
		return trace.Wrap(&CertificateError{File: k.files.CertificateFile, Detail: err.Error()})
	}
	b, err := os.ReadFile(k.files.AuthorityFile)
	if err != nil {
		return trace.Wrap(&CertificateError{File: k.files.AuthorityFile, Detail: err.Error()})
	}
	p := x509.NewCertPool()
	if !p.AppendCertsFromPEM(b) {
		return trace.Wrap(&CertificateError{File: k.files.AuthorityFile, Detail: "it holds no certificate"})
	}
	k.own = &c
	k.roots = p
	return nil
}

// changed says when the newest of the files was written.
func (k *keys) changed() time.Time {
	var newest time.Time
	for _, f := range []string{k.files.CertificateFile, k.files.KeyFile, k.files.AuthorityFile} {
		i, err := os.Stat(f)
		if err == nil && i.ModTime().After(newest) {
			newest = i.ModTime()
		}
	}
	return newest
}

// certificate is the entry's certificate; files that have become unusable leave the one at hand.
func (k *keys) certificate() *tls.Certificate {
	k.lock.Lock()
	defer k.lock.Unlock()
	if t := k.changed(); !t.Equal(k.read) && k.load() == nil {
		k.read = t
	}
	return k.own
}

// verify accepts a peer whose certificate the authority signed, whatever name it carries.
func (k *keys) verify(s tls.ConnectionState) error {
	k.certificate()
	o := x509.VerifyOptions{Roots: k.authorities(), KeyUsages: []x509.ExtKeyUsage{x509.ExtKeyUsageAny}}
	if len(s.PeerCertificates) == 0 {
		return trace.Wrap(&CertificateError{File: "of the peer", Detail: "there is none"})
	}
	_, err := s.PeerCertificates[0].Verify(o)
	return trace.Wrap(err, "verifying a peer")
}
