package raft

import (
	"math/rand/v2"
)

// Options configure a [Core] and do not change while it runs.
type Options struct {
	// ID is this replica's identity.
	ID ReplicaID
	// ElectionTicks is the shortest election timeout, in ticks; the longest is
	// twice that.
	ElectionTicks int
	// FirstElectionTicks replaces ElectionTicks until the replica has followed or
	// become a leader since its start, so that a group whose replicas all start at
	// once elects one quickly; with 0, ElectionTicks always applies. Because of
	// pre-votes, the short timeout does not disrupt an existing leader.
	FirstElectionTicks int
	// HeartbeatTicks is the time between heartbeats, in ticks.
	HeartbeatTicks int
	// MaxAppendBytes limits the total size of the commands in one Append, in
	// bytes. The first entry is sent even if it exceeds the limit.
	MaxAppendBytes int
	// MaxInFlight limits the number of unacknowledged entries sent to one replica.
	MaxInFlight uint64
	// Seed initializes the random source of the election timeouts.
	Seed uint64
}

// PersistedState is the state that a replica loads from its disk at start.
type PersistedState struct {
	// HardState is the last persisted hard state.
	HardState HardState
	// Snapshot describes the newest snapshot; zero if there is none.
	Snapshot SnapshotMeta
	// Entries are the persisted log entries that follow the snapshot.
	Entries []Entry
}

// Core is the Raft state machine of one replica. It is not safe for concurrent
// use.
type Core struct {
	opts   Options
	id     ReplicaID
	random *rand.Rand

	term   uint64
	vote   ReplicaID
	role   Role
	leader ReplicaID
	log    *memoryLog

	// leaderSeen is set once the replica has followed or become a leader since
	// its start.
	leaderSeen       bool
	electionElapsed  int
	heartbeatElapsed int
	electionTimeout  int
	votes            map[ReplicaID]bool

	progress map[ReplicaID]*progress
	// checkedCommit is the leader's commit index at its last quorum check; before
	// the first check, it is the last index of the log at its election.
	checkedCommit uint64
	transferee    ReplicaID
	snapshot      SnapshotMeta

	readSeq            uint64
	readHeartbeatDue   bool
	waitingReads       []uint64
	heartbeatReads     []uint64
	pendingReads       []pendingRead
	persistedHardState HardState
	receivedSnapshot   *Snapshot
	messages           []Message
	messagesAfterSync  []Message
	finishedReads      []ReadResult
}

// New returns a follower that resumes from the persisted state.
func New(o Options, r PersistedState) *Core {
	c := &Core{
		opts: o, id: o.ID, random: rand.New(rand.NewPCG(o.Seed, uint64(o.ID))),
		term: r.HardState.Term, vote: r.HardState.Vote, persistedHardState: r.HardState,
		log: newMemoryLog(r.Snapshot, r.Entries), snapshot: r.Snapshot,
	}
	c.becomeFollower(c.term, 0)
	return c
}

// Bootstrap appends the first entry of a new group, its membership, and starts
// an election. It does nothing if the replica has a log or a term. No other
// replica of the group may have persisted state.
func (c *Core) Bootstrap(m Membership) {
	if c.log.last().Index > 0 || c.term > 0 {
		return
	}
	c.term = 1
	c.log.append(Entry{Index: 1, Term: 1, Type: EntryMembership, Membership: &m})
	c.campaign(PreCandidate, false)
}

// Role returns the replica's role in the current term.
func (c *Core) Role() Role { return c.role }

// Term returns the current term.
func (c *Core) Term() uint64 { return c.term }

// LeaderID returns the leader of the current term, or zero if it is unknown.
func (c *Core) LeaderID() ReplicaID { return c.leader }

// CommitIndex returns the index of the last entry known to be committed.
func (c *Core) CommitIndex() uint64 { return c.log.commit }

// LastEntryID returns the index and the term of the last entry of the log.
func (c *Core) LastEntryID() EntryID { return c.log.last() }

// Members returns the newest membership in the log, committed or not.
func (c *Core) Members() Membership { return c.members() }

// MembersCommitted reports whether the newest membership is committed.
func (c *Core) MembersCommitted() bool { return c.log.membershipIndex() <= c.log.commit }

// members returns the membership in effect: the newest one in the log, committed
// or not.
func (c *Core) members() Membership {
	return c.log.memberships[len(c.log.memberships)-1].members
}

// SnapshotMeta returns the metadata of a snapshot that covers the log up to index.
func (c *Core) SnapshotMeta(index uint64) SnapshotMeta {
	term, _ := c.log.term(index)
	return SnapshotMeta{Last: EntryID{index, term}, Membership: c.log.membershipAt(index)}
}

// Compact reports that the snapshot described by meta is persisted, and compacts
// the log. It retains the last keep entries that the snapshot covers for replicas
// that are slightly behind.
func (c *Core) Compact(meta SnapshotMeta, keep uint64) {
	if meta.Last.Index <= c.snapshot.Last.Index {
		return
	}
	c.snapshot = meta
	if meta.Last.Index > keep {
		c.log.compact(min(meta.Last.Index-keep, c.log.stable))
	}
}

// Tick advances the replica's clock by one tick.
func (c *Core) Tick() {
	c.electionElapsed++
	if c.role == Leader {
		c.tickLeader()
		return
	}
	soleVoter := len(c.members().Voters) == 1 && c.members().IsVoter(c.id)
	switch {
	case c.role == PreCandidate && !c.leaderSeen && c.electionElapsed < c.electionTimeout:
		c.repeatPreVoteRequests()
	case c.electionElapsed < c.electionTimeout && !soleVoter:
	case c.canCampaign():
		c.campaign(PreCandidate, false)
	case c.leader != 0:
		// A learner starts no election, but must not report a leader that has
		// stopped sending.
		c.becomeFollower(c.term, 0)
	}
}

