package broker

import "time"

// minFailedServers is the number of servers on which requests of one entry must fail,
// with no response in between, for the entry's own links to be the likely cause.
const minFailedServers = 2

// entry is an entry process that asks for grants.
type entry struct {
	name, zone, region string
	// disconnectedAt is the time at which its connection ended; zero while it is
	// connected.
	disconnectedAt time.Time
	// idleConnections holds the entry's idle connections by server number.
	idleConnections map[uint32]*idlePool
	// grantIDs maps the sequence number of an ask to the identifier of its grant.
	grantIDs map[uint64]uint64
	// avoided holds, by server number, the servers that the entry's requests avoid.
	avoided map[uint32]avoidance
	// failedRequests maps the numbers of the servers on which the entry's requests have
	// failed, since the last response to any of them, to the request's fingerprint.
	failedRequests map[uint32]uint64
	// pathLost says that the entry reaches no backend server, by its own probes.
	pathLost bool
	// relayAddress accepts requests that the entry relays; empty if it relays none.
	relayAddress string
	// relayed counts the requests of others that it relays now.
	relayed int
	// avoidedRelays holds, by name, until when the entry's requests avoid a relay.
	avoidedRelays map[string]time.Time
	// backoffs holds, by server identifier, until when a server wants no requests of the
	// entry.
	backoffs map[string]time.Time
}

// avoidance keeps the requests of one entry away from a server that they didn't reach.
type avoidance struct {
	until    time.Time
	failures int
}

// idlePool counts the idle connections of an entry to one server.
type idlePool struct {
	count       int
	usableUntil time.Time
}

// newEntry returns an entry that has sent no ask yet.
func newEntry(name, zone, region string) *entry {
	return &entry{
		name: name, zone: zone, region: region, idleConnections: map[uint32]*idlePool{},
		grantIDs: map[uint64]uint64{}, avoided: map[uint32]avoidance{}, failedRequests: map[uint32]uint64{},
		avoidedRelays: map[string]time.Time{}, backoffs: map[string]time.Time{},
	}
}

// hasIdleConnection reports whether the entry has an idle connection to the server.
func (e *entry) hasIdleConnection(server uint32, now time.Time) bool {
	w := e.idleConnections[server]
	return w != nil && w.count > 0 && now.Before(w.usableUntil)
}

// avoids reports whether the entry's requests avoid a server.
func (e *entry) avoids(server uint32, now time.Time) bool { return now.Before(e.avoided[server].until) }

// avoid makes the entry's requests avoid a server for a time that doubles with each
// failure in a row.
func (e *entry) avoid(server uint32, fingerprint uint64, now time.Time) {
	a := e.avoided[server]
	a.until = now.Add(min(firstEjection<<a.failures, longestEjection))
	a.failures = min(a.failures+1, 8)
	e.avoided[server] = a
	e.failedRequests[server] = fingerprint
}

// recordResponse records that a server responded to a request of the entry.
func (e *entry) recordResponse(server uint32) {
	delete(e.avoided, server)
	clear(e.failedRequests)
}

// cutOff reports whether the entry seems to have lost its links to the servers, so that
// its failures say nothing about them. Failures of one request alone may be the fault of
// that request: it may crash the servers that run it.
func (e *entry) cutOff() bool {
	if e.pathLost || len(e.failedRequests) < minFailedServers {
		return e.pathLost
	}
	requests := map[uint64]bool{}
	for _, fingerprint := range e.failedRequests {
		requests[fingerprint] = true
	}
	return len(requests) > 1
}

// recordUnreached records that a request of the entry did not reach a server or lost its
// connection. The server gets no requests for a time, unless the entry seems to be the
// cause; then its earlier failures are withdrawn as well.
func (b *Broker) recordUnreached(g *grant, o Outcome, now time.Time) {
	s, e := g.server, g.sender()
	before := e.cutOff()
	e.avoid(s.Number, g.fingerprint, now)
	if e.cutOff() {
		if !before {
			b.withdrawEjections(e)
		}
		return
	}
	s.recordFailure(now)
	s.eject(now)
	s.ejectedBy = e.name
	b.ejections = append(b.ejections, Ejection{Server: s, Entry: e.name, Outcome: o, For: s.ejectedUntil.Sub(now)})
}

// SampleBy applies the result of a health check of an entry. Checks without a response
// say nothing about the servers if the entry seems to have lost its links.
func (b *Broker) SampleBy(entry string, m Sample, now time.Time) {
	e, s := b.entries[entry], b.servers[m.Server]
	if e == nil || s == nil {
		b.Sample(m, now)
		return
	}
	if m.Responded {
		e.recordResponse(s.Number)
	} else {
		before := e.cutOff()
		e.failedRequests[s.Number] = uint64(s.Number)
		if e.cutOff() {
			if !before {
				b.withdrawEjections(e)
			}
			return
		}
	}
	s.sampledBy = entry
	b.applySample(m, b.delays.message(e.zone), now)
}

// withdrawEjections ends the ejections that failures of an entry have caused, and trusts
// the servers again that its checks have found unhealthy.
func (b *Broker) withdrawEjections(e *entry) {
	for _, s := range b.servers {
		if s.sampledBy == e.name {
			s.unhealthy = false
		}
		if s.ejectedBy == e.name {
			s.ejectedUntil, s.ejectedBy = time.Time{}, ""
			s.consecutiveEjections = max(0, s.consecutiveEjections-1)
			s.failureScore = max(0, s.failureScore-1)
		}
	}
}
