package claim

import (
	"crypto/sha256"
	"encoding/binary"
	"strconv"

	"github.com/cespare/xxhash/v2"
)

// KeySize is the length of a key in bytes.
const KeySize = 16

// Key is the hash of a service name and an idempotency key.
type Key [KeySize]byte

// NewKey returns the Key for an idempotency key of a service.
func NewKey(service, key string) Key {
	s := sha256.Sum256([]byte(service + "\x00" + key))
	return Key(s[:KeySize])
}

// BucketCount is the number of buckets that keys are hashed into.
const BucketCount = 8

// Bucket returns the number of the bucket that holds the key, from 0 to BucketCount-1.
func (k Key) Bucket() int {
	return int(binary.BigEndian.Uint64(k[:]) % BucketCount)
}

// Batcher returns the name of the entry that batches the claims of a bucket, chosen by rendezvous hashing,
// or "" if there are no names. Batching only reduces the number of writes: entries that disagree on the batcher
// are safe, because the compare-and-swap in the store decides who gets a key.
func Batcher(bucket int, names []string) string {
	batcher := ""
	best := uint64(0)
	for _, n := range names {
		h := xxhash.Sum64String(strconv.Itoa(bucket) + "/" + n)
		if batcher == "" || h > best {
			batcher = n
			best = h
		}
	}
	return batcher
}

// Claim is the claim of a request to a key. Token is unique to the request.
type Claim struct {
	Key   Key
	Token uint64
}
