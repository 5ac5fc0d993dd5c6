package consensus

import (
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"tanagerbarrow/verdict"
)

// TestCutLeaderKnowsWhatWasLost proposes on a leader that is cut off. Once the
// cut ends, the leader learns that its entry was replaced, and proposes it
// again: it is applied once.
func TestCutLeaderKnowsWhatWasLost(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := newGroup(t, 3)
		defer g.stop()
		leader := g.leader()
		outcomes := &ledgerOf{}
		g.setCut(leader.name, true)
		done := make(chan error, 1)
		go func() { done <- g.propose(leader, "cut off") }()
		time.Sleep(faultDuration)
		via := other(g, leader)
		for n := range 5 {
			command := fmt.Sprintf("elsewhere-%d", n)
			outcomes.note(command, g.propose(via, command))
		}
		g.setCut(leader.name, false)
		outcomes.note("cut off", <-done)
		if len(outcomes.accepted) != 6 {
			t.Errorf("accepted are only %v", outcomes.accepted)
		}
		outcomes.check(g)
	})
}

// TestNoQuorumRefusesReads holds that without a quorum a read ends as NotRun and
// a command never as accepted.
func TestNoQuorumRefusesReads(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := newGroup(t, 3)
		defer g.stop()
		leader := g.leader()
		for _, p := range g.processes {
			g.setCut(p.name, true)
		}
		if err := leader.node.ReadBarrier(t.Context()); err == nil || verdict.Of(err) != verdict.NotRun {
			t.Errorf("a read without a quorum ended with %v", err)
		}
		if err := g.propose(leader, "alone"); err == nil {
			t.Error("a command without a quorum was accepted")
		}
	})
}

// TestCommandsShareASync proposes many commands at once on one voter and counts
// the syncs.
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

// TestReplacementLeavesAfterSync replaces one host by another: the old one
// leaves only after the new one votes.
func TestReplacementLeavesAfterSync(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := newGroup(t, 3)
		defer g.stop()
		leader := g.leader()
		old := other(g, leader)
		for n := range 30 {
			if err := g.propose(leader, fmt.Sprint(n)); err != nil {
				t.Fatal(err)
			}
		}
		fresh := g.startSpare()
		change := Change{Kind: ReplaceReplica, Name: fresh.name, Address: fresh.name, Replaces: old.name}
		if err := leader.node.Change(t.Context(), change); err != nil {
			t.Fatal(err)
		}
		g.eventually("the old host left", func() bool {
			s := leader.node.Status()
			_, member := s.Members.Find(old.node.self.ID)
			if !member && !s.Members.IsVoter(fresh.node.self.ID) {
				t.Fatal("the old host left before the new one voted")
			}
			return !member && len(s.Voters) == 3
		})
		if got := len(fresh.machine.all()); got != 30 {
			t.Errorf("the new host holds %d commands, want 30", got)
		}
	})
}

// TestChangeOutlivesALostAnswer breaks the connection to the leader while it
// carries out a removal: the follower that was asked sends it again.
func TestChangeOutlivesALostAnswer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := newGroup(t, 4)
		defer g.stop()
		leader := g.leader()
		via := other(g, leader)
		gone := g.processes[0]
		for _, p := range g.processes {
			if p != leader && p != via {
				gone = p
			}
		}
		var broken atomic.Bool
		g.mu.Lock()
		g.calling = func(_, _ string, r Request) error {
			if r.Kind == RequestChange && broken.CompareAndSwap(false, true) {
				return errLost
			}
			return nil
		}
		g.mu.Unlock()
		if err := via.node.Change(t.Context(), Change{Kind: RemoveReplica, Name: gone.name}); err != nil {
			t.Fatalf("the removal ended with %v", err)
		}
		g.eventually("the host left", func() bool { return len(leader.node.Status().Voters) == 3 })
	})
}
