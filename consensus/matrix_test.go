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

// The faults and the steps at which they are injected.
const (
	kill         = "kill"
	freeze       = "freeze"
	partition    = "cut"
	lostDisk     = "lost disk"
	tornWrite    = "torn write"
	responseLost = "answer lost"

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
	faults = []string{kill, freeze, partition, lostDisk, tornWrite, responseLost}
	steps  = []string{
		beforeAppend, afterAppend, beforeSync, afterSync, beforeCommit, afterCommit, beforeAnswer,
		duringSnapshot, duringMembership,
	}
	targets = []string{"leader", "follower"}
)

// faultDuration is the duration of a freeze or a partition. It is longer than
// any election.
const faultDuration = 5 * time.Second

// errKilled is the error of all disk operations of a killed process.
var errKilled = errors.New("the process was killed")

// TestFaultMatrix injects every fault at every step, on the leader and on a
// follower. Commands are proposed before, during and after the fault. Each
// accepted command must be applied exactly once on every replica, and a command
// that failed as NotRun on none.
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

// injection is one case of the matrix. fired is set once the fault was
// injected, which happens only while armed is set.
type injection struct {
	fault, step string
	seed        uint64

	group        *group
	target       *process
	armed        atomic.Bool
	fired        atomic.Bool
	dropResponse atomic.Bool
	// diskAfterCrash is the disk of a killed process, as its restart finds it.
	diskAfterCrash atomic.Pointer[waltest.FS]
}

// run executes the case.
func (i *injection) run(t *testing.T, target string) {
	g := newGroup(t, 3)
	defer g.stop()
	i.group = g
	leader := g.leader()
	i.target = leader
	via := otherThan(g, leader)
	if target == "follower" {
		i.target = otherThan(g, leader)
		via = leader
	}
	if target == "follower" && i.fault == responseLost {
		via = i.target
	}
	outcomes := &outcomeChecker{}
	for n := range 5 {
		command := fmt.Sprintf("before-%d", n)
		outcomes.record(command, g.propose(via, command))
	}
	i.hook()
	i.triggerStep(g, via, outcomes)
	if !i.fired.Load() {
		t.Fatalf("the fault was never injected")
	}
	i.recover(g)
	for n := range 3 {
		command := fmt.Sprintf("after-%d", n)
		outcomes.record(command, g.propose(g.leader(), command))
	}
	if len(outcomes.accepted) < 8 {
		t.Errorf("only %v were accepted", outcomes.accepted)
	}
	outcomes.check(g)
}

// otherThan returns a process other than the excluded one.
func otherThan(g *group, excluded *process) *process {
	for _, p := range g.processes {
		if p != excluded {
			return p
		}
	}
	return nil
}

// triggerStep proposes commands until the step was reached and the fault
// injected.
func (i *injection) triggerStep(g *group, via *process, outcomes *outcomeChecker) {
	if i.step == duringMembership {
		g.addHost()
		g.eventually("the new host is a learner", func() bool {
			return len(g.processes[0].node.Status().Members.Learners) > 0
		})
	}
	i.armed.Store(true)
	for n := 0; n < 12 && (n == 0 || !i.fired.Load()); n++ {
		command := fmt.Sprintf("meanwhile-%d", n)
		outcomes.record(command, g.propose(via, command))
		time.Sleep(time.Second)
	}
}

// recover waits for the end of the fault and restarts a killed process.
func (i *injection) recover(g *group) {
	time.Sleep(2 * faultDuration)
	i.armed.Store(false)
	if disk := i.diskAfterCrash.Load(); disk != nil {
		i.target.node.Kill()
		i.target.disk = disk
		g.start(i.target)
	}
}

// hook installs hooks on the target's disk, state machine and messages that
// inject the fault at the step.
func (i *injection) hook() {
	i.target.disk.SetHook(func(op waltest.Op, path string, after bool) error {
		if i.target.killed.Load() {
			return errKilled
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
	i.group.onSend = func(from, to string, e Envelope) {
		involvesTarget := from == i.target.name || to == i.target.name
		if i.step == beforeCommit && involvesTarget && e.Messages[0].Type == raft.AppendReply {
			_ = i.fire(from == i.target.name)
		}
	}
	i.group.afterCall = func(_, _ string, r Request) error {
		if r.Kind == RequestPropose && i.dropResponse.CompareAndSwap(true, false) {
			return errResponseLost
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

// fire injects the fault once. onTarget says that the caller is a goroutine of
// the target, which may be blocked.
func (i *injection) fire(onTarget bool) error {
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
	case partition:
		i.group.setPartitioned(i.target.name, true)
		time.AfterFunc(faultDuration, func() { i.group.setPartitioned(i.target.name, false) })
	case responseLost:
		i.dropResponse.Store(true)
	case freeze:
		if onTarget {
			time.Sleep(faultDuration)
		} else {
			go i.target.node.enqueue(func() { time.Sleep(faultDuration) })
		}
	}
	if i.target.killed.Load() {
		return errKilled
	}
	return nil
}

// kill stops the target: it can no longer write to its disk or reach other
// processes.
func (i *injection) kill(disk *waltest.FS) {
	i.diskAfterCrash.Store(disk)
	i.target.killed.Store(true)
	i.group.setPartitioned(i.target.name, true)
}
