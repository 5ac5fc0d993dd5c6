package coordinator

import (
	"context"
	"net"
	"net/netip"
	"path/filepath"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/cockroachdb/errors"
	"github.com/rs/zerolog"

	"tanagerbarrow/consensus"
	"tanagerbarrow/consensus/wal"
	"tanagerbarrow/declare"
	"tanagerbarrow/fleet"
	"tanagerbarrow/protocol"
	"tanagerbarrow/registry"
	"tanagerbarrow/route"
)

// The times of the replicated log. Elections are faster than the default, since
// entries decide alone while nobody leads.
const (
	// tickPeriod is the log's unit of time.
	tickPeriod = 25 * time.Millisecond
	// heartbeatTicks is the time between heartbeats: 100 ms, several round trips
	// between regions.
	heartbeatTicks = 4
	// electionTicks is the shortest election timeout: 450 ms, three heartbeats
	// that were lost and a round trip. Votes are asked for before, so that a
	// single slow link ends no leader's term.
	electionTicks = 18
	// firstElectionTicks is the shortest election timeout after a start: 75 ms,
	// several round trips between regions. All hosts may start at once, and
	// callers wait meanwhile.
	firstElectionTicks = 3
	// leaseSpan is how long a confirmed leader stays one without a further
	// confirmation. It ends before any other replica can win an election.
	leaseSpan = 380 * time.Millisecond
)

// failedPause is how long a process whose disk failed waits before it ends.
const failedPause = 3 * time.Second

// groupName is the name of the replicated group.
const groupName = "declared"

// Options configure a [Coordinator].
type Options struct {
	// Settings are the process's.
	Settings *fleet.Settings
	// Decode reads a configuration that has been checked before.
	Decode func([]byte) (*route.Configuration, error)
	// Log receives the decisions.
	Log zerolog.Logger
	// Metrics receives the counters.
	Metrics *metrics.Set
}

// Coordinator is one control host.
type Coordinator struct {
	options Options
	self    protocol.ControlHost
	log     zerolog.Logger
	machine *declare.Machine
	node    *consensus.Node
	mesh    *mesh
	meters  *meters
	store   *recordStore

	mu      sync.Mutex
	records *registry.Table
	leader  *leader
	// sessions are the connections of entries and of other control hosts that
	// dialled this one.
	watchers map[*watcher]bool
	// forwarded holds when a server's heartbeat last went to the leader.
	forwarded map[string]time.Time

	// recordsChanged wakes the duty that keeps the records.
	recordsChanged chan struct{}

	joined sync.WaitGroup
}

// New opens the replica and prepares the process.
func New(o Options) (*Coordinator, error) {
	s := o.Settings
	if s.DataFolder == "" || !s.ControlAddress.IsValid() {
		return nil, errors.New("a control host needs a data folder and a control address")
	}
	c := &Coordinator{
		options: o, log: o.Log, machine: declare.NewMachine(), records: registry.NewTable(),
		watchers: map[*watcher]bool{}, forwarded: map[string]time.Time{}, recordsChanged: make(chan struct{}, 1),
		self: protocol.ControlHost{
			Name: s.Host.Name, PeerAddress: netip.AddrPortFrom(s.Host.Address, s.PeerPort).String(),
			ControlAddress: s.ControlAddress.String(), AvailabilityZone: s.Host.AvailabilityZone,
		},
	}
	c.mesh = newMesh(c)
	c.meters = newMeters(c, o.Metrics)
	c.store = newRecordStore(filepath.Join(s.DataFolder, recordsFile), c.log)
	for _, r := range c.store.load(time.Now()) {
		c.records.Announce(r.BackendServer, r.LastHeartbeat)
	}
	return c, c.open()
}

// open opens the replica of the log.
func (c *Coordinator) open() error {
	s := c.options.Settings
	var err error
	c.node, err = consensus.Open(consensus.Options{
		Group: groupName, Name: s.Host.Name, Folder: filepath.Join(s.DataFolder, groupName), FS: wal.OS{},
		Machine: c.machine, Transport: c.mesh, Log: c.log, CommitDuration: c.meters.commits,
		TickPeriod: tickPeriod, HeartbeatTicks: heartbeatTicks, ElectionTicks: electionTicks,
		FirstElectionTicks: firstElectionTicks,
		Discovery: &consensus.Discovery{
			Hosts: c.mesh.members, Voters: s.Voters(), Founder: s.Founder(), FirstStart: s.FirstStart,
		},
	})
	return err
}

// Run serves until ctx ends or the replica fails.
func (c *Coordinator) Run(ctx context.Context) error {
	listener, err := net.Listen("tcp", c.self.PeerAddress)
	if err != nil {
		return errors.Wrap(err, "listen for other processes")
	}
	c.joined.Go(func() { c.accept(ctx, listener) })
	c.mesh.start(ctx)
	c.joined.Go(func() { c.watchState(ctx) })
	c.joined.Go(func() { c.holdLease(ctx) })
	c.joined.Go(func() { c.keepRecords(ctx) })
	select {
	case <-ctx.Done():
	case <-c.node.Done():
		// The disk failed. A process that is started again at once fails again.
		c.stopLeading("replica failed")
		select {
		case <-ctx.Done():
		case <-time.After(failedPause):
		}
	}
	err = c.node.Close()
	c.stopLeading("stop")
	return errors.CombineErrors(err, listener.Close())
}

// watchState hands each change of the declared state to the broker.
func (c *Coordinator) watchState(ctx context.Context) {
	for {
		_, changed := c.machine.State()
		if l := c.leading(); l != nil {
			l.postUrgent(l.applyState)
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return
		}
	}
}

// leading returns the broker's duty, or nil if this host doesn't lead.
func (c *Coordinator) leading() *leader {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.leader
}
