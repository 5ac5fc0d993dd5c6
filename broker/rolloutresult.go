package broker

import (
	"time"

	"tanagerbarrow/declare"
	"tanagerbarrow/rollout"
)

// Result is how a request of a service with a roll-out ended on a backend server.
type Result struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // read by the codec

	// Server is the number of the backend server.
	Server uint32
	// Route is the name of the request's route.
	Route string
	// Outcome says how the request ended.
	Outcome Outcome
	// Status is the status of the response; 0 if there was none.
	Status int
	// ElapsedMillis is how long the server took, in milliseconds.
	ElapsedMillis int
	// Pace is the time that work takes on the server, in percent of the usual; 0 if the server
	// didn't report it.
	Pace int
	// Cold says that the server was cold when the request was sent.
	Cold bool
}

// Times of what the broker learns from results.
const (
	// loadTransport is how much later than its end a request's result arrives.
	loadTransport = 50 * time.Millisecond
	// overdueCheckInterval is how often requests in progress are examined.
	overdueCheckInterval = 100 * time.Millisecond
)

// overdueKey tells requests apart that counted as slow before they ended.
type overdueKey struct {
	server uint32
	route  string
}

// RecordResult applies how a request of an entry ended.
func (b *Broker) RecordResult(entry string, m Result, now time.Time) {
	s := b.servers[m.Server]
	if s == nil {
		return
	}
	r := b.rollouts[s.Record.Service]
	if r == nil || r.Stage.Ended() {
		return
	}
	m.Cold = m.Cold || s.cold(now)
	e := b.entries[entry]
	counts, failed := r.judge(m, e != nil && e.cutOff())
	if !counts || !failed && r.countedBefore(m) {
		return
	}
	elapsed := millis(m.ElapsedMillis)
	o := rollout.Observation{
		Server: m.Server, Canary: r.isNew(s), Route: m.Route, Failed: failed, Elapsed: elapsed, Slowdown: r.slowdown(s, m, now),
		Loaded: r.loadedWithin(s, elapsed, now), Began: now.Add(-elapsed), At: now,
	}
	if limit, known := r.decision.Evidence.SlowAfter(m.Route); m.Outcome == Abandoned &&
		(!known || float64(elapsed) <= float64(limit)*o.Slowdown) {
		// The caller left before it was known whether the response is slow.
		return
	}
	r.decision.Evidence.Record(o)
}

// judge reports whether a result is evidence of its server's version, and whether the server
// failed. What says nothing about the version doesn't count: a refusal of a full server, a server
// that was not reached or is another one, and what the entry, cut off or not, or a relay caused.
// The times of cold servers don't count, but their failures do.
func (r *serviceRollout) judge(m Result, cutOff bool) (counts, failed bool) {
	switch m.Outcome {
	case Answered:
		delete(r.lostConnections, m.Server)
		return !m.Cold, false
	case Abandoned:
		return !m.Cold, false
	case Failed:
		delete(r.lostConnections, m.Server)
		return true, true
	case ConnectionLost:
		// All connections of a server that crashes are lost at once: that is one failure.
		if r.lostConnections[m.Server] || cutOff {
			return false, false
		}
		r.lostConnections[m.Server] = true
		return true, true
	default:
		return false, false
	}
}

// countedBefore reports whether a slow response counted while its request was in progress.
func (r *serviceRollout) countedBefore(m Result) bool {
	key := overdueKey{m.Server, m.Route}
	limit, known := r.decision.Evidence.SlowAfter(m.Route)
	if r.overdue[key] == 0 || !known || millis(m.ElapsedMillis) <= limit {
		return false
	}
	r.overdue[key]--
	return true
}

// slowdown is how much longer work takes on a server because of its pace and its load.
func (r *serviceRollout) slowdown(s *Server, m Result, now time.Time) float64 {
	factor := max(float64(m.Pace)/usualPace, 1)
	if l := r.loads[s.Number]; l != nil && now.Sub(l.nearlyFullAt) <= millis(m.ElapsedMillis)+loadTransport {
		factor *= slowdownFactor
	}
	return factor
}

