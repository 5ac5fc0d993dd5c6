package coordinator

import (
	"context"
	"fmt"
	"math"
	"net"
	"net/netip"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/rs/zerolog"

	"tanagerbarrow/consensus/wal"
	"tanagerbarrow/declare"
	"tanagerbarrow/fleet"
	"tanagerbarrow/registry"
	"tanagerbarrow/route"
)

// waitTimeout bounds the waits of these tests.
const waitTimeout = 20 * time.Second

// testCluster is a group of control hosts, each on a loopback address of its
// own.
type testCluster struct {
	t       *testing.T
	port    uint16
	seeds   []netip.AddrPort
	running map[int]*runningHost
	folders map[int]string
	// disks are the disks of the hosts that don't use the operating system's as it is.
	disks map[int]wal.FS
}

// runningHost is a started control host.
type runningHost struct {
	*Coordinator
	stop context.CancelFunc
	done chan struct{}
}

// newTestCluster returns a cluster without running hosts, whose seeds are the
// first three.
func newTestCluster(t *testing.T) *testCluster {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	port := uint16(listener.Addr().(*net.TCPAddr).Port)
	_ = listener.Close()
	// The first call sets when the folders are removed: after the hosts have stopped.
	t.TempDir()
	c := &testCluster{t: t, port: port, running: map[int]*runningHost{}, folders: map[int]string{}, disks: map[int]wal.FS{}}
	for n := range 3 {
		c.seeds = append(c.seeds, netip.AddrPortFrom(hostAddress(n), port+1))
	}
	t.Cleanup(func() {
		for n := range c.running {
			c.kill(n)
		}
	})
	return c
}

// hostAddress returns a host's loopback address.
func hostAddress(n int) netip.Addr { return netip.AddrFrom4([4]byte{127, 0, 7, byte(n + 1)}) }

// start starts a host, with an empty data folder if it has none yet.
func (c *testCluster) start(n int, firstStart bool) *runningHost {
	c.t.Helper()
	if c.folders[n] == "" {
		c.folders[n] = c.t.TempDir()
	}
	host, err := New(Options{
		Settings: &fleet.Settings{
			Host:    fleet.Host{Name: fmt.Sprint("core-", n), Address: hostAddress(n), AvailabilityZone: fmt.Sprint("z", n%2)},
			Regions: map[string]string{"z0": "west", "z1": "east"}, PeerPort: c.port,
			ControlAddress: netip.AddrPortFrom(hostAddress(n), c.port+1), Seeds: c.seeds, FirstStart: firstStart,
			DataFolder: c.folders[n], HeartbeatInterval: 1500 * time.Millisecond, TolerableLosses: 2, Bounds: fleet.DefaultBounds(),
		},
		Decode: func([]byte) (*route.Configuration, error) {
			return &route.Configuration{Services: []route.Service{{Name: "s"}, {Name: "other"}}}, nil
		},
		Log: zerolog.Nop(), Metrics: metrics.NewSet(), Disk: c.disks[n],
	})
	if err != nil {
		c.t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	r := &runningHost{Coordinator: host, stop: cancel, done: make(chan struct{})}
	go func() {
		defer close(r.done)
		_ = host.Run(ctx)
	}()
	c.running[n] = r
	return r
}

// kill stops a host without a handover.
func (c *testCluster) kill(n int) {
	r := c.running[n]
	delete(c.running, n)
	r.node.Kill()
	r.stop()
	<-r.done
	// The records may still be written.
	r.goroutines.Wait()
}

// eventually waits until a condition is true and fails the test after
// waitTimeout.
func (c *testCluster) eventually(what string, condition func() bool) {
	c.t.Helper()
	for end := time.Now().Add(waitTimeout); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		if condition() {
			return
		}
	}
	for n, r := range c.running {
		c.t.Logf("host %d: %+v, known hosts %v", n, r.node.Status(), r.mesh.knownHosts())
	}
	c.t.Fatalf("not within %s: %s", waitTimeout, what)
}

// declare retries the declaration of a version at a host until it is
// acknowledged.
func (c *testCluster) declare(n int, version uint64) {
	c.t.Helper()
	d, err := declare.NewDocument(version, fmt.Append(nil, "version ", version))
	if err != nil {
		c.t.Fatal(err)
	}
	c.eventually(fmt.Sprintf("version %d acknowledged by host %d", version, n), func() bool {
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		return c.running[n].Declare(ctx, d) == nil
	})
}

