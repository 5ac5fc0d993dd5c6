package gateway

import (
	"time"

	"tanagerbarrow/protocol"
)

// acceptsRequests reports whether a server accepts requests of this entry now or, if another entry
// relays them, of that one.
func (v *view) acceptsRequests(s *server, relayed bool) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.accepts(s, relayed, time.Now())
}

// accepts is acceptsRequests for a caller that holds the lock. A server that leaves accepts no
// requests of any entry; one that backs off may accept those of the relay.
func (v *view) accepts(s *server, relayed bool, now time.Time) bool {
	return !v.departures.leaving(s.ID, v.serversTerm, now) && (relayed || !v.backoffs.active(s.ID, now))
}

// forgetEnded forgets what servers have said that the broker has removed or that have restarted.
// A full view may come from a broker that has started anew, also in the same term, and whose
// numbers say nothing about that. The caller holds the lock.
func (v *view) forgetEnded(m protocol.View, now time.Time) {
	if m.Full {
		v.carryDepartures(m.Servers, now)
		return
	}
	for _, n := range m.Removed {
		if s := v.servers[n]; s != nil {
			v.forget(s.ID)
		}
	}
	for _, s := range m.Servers {
		if _, leaves := v.departures[s.ID]; (leaves || v.backoffs[s.ID] != nil) && v.isRestarted(s) {
			v.forget(s.ID)
		}
	}
}

// carryDepartures keeps the departures of servers that have the same number in a new full view,
// and the others for departureRetention. The caller holds the lock.
func (v *view) carryDepartures(servers []protocol.Server, now time.Time) {
	numbers := map[string]uint32{}
	for _, s := range servers {
		numbers[s.ID] = s.Number
	}
	for id, d := range v.departures {
		if d.term != 0 && (d.term != v.term || numbers[id] != d.number) {
			v.departures[id] = departure{lastSureAt: now}
		}
		if !v.departures.leaving(id, v.term, now) {
			delete(v.departures, id)
		}
	}
}

// forget forgets what a server has said. The caller holds the lock.
func (v *view) forget(id string) {
	delete(v.backoffs, id)
	delete(v.departures, id)
}

// isRestarted reports whether the server of an identifier has another number than before. The
// caller holds the lock.
func (v *view) isRestarted(next protocol.Server) bool {
	for _, s := range v.servers {
		if s.ID == next.ID && s.Number != next.Number {
			return true
		}
	}
	return false
}
