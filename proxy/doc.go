// Package proxy serves callers.
//
// A request goes through these steps: the route is matched by host, method and
// path; the customer's and the route's limits are applied; the service's
// admission gate lets it in or sheds it; and the class decides how targets
// are tried:
//
//   - a lookup may be retried and hedged, within the budget;
//   - a confirmation goes through package operate, which sees to it that it
//     runs at most once;
//   - an upload streams its body to one target, once.
//
// A request that is given up gets its final answer at once, with Retry-After.
// Answers go to the caller whole or not at all.
package proxy