// expectVersion verifies that the first successful read at a host returns the
// version.
func (c *testCluster) expectVersion(n int, version uint64) {
	c.t.Helper()
	c.eventually(fmt.Sprintf("host %d reads version %d", n, version), func() bool {
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		d, err := c.running[n].Document(ctx)
		if err == nil && d.Version != version {
			c.t.Fatalf("host %d read version %d, acknowledged is %d", n, d.Version, version)
		}
		return err == nil
	})
}

// voters returns the voters that a host knows, by name.
func (c *testCluster) voters(n int) map[string]bool {
	names := map[string]bool{}
	for _, v := range c.running[n].node.Status().Voters {
		names[v] = true
	}
	return names
}

// TestCoreSurvivesItsLosses forms a group from seeds, commits changes, kills
// hosts and erases disks: every acknowledged change must be readable after each
// step.
func TestCoreSurvivesItsLosses(t *testing.T) {
	c := newTestCluster(t)
	for n := range 4 {
		c.start(n, true)
	}
	ctx, cancel := context.WithTimeout(t.Context(), 600*time.Millisecond)
	d, _ := declare.NewDocument(1, []byte("early"))
	if err := c.running[0].Declare(ctx, d); err == nil {
		t.Error("a group of four hosts acknowledged a change that the loss of two disks could destroy")
	}
	cancel()
	c.start(4, true)
	c.declare(3, 2)
	c.expectVersion(4, 2)

	for n := range 2 {
		c.kill(n)
	}
	c.declare(2, 3)
	for n := range 2 {
		c.folders[n] = "" // the disk is lost
		c.start(n, false)
	}
	c.expectVersion(0, 3)
	c.eventually("both hosts vote under new identities", func() bool {
		return len(c.voters(2)) == 5 && len(c.running[2].node.Status().Members.Learners) == 0 &&
			c.running[0].node.Status().Role != "" && c.isVoter(0) && c.isVoter(1)
	})

	c.kill(3)
	c.start(5, false) // replaces host 3 under another name
	c.eventually("the replacement votes and the replaced host does not", func() bool {
		names := c.voters(2)
		return names["core-5"] && !names["core-3"] && len(names) == 5
	})
	for _, n := range []int{2, 4} {
		c.kill(n)
	}
	c.declare(5, 4)
	c.expectVersion(0, 4)
}

// isVoter reports whether a host's own identity votes.
func (c *testCluster) isVoter(n int) bool {
	node := c.running[n].node
	s := node.Status()
	return s.Members.IsVoter(s.ReplicaID)
}

// TestMinorityRefuses leaves two of five hosts running: neither may acknowledge
// a change or serve a read.
func TestMinorityRefuses(t *testing.T) {
	c := newTestCluster(t)
	for n := range 5 {
		c.start(n, true)
	}
	c.declare(0, 1)
	for n := range 3 {
		c.kill(n)
	}
	ctx, cancel := context.WithTimeout(t.Context(), time.Second)
	defer cancel()
	d, _ := declare.NewDocument(2, []byte("two"))
	if err := c.running[3].Declare(ctx, d); err == nil {
		t.Error("a minority acknowledged a configuration")
	}
	if _, err := c.running[4].Document(ctx); err == nil {
		t.Error("a minority read the configuration")
	}
	if err := c.running[4].Deregister(ctx, "i-1", c.running[4].ServerStart("i-1")); err == nil {
		t.Error("a minority acknowledged a deregistration")
	}
	if _, err := c.running[4].LogPosition(ctx); err == nil {
		t.Error("a minority named the position for an order")
	}
	if err := c.running[4].OrderZone(ctx, declare.ZoneOrder{Zone: "z1", Out: true, Position: math.MaxInt64}); err == nil {
		t.Error("a minority acknowledged taking a zone out")
	}
	c.eventually("no broker without a quorum", func() bool { return c.running[3].leading() == nil && c.running[4].leading() == nil })
}

// TestLeavingBindsEverywhere announces a server at one host and deregisters it
// at another: the leader must remove the server, and a late heartbeat must not
// restore it.
func TestLeavingBindsEverywhere(t *testing.T) {
	c := newTestCluster(t)
	for n := range 5 {
		c.start(n, true)
	}
	c.declare(0, 1)
	b := registry.BackendServer{
		ID: "i-1", Started: 1000, Sequence: 1, Service: "s", Address: "127.0.0.1:1", AvailabilityZone: "z0", Slots: 2,
	}
	knows := func() bool { return c.leaderKnows(1) }
	c.eventually("the leader knows the server", func() bool {
		b.Sequence++
		_ = c.running[3].Announce(t.Context(), b)
		return knows()
	})
	c.eventually("the deregistration is acknowledged", func() bool {
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		return c.running[4].Deregister(ctx, "i-1", c.running[4].ServerStart("i-1")) == nil
	})
	c.eventually("the leader removes the server", func() bool { return c.leader() != nil && !knows() })
	b.Sequence += 10
	_ = c.running[3].Announce(t.Context(), b)
	if knows() {
		t.Error("a late heartbeat restored a deregistered server")
	}
}

