package balance

import (
	"net/netip"
	"testing"
	"time"

	"tanagerbarrow/membership"
)

// A tick is due at once after a request began or ended, otherwise after a heartbeat
// while requests are in progress and after idleTickPeriod while none are.
func TestTickIntervals(t *testing.T) {
	now := time.Unix(1000, 0)
	l := NewLoads(Options{Self: "e1", Live: func() []string { return []string{"e1", "e2"} }}, now)
	server := l.Server(membership.BackendServer{
		Service: "s", Address: netip.MustParseAddrPort("127.0.0.1:9000"), Slots: 2, Generation: 1, State: membership.Ready,
	}, false, now)
	due := func(after time.Duration, want bool) {
		t.Helper()
		if got := l.UntilNextTick(now.Add(after)) <= 0; got != want {
			t.Fatalf("tick due after %s: %t, want %t", after, got, want)
		}
	}
	l.Tick(now)
	due(idleTickPeriod-1, false)
	due(idleTickPeriod, true)
	started, ok := l.Start(server)
	if !ok {
		t.Fatal("no room on an idle backend server")
	}
	due(ExchangePeriod, true)
	l.Tick(now)
	due(busyHeartbeat-1, false)
	due(busyHeartbeat, true)
	l.Finish(started, Result{Kind: Good}, now)
	due(ExchangePeriod, true)
}

// A peer without requests in progress reports less often, so it must be considered
// unreachable only after a longer time.
func TestIdlePeerIsUnreachableLater(t *testing.T) {
	now := time.Unix(1000, 0)
	l := NewLoads(Options{Self: "e1", Live: func() []string { return []string{"e1", "e2"} }}, now.Add(-time.Hour))
	l.Accept(Report{From: "e2", Full: true}, now)
	for _, c := range []struct {
		age   time.Duration
		share int64
	}{{idleHeartbeat + unreachableAge, 1000}, {idleUnreachableAge, 1000}, {idleUnreachableAge + 1, 500}} {
		l.Tick(now.Add(c.age))
		if got := l.knownShare.Load(); got != c.share {
			t.Fatalf("known share %d after %s, want %d", got, c.age, c.share)
		}
	}
}
