package raft

import (
	"slices"
)

// progressState is the way in which the leader sends entries to a replica.
type progressState uint8

const (
	// probing sends one message at a time and waits for its reply, to find where
	// the logs match.
	probing progressState = iota
	// streaming sends new entries without waiting for replies.
	streaming
	// installingSnapshot sends no entries until the replica has installed a
	// snapshot.
	installingSnapshot
)

// snapshotTimeoutElections limits the wait for a snapshot to be installed, in
// shortest election timeouts.
const snapshotTimeoutElections = 20

// progress is the leader's record of the replication to one other replica.
type progress struct {
	// match is the index of the last entry known to be synced by the replica, next
	// the index of the next entry to send.
	match, next uint64
	state       progressState
	// probeInFlight is set while a probe is unanswered.
	probeInFlight bool
	// idleTicks is the number of ticks since the last answer.
	idleTicks int
	// installTicks is the number of ticks since a snapshot was sent.
	installTicks int
	// confirmedReadSeq is the number of the last read round that the replica
	// confirmed.
	confirmedReadSeq uint64
}

// tick advances the timers by one tick. It resumes probing if the installation of
// a snapshot has timed out.
func (p *progress) tick(electionTicks int) {
	p.idleTicks++
	if p.state != installingSnapshot {
		return
	}
	p.installTicks++
	if p.installTicks >= snapshotTimeoutElections*electionTicks {
		p.startProbing()
	}
}

// startProbing switches to probing from the entry after the last known match.
func (p *progress) startProbing() {
	p.state, p.probeInFlight, p.next = probing, false, p.match+1
}

// HasAcknowledged reports whether a replica has acknowledged an entry to this
// leader. It is true on replicas that don't lead.
func (c *Core) HasAcknowledged(id ReplicaID) bool {
	p := c.progress[id]
	return p == nil || p.match > 0
}

// Propose appends commands in order and returns the entry of the first one; the
// others have the indexes that follow. It returns false if there are no commands,
// or if this replica does not lead or is transferring its leadership.
func (c *Core) Propose(commands ...[]byte) (first EntryID, ok bool) {
	if c.role != Leader || c.transferee != 0 || len(commands) == 0 {
		return EntryID{}, false
	}
	for i, command := range commands {
		at := c.append(Entry{Type: EntryCommand, Data: command})
		if i == 0 {
			first = at
		}
	}
	c.broadcastAppend()
	return first, true
}

// append adds an entry of the current term to the leader's log and returns its
// ID.
func (c *Core) append(e Entry) EntryID {
	e.Term, e.Index = c.term, c.log.last().Index+1
	c.log.append(e)
	c.trackMembers()
	return c.log.last()
}

// trackMembers adds a progress for each new member and removes those of former
// members.
func (c *Core) trackMembers() {
	for _, m := range c.members().All() {
		if c.progress[m.ID] == nil && m.ID != c.id {
			c.progress[m.ID] = &progress{next: c.log.last().Index}
		}
	}
	for id := range c.progress {
		if _, member := c.members().Find(id); !member {
			delete(c.progress, id)
		}
	}
}

// send queues a message of the current term that may be sent before a sync.
func (c *Core) send(m Message) {
	m.From, m.Term = c.id, c.term
	c.messages = append(c.messages, m)
}

// broadcastAppend sends the entries that they lack to all other members.
func (c *Core) broadcastAppend() {
	for _, m := range c.members().All() {
		if m.ID != c.id {
			c.sendAppend(m.ID, true)
		}
	}
}

