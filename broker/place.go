package broker

import (
	"math"
	"slices"
	"time"
)

// Costs that placement weighs against each other, all expressed as time.
const (
	// crossRegionCost is the additional waiting that is accepted to keep a request
	// in its region: the links between regions are the first to be lossy or cut.
	crossRegionCost = 50 * time.Millisecond
	// crossZoneKilobyteCost and crossRegionKilobyteCost are the waiting that is
	// accepted to keep one kilobyte from crossing to another zone or region: the
	// users pay for both, about four times as much between regions.
	crossZoneKilobyteCost   = 5 * time.Millisecond
	crossRegionKilobyteCost = 20 * time.Millisecond
	// regionWaitShare is how long a request waits for a server of its region, as
	// part of the network cost of the other server: the other one has a free slot
	// now, the nearer one is only likely to have one soon.
	regionWaitShare = 0.3
	// headerKilobytes is the size of the headers of a request and its response, in
	// kilobytes.
	headerKilobytes = 1
	// newConnectionCost is the waiting that is accepted to avoid opening a new
	// connection.
	newConnectionCost = 200 * time.Millisecond
	// slowdownUtilization is the share of its slots in use from which a server
	// slows down, and slowdownFactor how much longer requests take then.
	slowdownUtilization = 0.8
	slowdownFactor      = 1.6
	// maxUsualPaceFactor is the pace up to which a machine counts as running at
	// its usual pace, as a multiple of the usual. The mean of all paces lies above
	// it, so that a machine of unknown pace does not count as usual.
	maxUsualPaceFactor = 1.3
	// failureCost is the cost of one recent failure, about that of a lost request.
	failureCost = 500 * time.Millisecond
	// unhealthyCost keeps requests off servers whose health check fails while
	// others have free slots. It does not exclude them, since the check may be
	// wrong.
	unhealthyCost = 2 * time.Second
	// newServerBonus makes the broker grant a server that has had no request,
	// although that costs a new connection and possibly the way to another zone:
	// only a request shows how fast the server is. It applies once to each server,
	// while its machine runs at its usual pace.
	newServerBonus = 2 * newConnectionCost
	// tieBreakSpread is the random part of the cost that spreads requests evenly
	// over equal servers.
	tieBreakSpread = 4 * time.Millisecond
)

// tryGrant grants an ask the cheapest server that has a free slot, unless
// waiting for a better one is worthwhile. It reports whether the ask was
// granted.
func (b *Broker) tryGrant(p *pool, free []*Server, w *pendingAsk, now time.Time) bool {
	var best *Server
	var lowest time.Duration
	for _, s := range free {
		if !b.canRunNow(s, w, now) {
			continue
		}
		cost := b.cost(p, s, w, now)
		if best == nil || cost < lowest {
			best, lowest = s, cost
		}
	}
	if best == nil || b.shouldWait(p, best, w, now) {
		return false
	}
	b.issueGrant(p, w, best, now)
	return true
}

// serversWithFreeSlot returns the usable servers that have a free slot and whose limit
// allows a request.
func (b *Broker) serversWithFreeSlot(p *pool, now time.Time) []*Server {
	var free []*Server
	for _, s := range p.servers {
		if s.occupiedSlots(now) < s.Record.Slots && s.usable(now) && s.limitAllows(now) {
			free = append(free, s)
		}
	}
	return free
}

// serversAtUsualPace returns the servers whose machines may run at their usual
// pace. The others serve only requests whose wait has ended.
func (b *Broker) serversAtUsualPace(p *pool, free []*Server, now time.Time) []*Server {
	var usual []*Server
	for _, s := range free {
		if !s.paceKnown(now) || p.paceFactor(s, now, now) <= maxUsualPaceFactor {
			usual = append(usual, s)
		}
	}
	return usual
}

// shouldWait reports whether a request should wait for a machine at its usual
// pace rather than run on the best one of this moment. A request on a slow
// machine is late and holds its slot for several times as long: under load,
// using such slots leaves too few for all requests, and the service stays
// overloaded after the load has gone. The pace of other machines usually
// returns to normal within a fraction of the wait. A machine that no entry
// samples, since many entries are down, serves requests whose wait has ended:
// nothing shows that it is slow.
func (b *Broker) shouldWait(p *pool, s *Server, w *pendingAsk, now time.Time) bool {
	if b.shouldWaitForRegion(p, s, w, now) {
		return true
	}
	if !s.paceKnown(now) || !b.paceMayLast(s, w, now) {
		return false
	}
	if p.paceFactor(s, now, now.Add(b.timeToArrival(s, w, now))) <= maxUsualPaceFactor {
		return false
	}
	return now.Before(w.waitUntil) || (len(p.queue) > 1 && s.isSampled(now))
}

