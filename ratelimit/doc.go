// Package ratelimit enforces a customer's rate and concurrency limits over the
// whole fleet, independent of the instances that receive the requests.
//
// Each limit is a token bucket (rate, burst) with a bound on requests in
// flight. One instance, the customer's limiter, keeps the bucket in a Granter
// and hands out tokens and concurrency slots ahead of demand. Every other
// instance keeps an Account for the customer, takes from it on the request
// path without waiting for the network, and requests more when the balance runs
// low. The package does no I/O and reads no clock: time and messages are passed
// in; package allowance transports the messages.
//
// # Accounts
//
// An account's balance may go down to -overdraft, where overdraft is
// max(2, burst/(2n)) at n listed instances. The overdraft lets the first
// requests at an instance pass before the first grant, and the debt is
// paid from later grants, so that the rate still holds.
//
// The limiter counts what accounts hold against its bucket: level and held
// tokens together do not exceed the burst. Accounts hold at most 70 % of it,
// each in proportion to its part of the offered load, and request no more than
// they expect to use in 600 ms beyond their overdraft. A grant belongs to one
// numbered demand. An account applies only the answer to its latest demand,
// and the demand names the last answer applied, so that the limiter reclaims a
// grant whose answer was lost, and repeats the answer to a repeated demand.
//
// # Rare use
//
// With many instances, most of a customer's accounts see one request every few
// minutes. An account whose expected use is below an eighth of its overdraft
// holds nothing: at most every 15 s it pays its debt by a Charge, which the
// limiter takes from the bucket without keeping state for the account. A charge
// whose answer is lost is made again, so that the customer pays twice. If the
// bucket is too low for a charge, the debt remains, so that a flood through many
// instances is limited at each.
//
// # Loss of contact
//
// Each of the n listed instances is entitled to 1/n of a limit. A limiter
// pools the entitlements of the instances that it reaches, counting all n
// as reached while at least 90 % are, so that ordinary failures lose no rate.
// An account whose demands stay unanswered drops what it was granted when
// the grant's lifetime ends and uses its own entitlement: rate/n, with
// the overdraft for burst, and max(2, concurrency/n) slots. However the
// fleet is partitioned, the sum over all parts that have detected the partition
// stays within the rate plus 10 %.
//
// # Worst overshoot
//
// Requests admitted in any window of length t are at most
//
//	g*(rate*t + burst) + f*rate*t/n + (n + r)*overdraft
//
// and requests in flight at most
//
//	g*(4*concurrency + 2n) + f*max(2, concurrency/n)
//
// where g is the number of instances that act as the customer's limiter in
// the window, each counted again when the role moves (normally 1),
// f the number of accounts that are cut off from their limiter (or, for
// concurrency, have no grant yet), and r the number of restarts of
// instances. Rate is the limiter's own: for parts of the fleet that have
// detected the partition, the sum of g*rate and f*rate/n is at most 1.1*rate.
//
// The bound on requests in flight is for a sudden rise: slots are handed out
// three times over while less than half of them are in use, and every account
// also has its even share, since a small limit would otherwise be spread too
// thin over many instances. Accounts in contact converge to concurrency
// once the limiter has received the new use, at most Lifetime/3 later for
// those in use.
package ratelimit