// leader returns the broker's leader, or nil.
func (c *testCluster) leader() *leader {
	for _, r := range c.running {
		if l := r.leading(); l != nil {
			return l
		}
	}
	return nil
}

// leaderKnows reports whether there is a broker and it knows the given number of
// servers.
func (c *testCluster) leaderKnows(servers int) bool {
	l := c.leader()
	if l == nil {
		return false
	}
	known := make(chan int, 1)
	l.post(func(time.Time) { known <- len(l.broker.Servers()) })
	select {
	case n := <-known:
		return n == servers
	case <-l.done:
		return false
	}
}

// TestLeaverStaysOutAfterRestarts kills all hosts after a deregistration was
// acknowledged and starts them again on their data, which holds the server's record.
// Neither the record nor a late heartbeat of the same start may bring the server back;
// a new start of it must.
func TestLeaverStaysOutAfterRestarts(t *testing.T) {
	c := newTestCluster(t)
	for n := range 5 {
		c.start(n, true)
	}
	c.declare(0, 1)
	b := registry.BackendServer{
		ID: "i-1", Started: 1000, Sequence: 1, Service: "s", Address: "127.0.0.1:1", AvailabilityZone: "z0", Slots: 2,
	}
	stays := b
	stays.ID, stays.Address = "i-2", "127.0.0.1:2"
	announce := func(s *registry.BackendServer) {
		s.Sequence++
		for _, r := range c.running {
			_ = r.Announce(t.Context(), *s)
		}
	}
	c.eventually("the leader knows both servers", func() bool {
		announce(&b)
		announce(&stays)
		return c.leaderKnows(2)
	})
	c.eventually("the deregistration is acknowledged", func() bool {
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		return c.running[4].Deregister(ctx, "i-1", c.running[4].ServerStart("i-1")) == nil
	})
	// The records are saved in the background; the file is written as it was before
	// the deregistration.
	for n := range 5 {
		c.kill(n)
		now := time.Now()
		records := []registry.Record{{BackendServer: b, LastHeartbeat: now}, {BackendServer: stays, LastHeartbeat: now}}
		path := filepath.Join(c.folders[n], recordsFile)
		if err := newRecordStore(path, zerolog.Nop()).save(recordsToWire(records, now)); err != nil {
			t.Fatal(err)
		}
	}
	for n := range 5 {
		c.start(n, false)
	}
	c.eventually("the leader knows the server that stays", func() bool {
		announce(&stays)
		return c.leaderKnows(1)
	})
	for range 20 {
		announce(&b)
		if c.leaderKnows(2) {
			t.Fatal("a server that had left is in use again after restarts")
		}
	}
	b.Started = 2000
	c.eventually("a new start of the server is used", func() bool {
		announce(&b)
		return c.leaderKnows(2)
	})
}

// TestRecordsAreKept saves records and loads them from a whole, a truncated and
// a missing file.
func TestRecordsAreKept(t *testing.T) {
	path := filepath.Join(t.TempDir(), recordsFile)
	s := newRecordStore(path, zerolog.Nop())
	now := time.Now()
	if got := s.load(now); got != nil {
		t.Errorf("loaded %v from a missing file", got)
	}
	r := registry.Record{BackendServer: registry.BackendServer{
		ID: "a", Started: 5, Sequence: 9, Service: "s", Address: "127.0.0.1:1", AvailabilityZone: "z", Slots: 2, ColdRemaining: time.Second,
	}, LastHeartbeat: now}
	if err := s.save(recordsToWire([]registry.Record{r}, now)); err != nil {
		t.Fatal(err)
	}
	got := s.load(now)
	if len(got) != 1 || got[0].ID != "a" || got[0].Started != 5 || got[0].Sequence != 0 || got[0].ColdRemaining != 0 {
		t.Errorf("loaded %+v", got)
	}
	data, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	if err := os.WriteFile(path, data[:len(data)/2], filePermission); err != nil {
		t.Fatal(err)
	}
	if got := s.load(now); got != nil {
		t.Errorf("loaded %v from a truncated file", got)
	}
}
