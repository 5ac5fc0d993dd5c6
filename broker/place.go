package broker

import (
	"math"
	"slices"
	"time"
)

// The costs that placement weighs, all as time.
const (
	// zoneTrip and regionTrip are the round trips to another availability zone
	// and to another region; 8 ms one way between the users' regions.
	zoneTrip   = 2 * time.Millisecond
	regionTrip = 16 * time.Millisecond
	// handling is the time that the entry takes between a grant and its request.
	handling = 2 * time.Millisecond
	// regionCost is what a request's stay in its region is worth in waiting: the
	// links between regions are the first to be lossy or cut.
	regionCost = 50 * time.Millisecond
	// zoneByteCost and regionByteCost are what a kilobyte on the way to another
	// zone or region is worth in waiting: the users pay for both, about four times
	// as much between regions.
	zoneByteCost   = 5 * time.Millisecond
	regionByteCost = 20 * time.Millisecond
	// nearWeight is how long a request waits for a server of its region, as part of
	// the cost of the way to another one: the nearer server is only likely to come
	// free, the other one is there.
	nearWeight = 0.3
	// headKilobytes is the size of the headers of a request and its answer.
	headKilobytes = 1
	// dialCost is what a new connection is worth in waiting.
	dialCost = 200 * time.Millisecond
	// fullShare is the share of its slots from which a server slows down, and
	// fullFactor how much longer requests then take.
	fullShare  = 0.8
	fullFactor = 1.6
	// steadyFactor is the pace up to which a machine counts as usual; the mean of
	// the draws is above it, so that an unknown pace does not.
	steadyFactor = 1.3
	// mistrustCost is the cost of one recent failure, about a lost request.
	mistrustCost = 500 * time.Millisecond
	// unhealthyCost keeps requests off servers whose health check fails while
	// others have room; the check may be wrong.
	unhealthyCost = 2 * time.Second
	// newcomerGain makes a server that has had no request be tried though it costs a
	// new connection and the way to another zone: nothing else tells what it is
	// worth. It counts once for each server, while its machine is steady.
	newcomerGain = 2 * dialCost
	// drawSpread is the random part that keeps equal servers equally used.
	drawSpread = 4 * time.Millisecond
)

// grant gives an ask the server of the lowest cost that has room, unless a
// better one is worth waiting for.
func (b *Broker) grant(p *pool, open []*Server, w *waiting, now time.Time) bool {
	var best *Server
	var lowest time.Duration
	for _, s := range open {
		if !b.mayRun(s, w, now) {
			continue
		}
		cost := b.cost(p, s, w, now)
		if best == nil || cost < lowest {
			best, lowest = s, cost
		}
	}
	if best == nil || b.worthWaiting(p, best, w, now) {
		return false
	}
	b.issue(p, w, best, now)
	return true
}

// open returns the servers with a free slot.
func (b *Broker) open(p *pool, now time.Time) []*Server {
	var open []*Server
	for _, s := range p.servers {
		if s.occupied(now) < s.Record.Slots && s.usable(now) {
			open = append(open, s)
		}
	}
	return open
}

// steady returns the servers whose machines may run at their usual pace when a
// request arrives; the others serve only requests that have waited their time.
func (b *Broker) steady(p *pool, open []*Server, now time.Time) []*Server {
	var steady []*Server
	for _, s := range open {
		if s.pace == 0 || p.paceFactor(s, now, now) <= steadyFactor {
			steady = append(steady, s)
		}
	}
	return steady
}

// worthWaiting reports whether a request had better wait for a machine at its
// usual pace than run on the best one now. A request on a slow machine is late
// and holds its slot for several times as long: under load, taking such slots
// leaves too few for all, and the service stays overloaded after the load has
// gone. Draws of the pace free other machines within a fraction of the wait. A
// machine that no entry samples, since many are down, serves what has waited its
// time: nothing says that it is slow.
func (b *Broker) worthWaiting(p *pool, s *Server, w *waiting, now time.Time) bool {
	if b.waitsForNear(p, s, w, now) {
		return true
	}
	if s.pace == 0 || millis(w.ask.SendMillis) >= paceHold {
		// No pace is known, or none holds until the body has arrived.
		return false
	}
	if p.paceFactor(s, now, now.Add(b.arrivalTime(s, w))) <= steadyFactor {
		return false
	}
	return now.Before(w.until) || (len(p.queue) > 1 && s.watched(now))
}

// waitsForNear reports whether a request that would leave its region had better
// wait for a server there: slots come free all the time, and the links between
// regions cost more than a short wait. A request with a large body or answer
// waits longer.
func (b *Broker) waitsForNear(p *pool, s *Server, w *waiting, now time.Time) bool {
	if s.Region == w.entry.region || !now.Before(w.until) {
		return false
	}
	patience := time.Duration(nearWeight * float64(p.travelCost(s, w)))
	return now.Sub(w.at) < patience && b.nearServer(p, w, now)
}

// nearServer reports whether a server of the entry's region may run the request
// once it has room.
func (b *Broker) nearServer(p *pool, w *waiting, now time.Time) bool {
	return slices.ContainsFunc(p.servers, func(s *Server) bool {
		return s.Region == w.entry.region && b.allowed(s, w, now)
	})
}

