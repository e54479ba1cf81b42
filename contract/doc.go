// Package contract defines the JSON document that an operator writes for one
// customer, and checks it.
//
// Every limit on a customer's traffic follows from its contract: which hosts
// and paths reach which service, the class of each route, rate, concurrency
// and size limits, deadlines, the retry and hedge allowance, and for each
// service the floor of healthy capacity and how detection weighs speed
// against false ejections.
//
// The structs of this package are the manual of the format: each field's
// comment gives its unit and its default. Decode refuses unknown fields, and
// Check refuses contradictory values with the path of the field and what
// would be right. Both are pure functions of the document.
package contract
