package broker

import (
	"slices"
	"time"
)

// The weights of the choice of a relay.
const (
	// relayAvoidance is how long an entry's requests avoid a relay that failed.
	relayAvoidance = time.Second
	// relayedWeight is the cost of a request that the relay has in progress for others.
	// Otherwise the one entry of a zone that reaches its servers would relay for all.
	relayedWeight = 2
	// otherZoneWeight and otherRegionWeight are the costs of a relay in another zone or
	// region than the server.
	otherZoneWeight   = 1
	otherRegionWeight = 5
)

// SetRelayAddress sets the address at which an entry accepts requests that it relays for
// others; empty if it relays none.
func (b *Broker) SetRelayAddress(name, address string) {
	if e := b.entries[name]; e != nil {
		e.relayAddress = address
	}
}

// SetPath records whether an entry reaches the backend servers. While it doesn't, its
// requests are relayed by others, and its earlier failures don't count against servers.
func (b *Broker) SetPath(name string, lost bool, now time.Time) {
	e := b.entries[name]
	if e == nil || e.pathLost == lost {
		return
	}
	e.pathLost = lost
	clear(e.avoided)
	clear(e.failedRequests)
	if lost {
		b.withdrawEjections(e)
		b.serveQueues(now)
	}
}

// mayRelay reports whether an entry may relay a request of another one. The body of a
// request with home regions must not leave them.
func (e *entry) mayRelay(w *pendingAsk, now time.Time) bool {
	return e != w.entry && e.relayAddress != "" && e.disconnectedAt.IsZero() && !e.cutOff() &&
		!now.Before(w.entry.avoidedRelays[e.name]) &&
		(len(w.ask.HomeRegions) == 0 || slices.Contains(w.ask.HomeRegions, e.region))
}

// canBeSent reports whether the entry of an ask reaches the servers, or another entry may
// relay the request.
func (b *Broker) canBeSent(w *pendingAsk, now time.Time) bool {
	if !w.entry.pathLost {
		return true
	}
	for _, e := range b.entries {
		if e.mayRelay(w, now) {
			return true
		}
	}
	return false
}

// relayFor returns the cheapest entry that may relay a request to a server, or nil. The
// server may want no requests of some of them.
func (b *Broker) relayFor(w *pendingAsk, s *Server, now time.Time) *entry {
	var best *entry
	lowest := 0.0
	for _, e := range b.entries {
		if !e.mayRelay(w, now) || e.backsOff(s, now) {
			continue
		}
		cost := float64(relayedWeight*e.relayed) + b.options.Random.Float64()
		switch {
		case e.avoids(s.Number, now):
			cost += failureCost.Seconds() * 100
		case e.zone == s.Record.AvailabilityZone:
		case e.region == s.Region:
			cost += otherZoneWeight
		default:
			cost += otherRegionWeight
		}
		if best == nil || cost < lowest {
			best, lowest = e, cost
		}
	}
	return best
}

// Relays returns, by name, the connected entries that relay requests for others.
func (b *Broker) Relays() map[string]Relay {
	relays := map[string]Relay{}
	for name, e := range b.entries {
		if e.relayAddress != "" && e.disconnectedAt.IsZero() && !e.cutOff() {
			relays[name] = Relay{Address: e.relayAddress, AvailabilityZone: e.zone}
		}
	}
	return relays
}

// Relay is an entry that relays requests for others.
type Relay struct{ Address, AvailabilityZone string }
