package gateway

import (
	"fmt"
	"net"
	"net/netip"
	"slices"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cockroachdb/errors"

	"tanagerbarrow/link"
	"tanagerbarrow/protocol"
)

// addressesOf parses addresses.
func addressesOf(texts ...string) []netip.AddrPort {
	var all []netip.AddrPort
	for _, text := range texts {
		all = append(all, netip.MustParseAddrPort(text))
	}
	return all
}

// hostAt returns a control host in zone a.
func hostAt(name, address string) protocol.ControlHost {
	return protocol.ControlHost{Name: name, PeerAddress: address, AvailabilityZone: "a"}
}

// TestControlHostsFollowSeedsAndDirectories checks which addresses are known after each
// source of them.
func TestControlHostsFollowSeedsAndDirectories(t *testing.T) {
	h := newControlHosts(map[string]string{"a": "west"}, addressesOf("10.0.0.1:1"))
	expect := func(step string, want ...string) {
		t.Helper()
		if got := h.addresses(); !slices.Equal(got, want) {
			t.Errorf("%s: known are %v, want %v", step, got, want)
		}
	}
	h.learn(protocol.Directory{Hosts: []protocol.ControlHost{hostAt("x", "10.0.0.2:1"), hostAt("y", "10.0.0.3:1")}})
	expect("a directory adds hosts", "10.0.0.1:1", "10.0.0.2:1", "10.0.0.3:1")
	if h.setSeeds(nil) || h.setSeeds(addressesOf("10.0.0.1:1")) {
		t.Error("empty or equal seeds count as a change")
	}
	if !h.setSeeds(addressesOf("10.0.0.4:1", "10.0.0.5:1")) {
		t.Error("other seeds don't count as a change")
	}
	expect("earlier seeds stay while none of the new ones answers", "10.0.0.1:1", "10.0.0.2:1", "10.0.0.3:1", "10.0.0.4:1", "10.0.0.5:1")
	h.replace(protocol.Directory{LeaderAddress: "10.0.0.6:1", Hosts: []protocol.ControlHost{hostAt("y", "10.0.0.3:1"), hostAt("z", "10.0.0.6:1")}})
	expect("the broker's directory replaces earlier ones", "10.0.0.3:1", "10.0.0.4:1", "10.0.0.5:1", "10.0.0.6:1")
	h.learn(protocol.Directory{LeaderAddress: "nowhere", Hosts: []protocol.ControlHost{
		hostAt("odd", "10.0.0.7:70000"), hostAt("odd", ""), hostAt("odd", "name:1"), {Name: "foreign", PeerAddress: "10.0.0.8:1", AvailabilityZone: "b"},
	}})
	expect("odd and foreign entries are left out", "10.0.0.3:1", "10.0.0.4:1", "10.0.0.5:1", "10.0.0.6:1")
}

// TestKnownControlHostsAreBounded names thousands of control hosts during a search that
// finds no broker, as over months of replacements.
func TestKnownControlHostsAreBounded(t *testing.T) {
	h := newControlHosts(nil, addressesOf("10.0.0.1:1"))
	for n := range 5000 {
		h.learn(protocol.Directory{Hosts: []protocol.ControlHost{hostAt(fmt.Sprint(n), fmt.Sprintf("10.1.%d.%d:1", n/250, n%250))}})
	}
	all := h.addresses()
	if len(all) != maxDirectoryHosts+1 || !slices.Contains(all, "10.0.0.1:1") || !slices.Contains(all, "10.1.19.249:1") {
		t.Errorf("%d hosts are known: %v", len(all), all)
	}
}

