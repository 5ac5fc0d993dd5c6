package raft

import (
	"fmt"
	"slices"
)

// membershipRecord is a membership and the index of the entry from which it is in
// effect.
type membershipRecord struct {
	index   uint64
	members Membership
}

// memoryLog is the part of the log that is not compacted, held in memory.
type memoryLog struct {
	// base is the entry before the first one in entries.
	base    EntryID
	entries []Entry
	// commit is the last committed index, applied the last index returned to the
	// driver to apply, handedToPersist the last index returned to the driver to
	// persist, and stable the last persisted index.
	commit, applied, handedToPersist, stable uint64
	memberships                              []membershipRecord
}

// newMemoryLog returns a log that starts after the snapshot described by meta.
// The entries must be persisted already.
func newMemoryLog(meta SnapshotMeta, entries []Entry) *memoryLog {
	l := &memoryLog{base: meta.Last, entries: entries, commit: meta.Last.Index, applied: meta.Last.Index}
	l.memberships = []membershipRecord{{meta.Last.Index, meta.Membership}}
	for _, e := range entries {
		l.recordMembership(e)
	}
	l.handedToPersist, l.stable = l.last().Index, l.last().Index
	return l
}

// last returns the index and the term of the last entry.
func (l *memoryLog) last() EntryID {
	if len(l.entries) == 0 {
		return l.base
	}
	e := l.entries[len(l.entries)-1]
	return EntryID{e.Index, e.Term}
}

// term returns the term of the entry at index; ok is false if the entry is
// compacted or lies beyond the end of the log.
func (l *memoryLog) term(index uint64) (term uint64, ok bool) {
	if index == l.base.Index {
		return l.base.Term, true
	}
	if index < l.base.Index || index > l.last().Index {
		return 0, false
	}
	return l.entries[index-l.base.Index-1].Term, true
}

// matches reports whether the log has an entry with this index and term.
func (l *memoryLog) matches(id EntryID) bool {
	term, ok := l.term(id.Index)
	return ok && term == id.Term
}

// slice returns a copy of the entries from first to last, inclusive.
func (l *memoryLog) slice(first, last uint64) []Entry {
	if first > last {
		return nil
	}
	return slices.Clone(l.entries[first-l.base.Index-1 : last-l.base.Index])
}

// append adds entries that directly follow the last one.
func (l *memoryLog) append(entries ...Entry) {
	for _, e := range entries {
		l.entries = append(l.entries, e)
		l.recordMembership(e)
	}
}

// recordMembership records the membership of an [EntryMembership]; it ignores
// other entries.
func (l *memoryLog) recordMembership(e Entry) {
	if e.Type == EntryMembership {
		l.memberships = append(l.memberships, membershipRecord{e.Index, *e.Membership})
	}
}

// merge adds entries from the leader. It skips those that the log already has,
// and truncates the log from the first conflicting one.
func (l *memoryLog) merge(entries []Entry) {
	for i, e := range entries {
		if l.matches(EntryID{e.Index, e.Term}) {
			continue
		}
		if e.Index <= l.last().Index {
			l.truncateFrom(e.Index)
		}
		l.append(entries[i:]...)
		return
	}
}

// truncateFrom removes the entries from an index on. It panics if one of them is
// committed.
func (l *memoryLog) truncateFrom(from uint64) {
	if from <= l.commit {
		panic(fmt.Sprintf("entry %d conflicts with the committed log up to %d", from, l.commit))
	}
	l.entries = slices.Clone(l.entries[:from-l.base.Index-1])
	l.handedToPersist = min(l.handedToPersist, from-1)
	l.stable = min(l.stable, from-1)
	l.memberships = slices.DeleteFunc(l.memberships, func(r membershipRecord) bool { return r.index >= from })
}

// compact removes the entries up to and including an index.
func (l *memoryLog) compact(to uint64) {
	term, ok := l.term(to)
	if !ok || to <= l.base.Index {
		return
	}
	l.entries = slices.Clone(l.entries[to-l.base.Index:])
	l.base = EntryID{to, term}
	for len(l.memberships) > 1 && l.memberships[1].index <= to {
		l.memberships = l.memberships[1:]
	}
}

// membershipAt returns the membership in effect after the entry at index.
func (l *memoryLog) membershipAt(index uint64) Membership {
	found := l.memberships[0].members
	for _, r := range l.memberships {
		if r.index <= index {
			found = r.members
		}
	}
	return found
}

// membershipIndex returns the index from which the newest membership is in effect.
func (l *memoryLog) membershipIndex() uint64 { return l.memberships[len(l.memberships)-1].index }

// lastPossibleMatch returns the last entry up to index whose term is at most
// term, or the base entry if there is none. No later entry can match a log whose
// entry at index has that term.
func (l *memoryLog) lastPossibleMatch(index, term uint64) EntryID {
	for at := min(index, l.last().Index); at > l.base.Index; at-- {
		if t, _ := l.term(at); t <= term {
			return EntryID{at, t}
		}
	}
	return l.base
}
