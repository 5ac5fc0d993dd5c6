package raft

import (
	"flag"
	"math/rand/v2"
	"testing"

	"pgregory.net/rapid"
)

// init fixes the schedules; -rapid.seed draws others.
func init() { _ = flag.Set("rapid.seed", "1") }

// TestSafetyUnderFaults runs random schedules: loss, repetition, reordering,
// cuts in one or both directions, crashes that lose what is not synced, lost
// disks, compaction, reads and membership changes. The invariants are checked
// after each step, and in the end the healed group must agree.
func TestSafetyUnderFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		size := rapid.SampledFrom([]int{1, 3, 3, 5, 5}).Draw(t, "size")
		c := newCluster(t, size, rapid.Uint64().Draw(t, "seed"))
		for i := range rapid.IntRange(20, 400).Draw(t, "steps") {
			random := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "step"), uint64(i)))
			randomStep(random, c)
		}
		c.settle()
		c.checkAllKept()
	})
}

// randomStep carries out one step of a schedule.
func randomStep(random *rand.Rand, c *cluster) {
	r := c.replicas[c.order[random.IntN(len(c.order))]]
	crash := drawCrash(random)
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
		way := [2]ReplicaID{r.id, c.order[random.IntN(len(c.order))]}
		c.cut[way] = !c.cut[way]
	case kind < 86:
		clear(c.cut)
	case kind < 90 && r.up:
		r.up = false
	case kind < 90:
		c.start(r)
	case kind < 94 && r.up:
		c.compact(r, uint64(random.IntN(9)))
	case kind < 96 && l != nil:
		c.repair(l, crash)
	case kind < 97 && l != nil && c.allAlive(l.core.Members()):
		_, _ = l.core.ProposeMembership(l.core.Members().Remove(r.id))
		c.handle(l, crash)
	case kind < 98 && l != nil:
		l.core.TransferLeadership(l.core.BestSuccessor())
		c.handle(l, crash)
	case kind == 99 && c.mayLose(r.id):
		c.loseDisk(r)
	}
}

// drawCrash draws a place to crash; mostly none.
func drawCrash(random *rand.Rand) int {
	if random.IntN(20) > 0 {
		return crashNever
	}
	return crashBeforeSync + random.IntN(crashPlaces-1)
}

// runTicks advances all running replicas and delivers what is on the network in
// order.
func runTicks(c *cluster, ticks int) {
	for range ticks {
		for _, id := range c.order {
			if r := c.replicas[id]; r.up {
				r.core.Tick()
				c.handle(r, crashNever)
			}
		}
		for n := len(c.network); n > 0; n-- {
			c.deliver(c.take(0), crashNever)
		}
	}
}

// deliverSome delivers, repeats or drops messages in any order.
func deliverSome(random *rand.Rand, c *cluster, crash int) {
	for range 1 + random.IntN(10) {
		if len(c.network) == 0 {
			return
		}
		at := random.IntN(len(c.network))
		switch random.IntN(6) {
		case 0:
			c.take(at)
		case 1:
			c.deliver(c.network[at], crash)
		default:
			c.deliver(c.take(at), crash)
		}
		crash = crashNever
	}
}

// TestLostDiskIsReplaced loses a voter's disk, repairs, and loses a second one
// right after: everything accepted is kept.
func TestLostDiskIsReplaced(t *testing.T) {
	c := newCluster(t, 5, 3)
	c.settle()
	c.propose(c.leader(), 20, crashNever)
	c.settle()
	for range 2 {
		victim := c.leader()
		c.compact(victim, 0)
		c.loseDisk(victim)
		c.settle()
	}
	c.checkAllKept()
	if got := len(c.leader().applied); got != 20 {
		t.Fatalf("%d commands are left, want 20", got)
	}
}

// TestNothingIsSentBeforeTheTermIsSynced holds that a new leader's entries do
// not leave before its term is durable.
func TestNothingIsSentBeforeTheTermIsSynced(t *testing.T) {
	c := New(testOptions(1, 1), PersistedState{})
	c.Bootstrap(Membership{Voters: []Member{{ID: 1}}, Learners: []Member{{ID: 2}}})
	for c.Role() != Leader {
		c.Tick()
	}
	r := c.Ready()
	if r.HardState == nil || len(r.Messages) > 0 || len(r.MessagesAfterSync) == 0 {
		t.Fatalf("a new leader of term %d wants %+v", c.Term(), r)
	}
}

// TestPromotionWaitsForSync holds that a learner that has not synced cannot be
// made a voter.
func TestPromotionWaitsForSync(t *testing.T) {
	c := newCluster(t, 3, 1)
	c.settle()
	l := c.leader()
	fresh := c.add("control-4")
	c.cut[[2]ReplicaID{fresh.id, l.id}] = true
	m := l.core.Members().AddLearner(Member{ID: fresh.id, Name: "control-4"})
	if _, err := l.core.ProposeMembership(m); err != nil {
		t.Fatal(err)
	}
	runTicks(c, 30)
	if _, err := l.core.ProposeMembership(m.Promote(fresh.id)); err == nil {
		t.Fatal("a learner that never answered was promoted")
	}
	clear(c.cut)
	runTicks(c, 30)
	if _, err := l.core.ProposeMembership(m.Promote(fresh.id)); err != nil {
		t.Fatalf("a learner that caught up was refused: %v", err)
	}
}

// TestIsolatedLeaderStepsDown holds that a leader without a quorum stops
// leading and that its reads end without an answer.
func TestIsolatedLeaderStepsDown(t *testing.T) {
	c := newCluster(t, 3, 1)
	c.settle()
	l := c.leader()
	for _, id := range c.order {
		c.cut[[2]ReplicaID{id, l.id}] = true
	}
	l.core.Read(1)
	runTicks(c, 40)
	if l.core.Role() == Leader {
		t.Fatal("a leader that hears from nobody still leads")
	}
	if c.leader() == nil || c.leader() == l {
		t.Fatal("the others elected nobody")
	}
}
