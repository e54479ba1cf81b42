// Package dev is the command `clementinereel dev`: a whole small fleet in one
// process, to try things out.
package dev
