package config

import "fmt"

// StaleError reports a head that is not newer than the one in force.
type StaleError struct {
	ActiveRevision  uint64
	OfferedRevision uint64
}

// Error describes the failure in one line.
func (e *StaleError) Error() string {
	return fmt.Sprintf("revision %d is not above revision %d, which is in force", e.OfferedRevision, e.ActiveRevision)
}

// MissingSectionError reports a head whose section is not at hand.
type MissingSectionError struct {
	Name   string
	Digest Digest
}

// Error describes the failure in one line.
func (e *MissingSectionError) Error() string {
	return fmt.Sprintf("section %s with digest %s is missing", e.Name, e.Digest)
}

// CorruptError reports content that cannot be read or does not have its digest.
type CorruptError struct {
	Name   string
	Detail string
}

// Error describes the failure in one line.
func (e *CorruptError) Error() string {
	return fmt.Sprintf("%s is corrupt: %s", e.Name, e.Detail)
}
