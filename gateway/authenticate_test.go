package gateway

import (
	"context"
	"io"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/clementinereel/clementinereel/credential"
	"github.com/clementinereel/clementinereel/document"
	"github.com/clementinereel/clementinereel/fleet"
)

const (
	tenantHeader = "X-Tenant"
	// secretPart is in all keys of the tests and must not appear in any output.
	secretPart = "s3cr3t"
	goodKey    = secretPart + "-a"
)

var testKeys = KeySettings{Scheme: "Token", TenantHeader: tenantHeader}

// tenantDocument requires keys, and has an anonymous route besides those of testDocument.
func tenantDocument(tenants ...document.Tenant) *document.Document {
	d := testDocument()
	d.KeysRequired, d.Tenants = true, tenants
	d.Routes = append(d.Routes, document.Route{
		Name: "open", Host: "h", Prefix: "/open/", Class: fleet.Lookup, MaxAttempts: 2, Timeout: routeTimeout, AllowAnonymous: true, Backends: d.Routes[0].Backends,
	})
	d.Routes = append(d.Routes, document.Route{
		Name: "later", Host: "h", Prefix: "/later/", Class: fleet.Lookup, MaxAttempts: 2, Timeout: routeTimeout, Priority: 2, Backends: d.Routes[0].Backends,
	})
	return d
}

// headerRecorder is a target that records the headers of its requests.
type headerRecorder struct {
	*backend
	mu      sync.Mutex
	headers []http.Header
}

func newHeaderRecorder(t *testing.T) *headerRecorder {
	r := new(headerRecorder)
	r.backend = newBackend(t, func(w http.ResponseWriter, req *http.Request) {
		r.mu.Lock()
		r.headers = append(r.headers, req.Header.Clone())
		r.mu.Unlock()
		respondWith(http.StatusOK)(w, req)
	})
	return r
}

// take returns the headers recorded since the last call.
func (r *headerRecorder) take() []http.Header {
	r.mu.Lock()
	defer r.mu.Unlock()
	taken := r.headers
	r.headers = nil
	return taken
}

// launchWithTenants starts an instance that authenticates callers.
func launchWithTenants(t *testing.T, d *document.Document, b *backend) (string, *Gateway, *fakeStore) {
	store := &fakeStore{document: d, updates: make(chan *document.Document)}
	s := testSettings(t)
	s.Keys = testKeys
	store.addTargets(b)
	url, g, _ := launch(t, s, store, func(*Gateway) {})
	waitReady(t, g)
	return url, g, store
}

// sendWithHeader sends a GET request with the header and returns the status, body and header of the response.
func sendWithHeader(t *testing.T, url string, h http.Header) (int, string, http.Header) {
	req, err := http.NewRequestWithContext(context.Background(), http.MethodGet, url, nil)
	assert.NilError(t, err)
	req.Host, req.Header = "h", h
	req.Header.Set(headerNames.RequestID, "r1")
	resp, err := http.DefaultTransport.RoundTrip(req)
	assert.NilError(t, err)
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	assert.NilError(t, err)
	return resp.StatusCode, string(body), resp.Header
}

// TestRequestsRunAsTheTenantOfTheirKey checks who a target is told that a request comes from, whatever the
// caller claims, and that no target sees a key.
func TestRequestsRunAsTheTenantOfTheirKey(t *testing.T) {
	target := newHeaderRecorder(t)
	url, _, _ := launchWithTenants(t, tenantDocument(document.Tenant{Name: "a", Keys: []credential.Key{goodKey}}), target.backend)
	for _, c := range []struct {
		path   string
		header http.Header
		status int
		tenant []string
	}{
		{"/get/", http.Header{"Authorization": {"Token " + goodKey}}, http.StatusOK, []string{"a"}},
		{"/get/", http.Header{"Authorization": {"token  " + goodKey}, "X-Tenant": {"b", "c"}}, http.StatusOK, []string{"a"}},
		{"/get/", http.Header{"authorization": {"Token " + goodKey}, "x-tenant": {"b"}, "X_tenant": {"c"}}, http.StatusOK, []string{"a"}},
		{"/get/", http.Header{"Authorization": {"Token " + goodKey}, "Connection": {"X-Tenant"}, "X-Tenant": {"b"}}, http.StatusOK, []string{"a"}},
		{"/get/", http.Header{}, http.StatusUnauthorized, nil},
		{"/get/", http.Header{"X-Tenant": {"a"}}, http.StatusUnauthorized, nil},
		{"/get/", http.Header{"Authorization": {"Token " + goodKey + "x"}}, http.StatusUnauthorized, nil},
		{"/get/", http.Header{"Authorization": {"Token " + goodKey, "Token " + goodKey}}, http.StatusUnauthorized, nil},
		{"/get/", http.Header{"Authorization": {"Basic " + goodKey}}, http.StatusUnauthorized, nil},
		{"/get/", http.Header{"Authorization": {""}}, http.StatusUnauthorized, nil},
		{"/open/", http.Header{"X-Tenant": {"a"}}, http.StatusOK, nil},
		{"/open/", http.Header{"Authorization": {"Token " + goodKey}}, http.StatusOK, []string{"a"}},
		{"/open/", http.Header{"Authorization": {"Token unknown"}}, http.StatusUnauthorized, nil},
		{"/none/", http.Header{"Authorization": {"Token " + goodKey}}, http.StatusNotFound, nil},
	} {
		status, body, header := sendWithHeader(t, url+c.path, c.header.Clone())
		assert.Equal(t, status, c.status, "%s %v: %s", c.path, c.header, body)
		assert.Equal(t, header.Get("Www-Authenticate") != "", status == http.StatusUnauthorized, "%v", c.header)
		assert.Assert(t, !strings.Contains(body, secretPart), body)
		received := target.take()
		assert.Equal(t, len(received), map[bool]int{true: 1}[status == http.StatusOK])
		for _, h := range received {
			assert.DeepEqual(t, h.Values(tenantHeader), c.tenant)
			_, underscore := h["X_tenant"]
			assert.Assert(t, !underscore && h.Get("Authorization") == "", "%v", h)
		}
	}
}

