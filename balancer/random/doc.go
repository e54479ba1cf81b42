// Package random chooses targets at random by weight. It is the baseline that
// other policies are measured against.
package random
