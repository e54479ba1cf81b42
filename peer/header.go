package peer

import (
	"context"
	"strconv"
	"strings"

	"github.com/pkg/errors"

	"github.com/clementinereel/clementinereel/fleet"
)

// Headers of calls between instances.
const (
	// HeaderFrom names the process that made the call or, in an answer, the
	// one that gave it, as "instance@incarnation".
	HeaderFrom = "Peer-From"
	// HeaderTo names the instance that is meant to answer. Another one that
	// has come by its address refuses the call.
	HeaderTo = "Peer-To"
	// HeaderRelayTo names the instance to which a call is to be forwarded.
	HeaderRelayTo = "Relay-To"
	// HeaderRelayHops is "1" in a call to a relay, and absent beyond it.
	HeaderRelayHops = "Relay-Hops"
	// HeaderRelayFailed, in a relay's answer, tells that the call got no
	// answer from the instance it was for.
	HeaderRelayFailed = "Relay-Failed"

	hostSuffix = ".peer"
	pathPing   = "/peer/ping"
)

// URL returns the base URL under which Transport reaches an instance.
func URL(id fleet.InstanceID) string {
	return "http://" + string(id) + hostSuffix
}

// instanceOf reads the instance from a host that URL made.
func instanceOf(host string) (fleet.InstanceID, error) {
	id, ok := strings.CutSuffix(host, hostSuffix)
	if !ok || id == "" {
		return "", errors.Errorf("host %q does not name a peer", host)
	}
	return fleet.InstanceID(id), nil
}

// parseHolder reads what fleet.Holder's String prints.
func parseHolder(s string) (fleet.Holder, bool) {
	i := strings.LastIndexByte(s, '@')
	if i <= 0 {
		return fleet.Holder{}, false
	}
	incarnation, err := strconv.ParseInt(s[i+1:], 10, 64)
	if err != nil {
		return fleet.Holder{}, false
	}
	return fleet.Holder{Instance: fleet.InstanceID(s[:i]), Incarnation: fleet.Incarnation(incarnation)}, true
}

type contextKey int

const (
	keySender contextKey = iota
	keyWithoutRelay
	keyAddr
)

// Sender returns the process that made the call, in a handler of Server.
func Sender(ctx context.Context) (fleet.Holder, bool) {
	h, ok := ctx.Value(keySender).(fleet.Holder)
	return h, ok
}

// WithoutRelay makes calls go directly or fail. A call that is not idempotent
// must have it.
func WithoutRelay(ctx context.Context) context.Context {
	return context.WithValue(ctx, keyWithoutRelay, true)
}

func withoutRelay(ctx context.Context) bool {
	return ctx.Value(keyWithoutRelay) != nil
}

// withAddr gives the address of a peer that the view may not have.
func withAddr(ctx context.Context, addr string) context.Context {
	return context.WithValue(ctx, keyAddr, addr)
}

func addrOf(ctx context.Context) string {
	addr, _ := ctx.Value(keyAddr).(string)
	return addr
}
