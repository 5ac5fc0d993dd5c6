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
// record yet.
func (b *Broker) SetBackoff(name string, m Backoff, now time.Time) {
	e := b.entries[name]
	if e == nil {
		return
	}
	if until := now.Add(millis(m.Millis)); until.After(e.backoffs[m.ServerID]) {
		e.backoffs[m.ServerID] = until
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
