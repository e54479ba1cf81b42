package quarantine

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"io"
	"sync"

	"github.com/cespare/xxhash/v2"
)

// Content is the part of a request that determines how a target handles it: requests with equal
// content are treated as the same request. The header is left out, since it also describes the
// single attempt (request ID, time left, connection).
type Content struct {
	Method, Host string
	// URI is the path and query as the caller sent them.
	URI  string
	Body []byte

	hashOnce    sync.Once
	fingerprint Fingerprint
}

// shortHash is a cheap hash of everything but the body. It needs no collision resistance:
// it only decides whether the fingerprint is computed.
type shortHash uint32

func (c *Content) shortHash() shortHash {
	var d xxhash.Digest
	d.Reset()
	for _, s := range [...]string{c.Method, "\x00", c.Host, "\x00", c.URI} {
		_, _ = d.WriteString(s) // never fails
	}
	return shortHash(d.Sum64())
}

// Sizes in bytes. With a strong part of 128 bits, forging a request that is taken for a given request of
// another caller (a second preimage) takes 2^128 attempts.
const (
	shortSize  = 4
	strongSize = 16
)

// Fingerprint identifies a content. It is the same on all instances and in all versions.
type Fingerprint [shortSize + strongSize]byte

// Fingerprint returns the content's fingerprint. The first call hashes the whole body.
func (c *Content) Fingerprint() Fingerprint {
	c.hashOnce.Do(func() { c.fingerprint = c.hash() })
	return c.fingerprint
}

func (c *Content) hash() Fingerprint {
	var f Fingerprint
	binary.BigEndian.PutUint32(f[:shortSize], uint32(c.shortHash()))
	h := sha256.New()
	var size [8]byte
	for _, s := range [...]string{c.Method, c.Host, c.URI} {
		binary.BigEndian.PutUint64(size[:], uint64(len(s)))
		_, _ = h.Write(size[:]) // never fails
		_, _ = io.WriteString(h, s)
	}
	_, _ = h.Write(c.Body)
	copy(f[shortSize:], h.Sum(nil))
	return f
}

// shortHash returns the part computed by Content.shortHash.
func (f Fingerprint) shortHash() shortHash { return shortHash(binary.BigEndian.Uint32(f[:shortSize])) }

// String returns the fingerprint in hexadecimal, as in logs and commands.
func (f Fingerprint) String() string { return hex.EncodeToString(f[:]) }
