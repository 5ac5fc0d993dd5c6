package raft

import (
	"slices"
)

// progressState says how entries are sent to a replica.
type progressState uint8

const (
	// probing sends one message and waits, to find where the logs match.
	probing progressState = iota
	// streaming sends entries as they come.
	streaming
	// installing waits for a snapshot to be installed.
	installing
)

// snapshotElections bounds the wait for a snapshot, in election timeouts.
const snapshotElections = 20

// progress is what the leader knows of one other replica.
type progress struct {
	// match is the last entry known to be synced there, next the one to send.
	match, next uint64
	state       progressState
	// waiting says that a probe is on its way.
	waiting bool
	// idleTicks counts the ticks since the last answer.
	idleTicks int
	// installTicks counts the ticks since a snapshot was sent.
	installTicks int
	// readAck is the last read round that the replica confirmed.
	readAck uint64
}

// tick advances the replica's time.
func (p *progress) tick(electionTicks int) {
	p.idleTicks++
	if p.state != installing {
		return
	}
	p.installTicks++
	if p.installTicks >= snapshotElections*electionTicks {
		p.probe()
	}
}

// probe goes back to the last entry known to match.
func (p *progress) probe() {
	p.state, p.waiting, p.next = probing, false, p.match+1
}

// Propose appends commands; ok is false if the replica cannot take them. The
// commands follow the returned entry's predecessor in order.
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

// append adds an entry of the current term to the leader's log.
func (c *Core) append(e Entry) EntryID {
	e.Term, e.Index = c.term, c.log.last().Index+1
	c.log.append(e)
	c.trackMembers()
	return c.log.last()
}

// trackMembers keeps a progress for each other member.
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

// send queues a message of the current term.
func (c *Core) send(m Message) {
	m.From, m.Term = c.id, c.term
	c.messages = append(c.messages, m)
}

// broadcastAppend sends what is new to every member.
func (c *Core) broadcastAppend() {
	for _, m := range c.members().All() {
		if m.ID != c.id {
			c.sendAppend(m.ID, true)
		}
	}
}

// sendAppend sends the entries that a replica lacks, or a snapshot where they
// are compacted. Without entries it sends only if evenEmpty.
func (c *Core) sendAppend(to ReplicaID, evenEmpty bool) {
	p := c.progress[to]
	if p == nil || p.waiting || p.state == installing {
		return
	}
	prevTerm, held := c.log.term(p.next - 1)
	if !held {
		c.sendSnapshot(to, p)
		return
	}
	prev := EntryID{p.next - 1, prevTerm}
	entries := c.nextEntries(p)
	if len(entries) == 0 && !evenEmpty {
		return
	}
	c.send(Message{Type: Append, To: to, Prev: prev, Entries: entries, Commit: c.log.commit})
	if p.state == probing {
		p.waiting = true
		return
	}
	p.next += uint64(len(entries))
}

// nextEntries returns the entries for one message.
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

// sendSnapshot asks the driver to send the newest snapshot.
func (c *Core) sendSnapshot(to ReplicaID, p *progress) {
	p.state, p.installTicks = installing, 0
	c.send(Message{Type: InstallSnapshot, To: to, Commit: c.log.commit, Snapshot: &Snapshot{Meta: c.snapshot}})
}

// SnapshotFailed tells that a snapshot did not reach a replica.
func (c *Core) SnapshotFailed(to ReplicaID) {
	if p := c.progress[to]; p != nil && p.state == installing {
		p.probe()
	}
}

// broadcastHeartbeat sends a heartbeat to every member.
func (c *Core) broadcastHeartbeat() {
	c.waitingReads, c.laterReads = append(c.waitingReads, c.laterReads...), nil
	c.startReads()
	c.heartbeatElapsed, c.readBeat = 0, false
	for _, m := range c.members().All() {
		if p := c.progress[m.ID]; p != nil {
			c.send(Message{
				Type: Heartbeat, To: m.ID, ReadSeq: c.readSeq, Commit: min(p.match, c.log.commit),
			})
		}
	}
}

// handleLeader takes in what the leader sends.
func (c *Core) handleLeader(m Message) {
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

// commitTo moves the commit index forward, as far as the log reaches.
func (c *Core) commitTo(index uint64) {
	c.log.commit = max(c.log.commit, min(index, c.log.last().Index))
}

// handleAppend merges entries or tells where the logs may match.
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
			Type: AppendReply, Reject: true, Prev: m.Prev, Hint: c.log.lastNotAfter(m.Prev.Index, m.Prev.Term),
		})
		return
	}
	c.log.merge(m.Entries)
	last := m.Prev.Index + uint64(len(m.Entries))
	c.commitTo(min(m.Commit, last))
	c.reply(m, Message{Type: AppendReply, Prev: EntryID{Index: last}})
}

// handleSnapshot replaces the log by a snapshot, unless the log holds it.
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
		c.snapshot, c.installed = m.Snapshot.Meta, m.Snapshot
	}
	c.reply(m, Message{Type: AppendReply, Prev: EntryID{Index: c.log.commit}})
}

// handleReply takes in a follower's answer.
func (c *Core) handleReply(m Message, p *progress) {
	switch {
	case m.Type == HeartbeatReply:
		p.readAck = max(p.readAck, m.ReadSeq)
		p.waiting = false
		c.confirmReads()
		if p.match < c.log.last().Index {
			c.sendAppend(m.From, true)
		}
	case m.Reject:
		c.handleRefusal(m, p)
	default:
		c.handleMatch(m, p)
	}
}

// handleRefusal finds an earlier entry where the logs may match.
func (c *Core) handleRefusal(m Message, p *progress) {
	if p.state == installing || m.Prev.Index <= p.match || m.Prev.Index >= p.next {
		return
	}
	if p.state == probing && m.Prev.Index != p.next-1 {
		return
	}
	hint := c.log.lastNotAfter(m.Hint.Index, m.Hint.Term)
	p.probe()
	p.next = max(p.match+1, min(m.Prev.Index, hint.Index+1))
	c.sendAppend(m.From, true)
}

// handleMatch notes what a replica has synced.
func (c *Core) handleMatch(m Message, p *progress) {
	if m.Prev.Index > c.log.last().Index {
		return
	}
	p.waiting = false
	if m.Prev.Index > p.match || p.state == probing {
		p.match = max(p.match, m.Prev.Index)
		p.next = max(p.next, p.match+1)
		c.stream(p)
		c.advanceCommit()
	}
	if c.role == Leader {
		c.sendAppend(m.From, false)
	}
}

// stream sends entries as they come once the logs match.
func (c *Core) stream(p *progress) {
	if p.state == installing && p.match < c.log.base.Index {
		return
	}
	if p.state != streaming {
		p.state, p.next = streaming, p.match+1
	}
}

// advanceCommit commits what a quorum has synced.
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
	c.startReads()
	c.broadcastAppend()
	if !c.members().IsVoter(c.id) && c.MembersCommitted() {
		c.becomeFollower(c.term, 0)
	}
}

// committedInTerm reports whether the leader has committed an entry of its
// term.
func (c *Core) committedInTerm() bool {
	term, ok := c.log.term(c.log.commit)
	return ok && term == c.term
}
