package config

import (
	"crypto/sha256"
	"encoding/hex"
)

// DigestSize is the length of a digest in bytes.
const DigestSize = 16

// Digest names immutable content by its hash.
type Digest [DigestSize]byte

// ComputeDigest names the content.
func ComputeDigest(b []byte) Digest {
	s := sha256.Sum256(b)
	return Digest(s[:DigestSize])
}

// String is the digest in hexadecimal.
func (d Digest) String() string {
	return hex.EncodeToString(d[:])
}

// DigestFromBytes converts raw bytes; anything of another length gives the zero digest.
func DigestFromBytes(b []byte) Digest {
	if len(b) != DigestSize {
		return Digest{}
	}
	return Digest(b)
}
