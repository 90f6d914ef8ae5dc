package service

import (
	"strings"
	"time"

	"github.com/tarragonbank/tarragonbank/fleet/schema"
)

// Defaults of the rules that an operator may leave out.
const (
	DefaultTimeout      = 2 * time.Second
	DefaultExpectedTime = 20 * time.Millisecond
	DefaultHealthPath   = "/health"
)

// Service is one kind of work, found by path prefix or host.
type Service struct {
	Name          string
	Prefix        string
	Host          string
	Pool          string
	ReservedShare float64
	Timeout       time.Duration
	ExpectedTime  time.Duration
	NeverTwice    []string
	EchoRequestID bool
	HealthPath    string
}

// New converts a service of the schema and fills in defaults.
func New(m *schema.Service) Service {
	s := Service{
		Name:          m.Name,
		Prefix:        m.Prefix,
		Host:          m.Host,
		Pool:          m.Pool,
		ReservedShare: m.ReservedShare,
		Timeout:       DefaultTimeout,
		ExpectedTime:  DefaultExpectedTime,
		NeverTwice:    m.NeverTwice,
		EchoRequestID: m.EchoRequestId,
		HealthPath:    DefaultHealthPath,
	}
	if m.Timeout != nil {
		s.Timeout = m.Timeout.AsDuration()
	}
	if m.ExpectedTime != nil {
		s.ExpectedTime = m.ExpectedTime.AsDuration()
	}
	if m.HealthPath != "" {
		s.HealthPath = m.HealthPath
	}
	return s
}

// Matches says whether a request for the host and path belongs to the service.
func (s Service) Matches(host, path string) bool {
	if s.Host != "" && s.Host != host {
		return false
	}
	return strings.HasPrefix(path, s.Prefix)
}

// AllowsRetry says whether the rules let a request for the path run again.
func (s Service) AllowsRetry(path string) bool {
	for _, p := range s.NeverTwice {
		if strings.HasPrefix(path, p) {
			return false
		}
	}
	return true
}
