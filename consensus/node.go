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

// Times of a replica.
const (
	tickPeriod     = 50 * time.Millisecond
	heartbeatTicks = 10
	electionTicks  = 30
	// membershipCheckTicks is the number of ticks between two checks for due
	// membership changes.
	membershipCheckTicks = 4
)

// Bounds of a replica.
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

// replicaIDBits is the size of a random replica ID, in bits; a JSON number can
// represent it exactly.
const replicaIDBits = 48

// Options configure a [Node].
type Options struct {
	// Group is the group's name.
	Group string
	// Regional says that all members are located in one region.
	Regional bool
	// Name is this host's name among Hosts.
	Name string
	// Hosts are the configured hosts of the group, with name and peer address.
	Hosts []raft.Member
	// Discovery is set if the hosts are not configured; Hosts is then empty.
	Discovery *Discovery
	// TickPeriod is the length of a tick; zero for the default of 50 ms.
	TickPeriod time.Duration
	// HeartbeatTicks is the time between heartbeats and ElectionTicks the
	// shortest election timeout, in ticks; zero for 10 and 30.
	HeartbeatTicks, ElectionTicks int
	// FirstElectionTicks is the shortest election timeout until the replica has
	// received a message of a leader, in ticks; zero for ElectionTicks.
	FirstElectionTicks int
	// Folder is the path of the folder with the replica's files.
	Folder string
	// FS is the file system of Folder.
	FS wal.FS
	// Machine is the state machine that applies the commands.
	Machine StateMachine
	// Transport sends messages to the other replicas.
	Transport Transport
	// Log is the logger of the replica.
	Log zerolog.Logger
	// NewID generates the replica ID for an empty folder; nil for a random one.
	NewID func() raft.ReplicaID
	// CommitDuration records the time from a command's arrival at the leader
	// until it is applied there, in seconds; nil for none.
	CommitDuration *metrics.Histogram
	// SnapshotEntries is the number of log entries between two snapshots; zero
	// for 10,000.
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

	// The fields below are accessed only by the run goroutine.
	ticks             uint64
	applied           uint64
	pendingProposals  map[uint64]*proposal
	pendingReads      map[uint64]*read
	unappliedReads    []*read
	lastReadID        uint64
	snapshots         snapshotter
	incomingSnapshots map[raft.ReplicaID]*incomingSnapshot
	senders           map[raft.ReplicaID]raft.Member

	status    atomic.Pointer[Status]
	resigning atomic.Bool
	// lifetime ends when the replica is stopped.
	lifetime   context.Context
	stop       context.CancelFunc
	done       chan struct{}
	failure    error
	background sync.WaitGroup
}

// withDefaults returns the options with defaults for the unset ones.
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

// Open opens the replica's folder, restores its state and starts the replica.
func Open(o Options) (*Node, error) {
	o = o.withDefaults()
	store, recovered, err := wal.Open(o.FS, o.Folder, o.NewID)
	if err != nil {
		return nil, errors.Wrapf(err, "open group %q", o.Group)
	}
	n := &Node{
		options: o, store: store,
		log:              o.Log.With().Str("group", o.Group).Logger(),
		inbox:            make(chan Envelope, inboxCapacity),
		proposals:        make(chan *proposal, proposalCapacity),
		reads:            make(chan *read, readCapacity),
		tasks:            make(chan func(), taskCapacity),
		pendingProposals: map[uint64]*proposal{},
		pendingReads:     map[uint64]*read{}, senders: map[raft.ReplicaID]raft.Member{},
		incomingSnapshots: map[raft.ReplicaID]*incomingSnapshot{},
		done:              make(chan struct{}),
	}
	if err := n.restore(recovered); err != nil {
		return nil, errors.CombineErrors(err, store.Close())
	}
	n.lifetime, n.stop = context.WithCancel(context.Background())
	n.publish()
	go n.run(n.lifetime)
	n.background.Go(func() { n.join(n.lifetime) })
	return n, nil
}

