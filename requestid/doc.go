// Package requestid names requests, so that a caller's answer, the log line
// and the target's record can be matched.
package requestid
