package relay

import (
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/clementinereel/clementinereel/fleet"
)

func testRequest() *Request {
	return &Request{
		ID: "r1", Method: "POST", URI: "/a/?b=c", Host: "h", Header: http.Header{"X-A": {"1", "2"}}, HasBody: true, Version: 7, Route: "a", Service: "s",
		Class: fleet.Confirmation, MaxAttempts: 2, Objective: time.Second, Priority: 1, TargetLeft: 2 * time.Second, Left: 3 * time.Second, Body: []byte("order"),
	}
}

func TestMessagesSurviveEncoding(t *testing.T) {
	r := testRequest()
	b, err := r.Encode()
	assert.NilError(t, err)
	decoded, err := DecodeRequest(b)
	assert.NilError(t, err)
	assert.DeepEqual(t, decoded, r)

	o := &Outcome{Kind: "answered", Target: "t", Attempts: 1, Status: 200, Header: http.Header{"X-Seal": {"s"}}, Body: []byte("whole")}
	b, err = o.Encode()
	assert.NilError(t, err)
	outcome, err := DecodeOutcome(b)
	assert.NilError(t, err)
	assert.DeepEqual(t, outcome, o)
}

func TestIncompleteRequestsAreRejected(t *testing.T) {
	for name, change := range map[string]func(*Request){
		"no method":  func(r *Request) { r.Method = "" },
		"no service": func(r *Request) { r.Service = "" },
		"no class":   func(r *Request) { r.Class = 0 },
		"no time":    func(r *Request) { r.Left = 0 },
	} {
		r := testRequest()
		change(r)
		b, err := r.Encode()
		assert.NilError(t, err)
		_, err = DecodeRequest(b)
		assert.Assert(t, err != nil, name)
	}
}

// FuzzMessages checks that any bytes are either rejected or decoded, and then encoded to the same
// message.
func FuzzMessages(f *testing.F) {
	b, err := testRequest().Encode()
	if err != nil {
		f.Fatal(err)
	}
	f.Add(b)
	f.Add([]byte{0, 0, 0, 9})
	f.Fuzz(func(t *testing.T, data []byte) {
		if _, err := DecodeOutcome(data); err != nil {
			t.Log(err)
		}
		r, err := DecodeRequest(data)
		if err != nil {
			return
		}
		again, err := r.Encode()
		if err != nil {
			t.Fatal(err)
		}
		decoded, err := DecodeRequest(again)
		assert.NilError(t, err)
		assert.DeepEqual(t, decoded, r)
	})
}

// TestFieldsThatAreNotUTF8ArePassedOn guards against requests that no other instance takes, and responses
// that are lost on the way back, because of a byte in a header field of a caller or a target.
func TestFieldsThatAreNotUTF8ArePassedOn(t *testing.T) {
	fields := http.Header{"X-Name": {"J\xfcrmala"}}
	r := &Request{Method: "GET", URI: "/", Service: "s", Class: 1, MaxAttempts: 1, Left: time.Second, TargetLeft: time.Second, Header: fields}
	b, err := r.Encode()
	assert.NilError(t, err)
	got, err := DecodeRequest(b)
	assert.NilError(t, err)
	assert.DeepEqual(t, got.Header, fields)
	b, err = (&Outcome{Header: fields}).Encode()
	assert.NilError(t, err)
	o, err := DecodeOutcome(b)
	assert.NilError(t, err)
	assert.DeepEqual(t, o.Header, fields)
}
