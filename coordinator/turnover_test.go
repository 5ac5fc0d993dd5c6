package coordinator

import (
	"fmt"
	"maps"
	"net/netip"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"tanagerbarrow/consensus/raft"
	"tanagerbarrow/fleet"
	"tanagerbarrow/link"
	"tanagerbarrow/protocol"
)

// testEntry is an entry that is connected to one control host.
type testEntry struct {
	mu        sync.Mutex
	directory protocol.Directory
}

// connectEntry connects an entry to a host.
func (c *testCluster) connectEntry(n int) *testEntry {
	c.t.Helper()
	conn, err := link.Dial(c.t.Context(), c.running[n].self.PeerAddress)
	if err != nil {
		c.t.Fatal(err)
	}
	c.t.Cleanup(conn.Close)
	e := &testEntry{}
	go func() {
		_ = conn.Run(func(kind link.Kind, body []byte) {
			var d protocol.Directory
			if kind == protocol.KindDirectory && link.Decode(body, &d) == nil {
				e.mu.Lock()
				e.directory = d
				e.mu.Unlock()
			}
		}, nil)
	}()
	if err := conn.Send(protocol.KindHello, protocol.Hello{Name: "entry", AvailabilityZone: "z0"}); err != nil {
		c.t.Fatal(err)
	}
	return e
}

// knows reports whether the entry's last directory names the address of a host.
func (e *testEntry) knows(n int, port uint16) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	address := netip.AddrPortFrom(hostAddress(n), port).String()
	return slices.ContainsFunc(e.directory.Hosts, func(h protocol.ControlHost) bool { return h.PeerAddress == address })
}

// nameSeeds makes three of the running hosts the seeds of those that start from now on.
func (c *testCluster) nameSeeds() {
	c.seeds = nil
	for _, n := range slices.Sorted(maps.Keys(c.running))[:3] {
		c.seeds = append(c.seeds, netip.AddrPortFrom(hostAddress(n), c.port+1))
	}
}

// replace kills a host and starts another one, which becomes a voter in its place.
func (c *testCluster) replace(old, successor int) {
	c.t.Helper()
	c.kill(old)
	c.nameSeeds()
	c.start(successor, false)
	c.eventually(fmt.Sprintf("host %d votes in the place of host %d", successor, old), func() bool {
		names := c.voters(successor)
		return c.isVoter(successor) && !names[fmt.Sprint("core-", old)] && len(names) == 5
	})
}

// TestEntriesLearnOfReplacedControlHosts guards against entries that know none of the control
// hosts once all but the leader, to which they are connected, were replaced.
func TestEntriesLearnOfReplacedControlHosts(t *testing.T) {
	c := newTestCluster(t)
	for n := range 5 {
		c.start(n, true)
	}
	c.declare(0, 1)
	leads := func(n int) bool { return c.running[n] != nil && c.running[n].leading() != nil }
	c.eventually("a host leads", func() bool { return c.leader() != nil })
	leader := slices.IndexFunc([]int{0, 1, 2, 3, 4}, leads)
	entry := c.connectEntry(leader)
	successor := 5
	for n := range 5 {
		if n == leader {
			continue
		}
		c.replace(n, successor)
		c.eventually(fmt.Sprintf("the entry knows host %d", successor), func() bool { return entry.knows(successor, c.port) })
		successor++
	}
	c.replace(leader, successor)
	c.declare(successor, 2)
}

// TestHostRejoinsAfterAllOthersWereReplaced guards against a control host that, started with
// seeds that are all gone, never finds the group again, although its settings name new ones.
func TestHostRejoinsAfterAllOthersWereReplaced(t *testing.T) {
	c := newTestCluster(t)
	for n := range 5 {
		c.start(n, true)
	}
	c.declare(0, 1)
	old := c.seeds
	for _, n := range []int{4, 0, 1, 2, 3} {
		c.replace(n, 5+n)
	}
	c.declare(9, 2)
	c.nameSeeds()
	var seeds []netip.AddrPort
	for _, seed := range c.seeds {
		seeds = append(seeds, netip.AddrPortFrom(seed.Addr(), c.port))
	}
	c.seeds = old
	c.start(4, false).SetSeeds(seeds)
	c.expectVersion(4, 2)
}

// newTestMesh returns the mesh of a host that isn't running, which is a member of no group.
func newTestMesh(regions map[string]string) *mesh {
	c := &Coordinator{
		options: Options{Settings: &fleet.Settings{Regions: regions}}, log: zerolog.Nop(),
		self: protocol.ControlHost{Name: "self", PeerAddress: "127.0.0.1:1", ControlAddress: "127.0.0.1:2", AvailabilityZone: "a"},
	}
	return newMesh(c)
}

