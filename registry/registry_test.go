package registry

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

// testTime is an arbitrary time of arrival.
var testTime = time.Unix(1000, 0)

// TestNewerRecordsWin announces pairs of records and checks which one is kept.
func TestNewerRecordsWin(t *testing.T) {
	first := BackendServer{ID: "a", Started: 10, Sequence: 5, Service: "s", Address: "x", Slots: 2}
	for name, c := range map[string]struct {
		change  func(*BackendServer)
		outcome Outcome
	}{
		"a later heartbeat":                      {func(b *BackendServer) { b.Sequence = 6 }, Refreshed},
		"the same heartbeat again":               {func(*BackendServer) {}, Stale},
		"an earlier heartbeat":                   {func(b *BackendServer) { b.Sequence = 4 }, Stale},
		"other content":                          {func(b *BackendServer) { b.Sequence, b.Slots = 6, 4 }, Changed},
		"a new start counts anew":                {func(b *BackendServer) { b.Started, b.Sequence = 11, 1 }, Changed},
		"an old start with a later heartbeat":    {func(b *BackendServer) { b.Started, b.Sequence = 9, 9 }, Stale},
		"another server, started later, at x":    {func(b *BackendServer) { b.ID, b.Started = "b", 11 }, Changed},
		"a late heartbeat of one that crashed":   {func(b *BackendServer) { b.ID, b.Started, b.Sequence = "b", 9, 99 }, Stale},
		"another server at another address":      {func(b *BackendServer) { b.ID, b.Address = "b", "y" }, Changed},
		"the same server moved to a new address": {func(b *BackendServer) { b.Sequence, b.Address = 6, "y" }, Changed},
	} {
		table := NewTable()
		table.Announce(first, testTime)
		next := first
		c.change(&next)
		if got, _ := table.Announce(next, testTime); got != c.outcome {
			t.Errorf("%s: outcome %d, want %d", name, got, c.outcome)
		}
	}
}

// TestLoadedRecordIsUnconfirmed checks that a record loaded after a restart is
// unconfirmed until the first heartbeat replaces it.
func TestLoadedRecordIsUnconfirmed(t *testing.T) {
	table := NewTable()
	b := BackendServer{ID: "a", Started: 10, Service: "s", Address: "x", Slots: 2}
	table.Announce(b, testTime)
	if !table.Get("a").Unconfirmed {
		t.Error("a loaded record is confirmed")
	}
	b.Sequence = 1
	if o, _ := table.Announce(b, testTime); o != Refreshed || table.Get("a").Unconfirmed {
		t.Errorf("outcome %d, record %+v", o, table.Get("a"))
	}
}

// TestSilentRecordsExpire checks that only a record without recent heartbeats
// expires.
func TestSilentRecordsExpire(t *testing.T) {
	table := NewTable()
	table.Announce(BackendServer{ID: "old", Sequence: 1, Address: "x"}, testTime)
	table.Announce(BackendServer{ID: "new", Sequence: 1, Address: "y"}, testTime.Add(time.Minute))
	table.Expire(testTime.Add(90*time.Second), time.Minute)
	if table.Get("old") != nil || table.Get("new") == nil || len(table.byAddress) != 1 {
		t.Errorf("records are %v", table.All())
	}
}

// TestAddressHasOneRecord announces random heartbeats in any order. No two records
// may have the same address, and none may be replaced by an older start.
func TestAddressHasOneRecord(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		table := NewTable()
		for range rapid.IntRange(1, 40).Draw(t, "heartbeats") {
			b := BackendServer{
				ID:       rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "id"),
				Address:  rapid.SampledFrom([]string{"x", "y"}).Draw(t, "address"),
				Started:  rapid.Int64Range(1, 4).Draw(t, "started"),
				Sequence: rapid.Uint64Range(1, 4).Draw(t, "sequence"),
			}
			before := table.Get(b.ID)
			var started int64
			if before != nil {
				started = before.Started
			}
			o, _ := table.Announce(b, testTime)
			if o != Stale && started > b.Started {
				t.Fatalf("start %d replaced the newer start %d", b.Started, started)
			}
			held := map[string]string{}
			for _, r := range table.All() {
				if other, taken := held[r.Address]; taken {
					t.Fatalf("%s and %s both have address %s", other, r.ID, r.Address)
				}
				held[r.Address] = r.ID
			}
		}
	})
}
