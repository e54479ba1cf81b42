// Package relay encodes requests that an instance passes on to another one, because it has lost its own
// paths to the targets, and their outcomes. The instance that took the request from the caller has
// chosen its service; the other one makes the attempts. A request is passed on once.
package relay