// testHost returns a control host in zone a.
func testHost(name string, number int) protocol.ControlHost {
	return protocol.ControlHost{
		Name: name, PeerAddress: fmt.Sprintf("127.0.1.%d:1", number), ControlAddress: fmt.Sprintf("127.0.1.%d:2", number), AvailabilityZone: "a",
	}
}

// TestRemovedHostsAreForgotten guards against directories that grow with each replaced host: a
// host without contact is forgotten, and what others still say of it doesn't bring it back
// into this host's directory.
func TestRemovedHostsAreForgotten(t *testing.T) {
	m := newTestMesh(map[string]string{"a": "west"})
	removed, running := testHost("removed", 1), testHost("running", 2)
	for _, h := range []protocol.ControlHost{removed, running} {
		if err := m.meet(h); err != nil {
			t.Fatal(err)
		}
	}
	now := time.Now()
	for _, at := range []time.Duration{forgetDelay / 2, forgetDelay + time.Second} {
		_ = m.meet(running)
		m.hosts["running"].contactAt = now.Add(at)
		m.forgetHosts(now.Add(at), nil)
	}
	m.suggest(removed)
	if got := m.knownHosts(); !slices.Equal(got, []protocol.ControlHost{running, m.c.self}) {
		t.Errorf("known hosts are %v", got)
	}
	if !m.addresses(nil)[removed.PeerAddress] {
		t.Error("a host that another one names is not dialled")
	}
	m.forgetHosts(now.Add(3*forgetDelay), nil)
	if got := m.knownHosts(); !slices.Equal(got, []protocol.ControlHost{m.c.self}) {
		t.Errorf("known hosts are %v", got)
	}
	if m.addresses(nil)[removed.PeerAddress] {
		t.Error("a host that never answered is dialled for ever")
	}
}

// TestAddressBelongsToOneHost guards against entries that refuse a host at an address under which
// directories still name the host that had it before.
func TestAddressBelongsToOneHost(t *testing.T) {
	m := newTestMesh(nil)
	before, now := testHost("before", 1), testHost("now", 1)
	for _, h := range []protocol.ControlHost{before, now} {
		if err := m.meet(h); err != nil {
			t.Fatal(err)
		}
	}
	m.suggest(before)
	if got := m.knownHosts(); !slices.Equal(got, []protocol.ControlHost{now, m.c.self}) {
		t.Errorf("known hosts are %v", got)
	}
	if got := m.members(); len(got) != 2 {
		t.Errorf("members are %v", got)
	}
}

// TestMembersAreNotForgotten lets a member of the log be down for long.
func TestMembersAreNotForgotten(t *testing.T) {
	m := newTestMesh(nil)
	member := testHost("member", 1)
	if err := m.meet(member); err != nil {
		t.Fatal(err)
	}
	m.forgetHosts(time.Now().Add(10*forgetDelay), []raft.Member{{Name: "member"}})
	if got := m.knownHosts(); !slices.Contains(got, member) {
		t.Errorf("known hosts are %v", got)
	}
}

// TestNamedHostsAreBoundedAndChecked names thousands of hosts, hosts of another deployment,
// and old addresses of hosts that were met.
func TestNamedHostsAreBoundedAndChecked(t *testing.T) {
	m := newTestMesh(map[string]string{"a": "west"})
	met := testHost("met", 1)
	if err := m.meet(met); err != nil {
		t.Fatal(err)
	}
	old := met
	old.PeerAddress = "127.0.1.9:1"
	m.suggest(old)
	other := testHost("other", 2)
	other.AvailabilityZone = "elsewhere"
	m.suggest(other)
	self := testHost("self", 3)
	m.suggest(self)
	odd := testHost("odd", 4)
	odd.PeerAddress = "127.0.1.4:70000"
	m.suggest(odd)
	if got := m.addresses(nil); len(got) != 1 || !got[met.PeerAddress] {
		t.Errorf("addresses are %v", got)
	}
	taken := testHost("taken", 5)
	taken.PeerAddress = m.c.self.PeerAddress
	for _, h := range []protocol.ControlHost{other, self, odd, taken} {
		if m.meet(h) == nil {
			t.Errorf("host %+v was accepted", h)
		}
	}
	for n := range 5000 {
		m.suggest(testHost(fmt.Sprint("h", n), n%250))
	}
	if len(m.hosts) > maxKnownHosts {
		t.Errorf("%d hosts are known", len(m.hosts))
	}
}
