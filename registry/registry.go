// Package registry keeps the backend servers that have announced themselves by
// heartbeats. It decides which record is newer and does no I/O.
//
// Invariants: at most one record holds an address; a record never gives way to
// one of an older start, nor to an older heartbeat of the same start.
package registry

import (
	"time"
)

// BackendServer is one start of a backend server, as its heartbeats tell.
type BackendServer struct {
	// ID is the identifier of the start; a restarted server may keep it.
	ID string
	// Started is the start, in Unix milliseconds of the server's clock.
	Started int64
	// Sequence numbers the heartbeats of a start, from 1; 0 for a record that was
	// kept over a restart.
	Sequence uint64
	// Service is the service that the server belongs to.
	Service string
	// Address is where it takes requests, as "IP:port".
	Address string
	// AvailabilityZone is where it stands.
	AvailabilityZone string
	// Slots is how many requests it runs at a time.
	Slots int
	// Draining says that it wants no new requests.
	Draining bool
	// ColdRemaining is how much longer it stays cold, at the time of the heartbeat.
	ColdRemaining time.Duration
}

// Record is a backend server together with what is known about it here.
type Record struct {
	BackendServer

	// LastHeartbeat is when the newest heartbeat arrived.
	LastHeartbeat time.Time
	// ColdUntil is when the server stops being cold.
	ColdUntil time.Time
	// Unconfirmed says that the record was kept from before a restart and that
	// nothing was heard of the server since.
	Unconfirmed bool
}

// Outcome says what became of a heartbeat.
type Outcome uint8

// The outcomes of a heartbeat.
const (
	// Stale means that a newer record is held.
	Stale Outcome = iota
	// Refreshed means that only times changed.
	Refreshed
	// Changed means that a record is new or has other content.
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

// Announce takes in a heartbeat. The replaced record, if any, lost its address
// or its identifier to this one.
func (t *Table) Announce(b BackendServer, now time.Time) (o Outcome, replaced *Record) {
	if held := t.byID[b.ID]; held != nil && newerThan(held, b) {
		return Stale, nil
	}
	if holder := t.byAddress[b.Address]; holder != nil && holder.ID != b.ID && holder.Started > b.Started {
		return Stale, nil
	}
	r := &Record{BackendServer: b, LastHeartbeat: now, ColdUntil: now.Add(b.ColdRemaining), Unconfirmed: b.Sequence == 0}
	held := t.byID[b.ID]
	if held != nil && sameContent(held.BackendServer, b) {
		*held = *r
		return Refreshed, nil
	}
	if held != nil {
		t.Remove(held.ID)
		if held.Started != b.Started {
			replaced = held
		}
	}
	if holder := t.byAddress[b.Address]; holder != nil {
		t.Remove(holder.ID)
		replaced = holder
	}
	t.byID[b.ID], t.byAddress[b.Address] = r, r
	return Changed, replaced
}

// newerThan reports whether the held record is newer than a heartbeat.
func newerThan(held *Record, b BackendServer) bool {
	if held.Started != b.Started {
		return held.Started > b.Started
	}
	return held.Sequence >= b.Sequence
}

// sameContent reports whether two heartbeats differ in times only.
func sameContent(a, b BackendServer) bool {
	a.Sequence, a.ColdRemaining = b.Sequence, b.ColdRemaining
	return a == b
}

// Remove forgets a record.
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

// Expire forgets the records of which nothing was heard for a time.
func (t *Table) Expire(now time.Time, silence time.Duration) {
	for id, r := range t.byID {
		if now.Sub(r.LastHeartbeat) > silence {
			t.Remove(id)
		}
	}
}

// Get returns a record, or nil.
func (t *Table) Get(id string) *Record { return t.byID[id] }

// All returns the records in no order.
func (t *Table) All() []*Record {
	all := make([]*Record, 0, len(t.byID))
	for _, r := range t.byID {
		all = append(all, r)
	}
	return all
}
