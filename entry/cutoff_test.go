package entry

import (
	"context"
	"net"
	"testing"
	"time"

	"tanagerbarrow/peer"
	"tanagerbarrow/settings"
	"tanagerbarrow/state"
)

// eventTimeout bounds the wait for an event; it is no performance target.
const eventTimeout = 30 * time.Second

// deadPeer returns a client of an address at which nobody listens.
func deadPeer(t *testing.T) *peer.Client {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	if err := l.Close(); err != nil {
		t.Fatal(err)
	}
	return peer.NewClient("near", "key", settings.Host{Name: "control", Peer: l.Addr().(*net.TCPAddr).AddrPort()})
}

// TestEntryWithoutControlIsKeptCurrentByAnotherEntry runs a follower whose
// control host is gone next to one that is in touch with control.
func TestEntryWithoutControlIsKeptCurrentByAnotherEntry(t *testing.T) {
	far := newTestFollower(t, "")
	far.touch.begin(time.Now().Add(time.Hour))
	far.touch.control(time.Now().Add(time.Hour), 0)
	link := serveRelay(t, far)
	near := newTestFollower(t, "", deadPeer(t), link)
	near.controls = []*peer.Client{deadPeer(t)}
	arrived := make(chan uint64, 10)
	near.applied = func(c *state.Configuration) { arrived <- c.Version }
	if err := near.accept(state.Update{Full: version(1)}); err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan error, 1)
	go func() { done <- near.run(ctx) }()
	for want := uint64(1); want <= 3; want++ {
		if err := far.accept(state.Update{Full: version(want)}); err != nil {
			t.Fatal(err)
		}
		select {
		case got := <-arrived:
			if got != want {
				t.Fatalf("version %d came in force, want %d", got, want)
			}
		case <-time.After(eventTimeout):
			t.Fatalf("version %d did not come in force", want)
		}
	}
	if near.serving() == nil {
		t.Error("a relayed entry is fenced")
	}
	cancel()
	if err := <-done; err != nil {
		t.Error(err)
	}
}
