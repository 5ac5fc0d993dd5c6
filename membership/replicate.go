package membership

import (
	"cmp"
	"encoding/binary"
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// maxDeltaRegisters bounds the registers in one [Delta].
const maxDeltaRegisters = 256

// Mark says up to which version the changes of an origin are known.
type Mark struct {
	// Origin is whose changes are meant.
	Origin Origin `json:"origin"`
	// Version is the last change known, with all before it.
	Version uint64 `json:"version"`
}

// Delta carries the registers that an origin changed between two versions.
type Delta struct {
	// Origin wrote the registers.
	Origin Origin `json:"origin"`
	// From and To bound the versions; From itself is left out.
	From uint64 `json:"from"`
	To   uint64 `json:"to"`
	// LeaseMillis is the longest lease that the origin grants, in milliseconds.
	LeaseMillis int64 `json:"lease_ms"`
	// Registers are those with a version in the bounds that still stand.
	Registers []Register `json:"registers"`
}

// Marks returns how far the table knows each origin, in order of origin.
// Origins whose copies were given up are left out.
func (t *Table) Marks() []Mark {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.marks()
}

// marks is Marks; the caller holds the lock.
func (t *Table) marks() []Mark {
	var all []Mark
	if t.version > 0 {
		all = append(all, Mark{Origin: t.self, Version: t.version})
	}
	for o, s := range t.origins {
		if !s.dropped && s.version > 0 {
			all = append(all, Mark{Origin: o, Version: s.version})
		}
	}
	slices.SortFunc(all, func(a, b Mark) int { return a.Origin.compare(b.Origin) })
	return all
}

// Known returns [Table.Marks] with the own origin and those whose copies were
// given up marked as known in full, so that nobody sends them.
func (t *Table) Known() []Mark {
	t.mu.Lock()
	defer t.mu.Unlock()
	all := append(t.marks(), Mark{Origin: t.self, Version: math.MaxUint64})
	for o, s := range t.origins {
		if s.dropped {
			all = append(all, Mark{Origin: o, Version: math.MaxUint64})
		}
	}
	return all
}

// Digest returns a hash over [Table.Marks]. Tables with the same digest hold
// the same changes.
func (t *Table) Digest() uint64 {
	d := xxhash.New()
	for _, m := range t.Marks() {
		_, _ = d.WriteString(m.Origin.Host)
		_, _ = d.Write(binary.BigEndian.AppendUint64([]byte{0}, m.Origin.Epoch))
		_, _ = d.Write(binary.BigEndian.AppendUint64(nil, m.Version))
	}
	return d.Sum64()
}

// Own returns the own changes after a version, one message's worth.
func (t *Table) Own(after uint64) (d Delta, more bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.delta(t.self, after, t.version)
}

// Missing returns what another table lacks whose marks are given, for as many
// origins as fit into one message.
func (t *Table) Missing(theirs []Mark) []Delta {
	known := map[Origin]uint64{}
	for _, m := range theirs {
		known[m.Origin] = m.Version
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	var all []Delta
	room := maxDeltaRegisters
	for _, m := range t.marks() {
		if m.Version <= known[m.Origin] || room <= 0 {
			continue
		}
		d, _ := t.delta(m.Origin, known[m.Origin], m.Version)
		room -= len(d.Registers)
		all = append(all, d)
	}
	return all
}

// delta returns the changes of one origin after a version up to another; the
// caller holds the lock.
func (t *Table) delta(o Origin, after, to uint64) (d Delta, more bool) {
	lease := t.longest
	if s := t.origins[o]; s != nil {
		lease = s.lease
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

// Apply takes another origin's changes in. alive says whether the origin lives.
// Registers may come in any order and more than once.
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
	if !alive && s.lost.IsZero() {
		s.lost = now
	}
	if s.dropped {
		return
	}
	for _, r := range d.Registers {
		t.applyRegister(d.Origin, r, now)
	}
	s.lease = max(s.lease, time.Duration(d.LeaseMillis)*time.Millisecond)
	if d.From <= s.version {
		s.version = max(s.version, d.To)
	}
}

// applyRegister takes one register in; the caller holds the lock.
func (t *Table) applyRegister(o Origin, r Register, now time.Time) {
	at := r.Server.Address
	if old := t.held(at, o); old != nil && old.Version >= r.Version {
		return
	}
	t.store(o, r, now)
	t.publish(at)
	if own := t.held(at, t.self); own.live() {
		t.settle(own, &r, now)
	}
}

// settle makes the own register of a backend server agree with that of another
// origin, so that only the origin with the newest announcement vouches, and
// every origin remembers a leaver.
func (t *Table) settle(own *heldRegister, other *Register, now time.Time) {
	mine, theirs := &own.Server, &other.Server
	switch {
	case theirs.Generation < mine.Generation || (other.Ended && theirs.Generation == mine.Generation):
	case theirs.Generation > mine.Generation:
		t.end(own, now)
	case theirs.State == Leaving:
		left := own.Register
		left.Server.State = Leaving
		t.write(left, now)
	case theirs.Sequence > own.sequence:
		t.end(own, now)
	case mine.Sequence <= theirs.Sequence && theirs.Sequence < own.sequence:
		renewed := own.Register
		renewed.Server.Sequence = own.sequence
		t.write(renewed, now).expires = own.expires
	}
}

// ownVersion returns the version of the last own change.
func (t *Table) ownVersion() uint64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.version
}