// sendAppend sends the entries that a replica lacks, or a snapshot if they are
// compacted. If there are no entries, it sends an empty Append only if allowEmpty
// is set. It sends nothing while a probe is unanswered or a snapshot is being
// installed.
func (c *Core) sendAppend(to ReplicaID, allowEmpty bool) {
	p := c.progress[to]
	if p == nil || p.probeInFlight || p.state == installingSnapshot {
		return
	}
	prevTerm, held := c.log.term(p.next - 1)
	if !held {
		c.sendSnapshot(to, p)
		return
	}
	prev := EntryID{p.next - 1, prevTerm}
	entries := c.nextEntries(p)
	if len(entries) == 0 && !allowEmpty {
		return
	}
	c.send(Message{Type: Append, To: to, Prev: prev, Entries: entries, Commit: c.log.commit})
	if p.state == probing {
		p.probeInFlight = true
		return
	}
	p.next += uint64(len(entries))
}

// nextEntries returns the entries for the next Append, within the limits of the
// options.
func (c *Core) nextEntries(p *progress) []Entry {
	last := min(c.log.last().Index, p.match+c.opts.MaxInFlight)
	entries := c.log.slice(p.next, last)
	size := 0
	for i, e := range entries {
		size += len(e.Data)
		if i > 0 && size > c.opts.MaxAppendBytes {
			return entries[:i]
		}
	}
	return entries
}

// sendSnapshot queues an InstallSnapshot of the newest snapshot; the driver adds
// the data.
func (c *Core) sendSnapshot(to ReplicaID, p *progress) {
	p.state, p.installTicks = installingSnapshot, 0
	c.send(Message{Type: InstallSnapshot, To: to, Commit: c.log.commit, Snapshot: &Snapshot{Meta: c.snapshot}})
}

// SnapshotFailed reports that a snapshot could not be sent to a replica.
func (c *Core) SnapshotFailed(to ReplicaID) {
	if p := c.progress[to]; p != nil && p.state == installingSnapshot {
		p.startProbing()
	}
}

// broadcastHeartbeat sends a heartbeat to all other members; it also starts a read
// round for the reads that wait for a heartbeat.
func (c *Core) broadcastHeartbeat() {
	c.waitingReads, c.heartbeatReads = append(c.waitingReads, c.heartbeatReads...), nil
	c.startReadRound()
	c.heartbeatElapsed, c.readHeartbeatDue = 0, false
	for _, m := range c.members().All() {
		if p := c.progress[m.ID]; p != nil {
			c.send(Message{
				Type: Heartbeat, To: m.ID, ReadSeq: c.readSeq, Commit: min(p.match, c.log.commit),
			})
		}
	}
}

// handleLeaderMessage processes a message from the leader.
func (c *Core) handleLeaderMessage(m Message) {
	switch m.Type {
	case Heartbeat:
		c.commitTo(m.Commit)
		c.reply(m, Message{Type: HeartbeatReply, ReadSeq: m.ReadSeq})
	case Append:
		c.handleAppend(m)
	case InstallSnapshot:
		c.handleSnapshot(m)
	}
}

// commitTo advances the commit index to index, but not beyond the end of the log.
func (c *Core) commitTo(index uint64) {
	c.log.commit = max(c.log.commit, min(index, c.log.last().Index))
}

// handleAppend merges the entries of an Append, or rejects them with a hint where
// the logs may match.
func (c *Core) handleAppend(m Message) {
	if m.Prev.Index < c.log.commit && m.Prev.Index+uint64(len(m.Entries)) <= c.log.commit {
		c.reply(m, Message{Type: AppendReply, Prev: EntryID{Index: c.log.commit}})
		return
	}
	if skip := c.log.commit - min(c.log.commit, m.Prev.Index); skip > 0 {
		before := m.Entries[skip-1]
		m.Prev, m.Entries = EntryID{before.Index, before.Term}, m.Entries[skip:]
	}
	if !c.log.matches(m.Prev) {
		c.reply(m, Message{
			Type: AppendReply, Reject: true, Prev: m.Prev, Hint: c.log.lastPossibleMatch(m.Prev.Index, m.Prev.Term),
		})
		return
	}
	c.log.merge(m.Entries)
	last := m.Prev.Index + uint64(len(m.Entries))
	c.commitTo(min(m.Commit, last))
	c.reply(m, Message{Type: AppendReply, Prev: EntryID{Index: last}})
}

