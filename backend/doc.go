// Package backend is the HTTP client for backend servers and the HTTP handler
// for their announcements.
//
// The client sends each request once. It never resends a request by itself, and
// the error of a failed exchange states whether the request may have run.
package backend
