package broker

import (
	"time"
)

// Limits of what the broker learns from ended requests.
const (
	// poisonCrashThreshold is the number of servers crashed by equal requests from
	// which such requests are refused.
	poisonCrashThreshold = 2
	// poisonRetention is how long a request that may crash servers is remembered
	// after its last lost connection.
	poisonRetention = 30 * time.Second
	// crashClearDelay is the time after a lost connection from which a good health
	// check shows that the server did not crash. The report of a check that ended
	// before the loss arrives earlier, within the longest delay between regions.
	crashClearDelay = 60 * time.Millisecond
	// maxCrashSuspects bounds the remembered requests.
	maxCrashSuspects = 10_000
	// maxRelativeServiceTime bounds the weight of one slow response, as a multiple
	// of the mean service time.
	maxRelativeServiceTime = 6
)

// crashSuspect is a request that has lost its connection on the listed servers,
// none of which has responded to a health check since then.
type crashSuspect struct {
	servers            map[uint32]time.Time
	lastConnectionLoss time.Time
}

// Release ends a grant, records the outcome of its request and offers the slot
// to waiting asks.
func (b *Broker) Release(name string, r Release, now time.Time) {
	g := b.grants[r.ID]
	if g == nil || g.entry.name != name {
		return
	}
	delete(b.grants, r.ID)
	b.freeSlot(g)
	g.returnToken(r.Outcome, now)
	s := g.server
	if g.relay == nil && !g.adopted {
		b.delays.observe(g.entry.zone, now.Sub(g.grantedAt)-millis(r.ElapsedMillis))
	}
	if s.paceChangesAt.IsZero() {
		b.recordPace(s, r.Pace, now)
	}
	s.observeLimit(r.Limit, now)
	b.recordOutcome(g, r, now)
	if r.KeepAliveMillis > 0 && g.relay == nil {
		idle := g.entry.idleConnections[s.Number]
		if idle == nil {
			idle = &idlePool{}
			g.entry.idleConnections[s.Number] = idle
		}
		if !now.Before(idle.usableUntil) {
			idle.count = 0
		}
		idle.count++
		idle.usableUntil = now.Add(millis(r.KeepAliveMillis))
	}
	b.offerServer(s, now)
}

// recordOutcome updates the estimates of the server and its service from the
// outcome of a request.
func (b *Broker) recordOutcome(g *grant, r Release, now time.Time) {
	s, p := g.server, b.pool(g.server.Record.Service)
	if r.Outcome == Answered || r.Outcome == Failed || r.Outcome == Refused {
		g.sender().recordResponse(s.Number)
	}
	switch r.Outcome {
	case Answered:
		took := millis(r.ElapsedMillis)
		s.recordSuccess(now, min(float64(took)/float64(max(p.serviceTime, time.Millisecond)), maxRelativeServiceTime))
		p.meanResponseBytes += serviceTimeWeight * (float64(r.ResponseBytes) - p.meanResponseBytes)
		if !s.cold(now) {
			p.serviceTime = time.Duration((1-serviceTimeWeight)*float64(p.serviceTime) + serviceTimeWeight*float64(min(took, maxRelativeServiceTime*p.serviceTime)))
		}
	case Failed, Refused:
		s.recordFailure(now)
	case Unreachable:
		b.recordUnreached(g, r.Outcome, now)
	case ConnectionLost:
		b.recordUnreached(g, r.Outcome, now)
		b.recordConnectionLoss(g, now)
	case WrongServer:
		b.remove(s)
	case Abandoned:
		if millis(r.ElapsedMillis) > 2*p.serviceTime {
			s.recordFailure(now)
		}
	case RelayFailed:
		if g.relay != nil {
			g.entry.avoidedRelays[g.relay.name] = now.Add(relayAvoidance)
		}
	case PathLost, Unused:
	}
}

// Ejection says that a server gets no requests for a time, because a request of an entry
// failed on it.
type Ejection struct {
	Server  *Server
	Entry   string
	Outcome Outcome
	For     time.Duration
}

// TakeEjections returns the ejections since the last call.
func (b *Broker) TakeEjections() []Ejection {
	out := b.ejections
	b.ejections = nil
	return out
}

// recordConnectionLoss records that a request lost its connection on a server.
func (b *Broker) recordConnectionLoss(g *grant, now time.Time) {
	if g.fingerprint == 0 {
		return
	}
	x := b.crashSuspects[g.fingerprint]
	if x == nil {
		if len(b.crashSuspects) >= maxCrashSuspects {
			return
		}
		x = &crashSuspect{servers: map[uint32]time.Time{}}
		b.crashSuspects[g.fingerprint] = x
	}
	x.servers[g.server.Number] = now
	x.lastConnectionLoss = now
	g.server.crashSuspects = append(g.server.crashSuspects, x)
}

// clearCrashSuspects removes a server that is alive from the requests that are
// suspected of having crashed it: its connections were only reset.
func (s *Server) clearCrashSuspects(now time.Time) {
	kept := s.crashSuspects[:0]
	for _, x := range s.crashSuspects {
		if now.Sub(x.servers[s.Number]) < crashClearDelay {
			kept = append(kept, x)
			continue
		}
		delete(x.servers, s.Number)
	}
	s.crashSuspects = kept
}

// poisoned reports whether equal requests have crashed servers.
func (b *Broker) poisoned(a Ask) bool {
	x := b.crashSuspects[a.Fingerprint]
	return x != nil && len(x.servers) >= poisonCrashThreshold
}

// expireCrashSuspects removes the requests whose last lost connection is too
// old.
func (b *Broker) expireCrashSuspects(now time.Time) {
	for fingerprint, x := range b.crashSuspects {
		if now.Sub(x.lastConnectionLoss) > poisonRetention {
			delete(b.crashSuspects, fingerprint)
		}
	}
}

// Sample applies the result of a health check of an unknown entry.
func (b *Broker) Sample(m Sample, now time.Time) { b.applySample(m, 0, now) }

// applySample applies the result of a health check that was sent to the broker the given time
// ago.
func (b *Broker) applySample(m Sample, age time.Duration, now time.Time) {
	s := b.servers[m.Server]
	if s == nil {
		return
	}
	if m.WrongServer {
		b.remove(s)
		return
	}
	s.observeLimit(m.Limit, now)
	b.recordPace(s, m.Pace, now)
	s.recordRunning(m.Running, now)
	s.sampledAt = now
	s.paceChangesAt, s.paceSampledUntil = time.Time{}, now.Add(sampledPaceLifetime)
	if m.PaceValidMillis > 0 {
		s.paceChangesAt, s.paceSampledUntil = now.Add(millis(m.PaceValidMillis)-age), time.Time{}
	}
	s.unhealthy = !m.Healthy
	if m.Healthy {
		s.clearCrashSuspects(now)
		s.lastHealthyAt = now
		s.Record.Unconfirmed = false
	}
	if m.ColdMillis >= 0 {
		s.Record.ColdUntil = now.Add(millis(m.ColdMillis))
	}
	b.offerServer(s, now)
}

// recordPace records a reported pace. Values of 0 and below mean that none was
// reported.
func (b *Broker) recordPace(s *Server, pace int, now time.Time) {
	if pace <= 0 {
		return
	}
	s.pace, s.paceAt = pace, now
	p := b.pool(s.Record.Service)
	p.meanPace += meanPaceWeight * (float64(pace) - p.meanPace)
}
