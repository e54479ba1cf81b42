// Package examples holds one contract for each of the two kinds of customer
// that the project was first written for.
package examples
