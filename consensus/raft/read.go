package raft

import (
	"slices"
)

// pendingRead waits until a quorum confirms that this replica still leads.
type pendingRead struct {
	id, index, seq uint64
}

// Read starts a linearizable read. It reports false if this replica does not
// lead. The read ends with a [ReadResult].
func (c *Core) Read(id uint64) bool {
	if c.role != Leader {
		return false
	}
	c.waitingReads = append(c.waitingReads, id)
	c.startReads()
	return true
}

// ReadAtHeartbeat starts a linearizable read that the next heartbeat confirms, so that
// it costs no message of its own.
func (c *Core) ReadAtHeartbeat(id uint64) bool {
	if c.role != Leader {
		return false
	}
	c.laterReads = append(c.laterReads, id)
	return true
}

// startReads begins a round for the waiting reads. The commit index is known to
// be current only once an entry of the term is committed.
func (c *Core) startReads() {
	if len(c.waitingReads) == 0 || !c.committedInTerm() {
		return
	}
	c.readSeq++
	c.readBeat = true
	for _, id := range c.waitingReads {
		c.pendingReads = append(c.pendingReads, pendingRead{id, c.log.commit, c.readSeq})
	}
	c.waitingReads = nil
	c.confirmReads()
}

// confirmReads ends the reads whose round a quorum has answered.
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
			acks = append(acks, p.readAck)
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

// dropReads ends all reads without an answer.
func (c *Core) dropReads() {
	for _, read := range c.pendingReads {
		c.finishedReads = append(c.finishedReads, ReadResult{ID: read.id, Lost: true})
	}
	for _, id := range append(c.waitingReads, c.laterReads...) {
		c.finishedReads = append(c.finishedReads, ReadResult{ID: id, Lost: true})
	}
	c.pendingReads, c.waitingReads, c.laterReads = nil, nil, nil
}