// mayRun reports whether a server may run a request now.
func (b *Broker) mayRun(s *Server, w *waiting, now time.Time) bool {
	if !b.allowed(s, w, now) || s.occupied(now) >= s.Record.Slots {
		return false
	}
	return !s.cold(now) || b.coldRoom(s, now)
}

// allowed reports whether a server may run a request once it has room.
func (b *Broker) allowed(s *Server, w *waiting, now time.Time) bool {
	return s.usable(now) && !b.zonesOut[s.Record.AvailabilityZone] &&
		!slices.Contains(w.ask.ExcludedServers, s.Number) &&
		(len(w.ask.HomeRegions) == 0 || slices.Contains(w.ask.HomeRegions, s.Region))
}

// anyUsable reports whether any server may run a request once it has room.
func (b *Broker) anyUsable(p *pool, w *waiting, now time.Time) bool {
	return slices.ContainsFunc(p.servers, func(s *Server) bool { return b.allowed(s, w, now) })
}

// coldRoom reports whether a cold server may get one more request.
func (b *Broker) coldRoom(s *Server, now time.Time) bool {
	service := b.index.Service(s.Record.Service)
	return service != nil && !now.Before(b.options.ColdGrantsFrom) && s.coldRoom(now, service.ColdRate)
}

// cost weighs a server for a request.
func (b *Broker) cost(p *pool, s *Server, w *waiting, now time.Time) time.Duration {
	work := time.Duration(float64(p.work) * s.slow(now))
	if float64(s.occupied(now)+1) > fullShare*float64(s.Record.Slots) {
		work = time.Duration(float64(work) * fullFactor)
	}
	if s.cold(now) {
		work *= 2
	}
	pace := p.paceFactor(s, now, now.Add(b.arrivalTime(s, w)))
	work = time.Duration(float64(work) * pace)
	cost := work + p.travelCost(s, w)
	cost += time.Duration(s.distrust(now) * float64(mistrustCost))
	if s.unhealthy {
		cost += unhealthyCost
	}
	if !w.entry.isWarm(s.Number, now) {
		cost += dialCost
	}
	if !s.granted && pace <= steadyFactor {
		cost -= newcomerGain
	}
	return cost + time.Duration(b.options.Random.Int64N(int64(drawSpread)))
}

// paceFactor is how much longer a request is expected to take for the pace of
// the server's machine. A request keeps the pace that it began with; a figure
// loses its worth with its age, because the pace is drawn anew all the time.
func (p *pool) paceFactor(s *Server, now, arrival time.Time) float64 {
	if s.pace == 0 {
		return 1
	}
	if !s.paceUntil.IsZero() {
		if arrival.Before(s.paceUntil) {
			return float64(s.pace) / usualPace
		}
		return p.pace / usualPace
	}
	if now.Before(s.watchedTo) {
		return float64(s.pace) / usualPace
	}
	trust := math.Exp(-float64(now.Sub(s.paceAt)) / float64(paceHold))
	return (p.pace + (float64(s.pace)-p.pace)*trust) / usualPace
}

// arrivalTime is how long a granted request takes to reach the server: the grant
// travels to the entry, and the request with its body on.
func (b *Broker) arrivalTime(s *Server, w *waiting) time.Duration {
	return b.oneWay(b.options.Zone, w.entry.zone) + b.oneWay(w.entry.zone, s.Record.AvailabilityZone) +
		handling + millis(w.ask.SendMillis)
}

// oneWay is the usual time from one availability zone to another.
func (b *Broker) oneWay(from, to string) time.Duration {
	switch {
	case from == to:
		return 0
	case b.options.Regions[from] == b.options.Regions[to]:
		return zoneTrip / 2
	default:
		return regionTrip / 2
	}
}

// travelCost is the time and the worth of the bytes between the entry and the
// server.
func (p *pool) travelCost(s *Server, w *waiting) time.Duration {
	kilobytes := time.Duration((w.ask.BodyBytes+int(p.answer))>>10 + headKilobytes)
	switch {
	case s.Record.AvailabilityZone == w.entry.zone:
		return 0
	case s.Region == w.entry.region:
		return zoneTrip + kilobytes*zoneByteCost
	default:
		return regionTrip + regionCost + kilobytes*regionByteCost
	}
}

// isWarm reports whether the entry has an idle connection to the server.
func (e *entry) isWarm(server uint32, now time.Time) bool {
	w := e.warm[server]
	return w != nil && w.idle > 0 && now.Before(w.until)
}

// issue grants a server to an ask.
func (b *Broker) issue(p *pool, w *waiting, s *Server, now time.Time) {
	b.nextGrant++
	g := &grant{
		id: b.nextGrant, seq: w.ask.Seq, entry: w.entry, server: s, fingerprint: w.ask.Fingerprint,
		at: now, until: now.Add(millis(w.ask.DeadlineMillis) + time.Second),
	}
	b.grants[g.id] = g
	w.entry.asks[g.seq] = g.id
	s.busy++
	s.granted = true
	if s.cold(now) {
		s.coldGrants = append(s.coldGrants, now)
	}
	if w.ask.Retry {
		p.retries.add(now)
	}
	if warm := w.entry.warm[s.Number]; warm != nil && warm.idle > 0 {
		warm.idle--
	}
	b.out = append(b.out, Output{
		Entry: w.entry.name, Server: s,
		Grant: &Grant{Seq: g.seq, ID: g.id, Server: s.Number},
	})
}
