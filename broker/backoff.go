package broker

import "time"

// Backoff says that a backend server wants no requests of the sending entry for a time.
type Backoff struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // read by the codec

	// ServerID is the identifier of the backend server.
	ServerID string
	// Millis is the rest of the time, in milliseconds.
	Millis int
}

// SetBackoff records that a server wants no requests of an entry. The server may have no
// record yet. Asks that wait for the server are refused if no other may run them.
func (b *Broker) SetBackoff(name string, m Backoff, now time.Time) {
	e := b.entries[name]
	if e == nil {
		return
	}
	until := now.Add(millis(m.Millis))
	if !until.After(e.backoffs[m.ServerID]) {
		return
	}
	e.backoffs[m.ServerID] = until
	if s := b.byID[m.ServerID]; s != nil {
		b.serveQueue(s.Record.Service, now)
	}
}

// expireBackoffs removes the backoffs that have ended.
func (e *entry) expireBackoffs(now time.Time) {
	for id, until := range e.backoffs {
		if !now.Before(until) {
			delete(e.backoffs, id)
		}
	}
}

// backsOff reports whether the server wants no requests of the entry now.
func (e *entry) backsOff(s *Server, now time.Time) bool {
	return now.Before(e.backoffs[s.Record.ID])
}

// backoffUntil returns until when the server wants no requests of those that may send the
// ask's request: its entry or, while that one reaches no server, all that may relay it. It
// is zero if one of them may send now.
func (b *Broker) backoffUntil(s *Server, w *pendingAsk, now time.Time) time.Time {
	if !w.entry.pathLost {
		if w.entry.backsOff(s, now) {
			return w.entry.backoffs[s.Record.ID]
		}
		return time.Time{}
	}
	var first time.Time
	for _, e := range b.entries {
		if !e.mayRelay(w, now) {
			continue
		}
		if !e.backsOff(s, now) {
			return time.Time{}
		}
		if until := e.backoffs[s.Record.ID]; first.IsZero() || until.Before(first) {
			first = until
		}
	}
	return first
}

// serviceBackoff returns when the first server that may run an ask wants requests again; zero
// unless all of them back off.
func (b *Broker) serviceBackoff(p *pool, w *pendingAsk, now time.Time) time.Time {
	var first time.Time
	if !w.entry.pathLost && len(w.entry.backoffs) == 0 {
		return first
	}
	for _, s := range p.servers {
		if !s.alive(now) || !b.allowed(s, w) {
			continue
		}
		until := b.backoffUntil(s, w, now)
		if until.IsZero() {
			return until
		}
		if first.IsZero() || until.Before(first) {
			first = until
		}
	}
	return first
}

// refuseForBackoff refuses an ask if all servers back off for longer than it may wait, and
// reports whether it did.
func (b *Broker) refuseForBackoff(p *pool, w *pendingAsk, now time.Time) bool {
	until := b.serviceBackoff(p, w, now)
	if until.IsZero() || !until.After(w.waitUntil) {
		return false
	}
	b.refuseFor(p, w.entry, w.ask.Seq, ReasonBackoff, until.Sub(now), now)
	return true
}