// restore builds the core and the state machine from the stored state.
func (n *Node) restore(recovered *wal.Recovered) error {
	n.self = raft.Member{ID: recovered.ID, Name: n.options.Name}
	for _, h := range n.hosts() {
		if h.Name == n.options.Name {
			n.self.Address = h.Address
		}
	}
	last := recovered.Snapshot.Meta.Last.Index
	if last > 0 {
		if err := restoreAt(n.options.Machine, last, recovered.Snapshot.Data); err != nil {
			return errors.Wrapf(err, "restore group %q from the snapshot at index %d", n.options.Group, last)
		}
	}
	n.applied, n.snapshots.lastIndex = last, last
	n.core = raft.New(raft.Options{
		ID: recovered.ID, ElectionTicks: n.options.ElectionTicks, HeartbeatTicks: n.options.HeartbeatTicks,
		FirstElectionTicks: n.options.FirstElectionTicks,
		MaxAppendBytes:     maxAppendBytes, MaxInFlight: maxInFlight, Seed: uint64(recovered.ID) + recovered.HardState.Term,
	}, raft.PersistedState{HardState: recovered.HardState, Snapshot: recovered.Snapshot.Meta, Entries: recovered.Entries})
	n.log.Info().Uint64("identity", uint64(recovered.ID)).Uint64("snapshot", last).
		Int("entries", len(recovered.Entries)).Int("cut_bytes", recovered.CutBytes).Msg("replica opened")
	return nil
}

// randomID generates a random replica ID; it is never zero.
func randomID() raft.ReplicaID {
	var data [8]byte
	_, _ = rand.Read(data[:])
	return raft.ReplicaID(binary.LittleEndian.Uint64(data[:])>>(64-replicaIDBits) | 1)
}

// run drives the core until ctx ends or the disk or state machine fails.
func (n *Node) run(ctx context.Context) {
	defer close(n.done)
	ticker := time.NewTicker(n.options.TickPeriod)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			n.failPending()
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
		if err := n.drainReady(); err != nil {
			n.failure = errors.Wrapf(err, "group %q", n.options.Group)
			n.log.Error().Err(err).Msg("replica stopped: the durable state is unknown")
			n.stepAside()
			n.failPending()
			return
		}
	}
}

// stepAside makes another voter lead in place of this replica, whose disk or state machine
// has failed. It sends no message that depends on what the disk has not taken.
func (n *Node) stepAside() {
	if m, ok := n.core.Abdicate(); ok {
		n.send([]raft.Message{m})
	}
	s := *n.status.Load()
	s.Role, s.Leader, s.LeaderID, s.Answering = raft.Follower.String(), "", 0, nil
	n.status.Store(&s)
}

// tick advances the core's clock and proposes membership changes that are due.
func (n *Node) tick() {
	n.core.Tick()
	n.ticks++
	if n.ticks%membershipCheckTicks != 0 {
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

// step passes all queued messages to the core.
func (n *Node) step(e Envelope) {
	for {
		if e.From.ID != 0 {
			n.senders[e.From.ID] = e.From
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

// drainReady processes the core's pending work until there is none left, then
// publishes the status and takes a snapshot if one is due.
func (n *Node) drainReady() error {
	for {
		r := n.core.Ready()
		if r.Empty() {
			break
		}
		if err := n.processReady(r); err != nil {
			return err
		}
	}
	n.publish()
	return n.takeSnapshot()
}

// processReady sends the messages that need not wait for the disk, persists,
// sends the remaining messages and applies the committed entries.
func (n *Node) processReady(r raft.Ready) error {
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

// send passes messages to the transport, in one envelope for each receiver. A
// heartbeat names its sender only until the receiver has acknowledged an entry:
// before, it may not know where to send its replies.
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
		heartbeat := m.Type == raft.Heartbeat || m.Type == raft.HeartbeatReply
		if !heartbeat || !n.core.HasAcknowledged(m.To) {
			e.From = n.self
		}
	}
	for _, id := range order {
		if to, ok := n.findReplica(id); ok {
			n.options.Transport.Send(to, *envelopes[id])
		}
	}
}

// findReplica returns a member, or another replica that sent messages to this
// one.
func (n *Node) findReplica(id raft.ReplicaID) (raft.Member, bool) {
	m, ok := n.core.Members().Find(id)
	if !ok {
		m, ok = n.senders[id]
	}
	return n.withCurrentAddress(m), ok
}

// withCurrentAddress returns a member with the configured or discovered address
// of its host, which may be newer than the one in the log.
func (n *Node) withCurrentAddress(m raft.Member) raft.Member {
	for _, h := range n.hosts() {
		if h.Name == m.Name {
			m.Address = h.Address
		}
	}
	return m
}
