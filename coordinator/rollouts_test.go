package coordinator

import (
	"fmt"
	"slices"
	"sync"
	"testing"
	"time"

	"tanagerbarrow/boottime"
	"tanagerbarrow/declare"
	"tanagerbarrow/link"
	"tanagerbarrow/protocol"
	"tanagerbarrow/registry"
)

// fakeEntry is an entry's session with a leader.
type fakeEntry struct {
	conn *link.Conn

	mu sync.Mutex
	// restricted holds, by number, what the entry was told of servers: true for excluded ones.
	restricted map[uint32]bool
	// servers holds the numbers by identifier, and early those that a view has named before the
	// entry knew whether it may use them.
	servers  map[string]uint32
	messages []protocol.Rollouts
}

// connectFakeEntry subscribes an entry at the leader and waits for its view.
func (c *testCluster) connectFakeEntry(name string) *fakeEntry {
	c.t.Helper()
	e := &fakeEntry{restricted: map[uint32]bool{}, servers: map[string]uint32{}}
	viewed := make(chan struct{})
	c.eventually(name+" connects to the leader", func() bool {
		l := c.leader()
		if l == nil {
			return false
		}
		conn, err := link.Dial(c.t.Context(), l.c.self.PeerAddress)
		if err != nil {
			return false
		}
		e.conn = conn
		return true
	})
	go func() { _ = e.conn.Run(func(kind link.Kind, body []byte) { e.receive(kind, body, viewed) }, nil) }()
	c.t.Cleanup(e.conn.Close)
	_ = e.conn.Send(protocol.KindHello, protocol.Hello{Name: name, AvailabilityZone: "z1"})
	_ = e.conn.Send(protocol.KindSubscribe, protocol.Subscribe{})
	select {
	case <-viewed:
	case <-time.After(waitTimeout):
		c.t.Fatalf("%s gets no view", name)
	}
	return e
}

// receive handles a message of the leader.
func (e *fakeEntry) receive(kind link.Kind, body []byte, viewed chan struct{}) {
	e.mu.Lock()
	defer e.mu.Unlock()
	switch kind {
	case protocol.KindRollouts:
		var m protocol.Rollouts
		_ = link.Decode(body, &m)
		e.messages = append(e.messages, m)
		for _, n := range m.GrantOnly {
			e.restricted[n] = false
		}
		for _, n := range m.Excluded {
			e.restricted[n] = true
		}
		for _, n := range m.Free {
			delete(e.restricted, n)
		}
	case protocol.KindView:
		var v protocol.View
		_ = link.Decode(body, &v)
		for _, s := range v.Servers {
			e.servers[s.ID] = s.Number
		}
		if v.Full {
			close(viewed)
		}
	}
}

// knows reports whether the entry has a server and what it was told of it by then: "free", "grant
// only" or "excluded"; empty without the server.
func (e *fakeEntry) knows(id string) string {
	e.mu.Lock()
	defer e.mu.Unlock()
	n, known := e.servers[id]
	excluded, restricted := e.restricted[n]
	switch {
	case !known:
		return ""
	case excluded:
		return "excluded"
	case restricted:
		return "grant only"
	default:
		return "free"
	}
}

// sequence returns that of the last message to confirm.
func (e *fakeEntry) sequence() uint64 {
	e.mu.Lock()
	defer e.mu.Unlock()
	last := uint64(0)
	for _, m := range e.messages {
		last = max(last, m.Sequence)
	}
	return last
}

// announceVersions sends heartbeats of two servers of each version to a host.
func (c *testCluster) announceVersions(n int, sequence uint64) {
	for i, version := range []string{"v1", "v1", "v2", "v2"} {
		_ = c.running[n].Announce(c.t.Context(), registry.BackendServer{
			ID: fmt.Sprint(version, "-", i), Started: 5, Sequence: sequence, Service: "s", Address: fmt.Sprint("10.0.0.", 10+i, ":80"),
			AvailabilityZone: "z1", Slots: 4, Version: version,
		})
	}
}

// TestEntriesHearOfRolloutsAheadOfServers checks what entries are told in each stage, those that
// were connected before the order and those that connect later.
func TestEntriesHearOfRolloutsAheadOfServers(t *testing.T) {
	c := newTestCluster(t)
	c.startAll()
	first := c.connectFakeEntry("first")
	c.orderRolloutNow(0, "s", "v2")
	c.eventually("the entry hears of the roll-out", func() bool { return first.sequence() > 0 })
	c.announceVersions(1, 1)
	expect := func(stage, oldServer, newServer string) {
		t.Helper()
		c.eventually(stage+": the entry is told", func() bool { return first.knows("v1-0") == oldServer && first.knows("v2-2") == newServer })
		later := c.connectFakeEntry("later " + stage)
		if got := later.knows("v1-1") + ", " + later.knows("v2-3"); got != oldServer+", "+newServer {
			t.Errorf("%s: an entry that connects later is told %s", stage, got)
		}
	}
	for range 20 {
		// A view that came without a restriction would show the new server as a free one.
		if got := first.knows("v2-2"); got == "free" {
			t.Fatal("the view names a new server before the entry knows that it needs a grant")
		}
		time.Sleep(5 * time.Millisecond)
	}
	expect("canary", "free", "grant only")
	c.moveRollout("s", declare.RolloutSwitching)
	expect("switching", "excluded", "free")
	c.moveRollout("s", declare.RolloutCompleted)
	expect("completed", "excluded", "free")
	c.orderRolloutNow(0, "s", "v1")
	expect("the way back", "grant only", "free")
	c.moveRollout("s", declare.RolloutRolledBack)
	expect("rolled back", "excluded", "free")
}

