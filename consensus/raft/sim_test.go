package raft

import (
	"fmt"
	"slices"
	"strconv"
	"testing"

	"pgregory.net/rapid"
)

// testOptions returns the options of a simulated replica.
func testOptions(id ReplicaID, seed uint64) Options {
	return Options{
		ID: id, ElectionTicks: 10, HeartbeatTicks: 3, MaxAppendBytes: 64, MaxInFlight: 16, Seed: seed,
	}
}

// disk is the synced state of a simulated replica.
type disk struct {
	hard     HardState
	snapshot Snapshot
	entries  []Entry
}

// save persists a Ready.
func (d *disk) save(r Ready) {
	if r.HardState != nil {
		d.hard = *r.HardState
	}
	if r.Snapshot != nil {
		d.snapshot, d.entries = *r.Snapshot, nil
	}
	if len(r.Entries) > 0 {
		first := r.Entries[0].Index - d.snapshot.Meta.Last.Index - 1
		d.entries = append(slices.Clone(d.entries[:first]), r.Entries...)
	}
}

// replica is a simulated replica process.
type replica struct {
	id      ReplicaID
	core    *Core
	disk    disk
	running bool
	applied []string
}

// readCheck is the check of a pending read: minIndex is the lowest index that its
// result may have.
type readCheck struct{ minIndex uint64 }

// cluster is a simulated group over a network that loses, duplicates and reorders
// messages.
type cluster struct {
	t            rapid.TB
	seed         uint64
	replicas     map[ReplicaID]*replica
	replicaIDs   []ReplicaID
	hostNames    map[ReplicaID]string
	network      []Message
	blockedLinks map[[2]ReplicaID]bool
	leaders      map[uint64]ReplicaID
	entries      map[EntryID]string
	// committed holds the description of each entry that any replica applied, by
	// index.
	committed      map[uint64]string
	highestApplied uint64
	commands       int
	reads          map[uint64]readCheck
	nextID         ReplicaID
}

// newCluster returns a bootstrapped group of size voters.
func newCluster(t rapid.TB, size int, seed uint64) *cluster {
	c := &cluster{
		t: t, seed: seed, replicas: map[ReplicaID]*replica{}, hostNames: map[ReplicaID]string{},
		blockedLinks: map[[2]ReplicaID]bool{}, leaders: map[uint64]ReplicaID{}, entries: map[EntryID]string{},
		committed: map[uint64]string{}, reads: map[uint64]readCheck{},
	}
	var m Membership
	for i := range size {
		r := c.addReplica(fmt.Sprintf("control-%d", i+1))
		m.Voters = append(m.Voters, Member{ID: r.id, Name: c.hostNames[r.id]})
	}
	founder := c.replicas[1]
	founder.core.Bootstrap(m)
	c.processReady(founder, crashNever)
	return c
}

// addReplica starts an empty replica of the named host under a new ID.
func (c *cluster) addReplica(name string) *replica {
	c.nextID++
	r := &replica{id: c.nextID, running: true}
	c.replicas[r.id], c.hostNames[r.id] = r, name
	c.replicaIDs = append(c.replicaIDs, r.id)
	c.start(r)
	return r
}

// start starts a replica with the state on its disk.
func (c *cluster) start(r *replica) {
	c.seed++
	r.running, r.applied = true, nil
	r.core = New(testOptions(r.id, c.seed), PersistedState{
		HardState: r.disk.hard, Snapshot: r.disk.snapshot.Meta, Entries: slices.Clone(r.disk.entries),
	})
	r.restore(r.disk.snapshot)
}

// restore replaces the applied commands with those of a snapshot, each of which
// has eight bytes.
func (r *replica) restore(s Snapshot) {
	r.applied = nil
	for at := 0; at < len(s.Data); at += 8 {
		r.applied = append(r.applied, string(s.Data[at:at+8]))
	}
}

// The points at which processReady can crash a replica.
const (
	crashNever = iota
	crashBeforeSync
	crashAfterSync
	crashPointCount
)

// processReady processes all pending Readys as a driver does, and stops the
// replica at the given crash point.
func (c *cluster) processReady(r *replica, crash int) {
	for {
		ready := r.core.Ready()
		if ready.Empty() {
			break
		}
		c.sendAll(r, ready.Messages)
		if crash == crashBeforeSync {
			r.running = false
			return
		}
		r.disk.save(ready)
		if crash == crashAfterSync {
			r.running = false
			return
		}
		if ready.Snapshot != nil {
			r.restore(*ready.Snapshot)
		}
		c.sendAll(r, ready.MessagesAfterSync)
		for _, e := range ready.Committed {
			c.apply(r, e)
		}
		for _, read := range ready.Reads {
			c.checkRead(read)
		}
		r.core.Persisted(ready)
	}
	c.checkReplica(r)
}

// sendAll puts messages on the network and adds the data of snapshots.
func (c *cluster) sendAll(r *replica, messages []Message) {
	for _, m := range messages {
		if m.Type == InstallSnapshot {
			s := r.disk.snapshot
			m.Snapshot = &s
		}
		c.network = append(c.network, m)
	}
}

