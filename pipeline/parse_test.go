package pipeline

import (
	"testing"

	"gotest.tools/v3/assert"
)

func TestHeaderScannerFindsEmptyLine(t *testing.T) {
	for stream, want := range map[string]int{
		"GET / HTTP/1.1\r\nHost: h\r\n\r\nGET": 27,
		"GET / HTTP/1.1\nHost: h\n\nGET":       24,
		"GET / HTTP/1.1\nHost: h\n\r\n":        25,
		"GET / HTTP/1.1\r\n\r\r\n\r\n":         21, // a carriage return alone is not an empty line
		"GET / HTTP/1.1\r\nHost: h\r\n":        -1,
		"\r\n\r\n":                             4, // the first line break ends a line of text
		"":                                     -1,
	} {
		var whole headerScanner
		assert.Equal(t, whole.end([]byte(stream)), want, "%q", stream)
		var split headerScanner
		got := -1
		for i := 0; i < len(stream) && got < 0; i++ {
			if split.end([]byte(stream[i:i+1])) > 0 {
				got = i + 1
			}
		}
		assert.Equal(t, got, want, "%q byte by byte", stream)
	}
}

// What is skipped counts for the line that follows it.
func TestHeaderScannerAfterSkippedBytes(t *testing.T) {
	for _, test := range []struct {
		skipped, then string
		want          int
	}{
		{"text\r\n", "\r\nGET", 2},
		{"text\r\n\r", "\nGET", 1},
		{"text\r", "\n\r\n", 3},
		{"text\n\n", "\nGET /\n\n", 1},
		{"text", "\nGET\n\n", 6},
	} {
		var s headerScanner
		s.skip([]byte(test.skipped))
		assert.Equal(t, s.end([]byte(test.then)), test.want, "%q", test)
	}
}

func TestParseTakesOnlyPlainRequestsWithoutBody(t *testing.T) {
	for head, want := range map[string]bool{
		"GET /a?b HTTP/1.1\r\nHost: h\r\n\r\n":                                           true,
		"HEAD / HTTP/1.1\r\nHost: h\r\nContent-Length: 0\r\n\r\n":                        true,
		"GET / HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n":                         true,
		"POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 0\r\n\r\n":                        false,
		"DELETE / HTTP/1.1\r\nHost: h\r\n\r\n":                                           false,
		"GET / HTTP/1.0\r\nHost: h\r\nConnection: keep-alive\r\n\r\n":                    false,
		"GET / HTTP/1.1\r\n\r\n":                                                         false,
		"GET http://h/ HTTP/1.1\r\nHost: h\r\n\r\n":                                      false,
		"GET / HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n\r\n":                         false,
		"GET / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n":                false,
		"GET / HTTP/1.1\r\nHost: h\r\nExpect: 100-continue\r\n\r\n":                      false,
		"GET / HTTP/1.1\r\nHost: h\r\nConnection: upgrade\r\nUpgrade: websocket\r\n\r\n": false,
		"GET / HTTP/1.1\r\nHost: h\r\nHost: i\r\n\r\n":                                   false,
		"GET / HTTP/1.1\r\nHost h\r\n\r\n":                                               false,
		"GET / HTTP/1.1\r\nHost: h\r\nX y: a\r\n\r\n":                                    false,
		"GET / HTTP/1.1\r\nHost: h\r\nX: a\x01\r\n\r\n":                                  false,
		"GET / HTTP/1.1\r\nHost: h h\r\n\r\n":                                            false,
		"GET / HTTP/1.1\r\nHost: h/x\r\n\r\n":                                            false,
		"PRI * HTTP/2.0\r\n\r\n":                                                         false,
		"\r\nGET / HTTP/1.1\r\nHost: h\r\n\r\n":                                          false,
	} {
		assert.Equal(t, parse([]byte(head)) != nil, want, "%q", head)
	}
}
