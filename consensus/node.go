package consensus

import (
	"context"
	"crypto/rand"
	"encoding/binary"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/cockroachdb/errors"
	"github.com/rs/zerolog"

	"tanagerbarrow/consensus/raft"
	"tanagerbarrow/consensus/wal"
)

// The times of a replica.
const (
	tickPeriod     = 50 * time.Millisecond
	heartbeatTicks = 10
	electionTicks  = 30
	// changeTicks is the time between two looks at due membership changes.
	changeTicks = 4
)

// The bounds of a replica.
const (
	inboxCapacity    = 1024
	proposalCapacity = 4096
	readCapacity     = 4096
	taskCapacity     = 64
	maxBatchCommands = 512
	maxAppendBytes   = 1 << 20
	maxInFlight      = 8192
	// maxCommandBytes bounds one command, in bytes.
	maxCommandBytes = 8 << 20
)

// identityBits is the size of a random identity; it fits a JSON number.
const identityBits = 48

// Options configure a [Node].
type Options struct {
	// Group is the group's name.
	Group string
	// Regional says that all members stand in one region.
	Regional bool
	// Name is this host's name among Hosts.
	Name string
	// Hosts are the hosts that the settings list for the group, with name and
	// peer address.
	Hosts []raft.Member
	// Discovery is set where the hosts are not listed; Hosts is then empty.
	Discovery *Discovery
	// TickPeriod is the length of a tick; zero for the default of 50 ms.
	TickPeriod time.Duration
	// HeartbeatTicks and ElectionTicks are the time between heartbeats and the
	// shortest election timeout, in ticks; zero for 10 and 30.
	HeartbeatTicks, ElectionTicks int
	// FirstElectionTicks is the shortest election timeout until the replica has
	// heard of a leader; zero for ElectionTicks.
	FirstElectionTicks int
	// Folder holds the replica's files.
	Folder string
	// FS is the file system of Folder.
	FS wal.FS
	// Machine applies the commands.
	Machine StateMachine
	// Transport reaches the other replicas.
	Transport Transport
	// Log receives the replica's events.
	Log zerolog.Logger
	// NewID draws the identity of an empty folder; nil for a random one.
	NewID func() raft.ReplicaID
	// CommitDuration receives the time from a command's arrival at the leader until it
	// is applied there, in seconds; nil for none.
	CommitDuration *metrics.Histogram
	// SnapshotEntries is the number of entries between two snapshots; zero for
	// the default.
	SnapshotEntries uint64
}

// Node is one replica of one group. It implements [Replicator].
type Node struct {
	options Options
	self    raft.Member
	core    *raft.Core
	store   *wal.Store
	log     zerolog.Logger

	inbox     chan Envelope
	proposals chan *proposal
	reads     chan *read
	tasks     chan func()

	// The fields below belong to the run goroutine.
	ticks        uint64
	applied      uint64
	waiting      map[uint64]*proposal
	openReads    map[uint64]*read
	appliedReads []*read
	nextRead     uint64
	snapshots    snapshotter
	assemblies   map[raft.ReplicaID]*assembly
	contacts     map[raft.ReplicaID]raft.Member

	status  atomic.Pointer[Status]
	leaving atomic.Bool
	// life ends when the replica is stopped.
	life    context.Context
	stop    context.CancelFunc
	done    chan struct{}
	failure error
	joined  sync.WaitGroup
}

// withDefaults fills in what the options leave out.
func (o Options) withDefaults() Options {
	if o.NewID == nil {
		o.NewID = randomID
	}
	if o.TickPeriod == 0 {
		o.TickPeriod = tickPeriod
	}
	if o.HeartbeatTicks == 0 {
		o.HeartbeatTicks = heartbeatTicks
	}
	if o.ElectionTicks == 0 {
		o.ElectionTicks = electionTicks
	}
	return o
}

// Open opens the replica's folder and starts the replica.
func Open(o Options) (*Node, error) {
	o = o.withDefaults()
	store, found, err := wal.Open(o.FS, o.Folder, o.NewID)
	if err != nil {
		return nil, errors.Wrapf(err, "open group %q", o.Group)
	}
	n := &Node{
		options: o, store: store,
		log:       o.Log.With().Str("group", o.Group).Logger(),
		inbox:     make(chan Envelope, inboxCapacity),
		proposals: make(chan *proposal, proposalCapacity),
		reads:     make(chan *read, readCapacity),
		tasks:     make(chan func(), taskCapacity),
		waiting:   map[uint64]*proposal{},
		openReads: map[uint64]*read{}, contacts: map[raft.ReplicaID]raft.Member{},
		assemblies: map[raft.ReplicaID]*assembly{},
		done:       make(chan struct{}),
	}
	if err := n.restore(found); err != nil {
		return nil, errors.CombineErrors(err, store.Close())
	}
	n.life, n.stop = context.WithCancel(context.Background())
	n.publish()
	go n.run(n.life)
	n.joined.Go(func() { n.join(n.life) })
	return n, nil
}

