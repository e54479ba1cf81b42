package header

// Request fields sent by callers.
const (
	// IdempotencyKey identifies a confirmation. A repeat with the same key gets
	// the first response (draft-ietf-httpapi-idempotency-key-header).
	IdempotencyKey = "Idempotency-Key"
	// OperationTicket identifies a confirmation by a ticket that the fleet issued.
	OperationTicket = "Operation-Ticket"
	// Prefer with the value "ticket" requests a ticket.
	Prefer = "Prefer"
)

// Response fields sent to callers.
const (
	// RequestID identifies the request in logs and responses. A caller may send it.
	RequestID = "Request-Id"
	// OperationOutcome is "completed", "not-run" or "unknown".
	OperationOutcome = "Operation-Outcome"
	// RetryAfter is the delay before a retry in whole seconds.
	RetryAfter = "Retry-After"
)

// Request fields sent to targets.
const (
	// ViaInstance and ViaZone are the ID and zone of the instance that forwards the request.
	ViaInstance = "Via-Instance"
	ViaZone     = "Via-Zone"
	// RequestTimeout is the time left for the complete response, in milliseconds.
	RequestTimeout = "Request-Timeout-Ms"
	// OperationKey identifies the operation, whether the caller sent a key or a ticket.
	OperationKey = "Operation-Key"
)

// TargetNotRun is set by a target that did not run the request, to one of the NotRun
// constants.
const TargetNotRun = "Target-Not-Run"

// Values of TargetNotRun.
const (
	NotRunShed     = "shed"
	NotRunDraining = "draining"
	NotRunCold     = "cold"
)

// hopByHop lists the fields that apply to a single connection (RFC 9110, 7.6.1).
var hopByHop = []string{
	"Connection", "Proxy-Connection", "Keep-Alive", "Proxy-Authenticate",
	"Proxy-Authorization", "Te", "Trailer", "Transfer-Encoding", "Upgrade",
}