// handleSnapshot replaces the log with a snapshot, unless the log already has the
// entries that it covers.
func (c *Core) handleSnapshot(m Message) {
	if m.Snapshot == nil {
		return
	}
	last := m.Snapshot.Meta.Last
	if last.Index > c.log.commit && c.log.matches(last) {
		c.commitTo(last.Index)
	}
	if last.Index > c.log.commit {
		c.log = newMemoryLog(m.Snapshot.Meta, nil)
		c.snapshot, c.receivedSnapshot = m.Snapshot.Meta, m.Snapshot
	}
	c.reply(m, Message{Type: AppendReply, Prev: EntryID{Index: c.log.commit}})
}

// handleFollowerReply processes a reply to a message of the leader.
func (c *Core) handleFollowerReply(m Message, p *progress) {
	switch {
	case m.Type == HeartbeatReply:
		p.confirmedReadSeq = max(p.confirmedReadSeq, m.ReadSeq)
		p.probeInFlight = false
		c.confirmReads()
		if p.match < c.log.last().Index {
			c.sendAppend(m.From, true)
		}
	case m.Reject:
		c.handleAppendRejection(m, p)
	default:
		c.handleAppendSuccess(m, p)
	}
}

// handleAppendRejection resumes probing at an earlier entry where the logs may
// match. It ignores outdated replies, and all replies while a snapshot is being
// installed.
func (c *Core) handleAppendRejection(m Message, p *progress) {
	if p.state == installingSnapshot || m.Prev.Index <= p.match || m.Prev.Index >= p.next {
		return
	}
	if p.state == probing && m.Prev.Index != p.next-1 {
		return
	}
	hint := c.log.lastPossibleMatch(m.Hint.Index, m.Hint.Term)
	p.startProbing()
	p.next = max(p.match+1, min(m.Prev.Index, hint.Index+1))
	c.sendAppend(m.From, true)
}

// handleAppendSuccess records the entries that a replica has synced, and sends the
// following ones.
func (c *Core) handleAppendSuccess(m Message, p *progress) {
	if m.Prev.Index > c.log.last().Index {
		return
	}
	p.probeInFlight = false
	if m.Prev.Index > p.match || p.state == probing {
		p.match = max(p.match, m.Prev.Index)
		p.next = max(p.next, p.match+1)
		c.startStreaming(p)
		c.advanceCommit()
	}
	if c.role == Leader {
		c.sendAppend(m.From, false)
	}
}

// startStreaming switches to streaming. It does nothing while a snapshot is being
// installed and the replica still needs it.
func (c *Core) startStreaming(p *progress) {
	if p.state == installingSnapshot && p.match < c.log.base.Index {
		return
	}
	if p.state != streaming {
		p.state, p.next = streaming, p.match+1
	}
}

// advanceCommit commits the entries that a quorum has synced, if the last of them
// is of the current term. A leader that is no longer a voter steps down once its
// removal is committed.
func (c *Core) advanceCommit() {
	var synced []uint64
	for _, v := range c.members().Voters {
		switch p := c.progress[v.ID]; {
		case v.ID == c.id:
			synced = append(synced, c.log.stable)
		case p != nil:
			synced = append(synced, p.match)
		}
	}
	slices.Sort(synced)
	at := synced[len(synced)-c.members().Quorum()]
	if term, ok := c.log.term(at); !ok || term != c.term || at <= c.log.commit {
		return
	}
	c.log.commit = at
	c.startReadRound()
	c.broadcastAppend()
	if !c.members().IsVoter(c.id) && c.MembersCommitted() {
		c.becomeFollower(c.term, 0)
	}
}

// committedInTerm reports whether an entry of the current term is committed.
func (c *Core) committedInTerm() bool {
	term, ok := c.log.term(c.log.commit)
	return ok && term == c.term
}
