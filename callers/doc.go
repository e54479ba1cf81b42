// Package callers keeps the account of what a process holds for its callers: memory, connections and requests that run
// ahead of their turn, by connection and by caller, from the first byte on. It decides what may be added and which
// connection is closed to make room. It has no network of its own; times are passed in.
//
// The account is only felt by those who press on it: as long as there is room, nothing is refused or closed. When there
// is none, large holders are refused before small ones, callers that hold most before others, and connections that send
// or take nothing are closed before connections that make progress. A request that is being served is never cut.
package callers
