package raft

import (
	"slices"
)

// pendingRead is a read that waits until a quorum confirms that this replica
// still leads. Its fields are the caller's number, the commit index at its start
// and the number of its read round.
type pendingRead struct {
	id, index, seq uint64
}

// Read starts a linearizable read; id is a number that the caller chooses. It
// returns false if this replica does not lead. Otherwise the read ends with a
// [ReadResult].
func (c *Core) Read(id uint64) bool {
	if c.role != Leader {
		return false
	}
	c.waitingReads = append(c.waitingReads, id)
	c.startReadRound()
	return true
}

// ReadAtHeartbeat starts a linearizable read like [Core.Read], but the next
// heartbeat confirms it, so that it needs no messages of its own.
func (c *Core) ReadAtHeartbeat(id uint64) bool {
	if c.role != Leader {
		return false
	}
	c.heartbeatReads = append(c.heartbeatReads, id)
	return true
}

// startReadRound starts a round of heartbeats that confirms the waiting reads.
// They wait until an entry of the current term is committed, since the commit
// index is not known to be current before.
func (c *Core) startReadRound() {
	if len(c.waitingReads) == 0 || !c.committedInTerm() {
		return
	}
	c.readSeq++
	c.readHeartbeatDue = true
	for _, id := range c.waitingReads {
		c.pendingReads = append(c.pendingReads, pendingRead{id, c.log.commit, c.readSeq})
	}
	c.waitingReads = nil
	c.confirmReads()
}

// confirmReads completes the reads whose round a quorum has confirmed.
func (c *Core) confirmReads() {
	if len(c.pendingReads) == 0 {
		return
	}
	var acks []uint64
	for _, v := range c.members().Voters {
		switch p := c.progress[v.ID]; {
		case v.ID == c.id:
			acks = append(acks, c.readSeq)
		case p != nil:
			acks = append(acks, p.confirmedReadSeq)
		}
	}
	slices.Sort(acks)
	confirmed := acks[len(acks)-c.members().Quorum()]
	for len(c.pendingReads) > 0 && c.pendingReads[0].seq <= confirmed {
		read := c.pendingReads[0]
		c.finishedReads = append(c.finishedReads, ReadResult{ID: read.id, Index: read.index})
		c.pendingReads = c.pendingReads[1:]
	}
}

// abortReads ends all reads with Lost set.
func (c *Core) abortReads() {
	for _, read := range c.pendingReads {
		c.finishedReads = append(c.finishedReads, ReadResult{ID: read.id, Lost: true})
	}
	for _, id := range append(c.waitingReads, c.heartbeatReads...) {
		c.finishedReads = append(c.finishedReads, ReadResult{ID: id, Lost: true})
	}
	c.pendingReads, c.waitingReads, c.heartbeatReads = nil, nil, nil
}
