package raft

import (
	"slices"
	"testing"
)

// simulateStart simulates a group of five voters in which one replica starts at
// each of the given ticks; messages take one tick. It returns the tick in which a
// leader is elected.
func simulateStart(t *testing.T, seed uint64, starts []int) int {
	t.Helper()
	var members Membership
	for id := range ReplicaID(5) {
		members.Voters = append(members.Voters, Member{ID: id + 1})
	}
	entries := []Entry{{Index: 1, Term: 1, Type: EntryMembership, Membership: &members}}
	var cores []*Core
	for i := range starts {
		cores = append(cores, New(Options{
			ID: ReplicaID(i + 1), ElectionTicks: 18, FirstElectionTicks: 3, HeartbeatTicks: 4,
			MaxAppendBytes: 1 << 20, MaxInFlight: 100, Seed: seed,
		}, PersistedState{HardState: HardState{Term: 1}, Entries: entries}))
	}
	var inTransit []Message
	for tick := 1; tick < 1000; tick++ {
		arrived := inTransit
		inTransit = nil
		for i, c := range cores {
			if tick < starts[i] {
				continue
			}
			c.Tick()
			for _, m := range arrived {
				c.Step(m)
			}
			r := c.Ready()
			c.Persisted(r)
			inTransit = slices.Concat(inTransit, r.Messages, r.MessagesAfterSync)
			if c.Role() == Leader {
				return tick
			}
		}
	}
	t.Fatal("no leader was elected within 1,000 ticks")
	return 0
}

// TestGroupThatStartsAtOnceSoonHasALeader starts all voters, or just a quorum, at
// the same moment. With first timeouts from a range of only two ticks, the votes
// split ten times in a row. Half of the groups must have a leader within one
// shortest regular election timeout, and nine in ten within two.
func TestGroupThatStartsAtOnceSoonHasALeader(t *testing.T) {
	for _, alive := range []int{5, 3} {
		median, p90 := leaderElectionTicks(t, make([]int, alive))
		if median > 18 || p90 > 36 {
			t.Errorf("%d of 5 running: half have a leader after %d ticks, nine in ten after %d", alive, median, p90)
		}
	}
}

// leaderElectionTicks simulates 100 groups and returns the tick by which half of
// them have a leader, and the tick by which nine in ten have one.
func leaderElectionTicks(t *testing.T, starts []int) (median, p90 int) {
	t.Helper()
	var ticks []int
	for seed := range uint64(100) {
		ticks = append(ticks, simulateStart(t, seed*977, starts))
	}
	slices.Sort(ticks)
	return ticks[50], ticks[90]
}

// TestLastVoterOfAQuorumCompletesIt starts the voters one after another, as after
// a power failure. The third one completes the quorum in tick 20. Half of the
// groups must have a leader two round trips of two ticks later, and nine in ten
// one tick after that. A pre-candidate that sends its requests only once would
// wait for its next election timeout.
func TestLastVoterOfAQuorumCompletesIt(t *testing.T) {
	median, p90 := leaderElectionTicks(t, []int{1, 4, 20, 21, 25})
	if median > 20+4 || p90 > 20+5 {
		t.Errorf("half have a leader in tick %d, nine in ten in tick %d", median, p90)
	}
}

// TestSurplusVoterLeaves checks the replacement of a host under another name: of
// six voters, with a target of five, the one that stopped answering is removed.
// None is removed if there are no more voters than the target.
func TestSurplusVoterLeaves(t *testing.T) {
	var members Membership
	for id := range ReplicaID(6) {
		members.Voters = append(members.Voters, Member{ID: id + 1})
	}
	c := New(Options{ID: 1, ElectionTicks: 10, HeartbeatTicks: 2, MaxAppendBytes: 1 << 20, MaxInFlight: 100},
		PersistedState{HardState: HardState{Term: 1}, Entries: []Entry{
			{Index: 1, Term: 1, Type: EntryMembership, Membership: &members},
		}})
	c.log.commit = 1
	c.becomeLeader()
	c.log.commit = c.log.last().Index
	if _, due := c.RemoveSurplusVoter(5); due {
		t.Error("a voter was removed although all had answered recently")
	}
	for id, p := range c.progress {
		p.idleTicks = int(id)
	}
	c.progress[4].idleTicks = 50
	m, due := c.RemoveSurplusVoter(5)
	if !due || m.IsVoter(4) || len(m.Voters) != 5 {
		t.Errorf("due %v, voters %+v", due, m.Voters)
	}
	if _, due := c.RemoveSurplusVoter(6); due {
		t.Error("a voter was removed although there are no more than the target")
	}
}
