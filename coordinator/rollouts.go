package coordinator

import (
	"context"
	"maps"
	"slices"
	"time"

	"tanagerbarrow/boottime"
	"tanagerbarrow/broker"
	"tanagerbarrow/declare"
	"tanagerbarrow/protocol"
	"tanagerbarrow/rollout"
)

// Timing of roll-outs.
const (
	// moveTimeout bounds the proposal of a move, after which it may be proposed again.
	moveTimeout = time.Second
	// lostEntryDelay is how long a roll-out is not completed because of an entry whose session
	// has ended: longer than the entry's grants live and than it needs to connect again.
	lostEntryDelay = 2 * time.Second
	// sessionsKnownDelay is the time after the start of a broker by which the entries in touch
	// have connected to it.
	sessionsKnownDelay = 1500 * time.Millisecond
	// waitingLogInterval is the time between two log lines about the entries that a completion
	// waits for.
	waitingLogInterval = time.Second
)

// rolloutClock is when this host has first seen a roll-out. Between there and now only the clock
// that nobody sets is used.
type rolloutClock struct {
	// seenAt is in [boottime.Now], and elapsed the time that the roll-out had taken then.
	seenAt, elapsed time.Duration
}

// noteRollouts notes the roll-outs that this host sees for the first time. The time that one has
// taken so far is read from the clock of the day, unless that can't be.
func (c *Coordinator) noteRollouts(state declare.State) {
	c.mu.Lock()
	defer c.mu.Unlock()
	seen := map[uint64]rolloutClock{}
	for _, r := range state.Rollouts {
		clock, known := c.rolloutClocks[r.Position]
		if !known {
			clock = rolloutClock{seenAt: boottime.Now(), elapsed: elapsedSince(r, time.Now())}
		}
		seen[r.Position] = clock
	}
	c.rolloutClocks = seen
}

// maxOverdue is how far a roll-out may be overdue when a host finds it, as a multiple of its
// duration: beyond that the clock is more likely wrong.
const maxOverdue = 10

// elapsedSince returns how long a roll-out has taken by a clock, at most its duration; 0 if the
// clock seems to be wrong.
func elapsedSince(r declare.Rollout, now time.Time) time.Duration {
	elapsed, duration := now.Sub(time.UnixMilli(r.BeganAt)), time.Duration(r.DurationMillis)*time.Millisecond
	if elapsed < 0 || elapsed/maxOverdue > duration {
		return 0
	}
	return min(elapsed, duration)
}

// rolloutsForBroker returns the roll-outs of the state with their times by this host's clock.
func (l *leader) rolloutsForBroker(state declare.State, now time.Time) []broker.Rollout {
	l.c.noteRollouts(state)
	l.c.mu.Lock()
	defer l.c.mu.Unlock()
	var all []broker.Rollout
	for _, r := range state.Rollouts {
		clock := l.c.rolloutClocks[r.Position]
		began := now.Add(-clock.elapsed - (boottime.Now() - clock.seenAt))
		all = append(all, broker.Rollout{
			Rollout: r, Began: began, Due: began.Add(time.Duration(r.DurationMillis) * time.Millisecond),
			AcceptedHere: l.c.acceptedRollouts[r.Service] == acceptedRollout{l.term, r.RolloutOrder},
		})
	}
	return all
}

// acceptedRollout is an order for a roll-out that a leader of this host has proposed, and its
// term.
type acceptedRollout struct {
	term  uint64
	order declare.RolloutOrder
}

// rolloutDriver is what a leader knows about the entries and the moves of roll-outs. It is accessed
// by the leader's goroutine.
type rolloutDriver struct {
	startedAt time.Time
	// sequence numbers the messages to all entries.
	sequence uint64
	services []protocol.ServiceRollout
	// grantOnly and excluded hold the servers of the last messages.
	grantOnly, excluded map[uint32]bool
	// switched holds, by position, the sequence of the first message since which old servers
	// are excluded.
	switched map[uint64]uint64
	// confirmed holds, by name, the last confirmation of each entry with a session, and lost
	// when the sessions of others have ended.
	confirmed map[string]protocol.RolloutsConfirmation
	lost      map[string]time.Time
	// proposedAt holds when a move was last proposed.
	proposedAt map[declare.RolloutMove]time.Time
	waitingAt  time.Time
}

// newRolloutDriver returns the state of a broker that starts now.
func newRolloutDriver(now time.Time) rolloutDriver {
	return rolloutDriver{
		startedAt: now, grantOnly: map[uint32]bool{}, excluded: map[uint32]bool{}, switched: map[uint64]uint64{},
		confirmed: map[string]protocol.RolloutsConfirmation{}, lost: map[string]time.Time{}, proposedAt: map[declare.RolloutMove]time.Time{},
	}
}

