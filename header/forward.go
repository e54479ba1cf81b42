package header

import (
	"net/http"
	"net/textproto"
	"strings"
)

// Forwarded returns a copy of a message's header without the fields that hold
// for one connection only, those named by Connection included.
func Forwarded(h http.Header) http.Header {
	out := h.Clone()
	if out == nil {
		out = make(http.Header)
	}
	return Strip(out)
}

// Strip takes the fields that hold for one connection only off a header, and
// returns it.
func Strip(h http.Header) http.Header {
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
