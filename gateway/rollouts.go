package gateway

import (
	"time"

	"github.com/cockroachdb/errors"

	"tanagerbarrow/backend"
	"tanagerbarrow/broker"
	"tanagerbarrow/link"
	"tanagerbarrow/protocol"
)

// rolloutRules are what the broker has said about services with a roll-out, and about the use of
// their servers.
type rolloutRules struct {
	// services are those with a roll-out in progress.
	services map[string]bool
	// grantOnly and excluded are the numbers of servers that may be used with a grant only or not
	// at all.
	grantOnly, excluded map[uint32]bool
	// sequence is that of the last message to confirm, and confirmed what was last confirmed.
	sequence  uint64
	confirmed protocol.RolloutsConfirmation
}

// newRolloutRules returns the rules before the first message of a session.
func newRolloutRules() *rolloutRules {
	return &rolloutRules{services: map[string]bool{}, grantOnly: map[uint32]bool{}, excluded: map[uint32]bool{}}
}

// apply applies a message.
func (r *rolloutRules) apply(m protocol.Rollouts) {
	r.services = map[string]bool{}
	for _, s := range m.Services {
		r.services[s.Service] = true
	}
	for _, numbers := range [][]uint32{m.GrantOnly, m.Excluded, m.Free} {
		for _, n := range numbers {
			delete(r.grantOnly, n)
			delete(r.excluded, n)
		}
	}
	for _, n := range m.GrantOnly {
		r.grantOnly[n] = true
	}
	for _, n := range m.Excluded {
		r.excluded[n] = true
	}
	if m.Sequence > 0 {
		r.sequence = m.Sequence
	}
}

// beginRollouts begins the rules of a new session. Those of the last one hold for the servers that
// its broker has numbered, until the next full view.
func (v *view) beginRollouts() {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.nextRollouts = newRolloutRules()
}

// applyRollouts applies what the broker says about roll-outs.
func (v *view) applyRollouts(m protocol.Rollouts) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.nextRollouts != nil {
		v.nextRollouts.apply(m)
		return
	}
	v.rollouts.apply(m)
}

// useNextRollouts puts the rules of a new session in force, whose full view is applied. The caller
// holds the lock.
func (v *view) useNextRollouts() {
	if v.nextRollouts != nil {
		v.rollouts, v.nextRollouts = v.nextRollouts, nil
	}
}

// current returns what the view knows of a server now, which may have another number since a
// request for it began; nil if the view doesn't have it any more. The caller holds the lock.
func (v *view) current(s *server) *server {
	if now := v.servers[s.Number]; now != nil && now.ID == s.ID {
		return now
	}
	for _, now := range v.servers {
		if now.ID == s.ID {
			return now
		}
	}
	return nil
}

// versionAllows reports whether roll-outs allow to use a server, with the broker's grant or without
// one. The caller holds the lock.
func (v *view) versionAllows(s *server, granted bool) bool {
	r := v.rollouts
	if len(r.services)+len(r.grantOnly)+len(r.excluded) == 0 {
		return true
	}
	now := v.current(s)
	if now == nil {
		// The version of a server that an earlier broker has granted is not known any more.
		return !r.services[s.Service]
	}
	return !r.excluded[now.Number] && (granted || !r.grantOnly[now.Number])
}

// rolloutAllows is versionAllows for callers that don't hold the lock.
func (v *view) rolloutAllows(s *server, granted bool) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.versionAllows(s, granted)
}

// rollsOut reports whether a service has a roll-out in progress.
func (v *view) rollsOut(service string) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.rollouts.services[service]
}

// resultNumber returns the number by which the broker knows a server, if it collects how
// requests of the server's service end.
func (v *view) resultNumber(s *server) (number uint32, reported bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if !v.rollouts.services[s.Service] || v.nextRollouts != nil {
		return 0, false
	}
	now := v.current(s)
	if now == nil {
		return 0, false
	}
	return now.Number, true
}

// isCold reports whether a server is cold.
func (v *view) isCold(s *server, now time.Time) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	return now.Before(s.coldUntil)
}

// rolloutConfirmation returns what is to be confirmed to the broker, if there is something new: the
// last message, or the end of the last request on excluded servers.
func (v *view) rolloutConfirmation() (m protocol.RolloutsConfirmation, isNew bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	r := v.rollouts
	if v.nextRollouts != nil || r.sequence == r.confirmed.Sequence && r.confirmed.Running == 0 {
		return m, false
	}
	m.Sequence = r.sequence
	for number := range r.excluded {
		if s := v.servers[number]; s != nil {
			m.Running += s.running
		}
	}
	isNew = m.Sequence != r.confirmed.Sequence || m.Running == 0
	if isNew {
		r.confirmed = m
	}
	return m, isNew
}

// handleRollouts applies a message about roll-outs.
func (c *controlConn) handleRollouts(body []byte) error {
	var m protocol.Rollouts
	if err := link.Decode(body, &m); err != nil {
		return err
	}
	c.session.view.applyRollouts(m)
	c.session.confirmRollouts()
	return nil
}

// confirmRollouts confirms to the broker that this entry keeps to its last message, if that is new.
func (s *session) confirmRollouts() {
	m, isNew := s.view.rolloutConfirmation()
	if !isNew {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.conn != nil {
		_ = s.conn.Send(protocol.KindRollouts, m)
	}
}

// reportResult tells the broker how an attempt of a service with a roll-out has ended.
func (g *Gateway) reportResult(k *callerRequest, a *attempt, report backend.Report, outcome broker.Outcome, res response, err error, took time.Duration) {
	number, reported := g.view.resultNumber(a.server)
	if !reported {
		return
	}
	m := broker.Result{
		Server: number, Route: k.route.Name, Outcome: outcome, Status: res.status,
		ElapsedMillis: int(took.Milliseconds()), Pace: report.Pace, Cold: a.cold,
	}
	var refused *backend.RefusedError
	if errors.As(err, &refused) {
		m.Status = refused.Status
	}
	g.session.sendResult(m)
}

// sendResult sends a result to a broker that handles them.
func (s *session) sendResult(m broker.Result) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.conn != nil && s.capabilities.Results {
		_ = s.conn.Send(protocol.KindResult, m)
	}
}
