package broker

import (
	"slices"
	"time"

	"tanagerbarrow/declare"
	"tanagerbarrow/rollout"
)

// Limits of what a roll-out changes in placement.
const (
	// loadedUtilization is the share of its slots in use from which a server counts as loaded.
	loadedUtilization = 0.6
	// soleVersionDelay is how long a service must have had no server of another version until
	// the new version serves it alone during the canary: records of old servers may only be late.
	soleVersionDelay = 5 * time.Second
	// unknownVersionDelay is how long a server of unknown version gets nothing while fewer
	// servers are unknown than are known to be old: its next heartbeat brings the version, as to
	// a new broker. Then it counts as old.
	unknownVersionDelay = 3 * time.Second
	// groupedBodyBytes is the size of a body from which a canary's request stays in its region
	// also while requests are grouped on few servers.
	groupedBodyBytes = 32 << 10
)

// Rollout is a roll-out of the replicated state as this broker sees it.
type Rollout struct {
	declare.Rollout
	// Began is when the order was accepted and Due when the operator wants it done, by this
	// host's clock.
	Began, Due time.Time
	// AcceptedHere says that this broker led when the order was accepted, so that it knows of all
	// requests since.
	AcceptedHere bool
}

// serviceRollout is the broker's state of a service's roll-out.
type serviceRollout struct {
	Rollout
	decision rollout.Rollout
	// grants counts, by server number, the grants of new servers, which the canary spreads.
	grants map[uint32]int
	// loads holds when servers were last loaded.
	loads map[uint32]*serverLoad
	// lostConnections are the servers that have lost a connection since their last response.
	lostConnections map[uint32]bool
	// overdue counts the requests that counted as slow before they ended.
	overdue          map[overdueKey]int
	overdueCheckedAt time.Time
	// switchedAt is when this broker learned of the switch.
	switchedAt time.Time
	// peakLoad is the highest recent number of grants in use of the service.
	peakLoad float64
	// noOldSince is since when the service has had no server of another version; zero if it has
	// one. alone says that this has lasted so long that the new version serves alone.
	noOldSince time.Time
	alone      bool
	// unknownSince holds, by number, since when a server is known whose version isn't, and settled
	// those of them that count as old.
	unknownSince map[uint32]time.Time
	settled      map[uint32]bool
}

// serverLoad is when more than loadedUtilization and slowdownUtilization of a server's slots
// were last in use.
type serverLoad struct{ loadedAt, nearlyFullAt time.Time }

// SetRollouts applies the roll-outs of the replicated state: of each service the one in
// progress or else the last.
func (b *Broker) SetRollouts(rollouts []Rollout, now time.Time) {
	for _, r := range rollouts {
		known := b.rollouts[r.Service]
		if known == nil || known.Position != r.Position || r.Stage.Ended() && known.Stage != r.Stage {
			b.rollouts[r.Service] = b.newServiceRollout(r, now)
			continue
		}
		if known.Stage != r.Stage && r.Stage == declare.RolloutSwitching {
			known.switchedAt = now
		}
		known.Rollout.Rollout = r.Rollout
	}
	for _, r := range b.rollouts {
		b.settleUnknown(r, now)
	}
	b.serveQueues(now)
}

// newServiceRollout returns the state of a roll-out that this broker begins to see now.
// Evidence of an earlier broker is lost, and the exposure is counted from zero without the slack
// that the earlier one may have used.
func (b *Broker) newServiceRollout(r Rollout, now time.Time) *serviceRollout {
	plan := rollout.Plan{Began: r.Began, Due: r.Due}
	decision := rollout.Rollout{
		Plan: plan, Exposure: rollout.NewExposure(b.options.Exposure, plan, r.AcceptedHere, now), Evidence: rollout.NewEvidence(),
	}
	return &serviceRollout{
		Rollout: r, decision: decision, grants: map[uint32]int{}, loads: map[uint32]*serverLoad{},
		lostConnections: map[uint32]bool{}, overdue: map[overdueKey]int{}, switchedAt: now,
		unknownSince: map[uint32]time.Time{}, settled: map[uint32]bool{},
	}
}

// isNew reports whether a server is of the roll-out's target version.
func (r *serviceRollout) isNew(s *Server) bool { return s.Record.Version == r.TargetVersion }

// bad reports whether the new version was found to be bad.
func (r *serviceRollout) bad() bool { return r.decision.Evidence.Verdict() != nil }

// serves reports whether a server serves the requests of its service, other than those that a
// canary gets. Servers of unknown version are old ones, though not at once, until the roll-out is
// completed.
func (r *serviceRollout) serves(s *Server) bool {
	if s.Record.Version == "" && !r.settled[s.Number] && r.Stage != declare.RolloutCompleted {
		return false
	}
	switch r.Stage {
	case declare.RolloutCanary:
		return !r.isNew(s) || r.alone && !r.bad()
	case declare.RolloutSwitching:
		return r.isNew(s) != r.bad()
	case declare.RolloutCompleted:
		return r.isNew(s) || s.Record.Version == ""
	default:
		return !r.isNew(s)
	}
}

