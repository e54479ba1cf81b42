// Package quarantine detects queries of death: requests that crash the targets that run them. The
// fleet stops forwarding such a request to targets.
//
// A request is identified by its content (Fingerprint), since callers repeat it under another
// request ID and at any instance. For each content the Table records the target processes
// at which an attempt lost its response. The content's Standing follows from these losses:
//
//   - after one loss it is Suspected, after two consecutive ones Restricted: it may reach
//     fewer targets while the cause of the losses is unknown;
//   - after three it is Quarantined, unless there is exonerating evidence.
//
// Exonerating evidence is:
//
//   - A target served the content: all earlier losses are dropped.
//   - A process that lost the response answered a later attempt, so it had not crashed.
//   - Simultaneous losses count once: the outage of a whole service is not caused by one request.
//   - Another content has losses at the same processes and at more. The losses are attributed to
//     that one. While both are about equally likely, neither is quarantined until further crashes
//     distinguish them.
//   - Other processes were lost at the same time without the content: then more losses are required.
//
// The last two apply only up to a limit, which bounds the cost of a content whatever the cause. A content that
// reaches the limit is refused despite the doubt, and a settled quarantine is not lifted by them.
//
// A quarantined content is retried occasionally with a single request, sooner if it is in doubt. It is released
// once a target has served it.
//
// Merging evidence is idempotent and commutative. Instances send each other their losses, and each
// derives the standings on its own.
//
// The package reads no clock and does no I/O.
package quarantine
