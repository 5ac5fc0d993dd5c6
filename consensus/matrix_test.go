package consensus

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"tanagerbarrow/consensus/raft"
	"tanagerbarrow/consensus/waltest"
)

// The faults and the steps of the matrix.
const (
	kill       = "kill"
	freeze     = "freeze"
	cut        = "cut"
	lostDisk   = "lost disk"
	tornWrite  = "torn write"
	answerLost = "answer lost"

	beforeAppend     = "before append"
	afterAppend      = "after append"
	beforeSync       = "before sync"
	afterSync        = "after sync"
	beforeCommit     = "before commit"
	afterCommit      = "after commit"
	beforeAnswer     = "before answer"
	duringSnapshot   = "during snapshot"
	duringMembership = "during membership change"
)

var (
	faults = []string{kill, freeze, cut, lostDisk, tornWrite, answerLost}
	steps  = []string{
		beforeAppend, afterAppend, beforeSync, afterSync, beforeCommit, afterCommit, beforeAnswer,
		duringSnapshot, duringMembership,
	}
	targets = []string{"leader", "follower"}
)

// faultDuration is how long a freeze or a cut lasts: longer than any election.
const faultDuration = 5 * time.Second

// errDead is what the disk of a killed process returns.
var errDead = errors.New("the process is dead")

// TestFaultMatrix injects every fault at every step, on the leader and on a
// follower. A command is proposed meanwhile, and more afterwards; accepted ones
// must be applied once on every replica, and those refused as NotRun nowhere.
func TestFaultMatrix(t *testing.T) {
	count := 0
	for _, target := range targets {
		for _, step := range steps {
			for _, fault := range faults {
				count++
				seed := uint64(count)
				t.Run(strings.ReplaceAll(target+"/"+step+"/"+fault, " ", "_"), func(t *testing.T) {
					synctest.Test(t, func(t *testing.T) {
						(&injection{fault: fault, step: step, seed: seed}).run(t, target)
					})
				})
			}
		}
	}
	t.Logf("%d cases: %d faults at %d steps on %d targets", count, len(faults), len(steps), len(targets))
}

// injection is one case of the matrix.
type injection struct {
	fault, step string
	seed        uint64

	group  *group
	target *process
	armed  atomic.Bool
	fired  atomic.Bool
	loseIt atomic.Bool
	// left is the disk of a killed process.
	left atomic.Pointer[waltest.FS]
}

// run carries out the case.
func (i *injection) run(t *testing.T, target string) {
	g := newGroup(t, 3)
	defer g.stop()
	i.group = g
	leader := g.leader()
	i.target = leader
	via := other(g, leader)
	if target == "follower" {
		i.target = other(g, leader)
		via = leader
	}
	if target == "follower" && i.fault == answerLost {
		via = i.target
	}
	outcomes := &ledgerOf{}
	for n := range 5 {
		command := fmt.Sprintf("before-%d", n)
		outcomes.note(command, g.propose(via, command))
	}
	i.hook()
	i.provoke(g, via, outcomes)
	if !i.fired.Load() {
		t.Fatalf("the fault was never injected")
	}
	i.recover(g)
	for n := range 3 {
		command := fmt.Sprintf("after-%d", n)
		outcomes.note(command, g.propose(g.leader(), command))
	}
	if len(outcomes.accepted) < 8 {
		t.Errorf("only %v were accepted", outcomes.accepted)
	}
	outcomes.check(g)
}

// other returns a process that is not the given one.
func other(g *group, not *process) *process {
	for _, p := range g.processes {
		if p != not {
			return p
		}
	}
	return nil
}

// provoke makes the step happen.
func (i *injection) provoke(g *group, via *process, outcomes *ledgerOf) {
	if i.step == duringMembership {
		g.addSpare()
		g.eventually("the new host learns", func() bool {
			return len(g.processes[0].node.Status().Members.Learners) > 0
		})
	}
	i.armed.Store(true)
	for n := 0; n < 12 && (n == 0 || !i.fired.Load()); n++ {
		command := fmt.Sprintf("meanwhile-%d", n)
		outcomes.note(command, g.propose(via, command))
		time.Sleep(time.Second)
	}
}

// recover waits for the end of the fault and starts what was killed.
func (i *injection) recover(g *group) {
	time.Sleep(2 * faultDuration)
	i.armed.Store(false)
	if left := i.left.Load(); left != nil {
		i.target.node.Kill()
		i.target.disk = left
		g.start(i.target)
	}
}

// hook watches the target's disk, state machine and messages for the step.
func (i *injection) hook() {
	i.target.disk.SetHook(func(op waltest.Op, path string, after bool) error {
		if i.target.dead.Load() {
			return errDead
		}
		if i.isDiskStep(op, strings.Contains(path, "snapshot-"), after) {
			return i.fire(true)
		}
		return nil
	})
	i.target.machine.mu.Lock()
	defer i.target.machine.mu.Unlock()
	i.group.mu.Lock()
	defer i.group.mu.Unlock()
	i.target.machine.hook = func(after bool) {
		if (i.step == afterCommit && !after) || (i.step == beforeAnswer && after) {
			_ = i.fire(true)
		}
	}
	i.group.sending = func(from, to string, e Envelope) {
		mine := from == i.target.name || to == i.target.name
		if i.step == beforeCommit && mine && e.Messages[0].Type == raft.AppendReply {
			_ = i.fire(from == i.target.name)
		}
	}
	i.group.calling = func(_, _ string, r Request) error {
		if r.Kind == RequestPropose && i.loseIt.CompareAndSwap(true, false) {
			return errLost
		}
		return nil
	}
}

// isDiskStep reports whether an operation on the target's disk is the step.
func (i *injection) isDiskStep(op waltest.Op, snapshot, after bool) bool {
	if snapshot {
		return i.step == duringSnapshot && op == waltest.OpWrite && after
	}
	switch i.step {
	case beforeAppend, duringMembership:
		return op == waltest.OpWrite && !after
	case afterAppend:
		return op == waltest.OpWrite && after
	case beforeSync:
		return op == waltest.OpSync && !after
	case afterSync:
		return op == waltest.OpSync && after
	}
	return false
}

// fire injects the fault once. inPlace says that the caller is a goroutine of
// the target, which may be blocked.
func (i *injection) fire(inPlace bool) error {
	if !i.armed.Load() || !i.fired.CompareAndSwap(false, true) {
		return nil
	}
	switch i.fault {
	case kill:
		i.kill(i.target.disk.Crash(waltest.LoseTail))
	case tornWrite:
		i.kill(i.target.disk.Crash(waltest.TearTail(rand.New(rand.NewPCG(i.seed, 1)))))
	case lostDisk:
		i.kill(waltest.New())
	case cut:
		i.group.setCut(i.target.name, true)
		time.AfterFunc(faultDuration, func() { i.group.setCut(i.target.name, false) })
	case answerLost:
		i.loseIt.Store(true)
	case freeze:
		if inPlace {
			time.Sleep(faultDuration)
		} else {
			go i.target.node.enqueue(func() { time.Sleep(faultDuration) })
		}
	}
	if i.target.dead.Load() {
		return errDead
	}
	return nil
}

// kill ends the target: nothing that it does from now on is seen.
func (i *injection) kill(left *waltest.FS) {
	i.left.Store(left)
	i.target.dead.Store(true)
	i.group.setCut(i.target.name, true)
}
