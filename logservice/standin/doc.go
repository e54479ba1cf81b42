// Package standin serves the protocol of docs/PLATFORM.md from memory: the
// log service and the list of instances, for tests and for
// `clementinereel dev`. Its Faults bring about what the real services do on
// their bad days: outages, latency, replies lost after the append took effect,
// expired records, a rate limit and a list that lags.
package standin
