package config

import "fmt"

// StaleError reports a head that is not newer than the active one.
type StaleError struct {
	ActiveRevision  uint64
	OfferedRevision uint64
}

// Error implements error.
func (e *StaleError) Error() string {
	return fmt.Sprintf("revision %d is not newer than the active revision %d", e.OfferedRevision, e.ActiveRevision)
}

// MissingSectionError reports a section that a head references and whose content is not available.
type MissingSectionError struct {
	Name   string
	Digest Digest
}

// Error implements error.
func (e *MissingSectionError) Error() string {
	return fmt.Sprintf("section %s with digest %s is missing", e.Name, e.Digest)
}

// CorruptError reports content that cannot be decoded or does not match its digest.
type CorruptError struct {
	Name   string
	Detail string
}

// Error implements error.
func (e *CorruptError) Error() string {
	return fmt.Sprintf("%s is corrupt: %s", e.Name, e.Detail)
}
