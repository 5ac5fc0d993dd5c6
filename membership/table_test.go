package membership

import (
	"net/netip"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/google/go-cmp/cmp"
	"github.com/google/go-cmp/cmp/cmpopts"
	"pgregory.net/rapid"
)

const testLease = 3 * time.Second

var testAddress = netip.MustParseAddrPort("127.0.0.1:9000")

// record returns a backend server of service "s" in availability zone "a".
func record(generation, sequence uint64, state State) BackendServer {
	return BackendServer{
		Service: "s", Address: testAddress, AvailabilityZone: "a", Slots: 1,
		Generation: generation, Sequence: sequence, State: state,
	}
}

func alwaysAlive(Origin) bool { return true }

func newTestTable(host string) *Table {
	return NewTable(Origin{Host: host, Epoch: 1}, testLease)
}

func TestLeaverNeverReturnsInItsGeneration(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		table := newTestTable("e")
		now := time.Unix(0, 0)
		var newest, left uint64
		for range rapid.IntRange(1, 40).Draw(t, "n") {
			b := record(rapid.Uint64Range(1, 4).Draw(t, "generation"), rapid.Uint64Range(1, 9).Draw(t, "sequence"),
				rapid.SampledFrom([]State{Cold, Ready, Leaving}).Draw(t, "state"))
			_, err := table.Put(b, now)
			if err != nil && !errors.Is(err, ErrOldGeneration) {
				t.Fatal(err)
			}
			newest = max(newest, b.Generation)
			if b.State == Leaving && b.Generation == newest {
				left = max(left, b.Generation)
			}
			for range rapid.SampledFrom([]int{0, 3, 6}).Draw(t, "seconds") {
				now = now.Add(time.Second)
				table.Tick(now, alwaysAlive)
			}
			for _, got := range table.View().Services["s"] {
				if got.Generation != newest || got.Generation == left {
					t.Fatalf("in the view: generation %d, newest %d, left %d", got.Generation, newest, left)
				}
			}
		}
	})
}

// A record that is delayed beyond the end of the lease must not restore a
// backend server that left, neither as an announcement nor as a push of another
// origin.
func TestDelayedRecordNeverBringsALeaverBack(t *testing.T) {
	table, other := newTestTable("e"), newTestTable("f")
	now := time.Unix(0, 0)
	b := record(7, 1, Ready)
	if _, err := other.Put(b, now); err != nil {
		t.Fatal(err)
	}
	late, _ := other.OwnDelta(0)
	for _, r := range []BackendServer{b, record(7, 2, Leaving)} {
		if _, err := table.Put(r, now); err != nil {
			t.Fatal(err)
		}
	}
	for range 30 {
		now = now.Add(time.Second)
		table.Tick(now, alwaysAlive)
	}
	if _, err := table.Put(b, now); !errors.Is(err, ErrOldGeneration) {
		t.Errorf("the delayed announcement got error %v", err)
	}
	table.Apply(late, now, true)
	if got := table.View().Services["s"]; len(got) != 0 {
		t.Fatalf("the backend server that left is back in generation %d", got[0].Generation)
	}
}

func TestOutdatedAnnouncementsAreRefused(t *testing.T) {
	for name, c := range map[string]struct{ first, second BackendServer }{
		"older generation":     {record(2, 1, Ready), record(1, 9, Ready)},
		"older leaver":         {record(2, 1, Ready), record(1, 9, Leaving)},
		"same sequence":        {record(2, 4, Ready), record(2, 4, Ready)},
		"ready after leaving":  {record(2, 4, Leaving), record(2, 5, Ready)},
		"older after leaving":  {record(2, 4, Leaving), record(1, 5, Ready)},
		"cold, older sequence": {record(2, 4, Ready), record(2, 3, Cold)},
	} {
		table := newTestTable("e")
		if _, err := table.Put(c.first, time.Unix(0, 0)); err != nil {
			t.Fatalf("%s: %v", name, err)
		}
		if _, err := table.Put(c.second, time.Unix(0, 0)); !errors.Is(err, ErrOldGeneration) {
			t.Errorf("%s: got %v", name, err)
		}
	}
}

// Whatever the order, loss and duplication of messages, tables that then
// exchange their missing changes agree on the newest generation, and no table
// shows a generation again that it saw leave or saw overridden.
func TestTablesConverge(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		tables := []*Table{newTestTable("e"), newTestTable("f"), newTestTable("g")}
		minGenerations := make([]uint64, len(tables))
		var inFlight []Delta
		var newest uint64
		left := map[uint64]bool{}
		now := time.Unix(0, 0)
		some := rapid.IntRange(0, len(tables)-1)
		steps := rapid.IntRange(1, 60).Draw(t, "steps")
		for step := range steps {
			at := some.Draw(t, "table")
			switch rapid.IntRange(0, 3).Draw(t, "step") {
			case 0:
				state := rapid.SampledFrom([]State{Cold, Ready, Ready, Leaving}).Draw(t, "state")
				b := record(rapid.Uint64Range(1, 5).Draw(t, "generation"), uint64(step+1), state)
				if _, err := tables[at].Put(b, now); err == nil {
					newest = max(newest, b.Generation)
					left[b.Generation] = left[b.Generation] || state == Leaving
				}
			case 1:
				after := rapid.Uint64Range(0, tables[at].ownVersion()).Draw(t, "after")
				d, _ := tables[at].OwnDelta(after)
				inFlight = append(inFlight, d)
			case 2:
				if len(inFlight) > 0 {
					d := inFlight[rapid.IntRange(0, len(inFlight)-1).Draw(t, "delta")]
					tables[at].Apply(d, now, true)
				}
			case 3:
				from := some.Draw(t, "from")
				for _, d := range tables[from].MissingDeltas(tables[at].SyncVersions()) {
					tables[at].Apply(d, now, true)
				}
			}
			checkMinGenerations(t, tables, minGenerations)
		}
		exchangeAll(tables, now)
		checkMinGenerations(t, tables, minGenerations)
		want := tables[0].View().Services["s"]
		for _, other := range tables[1:] {
			if diff := cmp.Diff(want, other.View().Services["s"], cmpopts.EquateComparable(netip.AddrPort{})); diff != "" {
				t.Fatalf("views differ:\n%s", diff)
			}
		}
		if (newest > 0 && !left[newest]) != (len(want) == 1) || (len(want) == 1 && want[0].Generation != newest) {
			t.Fatalf("the view is %v, newest generation %d, left %v", want, newest, left)
		}
	})
}

