package header

// Fields that callers send.
const (
	// IdempotencyKey names a confirmation. A repeat under the same key gets
	// the first answer (draft-ietf-httpapi-idempotency-key-header).
	IdempotencyKey = "Idempotency-Key"
	// OperationTicket names a confirmation by a ticket that the fleet issued.
	OperationTicket = "Operation-Ticket"
	// Prefer with the value "ticket" asks for a ticket.
	Prefer = "Prefer"
)

// Fields of answers to callers.
const (
	// RequestID names the request in logs and answers. A caller may send it.
	RequestID = "Request-Id"
	// OperationOutcome is "completed", "not-run" or "unknown".
	OperationOutcome = "Operation-Outcome"
	// RetryAfter is when to come back, in whole seconds.
	RetryAfter = "Retry-After"
)

// Fields that targets receive.
const (
	// ViaInstance and ViaZone name the instance that forwards the request.
	ViaInstance = "Via-Instance"
	ViaZone     = "Via-Zone"
	// RequestTimeout is the time left for the whole answer, in milliseconds.
	RequestTimeout = "Request-Timeout-Ms"
	// OperationKey names the operation, whether by key or by ticket.
	OperationKey = "Operation-Key"
)

// TargetNotRun is set by a target that did not run the request; its value is
// one of the NotRun constants.
const TargetNotRun = "Target-Not-Run"

// Values of TargetNotRun.
const (
	NotRunShed     = "shed"
	NotRunDraining = "draining"
	NotRunCold     = "cold"
)

// hopByHop are the fields that hold for one connection only (RFC 9110, 7.6.1).
var hopByHop = []string{
	"Connection", "Proxy-Connection", "Keep-Alive", "Proxy-Authenticate",
	"Proxy-Authorization", "Te", "Trailer", "Transfer-Encoding", "Upgrade",
}
