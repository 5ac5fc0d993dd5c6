package raft

// becomeFollower makes the replica a follower in the given term; a leader of zero
// means that none is known. It aborts the replica's reads.
func (c *Core) becomeFollower(term uint64, leader ReplicaID) {
	if term != c.term {
		c.term, c.vote = term, 0
	}
	c.role, c.leader = Follower, leader
	c.progress, c.votes, c.transferee = nil, nil, 0
	c.abortReads()
	c.resetTimeout()
}

// follow accepts a replica as the leader of the current term and restarts the
// election timeout.
func (c *Core) follow(leader ReplicaID) {
	c.leaderSeen = true
	if c.role != Follower || c.leader != leader {
		c.becomeFollower(c.term, leader)
	}
	c.electionElapsed = 0
}

// firstTimeoutSpread is the width of the range of election timeouts before a
// leader was seen, as a multiple of Options.FirstElectionTicks.
const firstTimeoutSpread = 5

// resetTimeout restarts the election timeout with a new random duration.
func (c *Core) resetTimeout() {
	c.electionElapsed = 0
	shortest, spread := c.opts.ElectionTicks, c.opts.ElectionTicks
	if first := c.opts.FirstElectionTicks; first > 0 && !c.leaderSeen {
		// Replicas that start at the same moment need a wide range, or they split
		// the votes.
		shortest, spread = first, firstTimeoutSpread*first
	}
	c.electionTimeout = shortest + c.random.IntN(spread)
}

// campaign starts an election, or a pre-vote if role is PreCandidate; a
// pre-candidate keeps its term. With transfer set, voters consider the
// request even if they recently heard from a leader.
func (c *Core) campaign(role Role, transfer bool) {
	c.becomeFollower(c.term, 0)
	c.role = role
	kind, term := PreVoteRequest, c.term+1
	if role == Candidate {
		c.term, c.vote = term, c.id
		kind = VoteRequest
	}
	c.votes = map[ReplicaID]bool{c.id: true}
	c.sendVoteRequests(Message{Type: kind, Term: term, Transfer: transfer})
	c.countVotes()
}

// sendVoteRequests sends the vote request m to each voter that has not answered.
func (c *Core) sendVoteRequests(m Message) {
	m.From, m.Prev = c.id, c.log.last()
	for _, v := range c.members().Voters {
		if _, answered := c.votes[v.ID]; answered {
			continue
		}
		m.To = v.ID
		c.messagesAfterSync = append(c.messagesAfterSync, m)
	}
}

// repeatPreVoteRequests resends the pre-vote requests while no leader was seen
// since the start. When replicas start one after another, a pre-candidate would
// otherwise wait for its next election timeout although the voter that completes
// the quorum is already running. Pre-votes change no term and no vote, and are
// safe to repeat.
func (c *Core) repeatPreVoteRequests() {
	c.sendVoteRequests(Message{Type: PreVoteRequest, Term: c.term + 1})
}

// yieldTo ends the replica's pre-vote, if no leader was seen since the start, in
// favor of a pre-candidate whose log is more up to date or whose ID is higher.
// Two pre-candidates that both repeat their requests would otherwise win their
// pre-votes at the same moment and split the votes.
func (c *Core) yieldTo(to Message) {
	own := c.log.last()
	moreUpToDate := to.Prev.Term > own.Term || (to.Prev.Term == own.Term && to.Prev.Index > own.Index)
	if c.role == PreCandidate && !c.leaderSeen && (moreUpToDate || to.From > c.id) {
		c.becomeFollower(c.term, 0)
	}
}

