package gateway

import (
	"math/rand/v2"
	"slices"
	"time"

	"tanagerbarrow/route"
)

// The constants of choosing a server without a broker.
const (
	// avoidAfterFailure is how long a server is not chosen after a request of this
	// entry failed on it.
	avoidAfterFailure = time.Second
	// otherZoneCost and otherRegionCost are added to the cost of servers in another
	// availability zone or region so that nearer ones are preferred, in running
	// requests.
	otherZoneCost   = 0.2
	otherRegionCost = 0.6
)

// chooseWithoutBroker chooses a backend server and counts the request on it. It
// uses warm servers only, since nothing counts what other entries send to cold
// ones, and at most half of the slots of each, since other entries use them too.
// It returns nil if no server may be used.
func (v *view) chooseWithoutBroker(service string, r *route.Route, zone string, avoid []uint32, now time.Time) *server {
	v.mu.Lock()
	defer v.mu.Unlock()
	var best *server
	var lowest float64
	for _, s := range v.servers {
		usable := s.Service == service && r.AllowedIn(s.region) && !v.isZoneOut(s.AvailabilityZone) &&
			!now.Before(s.coldUntil) && !now.Before(s.avoidUntil) && !slices.Contains(avoid, s.Number) &&
			s.running < (s.Slots+1)/2
		if !usable {
			continue
		}
		cost := float64(s.running) + rand.Float64()
		switch {
		case s.AvailabilityZone == zone:
		case s.region == v.regions[zone]:
			cost += otherZoneCost
		default:
			cost += otherRegionCost
		}
		if best == nil || cost < lowest {
			best, lowest = s, cost
		}
	}
	if best != nil {
		best.running++
	}
	return best
}

// startRequest counts a request that starts on a server.
func (v *view) startRequest(s *server) {
	v.mu.Lock()
	defer v.mu.Unlock()
	s.running++
}

// finishRequest uncounts a request on a server and, if it failed, avoids the
// server for avoidAfterFailure.
func (v *view) finishRequest(s *server, failed bool, now time.Time) {
	v.mu.Lock()
	defer v.mu.Unlock()
	s.running = max(0, s.running-1)
	if failed {
		s.avoidUntil = now.Add(avoidAfterFailure)
	}
}
