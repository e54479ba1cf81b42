// Package fleet defines the types shared by all other packages: the names of
// customers, services, targets and instances, the class of a route and the
// outcome of a request.
//
// The types have no behavior beyond parsing and formatting, so that the packages
// that make decisions can depend on them without depending on each other.
package fleet
