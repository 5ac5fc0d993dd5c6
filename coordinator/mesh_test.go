package coordinator

import (
	"context"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"tanagerbarrow/link"
)

// TestPeerThatComesUpIsDialledAtOnce begins a dial while the peer is down, which
// hangs. Once the peer has presented itself, a second dial must not wait for the
// end of the first, and what the first one opens later is closed.
func TestPeerThatComesUpIsDialledAtOnce(t *testing.T) {
	down := make(chan struct{})
	late, _ := net.Pipe()
	var dials atomic.Int32
	m := &mesh{
		c: &Coordinator{}, ctx: t.Context(), links: map[string]*outgoing{},
		dial: func(context.Context, string) (*link.Conn, error) {
			if dials.Add(1) == 1 {
				<-down
				return link.New(late), nil
			}
			up, other := net.Pipe()
			t.Cleanup(func() { _ = other.Close() })
			return link.New(up), nil
		},
	}
	o := m.link("peer")
	o.connect(m, "peer")
	o.connect(m, "peer")
	if got := waitFor(func() bool { return dials.Load() == 1 }); !got {
		t.Fatalf("%d dials run at once, want 1", dials.Load())
	}
	o.reconnect(m, "peer")
	if !waitFor(func() bool { return o.open() != nil }) {
		t.Fatal("there is no connection though the peer is up")
	}
	used := o.open()
	close(down)
	if !waitFor(func() bool { _, err := late.Write([]byte{0}); return err != nil }) {
		t.Error("the connection of the first dial stays open")
	}
	if o.open() != used {
		t.Error("the first dial took the place of the second")
	}
}

// waitFor waits up to a second for an event.
func waitFor(happened func() bool) bool {
	for range 200 {
		if happened() {
			return true
		}
		time.Sleep(5 * time.Millisecond)
	}
	return happened()
}
