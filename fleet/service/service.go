package service

import (
	"strings"
	"time"

	"github.com/tarragonbank/tarragonbank/fleet/schema"
)

// Defaults of optional settings.
const (
	DefaultTimeout      = 2 * time.Second
	DefaultExpectedTime = 20 * time.Millisecond
	DefaultHealthPath   = "/health"
)

// Service is a group of requests with a common path prefix or host, pool and settings.
type Service struct {
	Name          string
	Prefix        string
	Host          string
	Pool          string
	ReservedShare float64
	Timeout       time.Duration
	ExpectedTime  time.Duration
	// NeverTwice lists the path prefixes whose requests are never retried.
	NeverTwice    []string
	EchoRequestID bool
	HealthPath    string
}

// New converts a service from the schema and fills in defaults.
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

// Matches reports whether a request for the host and path belongs to the service; an empty Host matches any host.
func (s Service) Matches(host, path string) bool {
	if s.Host != "" && s.Host != host {
		return false
	}
	return strings.HasPrefix(path, s.Prefix)
}

// AllowsRetry reports whether requests for the path may be retried, which NeverTwice forbids.
func (s Service) AllowsRetry(path string) bool {
	for _, p := range s.NeverTwice {
		if strings.HasPrefix(path, p) {
			return false
		}
	}
	return true
}
