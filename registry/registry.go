// Package registry keeps a record of each backend server that announces itself by
// heartbeats. It decides which of two records is newer and does no I/O.
//
// Invariants: an address belongs to at most one record; a record is never replaced
// by one of an older start, nor by an older heartbeat of the same start; the version of a
// start, once it is known, stays known.
package registry

import (
	"time"
)

// BackendServer is one start of a backend server, as its heartbeats report it.
type BackendServer struct {
	// ID is the server's identifier. A restarted server may keep it.
	ID string
	// Started is the time of the start, in Unix milliseconds of the server's clock.
	Started int64
	// Sequence numbers the heartbeats of a start, from 1. It is 0 for a record that
	// was loaded after a restart of this process.
	Sequence uint64
	// Service is the service that the server belongs to.
	Service string
	// Address is where the server accepts requests, as "IP:port".
	Address string
	// AvailabilityZone is the zone in which the server runs.
	AvailabilityZone string
	// Slots is the number of requests that the server processes concurrently.
	Slots int
	// Draining says that the server must not be sent new requests.
	Draining bool
	// ColdRemaining is how much longer the server stays cold, counted from the time
	// of the heartbeat.
	ColdRemaining time.Duration
	// Version is the version of the server's software; empty if the server named none.
	Version string
}

// Record is a backend server together with the local state about it.
type Record struct {
	BackendServer

	// LastHeartbeat is when the newest heartbeat arrived.
	LastHeartbeat time.Time
	// ColdUntil is when the server stops being cold.
	ColdUntil time.Time
	// Unconfirmed says that the record dates from before a restart of this process
	// and that no heartbeat of the server has arrived since.
	Unconfirmed bool
}

// Outcome is the effect of a heartbeat on the table.
type Outcome uint8

// The outcomes of a heartbeat.
const (
	// Stale means that the heartbeat was ignored in favor of a newer record.
	Stale Outcome = iota
	// Refreshed means that only the times of the record changed.
	Refreshed
	// Changed means that the record is new or that its content changed.
	Changed
)

// Table holds the records. It is not safe for concurrent use.
type Table struct {
	byID      map[string]*Record
	byAddress map[string]*Record
}

// NewTable returns an empty table.
func NewTable() *Table {
	return &Table{byID: map[string]*Record{}, byAddress: map[string]*Record{}}
}

// Announce applies a heartbeat that arrived at the given time. It returns the
// record that was removed because it had the same address or was an earlier start
// of the same identifier, or nil. A new server is ignored while the table is full.
func (t *Table) Announce(b BackendServer, now time.Time) (o Outcome, replaced *Record) {
	if current := t.byID[b.ID]; current != nil && isNewer(current, b) {
		return Stale, nil
	}
	if holder := t.byAddress[b.Address]; holder != nil && holder.ID != b.ID && holder.Started > b.Started {
		return Stale, nil
	}
	if t.byID[b.ID] == nil && len(t.byID) >= maxRecords {
		return Stale, nil
	}
	if known := t.byID[b.ID]; known != nil && known.Started == b.Started && b.Version == "" {
		b.Version = known.Version
	}
	r := &Record{BackendServer: b, LastHeartbeat: now, ColdUntil: now.Add(b.ColdRemaining), Unconfirmed: b.Sequence == 0}
	current := t.byID[b.ID]
	if current != nil && differsInTimesOnly(current.BackendServer, b) {
		*current = *r
		return Refreshed, nil
	}
	if current != nil {
		t.Remove(current.ID)
		if current.Started != b.Started {
			replaced = current
		}
	}
	if holder := t.byAddress[b.Address]; holder != nil {
		t.Remove(holder.ID)
		replaced = holder
	}
	t.byID[b.ID], t.byAddress[b.Address] = r, r
	return Changed, replaced
}

// isNewer reports whether the current record is newer than a heartbeat, or from
// the same one.
func isNewer(current *Record, b BackendServer) bool {
	if current.Started != b.Started {
		return current.Started > b.Started
	}
	return current.Sequence >= b.Sequence
}

// differsInTimesOnly reports whether two heartbeats agree in all fields other than
// the sequence number and the remaining cold time.
func differsInTimesOnly(a, b BackendServer) bool {
	a.Sequence, a.ColdRemaining = b.Sequence, b.ColdRemaining
	return a == b
}

// Remove deletes a record. An unknown identifier is ignored.
func (t *Table) Remove(id string) {
	r := t.byID[id]
	if r == nil {
		return
	}
	delete(t.byID, id)
	if t.byAddress[r.Address] == r {
		delete(t.byAddress, r.Address)
	}
}

// SetVersion sets the version of the record of a start that has none, and returns the record;
// nil if there is none to change.
func (t *Table) SetVersion(id string, started int64, version string) *Record {
	r := t.byID[id]
	if r == nil || r.Started != started || r.Version != "" || version == "" {
		return nil
	}
	r.Version = version
	return r
}

// Expire deletes the records whose last heartbeat is older than maxAge.
func (t *Table) Expire(now time.Time, maxAge time.Duration) {
	for id, r := range t.byID {
		if now.Sub(r.LastHeartbeat) > maxAge {
			t.Remove(id)
		}
	}
}

// Get returns the record of an identifier, or nil.
func (t *Table) Get(id string) *Record { return t.byID[id] }

// All returns the records in no particular order.
func (t *Table) All() []*Record {
	all := make([]*Record, 0, len(t.byID))
	for _, r := range t.byID {
		all = append(all, r)
	}
	return all
}
