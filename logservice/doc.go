// Package logservice defines what the fleet needs of the platform it runs on:
// an append-only log service with streams and offsets, and a lagging list of
// live and leaving instances. docs/PLATFORM.md is the protocol that operators
// adapt; Client speaks it over HTTP and package logservice/standin serves it in
// tests and in `clementinereel dev`.
//
// A log's reply can be lost after the append took effect. Append therefore
// returns an error of which nothing can be concluded, unless it is
// ErrRefused; the caller reads the stream back to find out.
package logservice
