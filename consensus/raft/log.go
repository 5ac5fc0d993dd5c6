package raft

import (
	"fmt"
	"slices"
)

// memberRecord is a membership and the entry from which it holds.
type memberRecord struct {
	index   uint64
	members Membership
}

// memoryLog is the part of the log that is not compacted.
type memoryLog struct {
	// base is the entry before the first one.
	base    EntryID
	entries []Entry
	// commit is the last committed index, applied the last one handed out to
	// apply, handed the last one handed out to persist, and stable the last
	// one persisted.
	commit, applied, handed, stable uint64
	memberships                     []memberRecord
}

// newMemoryLog returns a log that continues after a snapshot. All entries are
// persisted.
func newMemoryLog(meta SnapshotMeta, entries []Entry) *memoryLog {
	l := &memoryLog{base: meta.Last, entries: entries, commit: meta.Last.Index, applied: meta.Last.Index}
	l.memberships = []memberRecord{{meta.Last.Index, meta.Membership}}
	for _, e := range entries {
		l.noteMembership(e)
	}
	l.handed, l.stable = l.last().Index, l.last().Index
	return l
}

// last returns the last entry.
func (l *memoryLog) last() EntryID {
	if len(l.entries) == 0 {
		return l.base
	}
	e := l.entries[len(l.entries)-1]
	return EntryID{e.Index, e.Term}
}

// term returns the term of an index; ok is false if the log does not hold it.
func (l *memoryLog) term(index uint64) (term uint64, ok bool) {
	if index == l.base.Index {
		return l.base.Term, true
	}
	if index < l.base.Index || index > l.last().Index {
		return 0, false
	}
	return l.entries[index-l.base.Index-1].Term, true
}

// matches reports whether the log holds the entry.
func (l *memoryLog) matches(id EntryID) bool {
	term, ok := l.term(id.Index)
	return ok && term == id.Term
}

// slice returns the entries from first to last, both included.
func (l *memoryLog) slice(first, last uint64) []Entry {
	if first > last {
		return nil
	}
	return slices.Clone(l.entries[first-l.base.Index-1 : last-l.base.Index])
}

// append adds entries that follow the last one.
func (l *memoryLog) append(entries ...Entry) {
	for _, e := range entries {
		l.entries = append(l.entries, e)
		l.noteMembership(e)
	}
}

// noteMembership remembers the membership that an entry carries.
func (l *memoryLog) noteMembership(e Entry) {
	if e.Type == EntryMembership {
		l.memberships = append(l.memberships, memberRecord{e.Index, *e.Membership})
	}
}

// merge takes over entries from the leader; those that are held already are
// kept, and the first conflicting one cuts the log.
func (l *memoryLog) merge(entries []Entry) {
	for i, e := range entries {
		if l.matches(EntryID{e.Index, e.Term}) {
			continue
		}
		if e.Index <= l.last().Index {
			l.cut(e.Index)
		}
		l.append(entries[i:]...)
		return
	}
}

// cut drops the entries from an index on.
func (l *memoryLog) cut(from uint64) {
	if from <= l.commit {
		panic(fmt.Sprintf("entry %d conflicts with the committed log up to %d", from, l.commit))
	}
	l.entries = slices.Clone(l.entries[:from-l.base.Index-1])
	l.handed = min(l.handed, from-1)
	l.stable = min(l.stable, from-1)
	l.memberships = slices.DeleteFunc(l.memberships, func(r memberRecord) bool { return r.index >= from })
}

// compact drops the entries up to an index.
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

// membershipAt returns the membership that holds after an index.
func (l *memoryLog) membershipAt(index uint64) Membership {
	found := l.memberships[0].members
	for _, r := range l.memberships {
		if r.index <= index {
			found = r.members
		}
	}
	return found
}

// membershipIndex returns the index of the newest membership.
func (l *memoryLog) membershipIndex() uint64 { return l.memberships[len(l.memberships)-1].index }

// lastNotAfter returns the last held entry up to an index whose term is at most
// the given one: where two logs may match.
func (l *memoryLog) lastNotAfter(index, term uint64) EntryID {
	for at := min(index, l.last().Index); at > l.base.Index; at-- {
		if t, _ := l.term(at); t <= term {
			return EntryID{at, t}
		}
	}
	return l.base
}
