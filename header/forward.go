package header

import (
	"net/http"
	"net/textproto"
	"strings"
)

// WithoutHopByHop returns a copy of h without the hop-by-hop fields, including those
// listed in Connection. It never returns nil.
func WithoutHopByHop(h http.Header) http.Header {
	out := h.Clone()
	if out == nil {
		out = make(http.Header)
	}
	return StripHopByHop(out)
}

// StripHopByHop removes the hop-by-hop fields from h, including those listed in
// Connection, and returns h.
func StripHopByHop(h http.Header) http.Header {
	for _, line := range h["Connection"] {
		for name := range strings.SplitSeq(line, ",") {
			h.Del(textproto.TrimString(name))
		}
	}
	for _, name := range hopByHop {
		delete(h, name)
	}
	return h
}
