package config

import (
	"crypto/sha256"
	"encoding/hex"
)

// DigestSize is the length of a digest in bytes.
const DigestSize = 16

// Digest is the truncated SHA-256 hash that identifies immutable content.
type Digest [DigestSize]byte

// ComputeDigest returns the digest of the content.
func ComputeDigest(b []byte) Digest {
	s := sha256.Sum256(b)
	return Digest(s[:DigestSize])
}

// String returns the digest in hexadecimal.
func (d Digest) String() string {
	return hex.EncodeToString(d[:])
}

// DigestFromBytes converts the raw bytes of a digest. It returns the zero digest if their number is not DigestSize.
func DigestFromBytes(b []byte) Digest {
	if len(b) != DigestSize {
		return Digest{}
	}
	return Digest(b)
}
