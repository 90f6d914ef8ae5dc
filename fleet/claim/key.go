package claim

import (
	"crypto/sha256"
	"encoding/binary"
)

// KeySize is the length of a key in bytes.
const KeySize = 16

// Key is the hash of a service and a request key.
type Key [KeySize]byte

// NewKey hashes the service and the request key.
func NewKey(service, key string) Key {
	s := sha256.Sum256([]byte(service + "\x00" + key))
	return Key(s[:KeySize])
}

// Bucket is which of n buckets holds the key.
func (k Key) Bucket(n int) int {
	return int(binary.BigEndian.Uint64(k[:]) % uint64(n))
}

// Claim is one request's hold on a key.
type Claim struct {
	Key   Key
	Token uint64
}