// apply applies a committed entry, and checks that no replica applied another one
// at its index and that no command is applied twice.
func (c *cluster) apply(r *replica, e Entry) {
	what := describe(e)
	if before, ok := c.committed[e.Index]; ok && before != what {
		c.t.Fatalf("replica %d applies %q at %d, another applied %q", r.id, what, e.Index, before)
	}
	c.committed[e.Index] = what
	c.highestApplied = max(c.highestApplied, e.Index)
	if e.Type != EntryCommand {
		return
	}
	if slices.Contains(r.applied, string(e.Data)) {
		c.t.Fatalf("replica %d applies command %q twice", r.id, e.Data)
	}
	r.applied = append(r.applied, string(e.Data))
}

// describe returns a text that differs for different entries.
func describe(e Entry) string {
	if e.Membership == nil {
		return strconv.FormatUint(e.Term, 10) + ":" + strconv.Itoa(int(e.Type)) + ":" + string(e.Data)
	}
	return fmt.Sprintf("%d:%d:%v", e.Term, e.Type, *e.Membership)
}

// checkReplica checks a replica against the whole run: each term has one leader,
// that leader has every committed entry, and entries with the same index and term
// are equal.
func (c *cluster) checkReplica(r *replica) {
	if r.core.Role() == Leader {
		if other, ok := c.leaders[r.core.Term()]; ok && other != r.id {
			c.t.Fatalf("replicas %d and %d both lead term %d", other, r.id, r.core.Term())
		}
		if _, ok := c.leaders[r.core.Term()]; !ok {
			c.checkLeaderComplete(r)
		}
		c.leaders[r.core.Term()] = r.id
	}
	for _, e := range r.core.log.entries {
		id, what := EntryID{e.Index, e.Term}, describe(e)
		if before, ok := c.entries[id]; ok && before != what {
			c.t.Fatalf("entry %v is %q on replica %d and was %q", id, what, r.id, before)
		}
		c.entries[id] = what
	}
}

// checkLeaderComplete checks that a new leader has every committed entry.
func (c *cluster) checkLeaderComplete(r *replica) {
	for index := r.core.log.base.Index + 1; index <= c.highestApplied; index++ {
		what, ok := c.committed[index]
		if !ok {
			continue
		}
		if index > r.core.LastEntryID().Index {
			c.t.Fatalf("leader %d lacks committed entry %d", r.id, index)
		}
		if got := describe(r.core.log.slice(index, index)[0]); got != what {
			c.t.Fatalf("leader %d has %q at committed index %d, want %q", r.id, got, index, what)
		}
	}
}

// checkRead checks that a read covers everything that was applied before it
// started.
func (c *cluster) checkRead(read ReadResult) {
	want := c.reads[read.ID]
	delete(c.reads, read.ID)
	if !read.Lost && read.Index < want.minIndex {
		c.t.Fatalf("read %d returned index %d, but %d was applied before it started", read.ID, read.Index, want.minIndex)
	}
}

// deliver passes a message to its receiver, unless the receiver is not running or
// the link is blocked.
func (c *cluster) deliver(m Message, crash int) {
	r := c.replicas[m.To]
	if r == nil || !r.running || c.blockedLinks[[2]ReplicaID{m.From, m.To}] {
		return
	}
	r.core.Step(m)
	c.processReady(r, crash)
}

// removeMessage removes a message from the network and returns it.
func (c *cluster) removeMessage(at int) Message {
	m := c.network[at]
	c.network = slices.Delete(c.network, at, at+1)
	return m
}

// leader returns the leader of the highest term among running replicas.
func (c *cluster) leader() *replica {
	var best *replica
	for _, id := range c.replicaIDs {
		r := c.replicas[id]
		if r != nil && r.running && r.core.Role() == Leader && (best == nil || r.core.Term() > best.core.Term()) {
			best = r
		}
	}
	return best
}

// propose proposes count unique commands of eight bytes each.
func (c *cluster) propose(r *replica, count, crash int) {
	var commands [][]byte
	for range count {
		c.commands++
		commands = append(commands, fmt.Appendf(nil, "%08d", c.commands))
	}
	r.core.Propose(commands...)
	c.processReady(r, crash)
}

// read starts a read, by Read or by ReadAtHeartbeat.
func (c *cluster) read(r *replica) {
	id := uint64(len(c.reads)) + c.highestApplied<<20 + uint64(c.commands)<<8
	if _, used := c.reads[id]; used {
		return
	}
	c.reads[id] = readCheck{minIndex: c.highestApplied}
	start := r.core.Read
	if id%2 == 1 {
		start = r.core.ReadAtHeartbeat
	}
	if !start(id) {
		delete(c.reads, id)
	}
	c.processReady(r, crashNever)
}

// compact takes a snapshot of the replica's applied commands and compacts its log.
func (c *cluster) compact(r *replica, keep uint64) {
	at := r.core.log.applied
	meta := r.core.SnapshotMeta(at)
	if at <= r.disk.snapshot.Meta.Last.Index {
		return
	}
	first := r.disk.snapshot.Meta.Last.Index + 1
	var data []byte
	for _, command := range r.applied {
		data = append(data, command...)
	}
	r.disk.entries = slices.Clone(r.disk.entries[at-first+1:])
	r.disk.snapshot = Snapshot{Meta: meta, Data: data}
	r.core.Compact(meta, keep)
}

