package gateway

import (
	"context"
	"net/http"
	"strings"
	"time"

	"github.com/pkg/errors"

	"github.com/clementinereel/clementinereel/credential"
	"github.com/clementinereel/clementinereel/document"
	"github.com/clementinereel/clementinereel/problem"
	"github.com/clementinereel/clementinereel/wait"
)

const (
	// unknownKeyTimeout bounds how long a request with an unknown key waits for a newer document,
	// which may have the key. Peers deliver one within some 10 ms.
	unknownKeyTimeout = 300 * time.Millisecond

	authorization   = "Authorization"
	wwwAuthenticate = "Www-Authenticate"
)

// readKey reads the request's key. It returns the table to serve the request from, which is newer than
// the given one if only that knows the key.
func (c *call) readKey(table *document.Table) *document.Table {
	if !table.Document.KeysRequired {
		return table
	}
	c.key, c.keyErr = credential.Parse(c.h.Keys.Scheme, c.r.Header.Values(authorization))
	if c.keyErr != nil {
		return table
	}
	return c.h.tableWithKey(c.r.Context(), table, c.key, c.start)
}

// tableWithKey returns the current document. If that lacks the key and peers have a newer one, it waits
// for it up to unknownKeyTimeout.
func (h *Handler) tableWithKey(ctx context.Context, table *document.Table, key credential.Key, requestedAt time.Time) *document.Table {
	for table.Tenant(key) == nil && h.State.Lag() > 0 && time.Since(requestedAt) < unknownKeyTimeout {
		if !wait.For(ctx, statePollInterval) {
			break
		}
		table = h.State.Table()
	}
	return table
}

// authenticate sets the tenant and the priority of the request. If the request may not run, it sends an
// error response and returns its status, otherwise 0.
func (c *call) authenticate(table *document.Table) int {
	c.priority = c.route.Priority
	if !table.Document.KeysRequired {
		return 0
	}
	if c.keyErr != nil {
		if c.route.AllowAnonymous && errors.Is(c.keyErr, credential.ErrMissing) {
			return 0
		}
		return c.unauthorized(c.keyErr.Error())
	}
	c.tenant = table.Tenant(c.key)
	if c.tenant == nil {
		return c.unauthorized("the API key is unknown")
	}
	if c.tenant.Priority != nil {
		c.priority = *c.tenant.Priority
	}
	return 0
}

func (c *call) unauthorized(reason string) int {
	c.w.Header().Set(wwwAuthenticate, c.h.Keys.Scheme)
	return c.fail(http.StatusUnauthorized, problem.KeyInvalid, reason)
}

// setTenantHeader replaces the caller's key by the name of its tenant in the header for targets.
func (c *call) setTenantHeader(table *document.Table, h http.Header) {
	if !table.Document.KeysRequired {
		return
	}
	h.Del(authorization)
	for name := range h {
		if isTenantHeader(name, c.h.Keys.TenantHeader) {
			delete(h, name)
		}
	}
	if c.tenant != nil {
		h.Set(c.h.Keys.TenantHeader, string(c.tenant.Name))
	}
}

// isTenantHeader reports whether a field name may be read as that of the tenant. Some targets do not
// distinguish "_" from "-".
func isTenantHeader(name, tenantHeader string) bool {
	return strings.EqualFold(strings.ReplaceAll(name, "_", "-"), tenantHeader)
}

// tenantName returns the name of the request's tenant for log lines; empty if it has none.
func (c *call) tenantName() string {
	if c.tenant == nil {
		return ""
	}
	return string(c.tenant.Name)
}