// restore builds the core and the state machine from the disk.
func (n *Node) restore(found *wal.Found) error {
	n.self = raft.Member{ID: found.ID, Name: n.options.Name}
	for _, h := range n.hosts() {
		if h.Name == n.options.Name {
			n.self.Address = h.Address
		}
	}
	last := found.Snapshot.Meta.Last.Index
	if last > 0 {
		if err := n.options.Machine.Restore(found.Snapshot.Data); err != nil {
			return errors.Wrapf(err, "restore group %q from the snapshot at index %d", n.options.Group, last)
		}
	}
	n.applied, n.snapshots.last = last, last
	n.core = raft.New(raft.Options{
		ID: found.ID, ElectionTicks: n.options.ElectionTicks, HeartbeatTicks: n.options.HeartbeatTicks,
		FirstElectionTicks: n.options.FirstElectionTicks,
		MaxAppendBytes:     maxAppendBytes, MaxInFlight: maxInFlight, Seed: uint64(found.ID) + found.HardState.Term,
	}, raft.PersistedState{HardState: found.HardState, Snapshot: found.Snapshot.Meta, Entries: found.Entries})
	n.log.Info().Uint64("identity", uint64(found.ID)).Uint64("snapshot", last).
		Int("entries", len(found.Entries)).Int("cut_bytes", found.CutBytes).Msg("replica opened")
	return nil
}

// randomID draws an identity.
func randomID() raft.ReplicaID {
	var data [8]byte
	_, _ = rand.Read(data[:])
	return raft.ReplicaID(binary.LittleEndian.Uint64(data[:])>>(64-identityBits) | 1)
}

// run drives the core until ctx ends or the disk fails.
func (n *Node) run(ctx context.Context) {
	defer close(n.done)
	ticker := time.NewTicker(n.options.TickPeriod)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			n.abandon()
			return
		case <-ticker.C:
			n.tick()
		case e := <-n.inbox:
			n.step(e)
		case p := <-n.proposals:
			n.propose(p)
		case r := <-n.reads:
			n.read(r)
		case task := <-n.tasks:
			task()
		}
		if err := n.work(); err != nil {
			n.failure = errors.Wrapf(err, "group %q", n.options.Group)
			n.log.Error().Err(err).Msg("replica stopped: what is on disk is not known")
			n.abandon()
			return
		}
	}
}

// tick advances the core's time.
func (n *Node) tick() {
	n.core.Tick()
	n.ticks++
	if n.ticks%changeTicks != 0 {
		return
	}
	m, due := n.core.NextMembershipChange()
	if d := n.options.Discovery; !due && d != nil {
		m, due = n.core.RemoveSurplusVoter(d.Voters)
	}
	if due {
		_, err := n.core.ProposeMembership(m)
		n.log.Info().Err(err).Interface("members", m).Msg("membership change")
	}
}

// step takes in messages, as many as wait.
func (n *Node) step(e Envelope) {
	for {
		if e.From.ID != 0 {
			n.contacts[e.From.ID] = e.From
		}
		for _, m := range e.Messages {
			n.core.Step(m)
		}
		select {
		case e = <-n.inbox:
		default:
			return
		}
	}
}

// work does what the core wants until there is nothing left.
func (n *Node) work() error {
	for {
		r := n.core.Ready()
		if r.Empty() {
			break
		}
		if err := n.carryOut(r); err != nil {
			return err
		}
	}
	n.publish()
	return n.takeSnapshot()
}

// carryOut sends, persists and applies.
func (n *Node) carryOut(r raft.Ready) error {
	n.send(r.Messages)
	if err := n.store.Save(r); err != nil {
		return err
	}
	n.send(r.MessagesAfterSync)
	n.core.Persisted(r)
	if r.Snapshot != nil {
		if err := n.install(*r.Snapshot); err != nil {
			return err
		}
	}
	for _, e := range r.Committed {
		n.apply(e)
	}
	n.finishReads(r.Reads)
	return nil
}

// send hands messages to the transport, one envelope for each receiver.
func (n *Node) send(messages []raft.Message) {
	envelopes := map[raft.ReplicaID]*Envelope{}
	var order []raft.ReplicaID
	for _, m := range messages {
		if m.Type == raft.InstallSnapshot {
			n.sendSnapshot(m)
			continue
		}
		e := envelopes[m.To]
		if e == nil {
			e = &Envelope{Group: n.options.Group}
			envelopes[m.To] = e
			order = append(order, m.To)
		}
		e.Messages = append(e.Messages, m)
		if m.Type != raft.Heartbeat && m.Type != raft.HeartbeatReply {
			e.From = n.self
		}
	}
	for _, id := range order {
		if to, ok := n.find(id); ok {
			n.options.Transport.Send(to, *envelopes[id])
		}
	}
}

// find returns a member or another replica that sent messages.
func (n *Node) find(id raft.ReplicaID) (raft.Member, bool) {
	m, ok := n.core.Members().Find(id)
	if !ok {
		m, ok = n.contacts[id]
	}
	return n.listed(m), ok
}

// listed returns a member with the address that the settings list for its host,
// which may be newer than the one in the log.
func (n *Node) listed(m raft.Member) raft.Member {
	for _, h := range n.hosts() {
		if h.Name == m.Name {
			m.Address = h.Address
		}
	}
	return m
}
