// Package limit bounds the requests in progress: on each backend server, in
// the retries of an entry, and in the queue of waiting requests. It is pure.
package limit
