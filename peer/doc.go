// Package peer carries calls between the instances of the fleet.
//
// Transport is the client's side: an http.RoundTripper that finds the host
// "<instance>.peer" in the member view and sends over one kept HTTP/2
// connection (without TLS) for each peer. Server is the other side: a mux on
// which the packages that talk to peers register their handlers.
//
// # Relay
//
// Networks are cut one way: A's calls to B hang while B's calls to A work and
// both reach C. Transport therefore watches each direct call: if no answer
// begins in a short time, it pings the peer over the same connection. If the
// ping fails too, the path counts as cut and the call is sent anew through a
// third instance, which forwards it directly and never further. Later calls
// take the relay at once while the path is tried again in the background.
//
// A call that is relayed may have reached the peer before. So calls between
// peers must be idempotent; one that is not is made with WithoutRelay.
//
// # Trust
//
// Peers share a private network and, if the operators set one, a secret.
// Bodies, headers, concurrent calls and times are bounded all the same, and a
// malformed message is answered with an error and counted.
package peer
