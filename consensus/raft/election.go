package raft

// becomeFollower ends any other role.
func (c *Core) becomeFollower(term uint64, leader ReplicaID) {
	if term != c.term {
		c.term, c.vote = term, 0
	}
	c.role, c.leader = Follower, leader
	c.progress, c.votes, c.transferee = nil, nil, 0
	c.dropReads()
	c.resetTimeout()
}

// follow accepts the sender as the leader of the current term.
func (c *Core) follow(leader ReplicaID) {
	c.settled = true
	if c.role != Follower || c.leader != leader {
		c.becomeFollower(c.term, leader)
	}
	c.elapsed = 0
}

// firstSpread is the width of the draw of the first election timeouts, in units
// of the shortest.
const firstSpread = 5

// resetTimeout draws a new election timeout.
func (c *Core) resetTimeout() {
	c.elapsed = 0
	shortest, spread := c.opts.ElectionTicks, c.opts.ElectionTicks
	if first := c.opts.FirstElectionTicks; first > 0 && !c.settled {
		// Replicas that start at once need a wide draw, or they split the votes.
		shortest, spread = first, firstSpread*first
	}
	c.timeout = shortest + c.random.IntN(spread)
}

// campaign asks the voters. A pre-candidate does not change its term.
func (c *Core) campaign(role Role, transfer bool) {
	c.becomeFollower(c.term, 0)
	c.role = role
	kind, term := PreVoteRequest, c.term+1
	if role == Candidate {
		c.term, c.vote = term, c.id
		kind = VoteRequest
	}
	c.votes = map[ReplicaID]bool{c.id: true}
	c.askVoters(Message{Type: kind, Term: term, Transfer: transfer})
	c.countVotes()
}

// askVoters sends a request for a vote to each voter that has not answered.
func (c *Core) askVoters(m Message) {
	m.From, m.Prev = c.id, c.log.last()
	for _, v := range c.members().Voters {
		if _, answered := c.votes[v.ID]; answered {
			continue
		}
		m.To = v.ID
		c.afterSync = append(c.afterSync, m)
	}
}

// askAgain repeats the requests for pre-votes after a start: replicas that start
// one after the other would otherwise wait for another draw of the timeout,
// though the voter that completes the quorum is there. Pre-votes change nothing
// and may be repeated.
func (c *Core) askAgain() {
	c.askVoters(Message{Type: PreVoteRequest, Term: c.term + 1})
}

// yield gives up a campaign after a start to a voter whose log is longer, or
// whose number is higher: two that ask again all the time would win their
// pre-votes in the same moment and split the votes.
func (c *Core) yield(to Message) {
	own := c.log.last()
	longer := to.Prev.Term > own.Term || (to.Prev.Term == own.Term && to.Prev.Index > own.Index)
	if c.role == PreCandidate && !c.settled && (longer || to.From > c.id) {
		c.becomeFollower(c.term, 0)
	}
}

// handleCampaign grants or refuses a vote or a pre-vote.
func (c *Core) handleCampaign(m Message) {
	kind := VoteReply
	if m.Type == PreVoteRequest {
		kind = PreVoteReply
	}
	free := c.vote == m.From || (c.vote == 0 && c.leader == 0)
	if m.Type == PreVoteRequest && m.Term > c.term {
		free = true
	}
	if !free || !c.isUpToDate(m.Prev) {
		c.reply(m, Message{Type: kind, Reject: true})
		return
	}
	if m.Type == VoteRequest {
		c.vote, c.elapsed = m.From, 0
	} else {
		c.yield(m)
	}
	c.reply(m, Message{Type: kind, Term: m.Term})
}

// isUpToDate reports whether a log that ends with the entry holds at least what
// this one holds.
func (c *Core) isUpToDate(last EntryID) bool {
	own := c.log.last()
	return last.Term > own.Term || (last.Term == own.Term && last.Index >= own.Index)
}

// handleVote counts a vote or a pre-vote.
func (c *Core) handleVote(m Message) {
	counting := (m.Type == PreVoteReply && c.role == PreCandidate && (m.Reject || m.Term == c.term+1)) ||
		(m.Type == VoteReply && c.role == Candidate)
	if !counting || !c.members().IsVoter(m.From) {
		return
	}
	c.votes[m.From] = !m.Reject
	c.countVotes()
}

// countVotes goes on to the next role once a quorum has granted it, and gives
// up once a quorum has refused it.
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

// becomeLeader takes over the term and commits an entry of it.
func (c *Core) becomeLeader() {
	c.role, c.leader, c.elapsed, c.settled = Leader, c.id, 0, true
	c.progress = map[ReplicaID]*progress{}
	c.checkedCommit = c.log.last().Index
	c.append(Entry{Type: EntryEmpty})
	c.broadcastAppend()
}

// TransferLeadership makes a voter that holds the whole log campaign at once.
// It reports whether the transfer began.
func (c *Core) TransferLeadership(to ReplicaID) bool {
	p := c.progress[to]
	if c.role != Leader || p == nil || !c.members().IsVoter(to) || p.match < c.log.last().Index {
		return false
	}
	c.transferee, c.elapsed = to, 0
	c.send(Message{Type: TimeoutNow, To: to})
	return true
}

// BestSuccessor returns the voter that holds the whole log and answers, or
// zero.
func (c *Core) BestSuccessor() ReplicaID {
	for _, v := range c.members().Voters {
		if p := c.progress[v.ID]; p != nil && c.answers(v.ID) && p.match == c.log.last().Index {
			return v.ID
		}
	}
	return 0
}
