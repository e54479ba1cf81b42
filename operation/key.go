package operation

import (
	"crypto/sha256"
	"encoding/hex"

	"github.com/cespare/xxhash/v2"

	"github.com/clementinereel/clementinereel/fleet"
)

// MaxKeyLen bounds an idempotency key, in bytes.
const MaxKeyLen = 255

// Key names an operation: the caller's idempotency key within a customer.
type Key struct {
	Customer fleet.CustomerID `json:"customer"`
	Name     string           `json:"key"`
}

// Partition returns the partition of the key, from 0 to n-1.
func (k Key) Partition(n int) int {
	h := xxhash.New()
	_, _ = h.WriteString(string(k.Customer))
	_, _ = h.Write([]byte{0})
	_, _ = h.WriteString(k.Name)
	return int(h.Sum64() % uint64(n))
}

// ValidKey tells whether a caller's key is usable: 1 to MaxKeyLen printable
// ASCII characters.
func ValidKey(key string) bool {
	if key == "" || len(key) > MaxKeyLen {
		return false
	}
	for _, c := range []byte(key) {
		if c < 0x20 || c > 0x7e {
			return false
		}
	}
	return true
}

// Digest is the SHA-256 of a request, in hexadecimal. Two requests with the
// same key and different digests are different operations.
type Digest string

// NewDigest returns the digest of a request.
func NewDigest(route, method, path, query string, body []byte) Digest {
	h := sha256.New()
	for _, s := range []string{route, method, path, query} {
		_, _ = h.Write([]byte(s))
		_, _ = h.Write([]byte{0})
	}
	_, _ = h.Write(body)
	return Digest(hex.EncodeToString(h.Sum(nil)))
}
