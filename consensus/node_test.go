package consensus

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"tanagerbarrow/consensus/raft"
	"tanagerbarrow/consensus/waltest"
	"tanagerbarrow/verdict"
)

// TestCutLeaderKnowsWhatWasLost proposes a command on a leader that is
// disconnected from the others, while another leader commits commands. After it
// is reconnected, the old leader must detect that its entry was overwritten and
// propose the command again: it is applied once.
func TestCutLeaderKnowsWhatWasLost(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := newGroup(t, 3)
		defer g.stop()
		leader := g.leader()
		outcomes := &outcomeChecker{}
		g.setPartitioned(leader.name, true)
		done := make(chan error, 1)
		go func() { done <- g.propose(leader, "cut off") }()
		time.Sleep(faultDuration)
		via := otherThan(g, leader)
		for n := range 5 {
			command := fmt.Sprintf("elsewhere-%d", n)
			outcomes.record(command, g.propose(via, command))
		}
		g.setPartitioned(leader.name, false)
		outcomes.record("cut off", <-done)
		if len(outcomes.accepted) != 6 {
			t.Errorf("only %v were accepted", outcomes.accepted)
		}
		outcomes.check(g)
	})
}

// TestNoQuorumRefusesReads checks that without a quorum a read fails as NotRun
// and a command is not accepted.
func TestNoQuorumRefusesReads(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := newGroup(t, 3)
		defer g.stop()
		leader := g.leader()
		for _, p := range g.processes {
			g.setPartitioned(p.name, true)
		}
		if err := leader.node.ReadBarrier(t.Context()); err == nil || verdict.Of(err) != verdict.NotRun {
			t.Errorf("a read without a quorum ended with %v", err)
		}
		if err := g.propose(leader, "alone"); err == nil {
			t.Error("a command without a quorum was accepted")
		}
	})
}

// TestCommandsShareASync proposes many commands at once on one voter and checks
// that they are synced in batches.
func TestCommandsShareASync(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := newGroup(t, 1)
		defer g.stop()
		leader := g.leader()
		syncs := countSyncs(leader)
		const commands = 200
		var wg sync.WaitGroup
		for n := range commands {
			wg.Go(func() {
				if err := g.propose(leader, fmt.Sprint(n)); err != nil {
					t.Error(err)
				}
			})
		}
		wg.Wait()
		if got := syncs.Load(); got > commands/10 {
			t.Errorf("%d commands took %d syncs", commands, got)
		}
	})
}

// TestReplacementLeavesAfterSync replaces one host by another: the old host
// must not be removed before the new one is a voter.
func TestReplacementLeavesAfterSync(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := newGroup(t, 3)
		defer g.stop()
		leader := g.leader()
		old := otherThan(g, leader)
		for n := range 30 {
			if err := g.propose(leader, fmt.Sprint(n)); err != nil {
				t.Fatal(err)
			}
		}
		added := g.startHost()
		change := Change{Kind: ReplaceReplica, Name: added.name, Address: added.name, Replaces: old.name}
		if err := leader.node.Change(t.Context(), change); err != nil {
			t.Fatal(err)
		}
		g.eventually("the old host is removed", func() bool {
			s := leader.node.Status()
			_, member := s.Members.Find(old.node.self.ID)
			if !member && !s.Members.IsVoter(added.node.self.ID) {
				t.Fatal("the old host was removed before the new one was a voter")
			}
			return !member && len(s.Voters) == 3
		})
		if got := len(added.machine.all()); got != 30 {
			t.Errorf("the new host holds %d commands, want 30", got)
		}
	})
}

// TestChangeIsRetriedAfterLostResponse breaks the connection to the leader
// while it executes a removal: the follower that received the request must send
// it again.
func TestChangeIsRetriedAfterLostResponse(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := newGroup(t, 4)
		defer g.stop()
		leader := g.leader()
		via := otherThan(g, leader)
		removed := g.processes[0]
		for _, p := range g.processes {
			if p != leader && p != via {
				removed = p
			}
		}
		var broken atomic.Bool
		g.mu.Lock()
		g.afterCall = func(_, _ string, r Request) error {
			if r.Kind == RequestChange && broken.CompareAndSwap(false, true) {
				return errResponseLost
			}
			return nil
		}
		g.mu.Unlock()
		if err := via.node.Change(t.Context(), Change{Kind: RemoveReplica, Name: removed.name}); err != nil {
			t.Fatalf("the removal ended with %v", err)
		}
		g.eventually("the host is removed", func() bool { return len(leader.node.Status().Voters) == 3 })
	})
}

