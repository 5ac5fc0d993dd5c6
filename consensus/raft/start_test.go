package raft

import (
	"slices"
	"testing"
)

// startAll lets replicas of a group of five start at the given ticks with
// messages that take a tick, and returns in which tick one leads.
func startAll(t *testing.T, seed uint64, starts []int) int {
	t.Helper()
	var members Membership
	for id := range ReplicaID(5) {
		members.Voters = append(members.Voters, Member{ID: id + 1})
	}
	entries := []Entry{{Index: 1, Term: 1, Type: EntryMembership, Membership: &members}}
	var cores []*Core
	for id := range starts {
		cores = append(cores, New(Options{
			ID: ReplicaID(id + 1), ElectionTicks: 18, FirstElectionTicks: 3, HeartbeatTicks: 4,
			MaxAppendBytes: 1 << 20, MaxInFlight: 100, Seed: seed,
		}, PersistedState{HardState: HardState{Term: 1}, Entries: entries}))
	}
	var onTheWay []Message
	for tick := 1; tick < 1000; tick++ {
		arrived := onTheWay
		onTheWay = nil
		for id, c := range cores {
			if tick < starts[id] {
				continue
			}
			c.Tick()
			for _, m := range arrived {
				c.Step(m)
			}
			r := c.Ready()
			c.Persisted(r)
			onTheWay = slices.Concat(onTheWay, r.Messages, r.MessagesAfterSync)
			if c.Role() == Leader {
				return tick
			}
		}
	}
	t.Fatal("nobody leads after 1,000 ticks")
	return 0
}

// TestGroupThatStartsAtOnceSoonHasALeader starts all voters, or just a quorum,
// at the same moment. Drawn from two ticks, their timeouts split the votes ten
// times in a row. Half of the groups must have a leader within one ordinary
// shortest election timeout, and nine in ten within two.
func TestGroupThatStartsAtOnceSoonHasALeader(t *testing.T) {
	for _, alive := range []int{5, 3} {
		half, most := ticksToLeader(t, make([]int, alive))
		if half > 18 || most > 36 {
			t.Errorf("%d of 5 alive: half have a leader after %d ticks, nine in ten after %d", alive, half, most)
		}
	}
}

// ticksToLeader returns the tick in which half of 100 groups have a leader, and
// that in which nine in ten have one.
func ticksToLeader(t *testing.T, starts []int) (half, most int) {
	t.Helper()
	var ticks []int
	for seed := range uint64(100) {
		ticks = append(ticks, startAll(t, seed*977, starts))
	}
	slices.Sort(ticks)
	return ticks[50], ticks[90]
}

// TestLastVoterOfAQuorumCompletesIt starts the voters one after the other, as
// after a loss of power. The third one completes the quorum in tick 20: half of
// the groups must have a leader two round trips of two ticks later, and nine in
// ten a tick after that. A candidate that asks only once waits for another draw.
func TestLastVoterOfAQuorumCompletesIt(t *testing.T) {
	half, most := ticksToLeader(t, []int{1, 4, 20, 21, 25})
	if half > 20+4 || most > 20+5 {
		t.Errorf("half have a leader in tick %d, nine in ten in tick %d", half, most)
	}
}

// TestSurplusVoterLeaves replaces a host under another name: of six voters the
// one that went silent is dropped, and never one of five.
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
		t.Error("a voter was dropped before any was silent")
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
		t.Error("a voter was dropped though there are no more than wanted")
	}
}
