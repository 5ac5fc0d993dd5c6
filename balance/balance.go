package balance

import (
	"math/rand/v2"
	"sync/atomic"

	"tanagerbarrow/membership"
)

// Filter reports whether a backend server may receive a request.
type Filter func(b *membership.BackendServer) bool

// InFlight counts this process's requests in progress on one backend server.
type InFlight struct{ n atomic.Int64 }

// Add changes the count by delta and returns the new count.
func (c *InFlight) Add(delta int64) int64 { return c.n.Add(delta) }

// Load returns the count.
func (c *InFlight) Load() int64 { return c.n.Load() }

// LoadOf returns the load of a backend server, in requests for each slot.
type LoadOf func(b *membership.BackendServer) float64

// TwoChoices returns the less loaded of two random allowed backend servers, or
// nil if the filter allows none.
func TwoChoices(servers []membership.BackendServer, f Filter, load LoadOf, r *rand.Rand) *membership.BackendServer {
	a := pickAllowed(servers, f, r)
	b := pickAllowed(servers, f, r)
	if a == nil || b == nil {
		return a
	}
	if load(b) < load(a) {
		return b
	}
	return a
}

// pickAllowed returns a random backend server that the filter allows. It scans
// from a random start, so that it finds one if there is one.
func pickAllowed(servers []membership.BackendServer, f Filter, r *rand.Rand) *membership.BackendServer {
	if len(servers) == 0 {
		return nil
	}
	start := r.IntN(len(servers))
	for i := range servers {
		b := &servers[(start+i)%len(servers)]
		if f(b) {
			return b
		}
	}
	return nil
}