// paceMayLast reports whether a machine's pace can last until a request has arrived, at the
// earliest time at which the broker knows of it. If not, as with a large body on a thin link, waiting
// for another machine gains nothing.
func (b *Broker) paceMayLast(s *Server, w *pendingAsk, now time.Time) bool {
	return b.delays.message(s.Record.AvailabilityZone)+b.timeToArrival(s, w, now) < paceLifetime
}

// shouldWaitForRegion reports whether a request that would leave its region
// should wait for a server there: slots become free all the time, and the links
// between regions cost more than a short wait. A request with a large body or
// response waits longer.
func (b *Broker) shouldWaitForRegion(p *pool, s *Server, w *pendingAsk, now time.Time) bool {
	if s.Region == w.entry.region || !now.Before(w.waitUntil) {
		return false
	}
	maxWait := time.Duration(regionWaitShare * float64(b.networkCost(p, s, w)))
	return now.Sub(w.arrivedAt) < maxWait && b.hasServerInRegion(p, w, now)
}

// hasServerInRegion reports whether a server of the entry's region may run the
// request once it has a free slot.
func (b *Broker) hasServerInRegion(p *pool, w *pendingAsk, now time.Time) bool {
	return slices.ContainsFunc(p.servers, func(s *Server) bool {
		return s.Region == w.entry.region && b.eligible(s, w, now)
	})
}

// canRunNow reports whether a server may run a request, has a free slot for it, and
// its limits allow it.
func (b *Broker) canRunNow(s *Server, w *pendingAsk, now time.Time) bool {
	if !b.eligible(s, w, now) || s.occupiedSlots(now) >= s.Record.Slots || !s.limitAllows(now) || !w.accountAllows(now) {
		return false
	}
	return !s.cold(now) || b.coldRateAllows(s, now)
}

// eligible reports whether a server may run a request once it has a free slot.
func (b *Broker) eligible(s *Server, w *pendingAsk, now time.Time) bool {
	return s.usable(now) && b.allowed(s, w) && (w.entry.pathLost || !w.entry.avoids(s.Number, now)) &&
		b.backoffUntil(s, w, now).IsZero()
}

// allowed reports whether the operators and the request itself allow a server.
func (b *Broker) allowed(s *Server, w *pendingAsk) bool {
	return !b.zonesOut[s.Record.AvailabilityZone] && b.versionAllows(s, w) && !slices.Contains(w.ask.ExcludedServers, s.Number) &&
		(len(w.ask.HomeRegions) == 0 || slices.Contains(w.ask.HomeRegions, s.Region))
}

// anyEligible reports whether any server of the service may run a request once
// it has a free slot.
func (b *Broker) anyEligible(p *pool, w *pendingAsk, now time.Time) bool {
	return slices.ContainsFunc(p.servers, func(s *Server) bool { return b.eligible(s, w, now) })
}

// coldRateAllows reports whether a cold server may get one more request now.
func (b *Broker) coldRateAllows(s *Server, now time.Time) bool {
	service := b.index.Service(s.Record.Service)
	return service != nil && !now.Before(b.options.ColdGrantsFrom) && s.coldRateAllows(now, service.ColdRate)
}

// cost returns the cost of running a request on a server. It includes a random
// part that breaks ties.
func (b *Broker) cost(p *pool, s *Server, w *pendingAsk, now time.Time) time.Duration {
	runTime := time.Duration(float64(p.serviceTime) * s.currentSlowness(now))
	if float64(s.occupiedSlots(now)+1) > slowdownUtilization*float64(s.Record.Slots) {
		runTime = time.Duration(float64(runTime) * slowdownFactor)
	}
	if s.cold(now) {
		runTime *= 2
	}
	pace := p.paceFactor(s, now, now.Add(b.timeToArrival(s, w, now)))
	runTime = time.Duration(float64(runTime) * pace)
	cost := runTime + b.networkCost(p, s, w)
	cost += time.Duration(s.currentFailureScore(now) * float64(failureCost))
	if s.unhealthy {
		cost += unhealthyCost
	}
	if !w.entry.hasIdleConnection(s.Number, now) {
		cost += newConnectionCost
	}
	if !s.everGranted && pace <= maxUsualPaceFactor {
		cost -= newServerBonus
	}
	return cost + time.Duration(b.options.Random.Int64N(int64(tieBreakSpread)))
}

