// Package limit bounds the requests in progress on each backend server, the retries
// of an entry, and the queue of waiting requests. It does no I/O and reads no clock.
package limit
