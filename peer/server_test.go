package peer

import (
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

func serve(t *testing.T, s Settings, edit func(*http.Request)) (*httptest.ResponseRecorder, Stats) {
	t.Helper()
	_, nodes := newNodes(t, 1, s)
	defer nodes[0].listener.Close()
	nodes[0].server.Handle("/echo", http.HandlerFunc(echo))
	r := httptest.NewRequestWithContext(t.Context(), http.MethodPost, "/echo", strings.NewReader("hello"))
	edit(r)
	w := httptest.NewRecorder()
	nodes[0].server.ServeHTTP(w, r)
	return w, nodes[0].transport.Stats()
}

func TestServerBounds(t *testing.T) {
	secret := Settings{Secret: "s3cret"}
	tests := map[string]struct {
		settings Settings
		edit     func(*http.Request)
		status   int
		want     Stats
	}{
		"plain":        {edit: func(*http.Request) {}, status: 200, want: Stats{CallsIn: 1}},
		"no secret":    {secret, func(*http.Request) {}, 401, Stats{CallsIn: 1, Unauthorized: 1}},
		"wrong secret": {secret, withHeader("Authorization", "Bearer other"), 401, Stats{CallsIn: 1, Unauthorized: 1}},
		"right secret": {secret, withHeader("Authorization", "Bearer s3cret"), 200, Stats{CallsIn: 1}},
		"large body":   {Settings{MaxBody: 4}, func(*http.Request) {}, 413, Stats{CallsIn: 1, Malformed: 1}},
		"large body of unknown length": {Settings{MaxBody: 4}, func(r *http.Request) {
			r.ContentLength = -1
		}, 400, Stats{CallsIn: 1, Malformed: 1}},
		"meant for another": {edit: withHeader(HeaderTo, "i9"), status: 421, want: Stats{CallsIn: 1}},
		"relay to oneself":  {edit: withHeader(HeaderRelayTo, "i0"), status: 200, want: Stats{CallsIn: 1}},
		"second hop": {edit: func(r *http.Request) {
			r.Header.Set(HeaderRelayTo, "i1")
			r.Header.Set(HeaderRelayHops, "2")
		}, status: 400, want: Stats{CallsIn: 1, Malformed: 1}},
		"relay to nobody": {edit: func(r *http.Request) {
			r.Header.Set(HeaderRelayTo, "i1")
			r.Header.Set(HeaderRelayHops, "1")
		}, status: 502, want: Stats{CallsIn: 1, RelayedIn: 1}},
		"malformed sender": {edit: withHeader(HeaderFrom, "@@x"), status: 200, want: Stats{CallsIn: 1}},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			w, stats := serve(t, tt.settings, tt.edit)
			assert.Equal(t, w.Code, tt.status)
			assert.DeepEqual(t, stats, tt.want)
		})
	}
}

func withHeader(name, value string) func(*http.Request) {
	return func(r *http.Request) { r.Header.Set(name, value) }
}

func TestRelayNeverPassesHalfAnAnswer(t *testing.T) {
	network, nodes := newNodes(t, 3, Settings{})
	nodes[1].server.Handle("/echo", http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_, _ = io.WriteString(w, "half")
		_ = http.NewResponseController(w).Flush()
		panic(http.ErrAbortHandler)
	}))
	for _, n := range nodes {
		n.start(t)
	}
	network.set("i0", nodes[1].member.Addr, true)
	_, _, err := post(t.Context(), nodes[0], "i1", "")
	assert.Assert(t, err != nil)
}

func TestSettingsCheck(t *testing.T) {
	assert.NilError(t, Settings{}.Check())
	assert.ErrorContains(t, Settings{MaxBody: -1}.Check(), "negative bound")
	assert.ErrorContains(t, Settings{PingTimeout: -1}.Check(), "negative time")
	assert.ErrorContains(t, Settings{RetryMax: 1}.Check(), "below retry min")
}
