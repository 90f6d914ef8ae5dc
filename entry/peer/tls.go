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

// CertificateError reports an unusable certificate.
type CertificateError struct {
	File   string
	Detail string
}

// Error implements error.
func (e *CertificateError) Error() string {
	return "certificate file " + e.File + ": " + e.Detail
}

// certificateReloader holds the entry's certificate and the authority's, and reloads them when their files change.
type certificateReloader struct {
	files       settings.TLS
	lock        sync.Mutex
	modifiedAt  time.Time
	certificate *tls.Certificate
	roots       *x509.CertPool
}

// NewTLS returns the client and server configurations for mutual TLS between entries. Changed files are reloaded
// without a restart. It fails with a CertificateError.
func NewTLS(f settings.TLS) (client, server *tls.Config, err error) {
	r := &certificateReloader{files: f}
	if err := r.load(); err != nil {
		return nil, nil, err
	}
	client = &tls.Config{
		MinVersion: tls.VersionTLS13,
		// VerifyConnection checks the certificate instead, without the host name.
		InsecureSkipVerify:   true,
		GetClientCertificate: func(*tls.CertificateRequestInfo) (*tls.Certificate, error) { return r.currentCertificate(), nil },
		VerifyConnection:     r.verifyPeer,
	}
	server = &tls.Config{
		MinVersion:       tls.VersionTLS13,
		ClientAuth:       tls.RequireAnyClientCert,
		GetCertificate:   func(*tls.ClientHelloInfo) (*tls.Certificate, error) { return r.currentCertificate(), nil },
		VerifyConnection: r.verifyPeer,
	}
	return client, server, nil
}

// NewOperatorTLS returns the server configuration for operators. Client certificates are optional, but must be signed
// by the authority. Changed files are reloaded without a restart. It fails with a CertificateError.
func NewOperatorTLS(f settings.TLS) (*tls.Config, error) {
	r := &certificateReloader{files: f}
	if err := r.load(); err != nil {
		return nil, err
	}
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		GetConfigForClient: func(*tls.ClientHelloInfo) (*tls.Config, error) {
			c := r.currentCertificate()
			return &tls.Config{
				MinVersion: tls.VersionTLS13, ClientAuth: tls.VerifyClientCertIfGiven,
				ClientCAs: r.currentRoots(), Certificates: []tls.Certificate{*c},
			}, nil
		},
	}, nil
}

func (r *certificateReloader) currentRoots() *x509.CertPool {
	r.lock.Lock()
	defer r.lock.Unlock()
	return r.roots
}

func (r *certificateReloader) load() error {
	c, err := tls.LoadX509KeyPair(r.files.CertificateFile, r.files.KeyFile)
	if err != nil {
		return trace.Wrap(&CertificateError{File: r.files.CertificateFile, Detail: err.Error()})
	}
	b, err := os.ReadFile(r.files.AuthorityFile)
	if err != nil {
		return trace.Wrap(&CertificateError{File: r.files.AuthorityFile, Detail: err.Error()})
	}
	p := x509.NewCertPool()
	if !p.AppendCertsFromPEM(b) {
		return trace.Wrap(&CertificateError{File: r.files.AuthorityFile, Detail: "no PEM certificate found"})
	}
	r.certificate = &c
	r.roots = p
	return nil
}

// newestModTime returns the latest modification time of the files.
func (r *certificateReloader) newestModTime() time.Time {
	var newest time.Time
	for _, f := range []string{r.files.CertificateFile, r.files.KeyFile, r.files.AuthorityFile} {
		i, err := os.Stat(f)
		if err == nil && i.ModTime().After(newest) {
			newest = i.ModTime()
		}
	}
	return newest
}

// currentCertificate returns the entry's certificate, reloaded if the files have changed. If the changed files are
// unusable, it keeps the previous certificates.
func (r *certificateReloader) currentCertificate() *tls.Certificate {
	r.lock.Lock()
	defer r.lock.Unlock()
	if t := r.newestModTime(); !t.Equal(r.modifiedAt) && r.load() == nil {
		r.modifiedAt = t
	}
	return r.certificate
}

// verifyPeer accepts any certificate that the authority signed, regardless of its name.
func (r *certificateReloader) verifyPeer(s tls.ConnectionState) error {
	r.currentCertificate()
	o := x509.VerifyOptions{Roots: r.currentRoots(), KeyUsages: []x509.ExtKeyUsage{x509.ExtKeyUsageAny}}
	if len(s.PeerCertificates) == 0 {
		return trace.Wrap(&CertificateError{File: "of the peer", Detail: "none was presented"})
	}
	_, err := s.PeerCertificates[0].Verify(o)
	return trace.Wrap(err, "verifying the peer's certificate")
}
