// Package random chooses targets at random by weight. It is a baseline for
// the evaluation of other policies.
package random