// paceFactor is how much longer a request is expected to take because of the
// pace of the server's machine. A request keeps the pace at which it began. A
// reported pace loses its weight with age, because the pace changes all the
// time.
func (p *pool) paceFactor(s *Server, now, arrival time.Time) float64 {
	if s.pace == 0 {
		return 1
	}
	if !s.paceChangesAt.IsZero() {
		if arrival.Before(s.paceChangesAt) {
			return float64(s.pace) / usualPace
		}
		return p.meanPace / usualPace
	}
	if now.Before(s.paceSampledUntil) {
		return float64(s.pace) / usualPace
	}
	weight := math.Exp(-float64(now.Sub(s.paceAt)) / float64(paceLifetime))
	return (p.meanPace + (float64(s.pace)-p.meanPace)*weight) / usualPace
}

// timeToArrival is how long a granted request takes to reach the server: the
// grant travels to the entry, which may have to open a connection, and the request
// with its body travels on.
func (b *Broker) timeToArrival(s *Server, w *pendingAsk, now time.Time) time.Duration {
	way := b.delays.oneWay(w.entry.zone, s.Record.AvailabilityZone)
	took := b.delays.message(w.entry.zone) + way + millis(w.ask.SendMillis)
	if !w.entry.hasIdleConnection(s.Number, now) {
		took += 2 * way
	}
	return took
}

// networkCost is the cost of the way between the entry and the server: its
// round trip and the cost of the bytes that cross zones or regions.
func (b *Broker) networkCost(p *pool, s *Server, w *pendingAsk) time.Duration {
	roundTrip := 2 * b.delays.oneWay(w.entry.zone, s.Record.AvailabilityZone)
	kilobytes := time.Duration((w.ask.BodyBytes+int(p.meanResponseBytes))>>10 + headerKilobytes)
	switch {
	case s.Record.AvailabilityZone == w.entry.zone:
		return 0
	case s.Region == w.entry.region:
		return roundTrip + kilobytes*crossZoneKilobyteCost
	default:
		return roundTrip + crossRegionCost + kilobytes*crossRegionKilobyteCost
	}
}

// issueGrant grants a server to an ask and sends the grant.
// The ask is refused if its entry reaches no server and no other may relay its request.
func (b *Broker) issueGrant(p *pool, w *pendingAsk, s *Server, now time.Time) {
	var relay *entry
	if w.entry.pathLost {
		if relay = b.relayFor(w, s, now); relay == nil {
			p.discard(w)
			b.refuse(p, w.entry, w.ask.Seq, ReasonNoRelay, now)
			return
		}
	}
	b.lastGrantID++
	g := &grant{
		id: b.lastGrantID, seq: w.ask.Seq, entry: w.entry, server: s, fingerprint: w.ask.Fingerprint,
		grantedAt: now, expiresAt: now.Add(millis(w.ask.DeadlineMillis) + time.Second), relay: relay,
		route: w.details.Route,
	}
	g.takeToken(w, now)
	b.grants[g.id] = g
	if !w.charged {
		p.shares.charge(w.details.ClientAccount, w.startTag, w.weight)
	}
	p.shares.granted(w.startTag)
	p.served.record(w.ask.Priority, true)
	p.drain.current++
	w.entry.grantIDs[g.seq] = g.id
	s.activeGrants++
	s.everGranted = true
	s.countRequest(now)
	b.countRolloutGrant(w, s, now)
	if s.cold(now) {
		s.coldGrantTimes = append(s.coldGrantTimes, now)
	}
	if w.ask.Retry {
		p.grantedRetries.add(now)
	}
	o := Output{Entry: w.entry.name, Server: s, AheadBy: w.aheadBy, Grant: &Grant{Seq: g.seq, ID: g.id, Server: s.Number}}
	if idle := g.sender().idleConnections[s.Number]; idle != nil && idle.count > 0 {
		idle.count--
	}
	if relay != nil {
		relay.relayed++
		o.Relay, o.Grant.Relay = relay.name, relay.relayAddress
	}
	b.outputs = append(b.outputs, o)
}
