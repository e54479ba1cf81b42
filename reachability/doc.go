// Package reachability estimates of which services an instance has lost the paths to all targets,
// from the connections that it opens and the responses that it gets. One target that cannot be
// reached may itself be down; several in a row, with no contact between them, mean that the
// instance is cut off.
package reachability
