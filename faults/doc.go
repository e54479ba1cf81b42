// Package faults holds the tests with real processes behind a fault-injecting
// proxy.
package faults
