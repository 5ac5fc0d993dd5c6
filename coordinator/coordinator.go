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

	"tanagerbarrow/boottime"
	"tanagerbarrow/consensus"
	"tanagerbarrow/consensus/wal"
	"tanagerbarrow/declare"
	"tanagerbarrow/fleet"
	"tanagerbarrow/protocol"
	"tanagerbarrow/registry"
	"tanagerbarrow/route"
	"tanagerbarrow/telemetry"
)

// Timing of the replicated log. Elections are faster than the default, because
// each entry decides on its own while there is no leader.
const (
	// tickPeriod is the period of the log's clock, in which the tick counts are
	// measured.
	tickPeriod = 25 * time.Millisecond
	// heartbeatTicks is the time between heartbeats of the leader: 100 ms,
	// several round trips between regions.
	heartbeatTicks = 4
	// electionTicks is the shortest election timeout: 450 ms, which covers three
	// lost heartbeats and a round trip. A pre-vote precedes each election, so
	// that a single slow link ends no leader's term.
	electionTicks = 18
	// firstElectionTicks is the shortest election timeout after a start: 75 ms,
	// several round trips between regions. It is short because all hosts may
	// start at once while callers wait.
	firstElectionTicks = 3
	// leaseDuration is how long a leader keeps its lease after a quorum has
	// confirmed it. The lease ends before any other replica can win an election.
	leaseDuration = 380 * time.Millisecond
)

// maxRecordLinesPerSecond bounds the log lines about invalid records.
const maxRecordLinesPerSecond = 20

// groupName is the name of the replicated group.
const groupName = "declared"

// Options configure a [Coordinator].
type Options struct {
	// Settings are the settings of the process.
	Settings *fleet.Settings
	// Decode parses a configuration that has already been validated.
	Decode func([]byte) (*route.Configuration, error)
	// Log is the logger of the process.
	Log zerolog.Logger
	// Metrics is the set in which the metrics are registered.
	Metrics *metrics.Set
	// Disk holds the replica's files; nil for the operating system's file system.
	Disk wal.FS
}

// Coordinator is one control host.
type Coordinator struct {
	options Options
	self    protocol.ControlHost
	log     zerolog.Logger
	// recordLog passes on a bounded number of lines a second about invalid records.
	recordLog zerolog.Logger
	machine   *declare.Machine
	node      *replica
	mesh      *mesh
	strangers strangers
	metrics   *hostMetrics
	store     *recordStore

	mu      sync.Mutex
	records *registry.Table
	leader  *leader
	// succession is used by the goroutine that maintains the lease.
	succession succession
	// currency are the entries' queries that wait for the next confirmation of the lease.
	currency currencyQueries
	// inbound holds the connections that entries and other control hosts have
	// opened to this host.
	inbound map[*inboundLink]bool
	// announcedAddresses are those of the directory that all connected entries have.
	announcedAddresses []string
	// lastForwarded holds, by server ID, when a heartbeat was last forwarded to
	// the leader.
	lastForwarded map[string]time.Time
	versions      versionTable
	// rolloutClocks holds, by position, when this host has first seen a roll-out, and
	// acceptedRollouts, by service, the last order that a leader of this host has proposed.
	rolloutClocks    map[uint64]rolloutClock
	acceptedRollouts map[string]acceptedRollout

	// recordsChanged wakes saveChangedRecords.
	recordsChanged chan struct{}

	goroutines sync.WaitGroup
}

// New opens the replica and loads the stored records of backend servers.
func New(o Options) (*Coordinator, error) {
	s := o.Settings
	if s.DataFolder == "" || !s.ControlAddress.IsValid() {
		return nil, errors.New("a control host needs a data folder and a control address")
	}
	if o.Disk == nil {
		o.Disk = wal.OS{}
	}
	c := &Coordinator{
		options: o, log: o.Log, recordLog: telemetry.NewRateLimitedLogger(o.Log, "records", maxRecordLinesPerSecond), machine: declare.NewMachine(), records: registry.NewTable(),
		inbound: map[*inboundLink]bool{}, lastForwarded: map[string]time.Time{}, acceptedRollouts: map[string]acceptedRollout{}, recordsChanged: make(chan struct{}, 1),
		self: protocol.ControlHost{
			Name: s.Host.Name, PeerAddress: netip.AddrPortFrom(s.Host.Address, s.PeerPort).String(),
			ControlAddress: s.ControlAddress.String(), AvailabilityZone: s.Host.AvailabilityZone,
		},
	}
	c.succession.began = boottime.Now()
	c.strangers.maxLinks = maxLinks(s.MemoryBytes, s.MaxDescriptors)
	c.mesh = newMesh(c)
	c.metrics = newHostMetrics(c, o.Metrics)
	c.store = newRecordStore(filepath.Join(s.DataFolder, recordsFile), c.log)
	c.versions = c.store.loadVersions()
	for _, r := range c.store.load(time.Now()) {
		c.completeVersion(&r.BackendServer)
		c.records.Announce(r.BackendServer, r.LastHeartbeat)
	}
	return c, c.open()
}

// open opens the replica of the log.
func (c *Coordinator) open() error {
	s := c.options.Settings
	first, err := recordFirstStart(s)
	if err != nil {
		return err
	}
	c.node, err = openReplica(func() (*consensus.Node, error) { return consensus.Open(c.replicaOptions(first)) })
	return err
}

// replicaOptions returns the options of the replica.
func (c *Coordinator) replicaOptions(first *firstStart) consensus.Options {
	s := c.options.Settings
	return consensus.Options{
		Group: groupName, Name: s.Host.Name, Folder: filepath.Join(s.DataFolder, groupName), FS: c.options.Disk,
		Machine: c.machine, Transport: c.mesh, Log: c.log, CommitDuration: c.metrics.commitSeconds,
		TickPeriod: tickPeriod, HeartbeatTicks: heartbeatTicks, ElectionTicks: electionTicks,
		FirstElectionTicks: firstElectionTicks,
		Discovery: &consensus.Discovery{
			Hosts: c.mesh.members, Voters: s.Voters(), MayBootstrap: first != nil && first.MayBootstrap, FirstStart: first != nil,
		},
	}
}

// Run serves until ctx ends or the replica fails.
func (c *Coordinator) Run(ctx context.Context) error {
	listener, err := net.Listen("tcp", c.self.PeerAddress)
	if err != nil {
		return errors.Wrap(err, "listen on the peer address")
	}
	c.goroutines.Go(func() { c.accept(ctx, listener) })
	c.mesh.start(ctx)
	c.goroutines.Go(func() { c.watchState(ctx) })
	c.goroutines.Go(func() { c.maintainLease(ctx) })
	c.goroutines.Go(func() { c.saveChangedRecords(ctx) })
	c.goroutines.Go(func() { c.watchPauses(ctx) })
	err = c.runReplica(ctx)
	c.stopLeading("stop")
	return errors.CombineErrors(err, listener.Close())
}

// watchState passes each change of the declared state to the broker while this
// host leads.
func (c *Coordinator) watchState(ctx context.Context) {
	for {
		state, changed := c.machine.State()
		c.noteRollouts(state)
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

// SetSeeds replaces the peer addresses of the seeds. It may be called while the host runs.
func (c *Coordinator) SetSeeds(seeds []netip.AddrPort) { c.mesh.setSeeds(seeds) }

// leading returns the leader that runs on this host, or nil if this host doesn't
// lead.
func (c *Coordinator) leading() *leader {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.leader
}