// canCampaign reports whether the replica is a voter of a membership that is not
// known to be superseded. Until its removal is committed, a voter that is being
// removed may be the only one whose log is long enough to lead.
func (c *Core) canCampaign() bool {
	records := c.log.memberships
	for i, r := range records {
		superseded := i+1 < len(records) && records[i+1].index <= c.log.commit
		if !superseded && r.members.IsVoter(c.id) {
			return true
		}
	}
	return false
}

// tickLeader sends heartbeats and checks the quorum.
func (c *Core) tickLeader() {
	for _, p := range c.progress {
		p.tick(c.opts.ElectionTicks)
	}
	if c.electionElapsed >= c.opts.ElectionTicks {
		c.electionElapsed, c.transferee = 0, 0
		if !c.quorumAnsweredRecently() {
			c.becomeFollower(c.term, 0)
			return
		}
		c.checkedCommit = c.log.commit
	}
	c.heartbeatElapsed++
	if c.heartbeatElapsed >= c.opts.HeartbeatTicks {
		c.broadcastHeartbeat()
	}
}

// quorumAnsweredRecently reports whether a quorum of voters answered within the
// shortest election timeout.
func (c *Core) quorumAnsweredRecently() bool {
	answering := 0
	for _, v := range c.members().Voters {
		if v.ID == c.id || c.answeredRecently(v.ID) {
			answering++
		}
	}
	return answering >= c.members().Quorum()
}

// Step processes a message from another replica. It ignores messages addressed
// to other replicas. It also ignores vote and pre-vote requests of a later term
// while the replica has recently heard from a leader, unless the leader requested
// the election.
func (c *Core) Step(m Message) {
	if m.To != c.id {
		return
	}
	isVoteRequest := m.Type == PreVoteRequest || m.Type == VoteRequest
	if isVoteRequest && m.Term > c.term && !m.Transfer && c.heardLeaderRecently() {
		return
	}
	switch {
	case m.Term > c.term:
		if m.Type != PreVoteRequest && (m.Type != PreVoteReply || m.Reject) {
			c.becomeFollower(m.Term, 0)
		}
	case m.Term < c.term:
		c.replyToOldTerm(m)
		return
	}
	c.dispatch(m)
}

// heardLeaderRecently reports whether the replica leads, or received a message
// from the leader within the shortest election timeout.
func (c *Core) heardLeaderRecently() bool {
	return c.leader != 0 && c.electionElapsed < c.opts.ElectionTicks
}

// replyToOldTerm answers a leader's message or a pre-vote request of an earlier
// term, so that the sender learns the current term. It ignores other messages.
func (c *Core) replyToOldTerm(m Message) {
	switch m.Type {
	case Append, Heartbeat, InstallSnapshot:
		c.reply(m, Message{Type: HeartbeatReply})
	case PreVoteRequest:
		c.reply(m, Message{Type: PreVoteReply, Reject: true})
	}
}

// dispatch processes a message of the current term, or a pre-vote message of a
// later one.
func (c *Core) dispatch(m Message) {
	switch m.Type {
	case PreVoteRequest, VoteRequest:
		c.handleVoteRequest(m)
	case PreVoteReply, VoteReply:
		c.handleVoteReply(m)
	case Append, Heartbeat, InstallSnapshot:
		if c.role == Leader {
			return
		}
		c.follow(m.From)
		c.handleLeaderMessage(m)
	case AppendReply, HeartbeatReply:
		if p := c.progress[m.From]; c.role == Leader && p != nil {
			p.idleTicks = 0
			c.handleFollowerReply(m, p)
		}
	case TimeoutNow:
		if c.members().IsVoter(c.id) && c.role != Leader {
			c.campaign(Candidate, true)
		}
	}
}

// reply queues an answer to a message, to be sent once the state is persisted.
func (c *Core) reply(to, m Message) {
	m.From, m.To = c.id, to.From
	if m.Term == 0 {
		m.Term = c.term
	}
	c.messagesAfterSync = append(c.messagesAfterSync, m)
}

// Ready returns the pending work and clears it.
func (c *Core) Ready() Ready {
	if c.readHeartbeatDue && c.role == Leader {
		c.broadcastHeartbeat()
	}
	r := Ready{
		Messages: c.messages, MessagesAfterSync: c.messagesAfterSync, Reads: c.finishedReads,
		Snapshot: c.receivedSnapshot, Entries: c.log.slice(c.log.handedToPersist+1, c.log.last().Index),
	}
	if now := (HardState{c.term, c.vote}); now != c.persistedHardState {
		r.HardState = &now
		r.Messages, r.MessagesAfterSync = nil, append(r.Messages, r.MessagesAfterSync...)
	}
	if to := min(c.log.commit, c.log.stable); to > c.log.applied {
		r.Committed = c.log.slice(c.log.applied+1, to)
		c.log.applied = to
	}
	c.messages, c.messagesAfterSync, c.finishedReads, c.receivedSnapshot = nil, nil, nil, nil
	c.log.handedToPersist = c.log.last().Index
	return r
}

// Persisted reports that everything in a Ready that needs to be persisted is on
// disk.
func (c *Core) Persisted(r Ready) {
	if r.HardState != nil {
		c.persistedHardState = *r.HardState
	}
	if len(r.Entries) == 0 {
		return
	}
	last := r.Entries[len(r.Entries)-1]
	if c.log.matches(EntryID{last.Index, last.Term}) {
		c.log.stable = max(c.log.stable, last.Index)
	}
	if c.role == Leader {
		c.advanceCommit()
	}
}