// TestHeadersPassWithoutTenants guards the configurations of fleets whose callers have no keys.
func TestHeadersPassWithoutTenants(t *testing.T) {
	target := newHeaderRecorder(t)
	url, _, _ := launchWithTenants(t, testDocument(), target.backend)
	status, _, _ := sendWithHeader(t, url+"/get/", http.Header{"Authorization": {"Basic x"}, "X-Tenant": {"b"}})
	assert.Equal(t, status, http.StatusOK)
	assert.Equal(t, target.take()[0].Get("Authorization"), "Basic x")
}

// TestTenantPriorityReplacesThatOfTheRoute checks which requests may use the reserve of the retry budget.
func TestTenantPriorityReplacesThatOfTheRoute(t *testing.T) {
	urgent, relaxed := 0, 5
	d := tenantDocument(
		document.Tenant{Name: "urgent", Keys: []credential.Key{"u"}, Priority: &urgent},
		document.Tenant{Name: "relaxed", Keys: []credential.Key{"r"}, Priority: &relaxed},
		document.Tenant{Name: "plain", Keys: []credential.Key{"p"}},
	)
	table := document.NewTable(d, 0)
	for key, want := range map[credential.Key]bool{"u": true, "r": false, "p": false} {
		c := &call{h: &Handler{}, key: key, route: table.Match("h", "/get/")}
		c.route.Priority = 2
		assert.Equal(t, c.authenticate(table), 0)
		assert.Equal(t, c.urgent(), want, "%s", c.tenantName())
	}
}

// TestUnknownKeyWaitsForNewerDocument guards callers whose key was added a moment ago: an instance that knows
// that it lags behind does not answer 401 before it has caught up.
func TestUnknownKeyWaitsForNewerDocument(t *testing.T) {
	target := newHeaderRecorder(t)
	url, g, store := launchWithTenants(t, tenantDocument(), target.backend)
	newer := tenantDocument(document.Tenant{Name: "a", Keys: []credential.Key{goodKey}})
	newer.Version = 2
	store.updates <- newer
	_, position := g.state.Versions()
	assert.Assert(t, g.state.Behind(time.Now(), newer.Version, position))
	status, body, _ := sendWithHeader(t, url+"/get/", http.Header{"Authorization": {"Token " + goodKey}})
	assert.Equal(t, status, http.StatusOK, body)
}

// TestRemovedKeyIsRefusedOnOpenConnection guards against keys that stay valid for connections that were opened
// before they were removed.
func TestRemovedKeyIsRefusedOnOpenConnection(t *testing.T) {
	target := newHeaderRecorder(t)
	url, g, store := launchWithTenants(t, tenantDocument(document.Tenant{Name: "a", Keys: []credential.Key{goodKey}}), target.backend)
	header := http.Header{"Authorization": {"Token " + goodKey}}
	status, _, _ := sendWithHeader(t, url+"/get/", header.Clone())
	assert.Equal(t, status, http.StatusOK)
	newer := tenantDocument(document.Tenant{Name: "a"})
	newer.Version = 2
	store.updates <- newer
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if g.state.Table().Document.Version == newer.Version {
			return poll.Success()
		}
		return poll.Continue("the document is not in force")
	}, poll.WithDelay(5*time.Millisecond))
	status, _, _ = sendWithHeader(t, url+"/get/", header.Clone())
	assert.Equal(t, status, http.StatusUnauthorized)
}