// canLoseDisk reports whether the newest membership of every replica keeps a
// quorum of voters if the replica loses its disk.
func (c *cluster) canLoseDisk(id ReplicaID) bool {
	for _, r := range c.replicas {
		m := r.core.Members()
		left := 0
		for _, v := range m.Voters {
			if c.replicas[v.ID] != nil && v.ID != id {
				left++
			}
		}
		if len(m.Voters) > 0 && left < m.Quorum() {
			return false
		}
	}
	return c.highestApplied > 1
}

// noDiskLost reports whether no voter has lost its disk. If one has, removing
// another voter could lose the quorum, which a leader cannot detect in time.
func (c *cluster) noDiskLost(m Membership) bool {
	for _, v := range m.Voters {
		if c.replicas[v.ID] == nil {
			return false
		}
	}
	return true
}

// loseDisk removes a replica permanently and starts an empty one on the same host.
func (c *cluster) loseDisk(r *replica) {
	r.running = false
	delete(c.replicas, r.id)
	c.replicaIDs = slices.DeleteFunc(c.replicaIDs, func(id ReplicaID) bool { return id == r.id })
	c.addReplica(c.hostNames[r.id])
}

// changeMembership proposes the membership change that is due, or else adds a
// replica that is not a member yet as a learner.
func (c *cluster) changeMembership(r *replica, crash int) {
	m, due := r.core.NextMembershipChange()
	for _, id := range c.replicaIDs {
		if _, known := m.Find(id); !known && !due {
			m, due = m.AddLearner(Member{ID: id, Name: c.hostNames[id]}), true
		}
	}
	if due {
		_, _ = r.core.ProposeMembership(m)
		c.processReady(r, crash)
	}
}

// converge unblocks all links, starts all replicas and runs until they agree and
// no membership change is due. It fails after 3,000 ticks.
func (c *cluster) converge() {
	clear(c.blockedLinks)
	for _, id := range c.replicaIDs {
		if r := c.replicas[id]; !r.running {
			c.start(r)
		}
	}
	for range 3000 {
		for _, id := range c.replicaIDs {
			c.replicas[id].core.Tick()
			c.processReady(c.replicas[id], crashNever)
		}
		for n := len(c.network); n > 0; n-- {
			c.deliver(c.removeMessage(0), crashNever)
		}
		if l := c.leader(); l != nil {
			c.changeMembership(l, crashNever)
			if c.hasConverged(l) {
				return
			}
		}
	}
	c.t.Fatalf("the group did not converge: %s", c)
}

// hasConverged reports whether all replicas are voters and have applied the whole
// log of the leader l.
func (c *cluster) hasConverged(l *replica) bool {
	m := l.core.Members()
	if len(m.Learners) > 0 || !l.core.committedInTerm() || len(m.Voters) != len(c.replicaIDs) {
		return false
	}
	for _, id := range c.replicaIDs {
		r := c.replicas[id]
		if r.core.log.applied != l.core.LastEntryID().Index || !slices.Equal(r.applied, l.applied) {
			return false
		}
	}
	return true
}

// String describes the replicas.
func (c *cluster) String() string {
	var out string
	for _, id := range c.replicaIDs {
		r := c.replicas[id]
		out += fmt.Sprintf("[%d %s term %d last %v commit %d up %v members %v]\n",
			id, r.core.Role(), r.core.Term(), r.core.LastEntryID(), r.core.CommitIndex(), r.running, r.core.Members())
	}
	return out
}

// checkNothingLost checks that an entry was applied at every index up to the
// highest, and that the leader applied no command twice.
func (c *cluster) checkNothingLost() {
	finalCommands := c.leader().applied
	count := 0
	for index := uint64(1); index <= c.highestApplied; index++ {
		if _, ok := c.committed[index]; ok {
			count++
		}
	}
	if uint64(count) != c.highestApplied {
		c.t.Fatalf("%d entries were applied up to index %d", count, c.highestApplied)
	}
	seen := map[string]bool{}
	for _, command := range finalCommands {
		if seen[command] {
			c.t.Fatalf("command %q was applied twice", command)
		}
		seen[command] = true
	}
}

// TestCheckerDetectsTwoLeaders checks that checkReplica detects a violated
// invariant.
func TestCheckerDetectsTwoLeaders(t *testing.T) {
	failures := &failureRecorder{TB: t}
	c := newCluster(failures, 3, 1)
	for _, id := range []ReplicaID{1, 2} {
		r := c.replicas[id]
		r.core.term = 7
		r.core.becomeLeader()
		c.checkReplica(r)
	}
	if !failures.failed {
		t.Fatal("two leaders of one term were not detected")
	}
}

// failureRecorder records that a test failed instead of stopping it.
type failureRecorder struct {
	rapid.TB
	failed bool
}

// Fatalf records the failure.
func (r *failureRecorder) Fatalf(string, ...any) { r.failed = true }
