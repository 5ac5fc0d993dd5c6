package entry

import (
	"context"
	"net"
	"testing"

	"github.com/rs/zerolog"
	"pgregory.net/rapid"

	"tanagerbarrow/peer"
	"tanagerbarrow/settings"
	"tanagerbarrow/state"
)

// testSettings returns the settings of entry "near" with one other entry.
func testSettings() *settings.Settings {
	return &settings.Settings{
		Host:    settings.Host{Name: "near", AvailabilityZone: "z1"},
		Regions: map[string]string{"z1": "north", "z2": "south", "z3": "north"},
	}
}

// newTestFollower returns a follower without control hosts.
func newTestFollower(t rapid.TB, folder string, relays ...*peer.Client) *follower {
	f := newFollower(testSettings(), nil, relays, zerolog.Nop())
	f.afterApply, f.fenceChanged = func(*state.Configuration) {}, func(bool) {}
	if err := f.openStore(folder); err != nil {
		t.Fatal(err)
	}
	return f
}

// version returns an empty configuration with version n.
func version(n uint64) *state.Configuration {
	c := state.NewConfiguration()
	c.Version = n
	return c
}

func TestFollowerNeverGoesBackOverRestarts(t *testing.T) {
	folder := t.TempDir()
	rapid.Check(t, func(rt *rapid.T) {
		if err := removeStoredConfiguration(folder); err != nil {
			rt.Fatal(err)
		}
		f := newTestFollower(rt, folder)
		var newest uint64
		for range rapid.IntRange(1, 30).Draw(rt, "steps") {
			switch rapid.IntRange(0, 5).Draw(rt, "step") {
			case 0:
				f = newTestFollower(rt, folder)
			case 1:
				f.startFromDisk()
			default:
				n := rapid.Uint64Range(0, 20).Draw(rt, "version")
				_ = f.apply(state.Update{Full: version(n)})
			}
			if f.current() == nil {
				continue
			}
			if got := f.current().Version; got < newest {
				rt.Fatalf("version %d was applied after %d", got, newest)
			}
			newest = f.current().Version
		}
	})
}

func TestDamagedCopyIsNotUsed(t *testing.T) {
	folder := t.TempDir()
	f := newTestFollower(t, folder)
	if err := f.apply(state.Update{Full: version(3)}); err != nil {
		t.Fatal(err)
	}
	if err := replaceFile(folder, storeFile, []byte(`{"configuration":{"version":2},"sum":1}`)); err != nil {
		t.Fatal(err)
	}
	if _, err := openStore(folder); err == nil {
		t.Fatal("a damaged copy was opened")
	}
}

// serveRelay serves watches from a follower and returns a client for it.
func serveRelay(t *testing.T, f *follower) *peer.Client {
	t.Helper()
	s := peer.NewServer("key", zerolog.Nop())
	s.Handle(peer.MethodWatch, peer.Typed(f.serveWatch))
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	done := make(chan error, 1)
	go func() { done <- s.Serve(context.Background(), l) }()
	c := peer.NewClient("near", "key", settings.Host{Name: "far", AvailabilityZone: "z2", Peer: l.Addr().(*net.TCPAddr).AddrPort()})
	t.Cleanup(func() {
		c.Close()
		_ = l.Close()
		s.Close()
		if err := <-done; err != nil {
			t.Error(err)
		}
	})
	return c
}

func TestEntryFollowsAnotherEntry(t *testing.T) {
	remote := newTestFollower(t, "")
	client := serveRelay(t, remote)
	local := newTestFollower(t, "", client)
	if _, err := local.watch(t.Context(), client, nil); err == nil {
		t.Error("an entry without a configuration relayed one")
	}
	for n := range uint64(40) {
		if err := remote.apply(state.Update{Full: version(n)}); err != nil {
			t.Fatal(err)
		}
		if _, err := local.watch(t.Context(), client, nil); err != nil {
			t.Fatal(err)
		}
		if got := local.feed.Version(); got != n {
			t.Fatalf("version %d is in force, want %d", got, n)
		}
	}
	if err := local.apply(state.Update{Full: version(50)}); err != nil {
		t.Fatal(err)
	}
	if _, err := local.watch(t.Context(), client, nil); err != nil || local.feed.Version() != 50 {
		t.Fatalf("version %d after an older relay, %v", local.feed.Version(), err)
	}
}

func TestInapplicableDeltaIsReplacedByFullConfiguration(t *testing.T) {
	remote, local := newTestFollower(t, ""), newTestFollower(t, "")
	client := serveRelay(t, remote)
	old := version(1)
	other := version(1)
	other.ZonesOut["z9"] = true
	for _, u := range []struct {
		f *follower
		c *state.Configuration
	}{{remote, old}, {remote, version(2)}, {local, other}} {
		if err := u.f.apply(state.Update{Full: u.c}); err != nil {
			t.Fatal(err)
		}
	}
	if _, err := local.watch(t.Context(), client, nil); err != nil {
		t.Fatal(err)
	}
	if got := local.current(); got.Version != 2 || len(got.ZonesOut) != 0 {
		t.Fatalf("in force is %+v", got)
	}
}

func TestRelaysOfOwnRegionAreTriedFirst(t *testing.T) {
	var relays []*peer.Client
	for _, h := range []settings.Host{{Name: "a", AvailabilityZone: "z2"}, {Name: "b", AvailabilityZone: "z3"}} {
		relays = append(relays, peer.NewClient("near", "key", h))
	}
	if got := newTestFollower(t, "", relays...).relays; got[0].Peer().Name != "b" || len(got) != 2 {
		t.Fatalf("first is %q of %d", got[0].Peer().Name, len(got))
	}
}

func FuzzDecodeStoredConfiguration(f *testing.F) {
	f.Add([]byte(`{"configuration":{},"sum":1}`))
	f.Add([]byte(`{"configuration":null}`))
	f.Add([]byte{})
	f.Fuzz(func(t *testing.T, data []byte) {
		if c, err := decodeStoredConfiguration(data); err == nil && c == nil {
			t.Fatal("neither a configuration nor an error")
		}
	})
}
