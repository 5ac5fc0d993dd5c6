package membership

import (
	"cmp"
	"encoding/binary"
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// maxDeltaRegisters bounds the number of registers in one [Delta].
const maxDeltaRegisters = 256

// OriginVersion says up to which version the changes of an origin are known.
type OriginVersion struct {
	// Origin wrote the changes.
	Origin Origin `json:"origin"`
	// Version is the version up to which all changes are known.
	Version uint64 `json:"version"`
}

// Delta carries the registers that an origin changed between two versions.
type Delta struct {
	// Origin wrote the registers.
	Origin Origin `json:"origin"`
	// From and To bound the versions; From itself is excluded.
	From uint64 `json:"from"`
	To   uint64 `json:"to"`
	// LeaseMillis is the longest lease that the origin grants, in milliseconds.
	LeaseMillis int64 `json:"lease_ms"`
	// Registers are the registers whose current version is within the bounds.
	Registers []Register `json:"registers"`
}

// Versions returns up to which version the table knows each origin, ordered by
// origin. Origins whose copies were dropped are left out.
func (t *Table) Versions() []OriginVersion {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.versions()
}

// versions implements Versions; the caller holds the lock.
func (t *Table) versions() []OriginVersion {
	var all []OriginVersion
	if t.version > 0 {
		all = append(all, OriginVersion{Origin: t.self, Version: t.version})
	}
	for o, s := range t.origins {
		if !s.dropped && s.version > 0 {
			all = append(all, OriginVersion{Origin: o, Version: s.version})
		}
	}
	slices.SortFunc(all, func(a, b OriginVersion) int { return a.Origin.compare(b.Origin) })
	return all
}

// SyncVersions returns [Table.Versions], with the own origin and those whose
// copies were dropped reported as fully known, so that the other side sends no
// changes of them.
func (t *Table) SyncVersions() []OriginVersion {
	t.mu.Lock()
	defer t.mu.Unlock()
	all := append(t.versions(), OriginVersion{Origin: t.self, Version: math.MaxUint64})
	for o, s := range t.origins {
		if s.dropped {
			all = append(all, OriginVersion{Origin: o, Version: math.MaxUint64})
		}
	}
	return all
}

// Digest returns a hash of [Table.Versions]. Tables with the same digest hold
// the same changes.
func (t *Table) Digest() uint64 {
	d := xxhash.New()
	for _, m := range t.Versions() {
		_, _ = d.WriteString(m.Origin.Host)
		_, _ = d.Write(binary.BigEndian.AppendUint64([]byte{0}, m.Origin.Epoch))
		_, _ = d.Write(binary.BigEndian.AppendUint64(nil, m.Version))
	}
	return d.Sum64()
}

// OwnDelta returns the own changes after a version, as many as fit into one
// message; more is true if some did not.
func (t *Table) OwnDelta(after uint64) (d Delta, more bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.delta(t.self, after, t.version)
}

// MissingDeltas returns the changes that another table with the given versions
// lacks, for as many origins as fit into one message.
func (t *Table) MissingDeltas(theirs []OriginVersion) []Delta {
	known := map[Origin]uint64{}
	for _, m := range theirs {
		known[m.Origin] = m.Version
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	var all []Delta
	room := maxDeltaRegisters
	for _, m := range t.versions() {
		if m.Version <= known[m.Origin] || room <= 0 {
			continue
		}
		d, _ := t.delta(m.Origin, known[m.Origin], m.Version)
		room -= len(d.Registers)
		all = append(all, d)
	}
	return all
}

// delta returns the changes of one origin after one version up to and including
// another; the caller holds the lock.
func (t *Table) delta(o Origin, after, to uint64) (d Delta, more bool) {
	lease := t.longestLease
	if s := t.origins[o]; s != nil {
		lease = s.longestLease
	}
	d = Delta{Origin: o, From: after, To: to, LeaseMillis: lease.Milliseconds()}
	for _, r := range t.byOrigin[o] {
		if r.Version > after && r.Version <= to {
			d.Registers = append(d.Registers, r.Register)
		}
	}
	slices.SortFunc(d.Registers, func(a, b Register) int { return cmp.Compare(a.Version, b.Version) })
	if len(d.Registers) > maxDeltaRegisters {
		d.Registers = d.Registers[:maxDeltaRegisters]
		d.To = d.Registers[maxDeltaRegisters-1].Version
		return d, true
	}
	return d, false
}

// Apply applies changes of another origin. alive says whether the origin is
// alive. Registers may arrive in any order and more than once.
func (t *Table) Apply(d Delta, now time.Time, alive bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if d.Origin == t.self {
		return
	}
	s := t.origins[d.Origin]
	if s == nil {
		s = &originState{}
		t.origins[d.Origin] = s
	}
	if !alive && s.lostSince.IsZero() {
		s.lostSince = now
	}
	if s.dropped {
		return
	}
	for _, r := range d.Registers {
		t.applyRegister(d.Origin, r, now)
	}
	s.longestLease = max(s.longestLease, time.Duration(d.LeaseMillis)*time.Millisecond)
	if d.From <= s.version {
		s.version = max(s.version, d.To)
	}
}

// applyRegister applies one register of another origin; the caller holds the
// lock.
func (t *Table) applyRegister(o Origin, r Register, now time.Time) {
	at := r.Server.Address
	if old := t.lookup(at, o); old != nil && old.Version >= r.Version {
		return
	}
	t.store(o, r, now)
	t.publish(at)
	if own := t.lookup(at, t.self); own.holdsLease() {
		t.reconcile(own, &r, now)
	}
}

// reconcile adjusts the own register of a backend server to that of another
// origin, so that only the origin with the newest announcement owns the lease,
// and every origin records that a backend server left.
func (t *Table) reconcile(own *storedRegister, other *Register, now time.Time) {
	mine, theirs := &own.Server, &other.Server
	switch {
	case theirs.Generation < mine.Generation || (other.Ended && theirs.Generation == mine.Generation):
	case theirs.Generation > mine.Generation:
		t.endLease(own, now)
	case theirs.State == Leaving:
		left := own.Register
		left.Server.State = Leaving
		t.writeOwn(left, now)
	case theirs.Sequence > own.newestSequence:
		t.endLease(own, now)
	case mine.Sequence <= theirs.Sequence && theirs.Sequence < own.newestSequence:
		renewed := own.Register
		renewed.Server.Sequence = own.newestSequence
		t.writeOwn(renewed, now).expiresAt = own.expiresAt
	}
}

// ownVersion returns the version of the latest own change.
func (t *Table) ownVersion() uint64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.version
}
