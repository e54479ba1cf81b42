// Package response checks that what a server sent is a valid and complete HTTP response. net/http is lenient in both:
// it reads statuses and field names that HTTP does not have, and takes the end of a connection for that of a body even
// if the connection was reset while the request was being written.
package response
