package broker

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"
)

// TestServersThatLeaveGetNoGrants replays a day on which servers begin to leave and say so in
// responses, while their records say that they are ready.
func TestServersThatLeaveGetNoGrants(t *testing.T) {
	w := newTestBroker(t, "a", "a", "a", "a")
	random := rand.New(rand.NewPCG(5, 6))
	leavesAt := map[string]time.Duration{"server0": 2 * time.Second, "server1": 6 * time.Second, "server2": 9 * time.Second}
	left := map[string]bool{}
	for at := time.Duration(0); at < 12*time.Second; at += 50 * time.Millisecond {
		w.now = start.Add(at)
		for n := range 4 {
			if id := fmt.Sprint("server", n); !w.HasLeft(id, 1) {
				w.announce(id, "a", 0)
			}
		}
		o := w.granted(fmt.Sprint("e", 1+random.IntN(2)), func(a *Ask) { a.ObjectiveMillis = 4000 })
		id := o.Server.Record.ID
		if left[id] {
			t.Fatalf("at %v %s was granted", at, id)
		}
		if leaves := leavesAt[id]; leaves > 0 && at >= leaves {
			left[id] = true
			w.Leave(o.Server.Number, id)
		}
		w.Release(o.Entry, Release{ID: o.Grant.ID, Outcome: Answered, ElapsedMillis: 50, KeepAliveMillis: 9000}, w.now)
	}
	if len(left) != 3 {
		t.Errorf("left: %v", left)
	}
}

// TestLeavingConcernsOneStart reports that a server leaves whose number another start, or another
// server, has meanwhile.
func TestLeavingConcernsOneStart(t *testing.T) {
	w := newTestBroker(t, "a")
	old := w.byID["server0"]
	next := old.Record
	next.Started = 2
	w.Announce(next, w.now)
	if w.Leave(old.Number, "server0") != nil || w.Leave(w.byID["server0"].Number, "server1") != nil {
		t.Error("a start that has not said so has left")
	}
	if w.granted("e1", nil); w.HasLeft("server0", 1) || w.HasLeft("server0", 2) {
		t.Error("a start that has not said so counts as left")
	}
}
