package raft

import (
	"errors"
	"testing"
)

// threeVoters are the members of the tests below.
var threeVoters = Membership{Voters: []Member{{ID: 1}, {ID: 2}, {ID: 3}}}

// persistAll processes all pending Readys without sending their messages, and
// returns the committed entries.
func persistAll(c *Core) (committed []Entry) {
	for r := c.Ready(); !r.Empty(); r = c.Ready() {
		c.Persisted(r)
		committed = append(committed, r.Committed...)
	}
	return committed
}

// newLeader returns replica 1 as the leader of a term in which no entry is
// committed.
func newLeader(t *testing.T) *Core {
	t.Helper()
	c := New(testOptions(1, 1), PersistedState{})
	c.Bootstrap(threeVoters)
	persistAll(c)
	c.Step(Message{Type: PreVoteReply, From: 2, To: 1, Term: 2})
	c.Step(Message{Type: VoteReply, From: 2, To: 1, Term: 2})
	if c.Role() != Leader {
		t.Fatalf("replica 1 is %s", c.Role())
	}
	persistAll(c)
	return c
}

// acknowledge delivers the reply of replica 2 that it has synced the whole log.
func acknowledge(c *Core) {
	c.Step(Message{Type: AppendReply, From: 2, To: 1, Term: c.Term(), Prev: EntryID{Index: c.LastEntryID().Index}})
}

func TestReadWaitsForAnEntryOfTheTerm(t *testing.T) {
	for _, later := range []bool{false, true} {
		c := newLeader(t)
		start := c.Read
		if later {
			start = c.ReadAtHeartbeat
		}
		start(7)
		persistAll(c)
		c.Step(Message{Type: HeartbeatReply, From: 2, To: 1, Term: 2, ReadSeq: c.readSeq})
		if r := c.Ready(); len(r.Reads) > 0 {
			t.Fatalf("a read ended before the term's first commit: %+v", r.Reads)
		}
		acknowledge(c)
		c.broadcastHeartbeat()
		c.Step(Message{Type: HeartbeatReply, From: 2, To: 1, Term: 2, ReadSeq: c.readSeq})
		if r := c.Ready(); len(r.Reads) != 1 || r.Reads[0] != (ReadResult{ID: 7, Index: c.CommitIndex()}) {
			t.Fatalf("a confirmed read returned %+v", r.Reads)
		}
	}
}

func TestLeaderCountsItselfAfterItsSync(t *testing.T) {
	c := newLeader(t)
	at, _ := c.Propose([]byte("command"))
	r := c.Ready()
	acknowledge(c)
	if c.CommitIndex() >= at.Index {
		t.Fatal("an entry that only one voter has synced is committed")
	}
	c.Persisted(r)
	if c.CommitIndex() != at.Index {
		t.Fatalf("commit is %d, want %d", c.CommitIndex(), at.Index)
	}
}

func TestOneChangeAtATime(t *testing.T) {
	c := newLeader(t)
	next := threeVoters.AddLearner(Member{ID: 4, Name: "x"})
	if _, err := c.ProposeMembership(next); !errors.Is(err, ErrChangePending) {
		t.Fatalf("a change before the term's first commit returned %v", err)
	}
	acknowledge(c)
	if _, err := c.ProposeMembership(next); err != nil {
		t.Fatal(err)
	}
	if _, err := c.ProposeMembership(threeVoters); !errors.Is(err, ErrChangePending) {
		t.Fatalf("a second change before the first one is committed returned %v", err)
	}
	persistAll(c)
	acknowledge(c)
	oneVoter := Membership{Voters: threeVoters.Voters[:1]}
	if _, err := c.ProposeMembership(oneVoter); !errors.Is(err, ErrTooManyChanges) {
		t.Fatalf("a change of two voters returned %v", err)
	}
}

func TestFollowerCommitsOnlyWhatMatches(t *testing.T) {
	c := New(testOptions(2, 1), PersistedState{
		HardState: HardState{Term: 2}, Entries: []Entry{
			{Index: 1, Term: 1, Type: EntryMembership, Membership: &threeVoters}, {Index: 2, Term: 2}, {Index: 3, Term: 2},
		},
	})
	c.Step(Message{Type: Append, From: 1, To: 2, Term: 3, Prev: EntryID{1, 1}, Commit: 3})
	if c.CommitIndex() != 1 {
		t.Fatalf("commit is %d although only entry 1 is known to match", c.CommitIndex())
	}
	entries := []Entry{{Index: 2, Term: 3}}
	c.Step(Message{Type: Append, From: 1, To: 2, Term: 3, Prev: EntryID{1, 1}, Entries: entries, Commit: 2})
	if r := c.Ready(); len(r.Committed) != 1 {
		t.Fatalf("%d entries are returned to apply before they are synced", len(r.Committed)-1)
	}
}

// TestLearnerClearsUnreachableLeader checks that a learner, which never starts an
// election, stops reporting a leader that no longer sends messages.
func TestLearnerClearsUnreachableLeader(t *testing.T) {
	learner := New(testOptions(4, 4), PersistedState{})
	learner.Step(Message{Type: Heartbeat, From: 1, To: 4, Term: 2})
	if got := learner.LeaderID(); got != 1 {
		t.Fatalf("the learner reports leader %d after a heartbeat, want 1", got)
	}
	for range 2 * learner.opts.ElectionTicks {
		learner.Tick()
	}
	if got := learner.LeaderID(); got != 0 {
		t.Fatalf("the learner still reports leader %d after two election timeouts without a message", got)
	}
}
