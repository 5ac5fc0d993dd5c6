package gateway

import (
	"context"
	"net"
	"net/netip"
	"sync/atomic"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"tanagerbarrow/fleet"
	"tanagerbarrow/link"
	"tanagerbarrow/protocol"
)

// laterLeader is a control host that leads only after a while.
type laterLeader struct {
	address     string
	connections atomic.Int32
	subscribed  chan struct{}
	// mute makes the host answer nothing.
	mute atomic.Bool
}

// startLaterLeader starts a control host that knows no leader, names itself on every
// open connection once lead is closed, and answers subscriptions with a term.
func startLaterLeader(t *testing.T, term uint64, lead <-chan struct{}) *laterLeader {
	listener := listen(t)
	h := &laterLeader{address: listener.Addr().String(), subscribed: make(chan struct{}, 100)}
	go func() {
		for {
			c, err := listener.Accept()
			if err != nil {
				return
			}
			h.connections.Add(1)
			conn := link.New(c)
			go func() {
				_ = conn.Run(func(kind link.Kind, _ []byte) {
					if h.mute.Load() {
						return
					}
					switch kind {
					case protocol.KindHello:
						_ = conn.Send(protocol.KindDirectory, protocol.Directory{})
						go func() {
							<-lead
							_ = conn.Send(protocol.KindDirectory, protocol.Directory{LeaderAddress: h.address, Term: term})
						}()
					case protocol.KindSubscribe:
						h.subscribed <- struct{}{}
						_ = conn.Send(protocol.KindWelcome, protocol.Welcome{Term: term})
					}
				}, nil)
			}()
		}
	}()
	return h
}

// startSearch starts a session that knows the given control hosts.
func startSearch(t *testing.T, hosts ...string) *session {
	s := newSession(&fleet.Settings{}, newView(nil, nil), zerolog.Nop())
	s.onStateChange, s.onView = func() {}, func() {}
	var seeds []netip.AddrPort
	for _, address := range hosts {
		seeds = append(seeds, netip.MustParseAddrPort(address))
	}
	s.controlHosts.setSeeds(seeds)
	ctx, cancel := context.WithCancel(t.Context())
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		s.run(ctx)
	}()
	t.Cleanup(func() {
		cancel()
		<-ended
	})
	return s
}

// awaitBroker waits until the session uses a connection to the address.
func awaitBroker(t *testing.T, s *session, address string) {
	t.Helper()
	for range 500 {
		if conn := s.activeConn(); conn != nil && conn.RemoteAddr().(*net.TCPAddr).AddrPort() == netip.MustParseAddrPort(address) {
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
	t.Fatalf("the session does not use the broker at %s", address)
}

// TestSearchWaitsAtEachControlHost searches for a broker while no host leads and one
// accepts connections but never answers, as after a loss of power. The leader must
// receive the subscription on the connection that was open when it began to lead: a new
// dial, after those to hosts that are down, cost 0.3 s of service.
func TestSearchWaitsAtEachControlHost(t *testing.T) {
	mute := listen(t)
	lead, never := make(chan struct{}), make(chan struct{})
	leader, other := startLaterLeader(t, 5, lead), startLaterLeader(t, 4, never)
	s := startSearch(t, mute.Addr().String(), other.address, leader.address)
	for range 100 {
		if leader.connections.Load() > 0 && other.connections.Load() > 0 {
			break
		}
		time.Sleep(10 * time.Millisecond)
	}
	// A search that dials again and again does so within this time.
	time.Sleep(3 * searchInterval)
	close(lead)
	<-leader.subscribed
	awaitBroker(t, s, leader.address)
	if n := leader.connections.Load(); n != 1 {
		t.Errorf("the leader received %d connections, want the one that was open", n)
	}
	close(never)
}

// TestOlderLeaderIsNotUsed lets the broker vanish while a control host of an older term
// claims to lead, as one that was paused. The session must not use it.
func TestOlderLeaderIsNotUsed(t *testing.T) {
	older, newer := make(chan struct{}), make(chan struct{})
	first, second := startLaterLeader(t, 4, older), startLaterLeader(t, 5, newer)
	s := startSearch(t, first.address, second.address)
	close(newer)
	awaitBroker(t, s, second.address)
	second.mute.Store(true)
	close(older)
	s.closeAfterPause(0)
	<-first.subscribed
	<-first.subscribed
	if conn := s.activeConn(); conn != nil || s.view.currentTerm() != 5 {
		t.Errorf("the session uses a broker of term %d", s.view.currentTerm())
	}
}

// TestWelcomeOfAStoppedBrokerIsIgnored lets a control host stop its broker and start another in the
// same term while a subscription is on its way, as after a pause: the welcome of the first broker
// arrives between the two directories. The entry took it for that of the second one, which had never
// heard of the entry, and stayed without a configuration.
func TestWelcomeOfAStoppedBrokerIsIgnored(t *testing.T) {
	listener := listen(t)
	address := listener.Addr().String()
	leads := protocol.Directory{LeaderAddress: address, Term: 2}
	subscriptions := make(chan struct{}, 100)
	go func() {
		for {
			c, err := listener.Accept()
			if err != nil {
				return
			}
			conn, subscribed := link.New(c), 0
			go func() {
				_ = conn.Run(func(kind link.Kind, _ []byte) {
					switch kind {
					case protocol.KindHello:
						_ = conn.Send(protocol.KindDirectory, leads)
					case protocol.KindSubscribe:
						subscribed++
						subscriptions <- struct{}{}
						if subscribed == 1 {
							_ = conn.Send(protocol.KindDirectory, protocol.Directory{Term: 2})
							_ = conn.Send(protocol.KindWelcome, protocol.Welcome{Term: 2})
							_ = conn.Send(protocol.KindDirectory, leads)
							return
						}
						_ = conn.Send(protocol.KindWelcome, protocol.Welcome{Term: 2})
					}
				}, nil)
			}()
		}
	}()
	s := startSearch(t, address)
	for n := range 2 {
		select {
		case <-subscriptions:
		case <-time.After(10 * time.Second):
			t.Fatalf("%d subscriptions arrived, want 2", n)
		}
	}
	awaitBroker(t, s, address)
}