// TestLearnerSurvivesLostFirstMessages loses all that the leader sends to a new
// replica until the replica was admitted for a while, as while its host restarts. The
// replica must still receive the log and become a voter: it learns the leader's
// address from its messages only, and the leader sends nothing but heartbeats until
// the replica has replied.
func TestLearnerSurvivesLostFirstMessages(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := newGroup(t, 3)
		defer g.stop()
		leader := g.leader()
		added := g.startHost()
		var dropping atomic.Bool
		dropping.Store(true)
		g.mu.Lock()
		g.dropEnvelope = func(from, to string, _ Envelope) bool {
			return dropping.Load() && from == leader.name && to == added.name
		}
		g.mu.Unlock()
		if err := leader.node.Change(t.Context(), Change{Kind: AddReplica, Name: added.name, Address: added.name}); err != nil {
			t.Fatal(err)
		}
		time.Sleep(faultDuration)
		dropping.Store(false)
		g.eventually("the new replica votes", func() bool {
			return leader.node.Status().Members.IsVoter(added.node.self.ID)
		})
	})
}

// TestProposeInTermBindsToTheTerm guards against a command that was checked by the state of one
// leader and is committed by the next one.
func TestProposeInTermBindsToTheTerm(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := newGroup(t, 3)
		defer g.stop()
		first := g.leader()
		term := first.node.Status().Term
		if _, err := first.node.ProposeInTerm(t.Context(), term, []byte("in its term")); err != nil {
			t.Fatal(err)
		}
		if _, err := first.node.ProposeInTerm(t.Context(), term-1, []byte("late")); verdict.Of(err) != verdict.NotRun {
			t.Errorf("a command of an earlier term: %v", err)
		}
		g.setPartitioned(first.name, true)
		time.Sleep(faultDuration)
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		if _, err := first.node.ProposeInTerm(ctx, term, []byte("cut off")); err == nil {
			t.Error("a host that was cut off committed a command")
		}
		g.setPartitioned(first.name, false)
		time.Sleep(faultDuration)
		next := g.leader()
		if next.node.Status().Term == term {
			t.Fatal("no other leader was elected")
		}
		if _, err := next.node.ProposeInTerm(t.Context(), term, []byte("of the first leader")); verdict.Of(err) != verdict.NotRun {
			t.Errorf("a command of the first leader's term: %v", err)
		}
		if _, err := next.node.Propose(t.Context(), []byte("last")); err != nil {
			t.Fatal(err)
		}
		if got := next.machine.all(); !slices.Equal(got, []string{"in its term", "last"}) {
			t.Errorf("committed are %q", got)
		}
	})
}

// TestFullDiskEndsLeadershipAtOnce refuses every write of the leader's disk, as a full disk does:
// another replica leads without waiting for an election timeout, and what was accepted stays.
// Opened again once its disk takes writes, the replica follows.
func TestFullDiskEndsLeadershipAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := newGroup(t, 3)
		defer g.stop()
		first := g.leader()
		outcomes := &outcomeChecker{}
		outcomes.record("before", g.propose(first, "before"))
		full := errors.New("no space left on device")
		first.disk.SetHook(func(op waltest.Op, _ string, after bool) error {
			if op == waltest.OpWrite && !after {
				return full
			}
			return nil
		})
		failedAt := time.Now()
		outcomes.record("during", g.propose(first, "during"))
		<-first.node.Done()
		var successor *process
		g.eventually("another replica leads", func() bool {
			for _, p := range g.processes {
				if p != first && p.node.Status().Role == raft.Leader.String() {
					successor = p
				}
			}
			return successor != nil
		})
		if took := time.Since(failedAt); took >= electionTicks*tickPeriod {
			t.Errorf("another replica leads after %s, an election timeout is at least %s", took, electionTicks*tickPeriod)
		}
		outcomes.record("after", g.propose(successor, "after"))
		first.disk.SetHook(nil)
		if err := first.node.Close(); !errors.Is(err, full) {
			t.Errorf("the replica ended with %v", err)
		}
		g.start(first)
		outcomes.check(g)
	})
}