// checkMinGenerations checks that no view returns to an older generation or to
// one that left.
func checkMinGenerations(t *rapid.T, tables []*Table, minGenerations []uint64) {
	for i, table := range tables {
		a := table.servers[testAddress]
		if a == nil {
			continue
		}
		for _, got := range table.View().Services["s"] {
			if got.Generation < minGenerations[i] {
				t.Fatalf("table %d shows generation %d, but at least %d is known", i, got.Generation, minGenerations[i])
			}
		}
		generation, _, left := a.registers.newest()
		if left {
			generation++
		}
		minGenerations[i] = max(minGenerations[i], generation)
	}
}

// exchangeAll exchanges missing changes between all tables until no table lacks
// any.
func exchangeAll(tables []*Table, now time.Time) {
	for range 4 {
		for _, to := range tables {
			for _, from := range tables {
				for _, d := range from.MissingDeltas(to.SyncVersions()) {
					to.Apply(d, now, true)
				}
			}
		}
	}
}

// A lost push must not keep a dead backend server beyond its lease, and the
// loss of the owner must not drop a live backend server.
func TestLeasesOutliveTheirOwner(t *testing.T) {
	owner, other := newTestTable("e"), newTestTable("f")
	now := time.Unix(0, 0)
	alive := func(Origin) bool { return false }
	if _, err := owner.Put(record(1, 1, Ready), now); err != nil {
		t.Fatal(err)
	}
	exchangeAll([]*Table{owner, other}, now)
	other.Tick(now, alive)
	for range 3 {
		now = now.Add(time.Second)
		other.Tick(now, alive)
	}
	if len(other.View().Services["s"]) != 1 {
		t.Fatal("the loss of the owner dropped a backend server within its lease")
	}
	if _, err := other.Put(record(1, 2, Ready), now); err != nil {
		t.Fatal(err)
	}
	now = now.Add(time.Second)
	other.Tick(now, alive)
	if len(other.View().Services["s"]) != 1 {
		t.Fatal("a backend server that found a new owner was dropped with the old one")
	}
	for range 4 {
		now = now.Add(time.Second)
		other.Tick(now, alive)
	}
	if len(other.View().Services["s"]) != 0 {
		t.Fatal("a backend server outlived its lease")
	}
}

func TestCopiesOfALostOriginExpireAndReturn(t *testing.T) {
	owner, other := newTestTable("e"), newTestTable("f")
	now := time.Unix(0, 0)
	alive := false
	tick := func(table *Table) { table.Tick(now, func(Origin) bool { return alive }) }
	if _, err := owner.Put(record(1, 1, Ready), now); err != nil {
		t.Fatal(err)
	}
	exchangeAll([]*Table{owner, other}, now)
	for range 8 {
		tick(other)
		now = now.Add(time.Second)
	}
	if len(other.View().Services["s"]) != 0 {
		t.Fatal("the copy was kept beyond the lease of its lost origin")
	}
	exchangeAll([]*Table{owner, other}, now)
	if len(other.View().Services["s"]) != 0 {
		t.Fatal("the copy returned while its origin is lost")
	}
	alive = true
	tick(other)
	exchangeAll([]*Table{owner, other}, now)
	if len(other.View().Services["s"]) != 1 {
		t.Fatal("the copy did not return with its origin")
	}
}

func TestPauseOfTheProcess(t *testing.T) {
	for name, c := range map[string]struct {
		pause time.Duration
		kept  int
	}{
		"short": {10 * time.Second, 1},
		"long":  {tombstoneLifetime, 0},
	} {
		table := newTestTable("e")
		now := time.Unix(0, 0)
		table.Tick(now, alwaysAlive)
		if _, err := table.Put(record(1, 1, Ready), now); err != nil {
			t.Fatal(err)
		}
		before := table.Self()
		now = now.Add(c.pause)
		table.Tick(now, alwaysAlive)
		if got := len(table.View().Services["s"]); got != c.kept {
			t.Errorf("%s pause: %d backend servers, want %d", name, got, c.kept)
		}
		if restarted := table.Self() != before; restarted != (c.kept == 0) {
			t.Errorf("%s pause: the table restarted: %v", name, restarted)
		}
	}
}

func TestLeaseGrowsWithTheNumberOfServers(t *testing.T) {
	table := newTestTable("e")
	var lease time.Duration
	const servers = 400
	for i := range servers {
		b := record(1, 1, Ready)
		b.Address = netip.AddrPortFrom(testAddress.Addr(), uint16(1000+i))
		var err error
		if lease, err = table.Put(b, time.Unix(0, 0)); err != nil {
			t.Fatal(err)
		}
	}
	if rate := servers * announcementsPerLease / lease.Seconds(); rate > maxAnnouncementsPerSecond {
		t.Fatalf("%d backend servers with a lease of %s announce themselves %.1f times a second", servers, lease, rate)
	}
}
