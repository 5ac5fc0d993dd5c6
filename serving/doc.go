// Package serving runs the HTTP servers of a process: listeners, their
// timeouts, draining and graceful shutdown, and the readiness endpoint for the
// platform's load balancer.
package serving
