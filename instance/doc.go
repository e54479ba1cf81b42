// Package instance runs one instance of the proxy: it joins the decision
// packages to the sockets.
//
// An instance listens on three addresses: for callers, for its peers and for
// operators. It follows the configuration stream, keeps a table of the
// services in force, and runs every system over its tables at each tick. The
// request path reads snapshots that the ticks publish and never waits for
// one.
//
// A stop runs in steps: not ready, wait until the platform's balancer has
// noticed, stop accepting, let running requests finish, hand over, exit.
package instance
