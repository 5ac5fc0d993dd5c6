// Package backend talks to backend servers: it exchanges one request for one
// answer and takes their announcements in.
//
// The package never sends a request twice by itself, and says of each failed
// exchange whether the request may have run.
package backend