// TestCompletionWaitsForEntries checks which entries a completion waits for: those that haven't
// confirmed the switch, those with requests on old servers, and those whose session has just ended.
func TestCompletionWaitsForEntries(t *testing.T) {
	c := newTestCluster(t)
	c.startAll()
	e := c.connectFakeEntry("e")
	silent := c.connectFakeEntry("silent")
	c.orderRolloutNow(0, "s", "v2")
	c.announceVersions(1, 1)
	c.moveRollout("s", declare.RolloutSwitching)
	c.eventually("the entry is told of the switch", func() bool { return e.knows("v1-0") == "excluded" })
	l := c.leader()
	missing := func(after time.Duration) []string {
		names := make(chan []string, 1)
		l.post(func(now time.Time) {
			state, _ := l.c.machine.State()
			names <- l.entriesNotSwitched(l.rollouts.switched[state.Rollout("s").Position], now.Add(after))
		})
		return <-names
	}
	expect := func(when string, after time.Duration, want ...string) {
		t.Helper()
		c.eventually(fmt.Sprintf("%s: %v are missing", when, want), func() bool { return slices.Equal(missing(after), want) })
	}
	expect("before any confirmation", 0, "e", "silent")
	sequence := e.sequence()
	_ = e.conn.Send(protocol.KindRollouts, protocol.RolloutsConfirmation{Sequence: 1})
	_ = e.conn.Send(protocol.KindRollouts, protocol.RolloutsConfirmation{Sequence: sequence, Running: 2})
	expect("with requests on old servers", 0, "e", "silent")
	_ = e.conn.Send(protocol.KindRollouts, protocol.RolloutsConfirmation{Sequence: sequence})
	expect("after their end", 0, "silent")
	silent.conn.Close()
	expect("right after a session has ended", 0, "silent")
	expect("later", lostEntryDelay)
}

// TestRolloutEndsUnderTheNextLeader kills the leader in the canary or in the switch, and all hosts
// after the end: a good version of an idle service is completed, once and for all.
func TestRolloutEndsUnderTheNextLeader(t *testing.T) {
	for _, stage := range []declare.RolloutStage{declare.RolloutCanary, declare.RolloutSwitching} {
		t.Run(string(stage), func(t *testing.T) {
			c := newTestCluster(t)
			c.startAll()
			c.announceVersions(0, 1)
			ctx := t.Context()
			c.eventually("the order is acknowledged", func() bool {
				o := declare.RolloutOrder{Service: "s", TargetVersion: "v2", DurationMillis: 5_000}
				return c.running[0].OrderRollout(ctx, o, c.position(0)) == nil
			})
			sequence := uint64(1)
			at := func(want ...declare.RolloutStage) func() bool {
				return func() bool {
					for n, r := range c.running {
						sequence++
						c.announceVersions(n, sequence)
						state, _ := r.machine.State()
						if got := state.Rollout("s"); got == nil || !slices.Contains(want, got.Stage) {
							return false
						}
					}
					return true
				}
			}
			c.eventually("the stage is reached", at(stage))
			for n, r := range c.running {
				if r.leading() != nil {
					c.kill(n)
					break
				}
			}
			c.eventually("the roll-out is completed", at(declare.RolloutCompleted))
			began := c.expectRollout("s", "v2", declare.RolloutCompleted)
			for n := range c.running {
				c.kill(n)
			}
			for n := range 5 {
				c.start(n, false)
			}
			c.orderRolloutNow(2, "s", "v2")
			if now := c.expectRollout("s", "v2", declare.RolloutCompleted); now.Position != began.Position {
				t.Errorf("the roll-out began anew: %+v", now)
			}
		})
	}
}

// TestElapsedTimeOfRollouts checks that a clock that is wrong neither ends nor prolongs a roll-out by
// more than its duration.
func TestElapsedTimeOfRollouts(t *testing.T) {
	began := time.UnixMilli(1_700_000_000_000)
	r := declare.Rollout{RolloutOrder: declare.RolloutOrder{DurationMillis: 10_000, BeganAt: began.UnixMilli()}}
	for after, want := range map[time.Duration]time.Duration{
		0: 0, 4 * time.Second: 4 * time.Second, 10 * time.Second: 10 * time.Second, 30 * time.Second: 10 * time.Second, time.Hour: 0, -time.Hour: 0, -time.Second: 0,
	} {
		if got := elapsedSince(r, began.Add(after)); got != want {
			t.Errorf("%v after the order by the clock, %v have passed, want %v", after, got, want)
		}
	}
	c := &Coordinator{}
	c.noteRollouts(declare.State{Rollouts: []declare.Rollout{{RolloutOrder: r.RolloutOrder, Position: 3}}})
	first := c.rolloutClocks[3]
	c.noteRollouts(declare.State{Rollouts: []declare.Rollout{{RolloutOrder: r.RolloutOrder, Position: 3, Stage: declare.RolloutSwitching}}})
	if c.rolloutClocks[3] != first || first.seenAt > boottime.Now() {
		t.Errorf("a later stage changes the beginning from %+v to %+v", first, c.rolloutClocks[3])
	}
	c.noteRollouts(declare.State{})
	if len(c.rolloutClocks) != 0 {
		t.Errorf("%d clocks are kept of roll-outs that are gone", len(c.rolloutClocks))
	}
}