// applyRollouts passes the declared roll-outs to the broker and logs their changes.
func (l *leader) applyRollouts(state declare.State, now time.Time) {
	if len(state.Rollouts) == 0 && len(l.state.Rollouts) == 0 {
		return
	}
	for _, r := range state.Rollouts {
		before := l.state.Rollout(r.Service)
		if before != nil && before.Position == r.Position && before.Stage == r.Stage {
			continue
		}
		l.log.Info().Str("event", "rollout_stage").Str("service", r.Service).Str("version", r.TargetVersion).Str("stage", string(r.Stage)).
			Uint64("position", r.Position).Int64("duration_ms", r.DurationMillis).Str("figures", r.Reason).Send()
		l.c.metrics.countRolloutStage(r.Service, r.Stage)
	}
	l.broker.SetRollouts(l.rolloutsForBroker(state, now), now)
}

// driveRollouts tells entries about servers that have changed, and proposes the moves that are due.
func (l *leader) driveRollouts(now time.Time) {
	if len(l.state.Rollouts) == 0 {
		return
	}
	l.refreshRollouts()
	for _, move := range l.broker.DueRolloutMoves(now) {
		if move.Stage == declare.RolloutCompleted && !l.mayComplete(move, now) {
			continue
		}
		key := declare.RolloutMove{Service: move.Service, Position: move.Position, Stage: move.Stage}
		if now.Sub(l.rollouts.proposedAt[key]) < moveTimeout {
			continue
		}
		l.rollouts.proposedAt[key] = now
		l.log.Info().Str("event", "rollout_move").Str("service", move.Service).Str("stage", string(move.Stage)).
			Uint64("position", move.Position).Str("figures", move.Reason).Send()
		go l.proposeMove(move)
	}
}

// proposeMove commits a move in the leader's own term. The next stage shows in the state.
func (l *leader) proposeMove(move declare.RolloutMove) {
	ctx, cancel := context.WithTimeout(context.Background(), moveTimeout)
	defer cancel()
	if err := l.propose(ctx, declare.Command{MoveRollout: &move}); err != nil {
		l.log.Warn().Str("event", "rollout_move_failed").Str("service", move.Service).Str("stage", string(move.Stage)).Err(err).Send()
	}
}

// mayComplete reports whether no entry in touch sends anything to old servers any more. An entry that
// hasn't confirmed that in time is not waited for: the roll-out is to be completed when it is due.
func (l *leader) mayComplete(move declare.RolloutMove, now time.Time) bool {
	missing := l.entriesNotSwitched(l.rollouts.switched[move.Position], now)
	starting := now.Sub(l.rollouts.startedAt) < sessionsKnownDelay
	if len(missing) == 0 && !starting {
		return true
	}
	late := l.completionDeadline(move.Service, now)
	if now.Sub(l.rollouts.waitingAt) >= waitingLogInterval {
		l.rollouts.waitingAt = now
		l.log.Warn().Str("event", "rollout_waits").Str("service", move.Service).Strs("entries", missing[:min(len(missing), 10)]).
			Int("missing", len(missing)).Bool("given_up", late).Send()
	}
	return late
}

// completionDeadline reports whether the time is over in which a completion may wait for entries:
// a part of what the plan leaves until the roll-out is due.
func (l *leader) completionDeadline(service string, now time.Time) bool {
	for _, r := range l.rolloutsForBroker(l.state, now) {
		if r.Service == service {
			by := rollout.Plan{Began: r.Began, Due: r.Due}.CompleteBy()
			return now.After(by.Add(r.Due.Sub(by) / 3))
		}
	}
	return false
}

// entriesNotSwitched returns the entries that may still send requests to excluded servers, or have
// some in progress there, given the message that excluded them.
func (l *leader) entriesNotSwitched(sequence uint64, now time.Time) []string {
	var missing []string
	for name := range l.sessions {
		if c, ok := l.rollouts.confirmed[name]; !ok || c.Sequence < sequence || c.Running > 0 {
			missing = append(missing, name)
		}
	}
	for name, at := range l.rollouts.lost {
		if now.Sub(at) < lostEntryDelay {
			missing = append(missing, name)
		}
	}
	slices.Sort(missing)
	return missing
}

