package coordinator

import (
	"testing"
	"time"

	"tanagerbarrow/boottime"
	"tanagerbarrow/link"
	"tanagerbarrow/protocol"
)

// TestCurrencyCoversWhatAnyHostHasAcknowledged asks the hosts right after each of them has acknowledged a version:
// the reply, which only a leader sends, must name it or a later one.
func TestCurrencyCoversWhatAnyHostHasAcknowledged(t *testing.T) {
	c := newTestCluster(t)
	for n := range 5 {
		c.start(n, true)
	}
	replies := make(chan protocol.Currency, 64)
	var conns []*link.Conn
	for _, r := range c.running {
		var conn *link.Conn
		c.eventually("a connection", func() bool {
			var err error
			conn, err = link.Dial(t.Context(), r.self.PeerAddress)
			return err == nil
		})
		t.Cleanup(conn.Close)
		go func() {
			_ = conn.Run(func(kind link.Kind, body []byte) {
				var m protocol.Currency
				if kind == protocol.KindCurrency && link.Decode(body, &m) == nil {
					replies <- m
				}
			}, nil)
		}()
		conns = append(conns, conn)
		if err := conn.Send(protocol.KindHello, protocol.Hello{Name: "entry", AvailabilityZone: "z0"}); err != nil {
			t.Fatal(err)
		}
	}
	version := uint64(0)
	for range 2 {
		for n := range c.running {
			version++
			c.declare(n, version)
			c.eventually("a reply", func() bool { return confirms(t, conns, replies, version) })
		}
	}
}

// confirms asks all hosts for the newest version, which is not below the given one, and reports whether one replied.
func confirms(t *testing.T, conns []*link.Conn, replies <-chan protocol.Currency, version uint64) bool {
	t.Helper()
	stamp := boottime.Now()
	for _, conn := range conns {
		_ = conn.Send(protocol.KindCurrencyQuery, protocol.CurrencyQuery{Stamp: stamp})
	}
	timeout := time.NewTimer(300 * time.Millisecond)
	defer timeout.Stop()
	for {
		select {
		case m := <-replies:
			if m.Stamp != stamp {
				continue
			}
			if m.Version < version {
				t.Fatalf("a reply names version %d after %d was acknowledged", m.Version, version)
			}
			return true
		case <-timeout.C:
			return false
		}
	}
}

// TestSuccession checks after which changes of the leader a broker must assume that the one before was new.
func TestSuccession(t *testing.T) {
	const span = 5 * time.Second
	s := succession{began: 0}
	for n, c := range []struct {
		observed, leads uint64
		at              time.Duration
		isNew           bool
	}{
		{0, 1, time.Second, true},       // the process has just started
		{0, 2, 10 * time.Second, false}, // the leader of term 1 began 9 s ago
		{0, 3, 11 * time.Second, true},  // that of term 2 began 1 s ago
		{4, 5, 20 * time.Second, true},  // term 4 was seen just now
		{0, 7, 40 * time.Second, true},  // term 6 was not seen
		{0, 8, 46 * time.Second, false}, // that of term 7 began 6 s ago
	} {
		if c.observed > 0 {
			s.observe(c.observed, c.at)
		}
		if got := s.startTerm(c.leads, c.at, span); got != c.isNew {
			t.Errorf("change %d: the predecessor may be new: %v", n, got)
		}
	}
}