// TestHostAtReusedAddressIsVerified checks directories of hosts at an address that another
// host had: one of another deployment must not be joined.
func TestHostAtReusedAddressIsVerified(t *testing.T) {
	const address = "10.0.0.2:1"
	directory := func(name, zone string) protocol.Directory {
		return protocol.Directory{LeaderAddress: address, Hosts: []protocol.ControlHost{{Name: name, PeerAddress: address, AvailabilityZone: zone}}}
	}
	for name, c := range map[string]struct {
		from    protocol.Directory
		confirm func(*controlHosts)
		refused bool
	}{
		"the same host":                          {from: directory("x", "a")},
		"another host":                           {from: directory("z", "a"), refused: true},
		"another zone":                           {from: directory("x", "b"), refused: true},
		"another host, named by the settings":    {from: directory("z", "a"), confirm: func(h *controlHosts) { h.setSeeds(addressesOf(address)) }},
		"another host, named by another one":     {from: directory("z", "a"), confirm: func(h *controlHosts) { h.learn(directory("z", "a")) }},
		"another zone at a seed of the settings": {from: directory("x", "b"), confirm: func(h *controlHosts) { h.setSeeds(addressesOf(address)) }, refused: true},
		"the same host, after one that had its address": {from: protocol.Directory{LeaderAddress: address, Hosts: []protocol.ControlHost{
			hostAt("earlier", address), hostAt("x", address),
		}}},
		"two other hosts": {from: protocol.Directory{LeaderAddress: address, Hosts: []protocol.ControlHost{
			hostAt("earlier", address), hostAt("z", address),
		}}, refused: true},
		"a host of a build that names no hosts": {from: protocol.Directory{LeaderAddress: address}},
	} {
		h := newControlHosts(map[string]string{"a": "west"}, addressesOf("10.0.0.1:1"))
		h.learn(directory("x", "a"))
		if c.confirm != nil {
			c.confirm(h)
		}
		if err := h.verify(address, c.from); errors.Is(err, errOtherDeployment) != c.refused {
			t.Errorf("%s: error is %v", name, err)
		}
	}
}

// TestSearchUsesNewSeeds guards against entries that know only the seeds of their start: all
// control hosts were replaced while no directory could reach the entry.
func TestSearchUsesNewSeeds(t *testing.T) {
	gone := listen(t)
	address := gone.Addr().String()
	_ = gone.Close()
	lead := make(chan struct{})
	close(lead)
	leader := startLaterLeader(t, 5, lead)
	s := startSearch(t, address)
	time.Sleep(3 * searchInterval)
	s.controlHosts.setSeeds(addressesOf(leader.address))
	awaitBroker(t, s, leader.address)
}

// TestEntryFindsHostsOfPushedDirectory guards against entries that lose a broker whose
// successor joined while they were connected.
func TestEntryFindsHostsOfPushedDirectory(t *testing.T) {
	lead := make(chan struct{})
	close(lead)
	next := startLaterLeader(t, 6, lead)
	listener := listen(t)
	first := listener.Addr().String()
	conns := make(chan *link.Conn, 100)
	go func() {
		c, err := listener.Accept()
		if err != nil {
			return
		}
		conn := link.New(c)
		conns <- conn
		_ = conn.Run(func(kind link.Kind, _ []byte) {
			switch kind {
			case protocol.KindHello:
				_ = conn.Send(protocol.KindDirectory, protocol.Directory{LeaderAddress: first, Term: 5})
			case protocol.KindSubscribe:
				_ = conn.Send(protocol.KindWelcome, protocol.Welcome{Term: 5})
			}
		}, nil)
	}()
	s := startSearch(t, first)
	awaitBroker(t, s, first)
	conn := <-conns
	_ = conn.Send(protocol.KindDirectory, protocol.Directory{LeaderAddress: first, Term: 5, Hosts: []protocol.ControlHost{hostAt("next", next.address)}})
	for range 500 {
		if slices.Contains(s.controlHosts.addresses(), next.address) {
			break
		}
		time.Sleep(10 * time.Millisecond)
	}
	if s.activeConn() == nil || s.activeConn().RemoteAddr().String() != first {
		t.Error("the directory ended the session")
	}
	_ = listener.Close()
	conn.Close()
	awaitBroker(t, s, next.address)
}

// TestSearchOfManyHostsIsCheap lets a search know far more control hosts than run.
func TestSearchOfManyHostsIsCheap(t *testing.T) {
	var dials atomic.Int32
	listener := listen(t)
	go func() {
		for {
			c, err := listener.Accept()
			if err != nil {
				return
			}
			dials.Add(1)
			_ = c.Close()
		}
	}()
	port := listener.Addr().(*net.TCPAddr).Port
	var hosts []string
	for n := range maxDirectoryHosts {
		// Only the first address has the listener; the others refuse.
		hosts = append(hosts, fmt.Sprintf("127.0.0.%d:%d", n+1, port))
	}
	const rounds = 16
	s := startSearch(t, hosts...)
	time.Sleep(rounds * searchInterval)
	// Each address has a turn in every eighth round.
	if got := dials.Load(); got == 0 || got > rounds*maxDialsPerRound/maxDirectoryHosts+2 {
		t.Errorf("one of %d hosts was dialled %d times in %d rounds", maxDirectoryHosts, got, rounds)
	}
	if s.activeConn() != nil {
		t.Error("a broker was found")
	}
}
