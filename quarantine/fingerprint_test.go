package quarantine

import (
	"bytes"
	"testing"

	"gotest.tools/v3/assert"
)

func TestFingerprintIdentifiesContent(t *testing.T) {
	c := Content{Method: "GET", Host: "h.example", URI: "/get/1?x=2", Body: []byte("body")}
	same := Content{Method: "GET", Host: "h.example", URI: "/get/1?x=2", Body: []byte("body")}
	assert.Equal(t, c.Fingerprint(), same.Fingerprint())
	assert.Equal(t, c.Fingerprint().shortHash(), c.shortHash())
	// Instances of different versions exchange the fingerprint, so its value must not change.
	assert.Equal(t, c.Fingerprint().String(), "db5587a40ee084b78e6f5b4386d056ddeb42feae")
	for _, other := range []*Content{
		{Method: "PUT", Host: c.Host, URI: c.URI, Body: c.Body},
		{Method: c.Method, Host: "i.example", URI: c.URI, Body: c.Body},
		{Method: c.Method, Host: c.Host, URI: "/get/1", Body: c.Body},
		{Method: c.Method, Host: c.Host, URI: c.URI, Body: []byte("bodz")},
		{Method: c.Method, Host: c.Host + "/", URI: "get/1?x=2", Body: c.Body},
	} {
		assert.Assert(t, other.Fingerprint() != c.Fingerprint(), "%+v", other)
	}
}

func BenchmarkFingerprint(b *testing.B) {
	for name, size := range map[string]int{"no-body": 0, "60-KB": 60 << 10, "1-MB": 1 << 20} {
		c := Content{Method: "POST", Host: "h.example", URI: "/get/1?x=2", Body: bytes.Repeat([]byte("x"), size)}
		b.Run(name, func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				c.hash()
			}
		})
	}
	c := Content{Method: "POST", Host: "h.example", URI: "/get/1?x=2"}
	b.Run("head", func(b *testing.B) {
		b.ReportAllocs()
		for b.Loop() {
			c.shortHash()
		}
	})
}
