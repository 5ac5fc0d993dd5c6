package peer

import (
	"context"
	"encoding/json"
	"net"
	"net/netip"
	"sync/atomic"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"tanagerbarrow/settings"
)

// TestSlowCallCutsNoOther lets one call exceed its deadline while another waits on the same
// connection, as claims of orders do while a disk is slow: the other must get its response, and
// the next call must not use the connection, which may be silent.
func TestSlowCallCutsNoOther(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := NewServer("key", zerolog.Nop())
	answer := make(chan struct{})
	s.Handle("slow", func(context.Context, json.RawMessage) (any, error) {
		<-answer
		return Empty{}, nil
	})
	s.Handle("quick", func(context.Context, json.RawMessage) (any, error) { return Empty{}, nil })
	var accepted atomic.Int32
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			accepted.Add(1)
			s.serveConn(t.Context(), conn)
		}
	}()
	t.Cleanup(func() { _ = listener.Close() })
	c := NewClient("entry", "key", settings.Host{Name: "control", Peer: netip.MustParseAddrPort(listener.Addr().String())})
	t.Cleanup(c.Close)
	if err := c.Call(t.Context(), "quick", Empty{}, &Empty{}); err != nil {
		t.Fatal(err)
	}
	patient := make(chan error, 1)
	go func() { patient <- c.Call(t.Context(), "slow", Empty{}, &Empty{}) }()
	hasty, cancel := context.WithTimeout(t.Context(), 100*time.Millisecond)
	defer cancel()
	if err := c.Call(hasty, "slow", Empty{}, &Empty{}); err == nil {
		t.Error("the first call got a response")
	}
	if err := c.Call(t.Context(), "quick", Empty{}, &Empty{}); err != nil {
		t.Error(err)
	}
	close(answer)
	if err := <-patient; err != nil {
		t.Errorf("the call that waited on the same connection: %v", err)
	}
	if n := accepted.Load(); n != 2 {
		t.Errorf("%d connections were opened, want a second one after the deadline", n)
	}
}
