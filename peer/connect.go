package peer

import "connectrpc.com/connect"

// compressMinBytes is the size from which messages are compressed. Most calls
// between instances are far smaller, and gzip would cost more processor time
// than all the rest of the call.
const compressMinBytes = 4 << 10

// HandlerOptions returns the options of a connect handler for calls between
// instances. Messages above maxBytes are refused.
func HandlerOptions(maxBytes int) connect.HandlerOption {
	return connect.WithHandlerOptions(
		connect.WithReadMaxBytes(maxBytes),
		connect.WithCompressMinBytes(compressMinBytes),
	)
}

// ClientOptions returns the options of a connect client for calls between
// instances. Answers above maxBytes are refused.
func ClientOptions(maxBytes int) connect.ClientOption {
	return connect.WithReadMaxBytes(maxBytes)
}
