package claim

import (
	"crypto/sha256"
	"encoding/binary"
	"strconv"

	"github.com/cespare/xxhash/v2"
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

// BucketCount is the number of records that claims are divided among.
const BucketCount = 8

// Bucket is which of the records holds the key.
func (k Key) Bucket() int {
	return int(binary.BigEndian.Uint64(k[:]) % BucketCount)
}

// Batcher is the entry that batches the claims of a bucket, by the highest hash of bucket and name;
// it only saves writes, for the store decides.
func Batcher(bucket int, names []string) string {
	owner := ""
	best := uint64(0)
	for _, n := range names {
		h := xxhash.Sum64String(strconv.Itoa(bucket) + "/" + n)
		if owner == "" || h > best {
			owner = n
			best = h
		}
	}
	return owner
}

// Claim is one request's hold on a key.
type Claim struct {
	Key   Key
	Token uint64
}
