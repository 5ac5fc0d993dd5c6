package raft

import (
	"math/rand/v2"
)

// Options are fixed for the life of a [Core].
type Options struct {
	// ID is this replica's identity.
	ID ReplicaID
	// ElectionTicks is the shortest election timeout, in ticks; the longest is
	// twice that.
	ElectionTicks int
	// FirstElectionTicks takes the place of ElectionTicks until the replica has
	// heard of a leader, so that a group whose replicas all start at once soon has
	// one; 0 for no difference. Pre-votes keep it from disturbing a leader.
	FirstElectionTicks int
	// HeartbeatTicks is the time between heartbeats, in ticks.
	HeartbeatTicks int
	// MaxAppendBytes bounds the commands of one Append, in bytes; one entry is
	// always sent.
	MaxAppendBytes int
	// MaxInFlight bounds the entries on the way to one replica.
	MaxInFlight uint64
	// Seed makes the random part of the election timeout.
	Seed uint64
}

// PersistedState is what a replica finds on its disk.
type PersistedState struct {
	// HardState is the last persisted one.
	HardState HardState
	// Snapshot describes the newest snapshot; zero if there is none.
	Snapshot SnapshotMeta
	// Entries follow the snapshot.
	Entries []Entry
}

// Core is one replica. It is not safe for concurrent use.
type Core struct {
	opts   Options
	id     ReplicaID
	random *rand.Rand

	term   uint64
	vote   ReplicaID
	role   Role
	leader ReplicaID
	log    *memoryLog

	// settled says that a leader was heard of since the start.
	settled          bool
	elapsed          int
	heartbeatElapsed int
	timeout          int
	votes            map[ReplicaID]bool

	progress map[ReplicaID]*progress
	// checkedCommit is the commit index at the last quorum check.
	checkedCommit uint64
	transferee    ReplicaID
	snapshot      SnapshotMeta

	readSeq       uint64
	readBeat      bool
	waitingReads  []uint64
	laterReads    []uint64
	pendingReads  []pendingRead
	persistedHard HardState
	installed     *Snapshot
	messages      []Message
	afterSync     []Message
	finishedReads []ReadResult
}

// New returns a replica that continues from its disk.
func New(o Options, r PersistedState) *Core {
	c := &Core{
		opts: o, id: o.ID, random: rand.New(rand.NewPCG(o.Seed, uint64(o.ID))),
		term: r.HardState.Term, vote: r.HardState.Vote, persistedHard: r.HardState,
		log: newMemoryLog(r.Snapshot, r.Entries), snapshot: r.Snapshot,
	}
	c.becomeFollower(c.term, 0)
	return c
}

// Bootstrap makes the first entry of a new group and campaigns. The replica must be empty, and
// no other replica of the group may hold anything.
func (c *Core) Bootstrap(m Membership) {
	if c.log.last().Index > 0 || c.term > 0 {
		return
	}
	c.term = 1
	c.log.append(Entry{Index: 1, Term: 1, Type: EntryMembership, Membership: &m})
	c.campaign(PreCandidate, false)
}

// Role returns what the replica does.
func (c *Core) Role() Role { return c.role }

// Term returns the current term.
func (c *Core) Term() uint64 { return c.term }

// LeaderID returns the known leader, or zero.
func (c *Core) LeaderID() ReplicaID { return c.leader }

// CommitIndex returns the last committed index.
func (c *Core) CommitIndex() uint64 { return c.log.commit }

// LastEntryID returns the last entry of the log.
func (c *Core) LastEntryID() EntryID { return c.log.last() }

// Members returns the newest membership in the log, committed or not.
func (c *Core) Members() Membership { return c.members() }

// MembersCommitted reports whether the newest membership is committed.
func (c *Core) MembersCommitted() bool { return c.log.membershipIndex() <= c.log.commit }

// members returns the membership in effect.
func (c *Core) members() Membership {
	return c.log.memberships[len(c.log.memberships)-1].members
}

// SnapshotMeta describes a snapshot taken after the index was applied.
func (c *Core) SnapshotMeta(index uint64) SnapshotMeta {
	term, _ := c.log.term(index)
	return SnapshotMeta{Last: EntryID{index, term}, Membership: c.log.membershipAt(index)}
}

// Compact tells that a snapshot is persisted. The log keeps the given number of
// entries before it for replicas that are slightly behind.
func (c *Core) Compact(meta SnapshotMeta, keep uint64) {
	if meta.Last.Index <= c.snapshot.Last.Index {
		return
	}
	c.snapshot = meta
	if meta.Last.Index > keep {
		c.log.compact(min(meta.Last.Index-keep, c.log.stable))
	}
}

