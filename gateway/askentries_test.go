package gateway

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"tanagerbarrow/fleet"
	"tanagerbarrow/link"
	"tanagerbarrow/protocol"
)

// TestEntryThatSleptAsksOthers guards against an entry that knows no control host that still runs,
// since all were replaced while it was paused, and whose settings name no new ones.
func TestEntryThatSleptAsksOthers(t *testing.T) {
	t.Parallel()
	gone, running := newFakeBroker(t), newFakeBroker(t)
	gone.config, running.config = testConfig(), testConfig()
	slept, awake := startEntry(t, gone, zerolog.Nop()), startEntry(t, running, zerolog.Nop())
	address := running.listener.Addr().String()
	awake.session.useDirectory(protocol.Directory{LeaderAddress: address, Hosts: []protocol.ControlHost{hostAt("next", address)}})
	other := startRelay(t, running)
	other.session.useDirectory(protocol.Directory{LeaderAddress: address, Hosts: []protocol.ControlHost{hostAt("next", address)}})
	odd := scriptedServer(t, func(c net.Conn, _ *http.Request) { _, _ = io.WriteString(c, "HTTP/1.1 200 X\r\n\r\n[[[") })
	running.mu.Lock()
	relay := running.relay
	running.mu.Unlock()
	slept.view.setRelays([]protocol.Relay{{Address: odd}, {Address: "127.0.0.1:1"}, {Address: relay}})
	_ = gone.listener.Close()
	gone.mu.Lock()
	for _, conn := range gone.conns {
		conn.Close()
	}
	gone.mu.Unlock()
	for range 2000 {
		if conn := slept.session.activeConn(); conn != nil && conn.RemoteAddr().String() == address {
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
	t.Error("the entry finds no broker")
}

// TestEntryWithoutBrokerNamesNoControlHosts checks the response to another entry with and without a
// broker, and to an entry of an earlier build that asks for a relay without naming a server.
func TestEntryWithoutBrokerNamesNoControlHosts(t *testing.T) {
	t.Parallel()
	f, _ := setUp(t)
	relay := startRelay(t, f)
	address := f.listener.Addr().String()
	relay.session.useDirectory(protocol.Directory{LeaderAddress: address, Hosts: []protocol.ControlHost{hostAt("broker", address)}})
	f.mu.Lock()
	relayAddress := f.relay
	f.mu.Unlock()
	ask := func() (protocol.Directory, error) {
		return askEntry(t.Context(), &http.Client{Timeout: 5 * time.Second}, relayAddress)
	}
	if d, err := ask(); err != nil || len(d.Hosts) != 1 || d.Hosts[0].Name != "broker" || d.Hosts[0].PeerAddress != address {
		t.Errorf("with a broker: %+v, %v", d, err)
	}
	_ = f.listener.Close()
	f.mu.Lock()
	for _, conn := range f.conns {
		conn.Close()
	}
	f.mu.Unlock()
	for range 200 {
		if relay.session.activeConn() == nil {
			break
		}
		time.Sleep(10 * time.Millisecond)
	}
	if d, err := ask(); err == nil || len(d.Hosts) > 0 {
		t.Errorf("without a broker: %+v, %v", d, err)
	}
	res, err := http.Post("http://"+relayAddress+"/", "", strings.NewReader(""))
	if err != nil {
		t.Fatal(err)
	}
	_ = res.Body.Close()
	if res.StatusCode != http.StatusBadRequest {
		t.Errorf("a request without a server: status %d", res.StatusCode)
	}
}

// TestAskedEntriesAreNotBelieved names control hosts that are none, as an address that another
// program uses may: the search goes on and the session joins nothing.
func TestAskedEntriesAreNotBelieved(t *testing.T) {
	t.Parallel()
	foreign := listen(t)
	address := foreign.Addr().String()
	go func() {
		for {
			c, err := foreign.Accept()
			if err != nil {
				return
			}
			conn := link.New(c)
			go func() {
				_ = conn.Run(func(kind link.Kind, _ []byte) {
					if kind == protocol.KindHello {
						_ = conn.Send(protocol.KindDirectory, protocol.Directory{LeaderAddress: address, Hosts: []protocol.ControlHost{
							{Name: "x", PeerAddress: address, AvailabilityZone: "of another deployment"},
						}})
					}
					if kind == protocol.KindSubscribe {
						t.Error("the entry subscribed to a broker of another deployment")
					}
				}, nil)
			}()
		}
	}()
	seed := netip.MustParseAddrPort(address)
	s := newSession(&fleet.Settings{Regions: map[string]string{"a": "west"}, Seeds: []netip.AddrPort{seed}, PeerPort: seed.Port()}, newView(nil, nil), zerolog.Nop())
	s.onStateChange, s.onView = func() {}, func() {}
	ctx, cancel := context.WithTimeout(t.Context(), 5*searchInterval)
	defer cancel()
	s.run(ctx)
	if s.activeConn() != nil {
		t.Error("the entry joined another deployment")
	}
}
