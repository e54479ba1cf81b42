// Package requestid validates and generates request IDs, which correlate a
// response, the log lines and the target's records.
package requestid
