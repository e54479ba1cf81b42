// Package ratelimit holds a customer's rate and concurrency limits over the
// whole fleet, whichever instances the requests arrive at.
//
// Each limit is a token bucket (rate, burst) with a bound on requests in
// flight. One instance, the customer's limiter, keeps the bucket in a Granter
// and hands out tokens and concurrency slots ahead of demand. Every other
// instance keeps an Account for the customer, takes from it on the request
// path without waiting for anybody, and asks for more when the balance runs
// low. The package is pure: time and messages are passed in; package
// allowance carries the messages.
//
// # Accounts
//
// An account's balance may go down to -own, where own is
// max(2, burst/(2n)) at n listed instances: the overdraft lets the first
// requests at an instance pass before anything was granted, and the debt is
// paid from later grants, so that the rate holds all the same.
//
// The limiter counts what accounts hold against its bucket: level and held
// tokens together do not exceed the burst. Accounts hold at most 70 % of it,
// each by its part of the offered load, and ask for no more than they expect
// to use in 600 ms beyond their overdraft. A grant belongs to one numbered demand.
// An account applies only the answer to its latest demand, and the demand
// names the last answer applied; so the limiter takes back a grant whose
// answer was lost, and repeats the answer to a repeated demand.
//
// # Rare use
//
// With many instances, most of a customer's accounts see a request once in
// minutes. An account whose expected use is below an eighth of its overdraft
// holds nothing: every 15 s at most it pays its debt by a Charge, which the
// limiter takes from the bucket without keeping state of the account. A charge
// whose answer is lost is made again, at the customer's cost; one that the
// bucket is too low for stays a debt, so that a flood through many instances
// meets its limit at each.
//
// # Cut off
//
// Each of the n listed instances is entitled to 1/n of a limit. A limiter
// pools the entitlements of the instances that it reaches, counting all n
// as reached while at least 90 % are, so that ordinary failures lose no rate.
// An account whose demands stay unanswered drops what it was granted when
// the grant's lifetime ends and lives on its own entitlement: rate/n, with
// the overdraft for burst, and max(2, concurrency/n) slots. However the
// instances are cut apart, the sum over all parts that know of the cut stays
// within the rate plus 10 %.
//
// # Worst overshoot
//
// Requests let through in any window of length t are at most
//
//	g*(rate*t + burst) + f*rate*t/n + (n + r)*own
//
// and requests in flight at most
//
//	g*(4*concurrency + 2n) + f*max(2, concurrency/n)
//
// where g is the number of instances that act as the customer's limiter in
// the window, each counted anew when the role moves (1 in ordinary times),
// f the number of accounts that are cut off from their limiter (or, for
// concurrency, have not heard from it yet), and r the number of restarts of
// instances. Rate is the limiter's own: for parts of the fleet that know of
// the cut, the sum of g*rate and f*rate/n is at most 1.1*rate.
//
// The bound on requests in flight is for a sudden rise: slots are handed out
// three times over while less than half of them are in use, and every account
// has its even share of them besides, since few would otherwise be spread too
// thin over many instances. Accounts that are in contact settle at concurrency
// as soon as the limiter has heard of the rise, at most Lifetime/3 later for
// those in use.
package ratelimit
