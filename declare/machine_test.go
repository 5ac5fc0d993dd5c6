package declare

import (
	"encoding/json"
	"fmt"
	"testing"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"
)

// apply encodes a command and applies it.
func apply(t testing.TB, m *Machine, c Command) {
	t.Helper()
	data, err := json.Marshal(c)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := m.Apply(data); err != nil {
		t.Fatal(err)
	}
}

// TestHighestVersionWins declares an older version, and other content under the
// current version: neither changes the state.
func TestHighestVersionWins(t *testing.T) {
	m := NewMachine()
	for _, d := range []Document{{3, []byte("three")}, {2, []byte("two")}, {3, []byte("other")}} {
		apply(t, m, Command{Declare: &d})
	}
	state, _ := m.State()
	if state.Document.Version != 3 || string(state.Document.Packed) != "three" || state.Revision != 1 {
		t.Errorf("state is %+v", state)
	}
}

// TestLeavingCoversOlderStarts checks that a deregistered start and older ones count
// as deregistered, because the start of a deregistered server may not be known
// exactly, and that a later start under the same identifier is a new server.
func TestLeavingCoversOlderStarts(t *testing.T) {
	m := NewMachine()
	apply(t, m, Command{Deregister: &DeregisteredServer{ID: "a", Started: 1000}})
	for started, want := range map[int64]bool{500: true, 1000: true, 1001: false} {
		if got := m.Deregistered(DeregisteredServer{ID: "a", Started: started}); got != want {
			t.Errorf("start %d: deregistered is %v, want %v", started, got, want)
		}
	}
	if m.Deregistered(DeregisteredServer{ID: "b", Started: 0}) {
		t.Error("a server that was never deregistered counts as deregistered")
	}
}

// TestDeregisteredServersAreBounded adds more deregistered servers than the state
// holds: the newest stay.
func TestDeregisteredServersAreBounded(t *testing.T) {
	m := NewMachine()
	for n := range maxDeregisteredServers + 10 {
		m.applyLocked(0, Command{Deregister: &DeregisteredServer{ID: fmt.Sprint(n), Started: 1}})
	}
	if len(m.newestDeregisteredStart) != maxDeregisteredServers || len(m.state.DeregisteredServers) != maxDeregisteredServers {
		t.Errorf("%d and %d deregistered servers are held, want %d", len(m.newestDeregisteredStart), len(m.state.DeregisteredServers), maxDeregisteredServers)
	}
	if !m.Deregistered(DeregisteredServer{ID: fmt.Sprint(maxDeregisteredServers + 9), Started: 1}) {
		t.Error("the newest deregistered server was removed")
	}
}

// TestChangesWakeWatchers checks that the channel of State is closed at a change,
// and only then.
func TestChangesWakeWatchers(t *testing.T) {
	m := NewMachine()
	_, changed := m.State()
	apply(t, m, Command{ZoneIn: "never-out"})
	select {
	case <-changed:
		t.Error("a command without effect woke the watchers")
	default:
	}
	apply(t, m, Command{ZoneOut: "z"})
	select {
	case <-changed:
	default:
		t.Error("a change did not wake the watchers")
	}
}

// TestSnapshotKeepsAll applies random commands and compares a machine with one
// restored from its snapshot, including the effect of the next command on both.
func TestSnapshotKeepsAll(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := NewMachine()
		for _, c := range rapid.SliceOf(rapid.Custom(drawCommand)).Draw(t, "commands") {
			m.applyLocked(0, c)
		}
		data, err := m.Snapshot()
		if err != nil {
			t.Fatal(err)
		}
		other := NewMachine()
		if err := other.Restore(data); err != nil {
			t.Fatal(err)
		}
		next := drawCommand(t)
		if a, b := m.applyLocked(0, next), other.applyLocked(0, next); a != b {
			t.Fatalf("command %+v changes one machine (%v) and not the other (%v)", next, a, b)
		}
		a, _ := m.State()
		b, _ := other.State()
		if diff := cmp.Diff(a.ZonesOut, b.ZonesOut); diff != "" || a.Document.Version != b.Document.Version {
			t.Fatalf("states differ: %s", diff)
		}
	})
}

// drawCommand draws a random command.
func drawCommand(t *rapid.T) Command {
	zone := rapid.SampledFrom([]string{"x", "y"}).Draw(t, "zone")
	switch rapid.IntRange(0, 3).Draw(t, "kind") {
	case 0:
		return Command{Declare: &Document{Version: rapid.Uint64Range(1, 5).Draw(t, "version"), Packed: []byte("c")}}
	case 1:
		return Command{ZoneOut: zone}
	case 2:
		return Command{ZoneIn: zone}
	default:
		return Command{Deregister: &DeregisteredServer{ID: zone, Started: rapid.Int64Range(1, 5).Draw(t, "started")}}
	}
}

// TestLastZoneOrder checks the position of the last order on a zone: orders that change nothing
// count, and after a snapshot no order before its end counts as current.
func TestLastZoneOrder(t *testing.T) {
	m := NewMachine()
	apply := func(index uint64, command string) {
		t.Helper()
		if _, err := m.ApplyAt(index, []byte(command)); err != nil {
			t.Fatal(err)
		}
	}
	expect := func(step string, a, b uint64) {
		t.Helper()
		if m.LastZoneOrder("a") != a || m.LastZoneOrder("b") != b {
			t.Errorf("%s: last orders at %d and %d, want %d and %d", step, m.LastZoneOrder("a"), m.LastZoneOrder("b"), a, b)
		}
	}
	expect("at first", 0, 0)
	apply(3, `{"zone_out":"a"}`)
	apply(4, `{"zone_in":"b"}`)
	expect("an order that changes nothing", 3, 4)
	apply(5, `{"zone_out":"a"}`)
	apply(6, `{"leave":{"id":"i","started":1}}`)
	apply(7, `{}`)
	expect("other commands", 5, 4)
	data, err := m.Snapshot()
	if err != nil {
		t.Fatal(err)
	}
	if m = NewMachine(); m.RestoreAt(9, data) != nil {
		t.Fatal("the snapshot was not restored")
	}
	expect("a snapshot", 9, 9)
	apply(12, `{"zone_in":"a"}`)
	expect("an order after the snapshot", 12, 9)
}