// handleVoteRequest grants or rejects a vote or a pre-vote.
func (c *Core) handleVoteRequest(m Message) {
	kind := VoteReply
	if m.Type == PreVoteRequest {
		kind = PreVoteReply
	}
	mayVote := c.vote == m.From || (c.vote == 0 && c.leader == 0)
	if m.Type == PreVoteRequest && m.Term > c.term {
		mayVote = true
	}
	if !mayVote || !c.isUpToDate(m.Prev) {
		c.reply(m, Message{Type: kind, Reject: true})
		return
	}
	if m.Type == VoteRequest {
		c.vote, c.electionElapsed = m.From, 0
	} else {
		c.yieldTo(m)
	}
	c.reply(m, Message{Type: kind, Term: m.Term})
}

// isUpToDate reports whether a log that ends with the entry last is at least as
// up to date as this replica's log.
func (c *Core) isUpToDate(last EntryID) bool {
	own := c.log.last()
	return last.Term > own.Term || (last.Term == own.Term && last.Index >= own.Index)
}

// handleVoteReply records the answer to a vote or pre-vote request.
func (c *Core) handleVoteReply(m Message) {
	counting := (m.Type == PreVoteReply && c.role == PreCandidate && (m.Reject || m.Term == c.term+1)) ||
		(m.Type == VoteReply && c.role == Candidate)
	if !counting || !c.members().IsVoter(m.From) {
		return
	}
	c.votes[m.From] = !m.Reject
	c.countVotes()
}

// countVotes moves to the next role once a quorum has granted its votes, and
// becomes a follower once a quorum has rejected the request.
func (c *Core) countVotes() {
	granted, refused := 0, 0
	for _, v := range c.members().Voters {
		if vote, ok := c.votes[v.ID]; ok && vote {
			granted++
		} else if ok {
			refused++
		}
	}
	switch quorum := c.members().Quorum(); {
	case granted >= quorum && c.role == PreCandidate:
		c.campaign(Candidate, false)
	case granted >= quorum:
		c.becomeLeader()
	case refused >= quorum:
		c.becomeFollower(c.term, 0)
	}
}

// becomeLeader makes the replica the leader of the current term and appends an
// empty entry, since entries of earlier terms are committed only by one of the
// current term.
func (c *Core) becomeLeader() {
	c.role, c.leader, c.electionElapsed, c.leaderSeen = Leader, c.id, 0, true
	c.progress = map[ReplicaID]*progress{}
	c.checkedCommit = c.log.last().Index
	c.append(Entry{Type: EntryEmpty})
	c.broadcastAppend()
}

// TransferLeadership requests a voter that has synced the whole log to start an
// election at once. It reports whether the request was queued; it is not if this
// replica does not lead or the voter lacks entries.
func (c *Core) TransferLeadership(to ReplicaID) bool {
	p := c.progress[to]
	if c.role != Leader || p == nil || !c.members().IsVoter(to) || p.match < c.log.last().Index {
		return false
	}
	c.transferee, c.electionElapsed = to, 0
	c.send(Message{Type: TimeoutNow, To: to})
	return true
}

// BestSuccessor returns a voter that has synced the whole log and answered
// recently, or zero if there is none.
func (c *Core) BestSuccessor() ReplicaID {
	for _, v := range c.members().Voters {
		if p := c.progress[v.ID]; p != nil && c.answeredRecently(v.ID) && p.match == c.log.last().Index {
			return v.ID
		}
	}
	return 0
}

// Abdicate returns the message by which a leader that can lead no further asks the voter with
// the most of its log to start an election at once; ok is false if there is none, or if this
// replica doesn't lead. It is safe at any time: the voters still choose by their own logs.
func (c *Core) Abdicate() (m Message, ok bool) {
	if c.role != Leader {
		return Message{}, false
	}
	var successor ReplicaID
	for _, v := range c.members().Voters {
		p := c.progress[v.ID]
		if p == nil || v.ID == c.id || !c.answeredRecently(v.ID) {
			continue
		}
		if successor == 0 || p.match > c.progress[successor].match {
			successor = v.ID
		}
	}
	return Message{Type: TimeoutNow, From: c.id, To: successor, Term: c.term}, successor != 0
}