// refreshRollouts tells all entries which services are rolled out and which of the servers that they
// know they may not use any more, or with a grant only, if that has changed.
func (l *leader) refreshRollouts() {
	services := servicesInProgress(l.state)
	grantOnly, excluded := numberSet(l.broker.GrantOnlyServers()), numberSet(l.broker.ExcludedServers())
	d := &l.rollouts
	if slices.Equal(services, d.services) && maps.Equal(grantOnly, d.grantOnly) && maps.Equal(excluded, d.excluded) {
		return
	}
	changed := changedNumbers(grantOnly, d.grantOnly)
	maps.Copy(changed, changedNumbers(excluded, d.excluded))
	servicesChanged := !slices.Equal(services, d.services)
	d.services, d.grantOnly, d.excluded = services, grantOnly, excluded
	d.sequence++
	for _, r := range l.state.Rollouts {
		if r.Stage == declare.RolloutSwitching && d.switched[r.Position] == 0 {
			d.switched[r.Position] = d.sequence
		}
	}
	for name, in := range l.sessions {
		m := protocol.Rollouts{Sequence: d.sequence, Services: services}
		for number := range l.views[name].known {
			if changed[number] {
				d.addServer(&m, number)
			}
		}
		if servicesChanged || len(m.GrantOnly)+len(m.Excluded)+len(m.Free) > 0 {
			_ = in.conn.Send(protocol.KindRollouts, m)
		}
	}
}

// changedNumbers returns the numbers that only one of two sets has.
func changedNumbers(a, b map[uint32]bool) map[uint32]bool {
	changed := map[uint32]bool{}
	for number := range a {
		if !b[number] {
			changed[number] = true
		}
	}
	for number := range b {
		if !a[number] {
			changed[number] = true
		}
	}
	return changed
}

// addServer adds what entries may send to a server to a message.
func (d *rolloutDriver) addServer(m *protocol.Rollouts, number uint32) {
	switch {
	case d.excluded[number]:
		m.Excluded = append(m.Excluded, number)
	case d.grantOnly[number]:
		m.GrantOnly = append(m.GrantOnly, number)
	default:
		m.Free = append(m.Free, number)
	}
}

// sendView sends changes of the view to an entry, and ahead of them which of the servers it may
// not use, or with a grant only.
func (l *leader) sendView(in *inboundLink, view protocol.View) {
	d := &l.rollouts
	m := protocol.Rollouts{Services: d.services}
	if view.Full {
		m.Sequence = d.sequence
	}
	for _, s := range view.Servers {
		if d.excluded[s.Number] || d.grantOnly[s.Number] {
			d.addServer(&m, s.Number)
		}
	}
	if m.Sequence > 0 || len(m.GrantOnly)+len(m.Excluded) > 0 {
		_ = in.conn.Send(protocol.KindRollouts, m)
	}
	_ = in.conn.Send(protocol.KindView, view)
}

// confirmRollouts records that an entry keeps to a message.
func (l *leader) confirmRollouts(in *inboundLink, m protocol.RolloutsConfirmation) {
	if l.sessions[in.hello.Name] == in {
		l.rollouts.confirmed[in.hello.Name] = m
	}
}

// forgetRolloutSession forgets what an entry has confirmed whose session begins or has ended.
func (l *leader) forgetRolloutSession(name string, ended bool, now time.Time) {
	delete(l.rollouts.confirmed, name)
	delete(l.rollouts.lost, name)
	if ended && len(l.state.Rollouts) > 0 {
		l.rollouts.lost[name] = now
	}
	maps.DeleteFunc(l.rollouts.lost, func(_ string, at time.Time) bool { return now.Sub(at) >= lostEntryDelay })
}

// result passes how a request of a service with a roll-out has ended to the broker.
func (l *leader) result(entry string, m broker.Result, now time.Time) {
	if s := l.broker.Servers()[m.Server]; s != nil {
		if r := l.state.Rollout(s.Record.Service); r != nil && !r.Stage.Ended() {
			l.c.metrics.countRolloutResult(r.Service, s.Record.Version == r.TargetVersion, m.Outcome)
		}
	}
	l.broker.RecordResult(entry, m, now)
}

// servicesInProgress returns the roll-outs in progress in the order of their positions.
func servicesInProgress(state declare.State) []protocol.ServiceRollout {
	var services []protocol.ServiceRollout
	for _, r := range state.Rollouts {
		if !r.Stage.Ended() {
			services = append(services, protocol.ServiceRollout{Service: r.Service, Position: r.Position, Stage: string(r.Stage)})
		}
	}
	slices.SortFunc(services, func(a, b protocol.ServiceRollout) int { return int(a.Position) - int(b.Position) })
	return services
}

// numberSet returns a set of numbers.
func numberSet(numbers []uint32) map[uint32]bool {
	set := make(map[uint32]bool, len(numbers))
	for _, n := range numbers {
		set[n] = true
	}
	return set
}
