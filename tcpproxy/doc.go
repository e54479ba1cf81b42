// Package tcpproxy is a TCP proxy for tests whose open connections can go silent: they stay open,
// and nothing passes in either direction any more. Connections opened later work. Only a timeout of
// the endpoints detects this, since the proxy's kernel still acknowledges what they send.
package tcpproxy
