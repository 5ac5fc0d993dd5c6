package raft

import (
	"flag"
	"math/rand/v2"
	"testing"

	"pgregory.net/rapid"
)

// init sets a fixed seed, so that each run uses the same schedules; the flag
// -rapid.seed selects others.
func init() { _ = flag.Set("rapid.seed", "1") }

// TestSafetyUnderFaults runs random schedules: lost, duplicated and reordered
// messages, links blocked in one or both directions, crashes that lose unsynced
// data, lost disks, compaction, reads and membership changes. It checks the
// invariants after each step, and that the replicas agree once all faults are
// removed.
func TestSafetyUnderFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		size := rapid.SampledFrom([]int{1, 3, 3, 5, 5}).Draw(t, "size")
		c := newCluster(t, size, rapid.Uint64().Draw(t, "seed"))
		for i := range rapid.IntRange(20, 400).Draw(t, "steps") {
			random := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "step"), uint64(i)))
			randomStep(random, c)
		}
		c.converge()
		c.checkNothingLost()
	})
}

// randomStep performs one random step of a schedule.
func randomStep(random *rand.Rand, c *cluster) {
	r := c.replicas[c.replicaIDs[random.IntN(len(c.replicaIDs))]]
	crash := drawCrashPoint(random)
	l := c.leader()
	switch kind := random.IntN(100); {
	case kind < 25:
		runTicks(c, 1+random.IntN(12))
	case kind < 60:
		deliverSome(random, c, crash)
	case kind < 72 && l != nil:
		c.propose(l, 1+random.IntN(12), crash)
	case kind < 78 && l != nil:
		c.read(l)
	case kind < 84:
		link := [2]ReplicaID{r.id, c.replicaIDs[random.IntN(len(c.replicaIDs))]}
		c.blockedLinks[link] = !c.blockedLinks[link]
	case kind < 86:
		clear(c.blockedLinks)
	case kind < 90 && r.running:
		r.running = false
	case kind < 90:
		c.start(r)
	case kind < 94 && r.running:
		c.compact(r, uint64(random.IntN(9)))
	case kind < 96 && l != nil:
		c.changeMembership(l, crash)
	case kind < 97 && l != nil && c.noDiskLost(l.core.Members()):
		_, _ = l.core.ProposeMembership(l.core.Members().Remove(r.id))
		c.processReady(l, crash)
	case kind < 98 && l != nil:
		l.core.TransferLeadership(l.core.BestSuccessor())
		c.processReady(l, crash)
	case kind == 99 && c.canLoseDisk(r.id):
		c.loseDisk(r)
	}
}

// drawCrashPoint returns a random crash point, in 19 of 20 cases none.
func drawCrashPoint(random *rand.Rand) int {
	if random.IntN(20) > 0 {
		return crashNever
	}
	return crashBeforeSync + random.IntN(crashPointCount-1)
}

// runTicks advances all running replicas by a number of ticks, and after each one
// delivers the messages on the network in order.
func runTicks(c *cluster, ticks int) {
	for range ticks {
		for _, id := range c.replicaIDs {
			if r := c.replicas[id]; r.running {
				r.core.Tick()
				c.processReady(r, crashNever)
			}
		}
		for n := len(c.network); n > 0; n-- {
			c.deliver(c.removeMessage(0), crashNever)
		}
	}
}

// deliverSome delivers, duplicates or drops random messages.
func deliverSome(random *rand.Rand, c *cluster, crash int) {
	for range 1 + random.IntN(10) {
		if len(c.network) == 0 {
			return
		}
		at := random.IntN(len(c.network))
		switch random.IntN(6) {
		case 0:
			c.removeMessage(at)
		case 1:
			c.deliver(c.network[at], crash)
		default:
			c.deliver(c.removeMessage(at), crash)
		}
		crash = crashNever
	}
}

// TestCommandsSurviveLostDisks checks that no accepted command is lost when the
// leader loses its disk, the membership is restored, and the next leader loses
// its disk right after.
func TestCommandsSurviveLostDisks(t *testing.T) {
	c := newCluster(t, 5, 3)
	c.converge()
	c.propose(c.leader(), 20, crashNever)
	c.converge()
	for range 2 {
		victim := c.leader()
		c.compact(victim, 0)
		c.loseDisk(victim)
		c.converge()
	}
	c.checkNothingLost()
	if got := len(c.leader().applied); got != 20 {
		t.Fatalf("%d commands are applied, want 20", got)
	}
}

// TestNothingIsSentBeforeTheTermIsSynced checks that a new leader's messages are
// not sent before its term is persisted.
func TestNothingIsSentBeforeTheTermIsSynced(t *testing.T) {
	c := New(testOptions(1, 1), PersistedState{})
	c.Bootstrap(Membership{Voters: []Member{{ID: 1}}, Learners: []Member{{ID: 2}}})
	for c.Role() != Leader {
		c.Tick()
	}
	r := c.Ready()
	if r.HardState == nil || len(r.Messages) > 0 || len(r.MessagesAfterSync) == 0 {
		t.Fatalf("a new leader of term %d returns %+v", c.Term(), r)
	}
}

// TestPromotionWaitsForSync checks that a learner cannot be promoted before it has
// synced the log.
func TestPromotionWaitsForSync(t *testing.T) {
	c := newCluster(t, 3, 1)
	c.converge()
	l := c.leader()
	learner := c.addReplica("control-4")
	c.blockedLinks[[2]ReplicaID{learner.id, l.id}] = true
	m := l.core.Members().AddLearner(Member{ID: learner.id, Name: "control-4"})
	if _, err := l.core.ProposeMembership(m); err != nil {
		t.Fatal(err)
	}
	runTicks(c, 30)
	if _, err := l.core.ProposeMembership(m.Promote(learner.id)); err == nil {
		t.Fatal("a learner that never answered was promoted")
	}
	clear(c.blockedLinks)
	runTicks(c, 30)
	if _, err := l.core.ProposeMembership(m.Promote(learner.id)); err != nil {
		t.Fatalf("a learner that caught up was refused: %v", err)
	}
}

// TestIsolatedLeaderStepsDown checks that a leader that receives no messages steps
// down while a read is pending, and that the others elect a new leader.
func TestIsolatedLeaderStepsDown(t *testing.T) {
	c := newCluster(t, 3, 1)
	c.converge()
	l := c.leader()
	for _, id := range c.replicaIDs {
		c.blockedLinks[[2]ReplicaID{id, l.id}] = true
	}
	l.core.Read(1)
	runTicks(c, 40)
	if l.core.Role() == Leader {
		t.Fatal("a leader that receives no messages still leads")
	}
	if c.leader() == nil || c.leader() == l {
		t.Fatal("the other replicas elected no leader")
	}
}
