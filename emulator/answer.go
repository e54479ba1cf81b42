package emulator

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"hash"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"

	"github.com/clementinereel/clementinereel/header"
)

// HeaderNonce is the caller's own name of a request, which Answer repeats.
const HeaderNonce = "Load-Nonce"

// Answer is the body of a target's whole answer. It names the request that
// it belongs to.
type Answer struct {
	Target string `json:"target"`
	Nonce  string `json:"nonce"`
	Method string `json:"method"`
	// Path is the request's path with its query.
	Path string `json:"path"`
	Key  string `json:"key,omitempty"`
	// Size and SHA256 describe the request's body as it arrived.
	Size   int64  `json:"size"`
	SHA256 string `json:"sha256"`
	// Pad brings the answer to Options.AnswerBytes.
	Pad string `json:"pad,omitempty"`
}

// body is a request's body on its way through a checksum.
type body struct {
	size int64
	sum  hash.Hash
}

func readBody(r io.Reader) (body, error) {
	b := body{sum: sha256.New()}
	n, err := io.Copy(b.sum, r)
	b.size = n
	return b, err
}

func newAnswer(o Options, r *http.Request, b body) Answer {
	a := Answer{
		Target: o.ID,
		Nonce:  r.Header.Get(HeaderNonce),
		Method: r.Method,
		Path:   r.URL.RequestURI(),
		Key:    operationKey(r.Header),
		Size:   b.size,
		SHA256: hex.EncodeToString(b.sum.Sum(nil)),
	}
	a.Pad = strings.Repeat("x", o.AnswerBytes)
	return a
}

// operationKey returns the name under which a run is recorded: the caller's
// own if it came through, else the fleet's.
func operationKey(h http.Header) string {
	for _, name := range []string{header.IdempotencyKey, header.OperationTicket, header.OperationKey} {
		if v := h.Get(name); v != "" {
			return v
		}
	}
	return ""
}

func writeAnswer(w http.ResponseWriter, a Answer) {
	data := encode(a)
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(data)))
	_, _ = w.Write(data)
}

// writeCut sends the first half of an answer and breaks the connection off.
func writeCut(w http.ResponseWriter, a Answer, chunked bool) {
	data := encode(a)
	w.Header().Set("Content-Type", "application/json")
	if !chunked {
		w.Header().Set("Content-Length", strconv.Itoa(len(data)))
	}
	_, _ = w.Write(data[:len(data)/2])
	_ = http.NewResponseController(w).Flush()
	panic(http.ErrAbortHandler)
}

// reset breaks the connection with a TCP reset, with nothing sent.
func reset(w http.ResponseWriter) {
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = conn.Close()
}

func encode(v any) []byte {
	data, err := json.Marshal(v)
	if err != nil {
		panic(err)
	}
	return append(data, '\n')
}