// versionServes reports whether the version of a server allows it to serve its service.
func (b *Broker) versionServes(s *Server) bool {
	r := b.rollouts[s.Record.Service]
	return r == nil || r.serves(s)
}

// versionAllows reports whether the version of a server allows it to run a request.
func (b *Broker) versionAllows(s *Server, w *pendingAsk) bool {
	if w.canary {
		return b.rollouts[s.Record.Service].isNew(s)
	}
	return b.versionServes(s)
}

// tryCanary grants an ask a new server if it is drawn for the canary, and reports whether it did.
// Retries are not drawn: they would widen the exposure when old servers fail. Asks without a
// route are not drawn either: their entries send no results.
func (b *Broker) tryCanary(p *pool, w *pendingAsk, now time.Time) bool {
	r := b.rollouts[p.name]
	if r == nil || r.Stage != declare.RolloutCanary || r.bad() || r.alone || w.ask.Retry || w.entry.pathLost ||
		w.details.Route == "" || !r.decision.Exposure.Draw(w.details.Route, now) {
		return false
	}
	w.canary = true
	s := b.canaryServer(p, r, w, now)
	if s != nil {
		b.issueGrant(p, w, s, now)
		r.decision.Exposure.Took(w.details.Route)
	}
	w.canary = false
	return s != nil
}

// canaryServer returns the new server that a canary's request runs on, or nil. Requests are
// spread so that each new server gets some, which warms it; while they are grouped, the fullest
// server is filled further.
func (b *Broker) canaryServer(p *pool, r *serviceRollout, w *pendingAsk, now time.Time) *Server {
	grouped := r.decision.Exposure.Grouping(now) && w.ask.BodyBytes < groupedBodyBytes
	var best *Server
	var bestRank canaryRank
	for _, s := range p.servers {
		if !r.isNew(s) || !b.canRunNow(s, w, now) || p.isSlow(s, now.Add(b.timeToArrival(s, w, now)), now) {
			continue
		}
		rank := canaryRank{doubtful: s.unhealthy, far: s.Region != w.entry.region, grants: r.grants[s.Number]}
		if grouped {
			rank = canaryRank{doubtful: s.unhealthy || s.cold(now) || s.currentFailureScore(now) > 0.5, grants: -s.occupiedSlots(now)}
		}
		rank.cost = b.cost(p, s, w, now)
		if best == nil || rank.before(bestRank) {
			best, bestRank = s, rank
		}
	}
	return best
}

// isSlow reports whether a server's machine is known to run slower than usual at a time.
func (p *pool) isSlow(s *Server, at, now time.Time) bool {
	return s.paceKnown(now) && p.paceFactor(s, now, at) > maxUsualPaceFactor
}

// canaryRank orders new servers for a canary's request.
type canaryRank struct {
	doubtful, far bool
	grants        int
	cost          time.Duration
}

// before reports whether a server is preferred to another one.
func (c canaryRank) before(other canaryRank) bool {
	switch {
	case c.doubtful != other.doubtful:
		return other.doubtful
	case c.far != other.far:
		return other.far
	case c.grants != other.grants:
		return c.grants < other.grants
	default:
		return c.cost < other.cost
	}
}

// countRolloutGrant counts a grant of a service with a roll-out in progress.
func (b *Broker) countRolloutGrant(w *pendingAsk, s *Server, now time.Time) {
	r := b.rollouts[s.Record.Service]
	if r == nil || r.Stage.Ended() {
		return
	}
	r.decision.Exposure.Count(r.isNew(s), w.ask.Retry)
	if r.isNew(s) {
		r.grants[s.Number]++
	}
	used := float64(s.activeGrants) / float64(max(s.Record.Slots, 1))
	if used <= loadedUtilization {
		return
	}
	l := r.loads[s.Number]
	if l == nil {
		l = &serverLoad{}
		r.loads[s.Number] = l
	}
	l.loadedAt = now
	if used > slowdownUtilization {
		l.nearlyFullAt = now
	}
}

// GrantOnlyServers returns the numbers, in ascending order, of the servers that entries may use
// with a grant only: the new ones while it is unknown whether their version is good, and
// those that get no requests at all.
func (b *Broker) GrantOnlyServers() []uint32 {
	return b.serversByVersion(func(r *serviceRollout, s *Server) bool {
		return !r.serves(s)
	})
}

// ExcludedServers returns the numbers, in ascending order, of the servers that get no requests
// because of their version.
func (b *Broker) ExcludedServers() []uint32 {
	return b.serversByVersion(func(r *serviceRollout, s *Server) bool {
		return !r.serves(s) && (r.Stage != declare.RolloutCanary || r.bad())
	})
}

// serversByVersion returns the numbers of the servers that a roll-out concerns so, in ascending
// order.
func (b *Broker) serversByVersion(concerned func(*serviceRollout, *Server) bool) []uint32 {
	var numbers []uint32
	if len(b.rollouts) == 0 {
		return nil
	}
	for number, s := range b.servers {
		if r := b.rollouts[s.Record.Service]; r != nil && concerned(r, s) {
			numbers = append(numbers, number)
		}
	}
	slices.Sort(numbers)
	return numbers
}
