package entry

import (
	"context"
	"encoding/json"
	"net"
	"net/netip"
	"sync/atomic"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"tanagerbarrow/ledger"
	"tanagerbarrow/peer"
	"tanagerbarrow/settings"
)

// TestClaimOutlastsASlowDisk claims an order on a control host whose disk is slow for longer than one
// call waits, and on one that is gone: only the claim on the former is worth another call.
func TestClaimOutlastsASlowDisk(t *testing.T) {
	slowUntil := time.Now().Add(ledgerCallTimeout + 300*time.Millisecond)
	var calls atomic.Int32
	s := peer.NewServer("key", zerolog.Nop())
	s.Handle(peer.MethodLedger, func(context.Context, json.RawMessage) (any, error) {
		calls.Add(1)
		time.Sleep(time.Until(slowUntil))
		return ledger.Result{}, nil
	})
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	go func() { _ = s.Serve(t.Context(), listener) }()
	t.Cleanup(s.Close)
	clientOf := func(a netip.AddrPort) *ledgerClient {
		c := peer.NewClient("entry", "key", settings.Host{Name: "control", AvailabilityZone: "a", Peer: a})
		t.Cleanup(c.Close)
		return newLedgerClient(map[string]string{"a": "west"}, []*peer.Client{c})
	}
	ctx, cancel := context.WithTimeout(t.Context(), 5*ledgerCallTimeout)
	defer cancel()
	if _, err := clientOf(netip.MustParseAddrPort(listener.Addr().String())).Apply(ctx, nil, ledger.Command{}); err != nil || calls.Load() != 2 {
		t.Errorf("%d calls, then %v", calls.Load(), err)
	}
	if _, err := clientOf(netip.MustParseAddrPort("127.0.0.1:1")).Apply(ctx, nil, ledger.Command{}); err == nil || ctx.Err() != nil {
		t.Errorf("a claim on a host that is gone ended with %v", err)
	}
}
