// Package poison detects poison requests: requests that fail at each target, whose failures are therefore no
// evidence against targets that serve other requests.
//
// Requests are identified by content (quarantine.Content). A failure counts against the request if its target
// served something else shortly before or since. After failures at three such targets the request is at
// fault, until a target serves it or a minute has passed. While a request is at fault, its failures do not
// change the health estimates of targets, and it gets no further attempts from the shared retry budget.
//
// Each instance tracks requests on its own, without messages to others. The price is that three targets are
// briefly suspected at each instance that receives the request. Requests that crash their targets are
// handled by package quarantine, whose state is shared by all instances.
//
// The package reads no clock and does no I/O.
package poison
