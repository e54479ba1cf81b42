// Package load is an open-loop load generator for a fleet of instances and
// the targets behind it.
//
// Requests begin at intended times that a schedule gives, whether or not
// earlier ones were answered, and latency counts from the intended time: a
// slow fleet cannot slow the generator down and so hide itself (coordinated
// omission).
//
// An operation is what one caller wants: a lookup, a confirmation or an
// upload. It is made of asks. A caller that loses patience asks again,
// through another instance and under the same key, and leaves the earlier
// ask running. Each ask ends with a Verdict. The answers of emulated targets
// name the request they belong to, so that one that is wrong, another
// caller's or cut shows at once. After the run the targets are asked which
// keys they ran, and an Audit compares that with what the callers were told:
// work that ran twice, and work that ran though its caller was told that it
// did not.
//
// A Run can send everything through instances, everything to targets
// directly, or both interleaved, which gives the latency that the fleet
// adds.
package load
