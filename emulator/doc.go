// Package emulator is a stand-in for a target (back end), for tests,
// measurements and `clementinereel dev`.
//
// An Emulator has a few slots and a short queue, serves work in a random
// time and speaks the target's side of docs/TARGETS.md: it sheds when full,
// drains, refuses work while cold, and honours cancellation and deadlines. A
// Behavior makes it sick on command: hanging, slow, failing, resetting,
// cutting its answers or dying, for all callers or for those of some
// instances or zones, all the time or by a schedule. Its health endpoint
// stays well meanwhile, as a target with a gray failure does.
//
// Every answer names the request it belongs to (Answer), so that a caller
// can tell a wrong, swapped or cut one, and every execution is recorded by
// the operation's key (Run), so that a test can tell work that ran twice or
// that ran though its caller was told otherwise.
//
// Emulator is an http.Handler's state and can be driven by the Go API or by
// HTTP (/control, /runs, /stats); Server puts it behind a listener of its
// own.
package emulator
