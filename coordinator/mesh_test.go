package coordinator

import (
	"context"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"tanagerbarrow/link"
)

// TestReconnectSupersedesHangingDial starts a dial while the peer is down, which
// hangs. Once the peer has sent its hello, a second dial must not wait for the
// end of the first, and a connection that the first one opens later must be
// closed.
func TestReconnectSupersedesHangingDial(t *testing.T) {
	down := make(chan struct{})
	late, _ := net.Pipe()
	var dials atomic.Int32
	m := &mesh{
		c: &Coordinator{}, ctx: t.Context(), outbound: map[string]*outboundLink{},
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
	o := m.outboundTo("peer")
	o.connect(m, "peer")
	o.connect(m, "peer")
	if got := waitFor(func() bool { return dials.Load() == 1 }); !got {
		t.Fatalf("%d dials run at once, want 1", dials.Load())
	}
	o.reconnect(m, "peer")
	if !waitFor(func() bool { return o.open() != nil }) {
		t.Fatal("no connection after the second dial succeeded")
	}
	used := o.open()
	close(down)
	if !waitFor(func() bool { _, err := late.Write([]byte{0}); return err != nil }) {
		t.Error("the connection of the superseded dial stays open")
	}
	if o.open() != used {
		t.Error("the superseded dial replaced the connection of the second")
	}
}

// waitFor waits up to a second until a condition is true.
func waitFor(condition func() bool) bool {
	for range 200 {
		if condition() {
			return true
		}
		time.Sleep(5 * time.Millisecond)
	}
	return condition()
}
