package examples

import _ "embed" // for the documents

// Daugava is the contract of a firm that quotes kitchen fittings: it weighs
// false ejections most at its upload store.
//
//go:embed daugava.json
var Daugava []byte

// LoneStar is the contract of a mobile catering firm: it weighs detection
// time most at its route listing.
//
//go:embed lonestar.json
var LoneStar []byte