// loadedWithin reports whether a server was loaded while it ran a request that has just ended.
func (r *serviceRollout) loadedWithin(s *Server, elapsed time.Duration, now time.Time) bool {
	l := r.loads[s.Number]
	return l != nil && now.Sub(l.loadedAt) <= elapsed+loadTransport
}

// newServers returns the number of usable servers of the new version.
func (b *Broker) newServers(r *serviceRollout, now time.Time) int {
	n := 0
	for _, s := range b.pool(r.Service).servers {
		if r.isNew(s) && s.usable(now) {
			n++
		}
	}
	return n
}

// updateRollouts brings what depends on time up to date.
func (b *Broker) updateRollouts(now time.Time) {
	for _, r := range b.rollouts {
		if r.Stage != declare.RolloutCompleted {
			b.settleUnknown(r, now)
		}
		if r.Stage.Ended() {
			continue
		}
		b.updateVersions(r, now)
		r.decision.Evidence.Judge(b.newServers(r, now), now)
		if now.Sub(r.overdueCheckedAt) >= overdueCheckInterval {
			r.overdueCheckedAt = now
			b.recordOverdue(r, now)
		}
	}
}

// settleUnknown finds the servers of unknown version that count as old.
func (b *Broker) settleUnknown(r *serviceRollout, now time.Time) {
	old, unknown := 0, 0
	for _, s := range b.pool(r.Service).servers {
		switch {
		case s.Record.Version == "":
			unknown++
		case !r.isNew(s):
			old++
		}
	}
	if unknown == 0 {
		return
	}
	for _, s := range b.pool(r.Service).servers {
		if s.Record.Version != "" || r.settled[s.Number] {
			continue
		}
		if _, seen := r.unknownSince[s.Number]; !seen {
			r.unknownSince[s.Number] = now
		}
		r.settled[s.Number] = unknown > old || now.Sub(r.unknownSince[s.Number]) >= unknownVersionDelay
	}
}

// updateVersions finds out whether the service has servers of the new version only.
func (b *Broker) updateVersions(r *serviceRollout, now time.Time) {
	servers, old := b.pool(r.Service).servers, false
	for _, s := range servers {
		old = old || !r.isNew(s)
	}
	switch {
	case old || len(servers) == 0 || now.Before(b.options.ServersKnownFrom):
		r.noOldSince, r.alone = time.Time{}, false
	case r.noOldSince.IsZero():
		r.noOldSince = now
	default:
		r.alone = r.alone || now.Sub(r.noOldSince) >= soleVersionDelay && r.Stage == declare.RolloutCanary
	}
}

// recordOverdue counts the requests in progress that are slow already, so that a version that
// has become slow shows before its responses arrive.
func (b *Broker) recordOverdue(r *serviceRollout, now time.Time) {
	inUse := 0
	for _, g := range b.grants {
		s := g.server
		if s.Record.Service != r.Service {
			continue
		}
		inUse++
		limit, known := r.decision.Evidence.SlowAfter(g.route)
		age := now.Sub(g.grantedAt)
		slowdown := r.slowdown(s, Result{Pace: s.pace, ElapsedMillis: int(age.Milliseconds())}, now)
		if g.overdue || g.route == "" || !known || s.removed || s.cold(g.grantedAt) ||
			float64(age) <= float64(limit+overdueCheckInterval)*slowdown {
			continue
		}
		g.overdue = true
		r.overdue[overdueKey{s.Number, g.route}]++
		r.decision.Evidence.Record(rollout.Observation{
			Server: s.Number, Canary: r.isNew(s), Route: g.route, Elapsed: age, Slowdown: slowdown,
			Loaded: r.loadedWithin(s, age, now), Began: g.grantedAt, At: now,
		})
	}
	r.peakLoad = max(float64(inUse), r.peakLoad*peakLoadDecay)
}
