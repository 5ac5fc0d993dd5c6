// Package load sends requests in an open loop: arrivals follow a Poisson
// process and are not held back by slow answers. Latency counts from the
// moment a request was due, so that a stall shows in full.
package load
