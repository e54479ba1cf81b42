// Package exchange sends one request to one target over one connection and tells
// exactly what is known afterwards: the whole answer, that the target did not
// run the request, that nothing was sent, or that nobody can know.
//
// Nothing is ever sent twice, and a connection goes back to the Cache only if its
// answer ended exactly where it should. An answer that names another request is
// passed over: it belongs to an earlier request on the same connection, and the
// right one may still follow.
//
// net/http parses and prints the messages; its Transport is not used, since it
// sends again on its own and does not tell what was sent.
package exchange
