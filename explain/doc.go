// Package explain finds out from instances' log files why a request ended as it did.
//
// It gathers the lines of the request, and those that its decisions rest on: the
// last change of what was believed of each target that was tried, the document in
// force, and whether the store or peers were lost at the time. It orders them,
// names the deciding line and the age of its input, and says what is missing.
package explain
