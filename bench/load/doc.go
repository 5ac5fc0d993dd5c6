// Package load sends requests in an open loop: arrivals follow a Poisson
// process and do not wait for slow responses. Latency is measured from the time
// at which a request was due, so that a stall is counted in full.
package load
