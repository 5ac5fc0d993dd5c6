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

// eventTimeout limits the wait for an event. It is not a performance target.
const eventTimeout = 30 * time.Second

// unreachablePeer returns a client for an address on which nothing listens.
func unreachablePeer(t *testing.T) *peer.Client {
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

// TestEntryWithoutControlIsKeptCurrentByAnotherEntry runs a follower whose control
// host is unreachable, and a relay that receives responses from control hosts. The
// follower must apply the relay's configurations and not be fenced.
func TestEntryWithoutControlIsKeptCurrentByAnotherEntry(t *testing.T) {
	remote := newTestFollower(t, "")
	remote.contact.start(time.Now().Add(time.Hour))
	remote.contact.recordControlResponse(time.Now().Add(time.Hour), 0)
	client := serveRelay(t, remote)
	local := newTestFollower(t, "", unreachablePeer(t), client)
	local.controls = []*peer.Client{unreachablePeer(t)}
	arrived := make(chan uint64, 10)
	local.afterApply = func(c *state.Configuration) { arrived <- c.Version }
	if err := local.apply(state.Update{Full: version(1)}); err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan error, 1)
	go func() { done <- local.run(ctx) }()
	for want := uint64(1); want <= 3; want++ {
		if err := remote.apply(state.Update{Full: version(want)}); err != nil {
			t.Fatal(err)
		}
		select {
		case got := <-arrived:
			if got != want {
				t.Fatalf("version %d was applied, want %d", got, want)
			}
		case <-time.After(eventTimeout):
			t.Fatalf("version %d was not applied", want)
		}
	}
	if local.serving() == nil {
		t.Error("an entry with a relay is fenced")
	}
	cancel()
	if err := <-done; err != nil {
		t.Error(err)
	}
}