// Tick advances the replica's time.
func (c *Core) Tick() {
	c.elapsed++
	if c.role == Leader {
		c.tickLeader()
		return
	}
	alone := len(c.members().Voters) == 1 && c.members().IsVoter(c.id)
	switch {
	case c.role == PreCandidate && !c.settled && c.elapsed < c.timeout:
		c.askAgain()
	case c.elapsed < c.timeout && !alone:
	case c.mayCampaign():
		c.campaign(PreCandidate, false)
	case c.leader != 0:
		// A learner cannot elect another leader, but must not name a silent one.
		c.becomeFollower(c.term, 0)
	}
}

// mayCampaign reports whether the replica votes in a membership that is not
// known to be superseded. A voter that is being removed may be the only one
// whose log is long enough to lead until its removal is committed.
func (c *Core) mayCampaign() bool {
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
	if c.elapsed >= c.opts.ElectionTicks {
		c.elapsed, c.transferee = 0, 0
		if !c.quorumAnswers() {
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

// quorumAnswers reports whether a quorum of voters answered lately.
func (c *Core) quorumAnswers() bool {
	answering := 0
	for _, v := range c.members().Voters {
		if v.ID == c.id || c.answers(v.ID) {
			answering++
		}
	}
	return answering >= c.members().Quorum()
}

// Step takes in a message.
func (c *Core) Step(m Message) {
	if m.To != c.id {
		return
	}
	campaign := m.Type == PreVoteRequest || m.Type == VoteRequest
	if campaign && m.Term > c.term && !m.Transfer && c.leaderIsAlive() {
		return
	}
	switch {
	case m.Term > c.term:
		if m.Type != PreVoteRequest && (m.Type != PreVoteReply || m.Reject) {
			c.becomeFollower(m.Term, 0)
		}
	case m.Term < c.term:
		c.answerOldTerm(m)
		return
	}
	c.dispatch(m)
}

// leaderIsAlive reports whether the replica heard of a leader within the
// shortest election timeout.
func (c *Core) leaderIsAlive() bool {
	return c.leader != 0 && c.elapsed < c.opts.ElectionTicks
}

// answerOldTerm tells a replica that its term is over.
func (c *Core) answerOldTerm(m Message) {
	switch m.Type {
	case Append, Heartbeat, InstallSnapshot:
		c.reply(m, Message{Type: HeartbeatReply})
	case PreVoteRequest:
		c.reply(m, Message{Type: PreVoteReply, Reject: true})
	}
}

// dispatch handles a message of the current term, or a pre-vote.
func (c *Core) dispatch(m Message) {
	switch m.Type {
	case PreVoteRequest, VoteRequest:
		c.handleCampaign(m)
	case PreVoteReply, VoteReply:
		c.handleVote(m)
	case Append, Heartbeat, InstallSnapshot:
		if c.role == Leader {
			return
		}
		c.follow(m.From)
		c.handleLeader(m)
	case AppendReply, HeartbeatReply:
		if p := c.progress[m.From]; c.role == Leader && p != nil {
			p.idleTicks = 0
			c.handleReply(m, p)
		}
	case TimeoutNow:
		if c.members().IsVoter(c.id) && c.role != Leader {
			c.campaign(Candidate, true)
		}
	}
}

// reply queues an answer that is sent once the state is persisted.
func (c *Core) reply(to, m Message) {
	m.From, m.To = c.id, to.From
	if m.Term == 0 {
		m.Term = c.term
	}
	c.afterSync = append(c.afterSync, m)
}

// Ready returns what is to be done and forgets it.
func (c *Core) Ready() Ready {
	if c.readBeat && c.role == Leader {
		c.broadcastHeartbeat()
	}
	r := Ready{
		Messages: c.messages, MessagesAfterSync: c.afterSync, Reads: c.finishedReads,
		Snapshot: c.installed, Entries: c.log.slice(c.log.handed+1, c.log.last().Index),
	}
	if now := (HardState{c.term, c.vote}); now != c.persistedHard {
		r.HardState = &now
		r.Messages, r.MessagesAfterSync = nil, append(r.Messages, r.MessagesAfterSync...)
	}
	if to := min(c.log.commit, c.log.stable); to > c.log.applied {
		r.Committed = c.log.slice(c.log.applied+1, to)
		c.log.applied = to
	}
	c.messages, c.afterSync, c.finishedReads, c.installed = nil, nil, nil, nil
	c.log.handed = c.log.last().Index
	return r
}

// Persisted tells that all of a Ready is persisted.
func (c *Core) Persisted(r Ready) {
	if r.HardState != nil {
		c.persistedHard = *r.HardState
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
