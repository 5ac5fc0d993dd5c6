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

// disk is what a simulated replica has synced.
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

// replica is a simulated process.
type replica struct {
	id      ReplicaID
	core    *Core
	disk    disk
	up      bool
	applied []string
}

// readCheck is a read in progress and the commit index that it must reach.
type readCheck struct{ floor uint64 }

// cluster is a simulated group over a network that loses, repeats and reorders.
type cluster struct {
	t        rapid.TB
	seed     uint64
	replicas map[ReplicaID]*replica
	order    []ReplicaID
	names    map[ReplicaID]string
	network  []Message
	cut      map[[2]ReplicaID]bool
	leaders  map[uint64]ReplicaID
	entries  map[EntryID]string
	// committed holds what was applied anywhere, by index.
	committed map[uint64]string
	highest   uint64
	commands  int
	reads     map[uint64]readCheck
	nextID    ReplicaID
}

// newCluster returns a founded group.
func newCluster(t rapid.TB, size int, seed uint64) *cluster {
	c := &cluster{
		t: t, seed: seed, replicas: map[ReplicaID]*replica{}, names: map[ReplicaID]string{},
		cut: map[[2]ReplicaID]bool{}, leaders: map[uint64]ReplicaID{}, entries: map[EntryID]string{},
		committed: map[uint64]string{}, reads: map[uint64]readCheck{},
	}
	var m Membership
	for i := range size {
		r := c.add(fmt.Sprintf("control-%d", i+1))
		m.Voters = append(m.Voters, Member{ID: r.id, Name: c.names[r.id]})
	}
	founder := c.replicas[1]
	founder.core.Bootstrap(m)
	c.handle(founder, crashNever)
	return c
}

// add starts an empty replica under a new identity.
func (c *cluster) add(name string) *replica {
	c.nextID++
	r := &replica{id: c.nextID, up: true}
	c.replicas[r.id], c.names[r.id] = r, name
	c.order = append(c.order, r.id)
	c.start(r)
	return r
}

// start starts a replica from its disk.
func (c *cluster) start(r *replica) {
	c.seed++
	r.up, r.applied = true, nil
	r.core = New(testOptions(r.id, c.seed), PersistedState{
		HardState: r.disk.hard, Snapshot: r.disk.snapshot.Meta, Entries: slices.Clone(r.disk.entries),
	})
	r.restore(r.disk.snapshot)
}

// restore replaces the applied commands by a snapshot.
func (r *replica) restore(s Snapshot) {
	r.applied = nil
	for at := 0; at < len(s.Data); at += 8 {
		r.applied = append(r.applied, string(s.Data[at:at+8]))
	}
}

// The places at which handle can crash a replica.
const (
	crashNever = iota
	crashBeforeSync
	crashAfterSync
	crashPlaces
)

// handle carries out a Ready like a driver and may crash on the way.
func (c *cluster) handle(r *replica, crash int) {
	for {
		ready := r.core.Ready()
		if ready.Empty() {
			break
		}
		c.sendAll(r, ready.Messages)
		if crash == crashBeforeSync {
			r.up = false
			return
		}
		r.disk.save(ready)
		if crash == crashAfterSync {
			r.up = false
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
	c.check(r)
}

// sendAll puts messages on the network; snapshots get their data.
func (c *cluster) sendAll(r *replica, messages []Message) {
	for _, m := range messages {
		if m.Type == InstallSnapshot {
			s := r.disk.snapshot
			m.Snapshot = &s
		}
		c.network = append(c.network, m)
	}
}

// apply applies a committed entry and compares it with other replicas.
func (c *cluster) apply(r *replica, e Entry) {
	what := describe(e)
	if before, ok := c.committed[e.Index]; ok && before != what {
		c.t.Fatalf("replica %d applies %q at %d, another applied %q", r.id, what, e.Index, before)
	}
	c.committed[e.Index] = what
	c.highest = max(c.highest, e.Index)
	if e.Type != EntryCommand {
		return
	}
	if slices.Contains(r.applied, string(e.Data)) {
		c.t.Fatalf("replica %d applies command %q twice", r.id, e.Data)
	}
	r.applied = append(r.applied, string(e.Data))
}

// describe returns a text that tells entries apart.
func describe(e Entry) string {
	if e.Membership == nil {
		return strconv.FormatUint(e.Term, 10) + ":" + strconv.Itoa(int(e.Type)) + ":" + string(e.Data)
	}
	return fmt.Sprintf("%d:%d:%v", e.Term, e.Type, *e.Membership)
}

// check holds the invariants over one replica against all that was seen.
func (c *cluster) check(r *replica) {
	if r.core.Role() == Leader {
		if other, ok := c.leaders[r.core.Term()]; ok && other != r.id {
			c.t.Fatalf("replicas %d and %d both lead term %d", other, r.id, r.core.Term())
		}
		if _, ok := c.leaders[r.core.Term()]; !ok {
			c.checkComplete(r)
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

// checkComplete holds that a new leader has every committed entry.
func (c *cluster) checkComplete(r *replica) {
	for index := r.core.log.base.Index + 1; index <= c.highest; index++ {
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

// checkRead holds that a read sees everything that was applied before it began.
func (c *cluster) checkRead(read ReadResult) {
	want := c.reads[read.ID]
	delete(c.reads, read.ID)
	if !read.Lost && read.Index < want.floor {
		c.t.Fatalf("read %d sees index %d, but %d was applied before it began", read.ID, read.Index, want.floor)
	}
}

// deliver hands a message to its receiver, unless the way is cut.
func (c *cluster) deliver(m Message, crash int) {
	r := c.replicas[m.To]
	if r == nil || !r.up || c.cut[[2]ReplicaID{m.From, m.To}] {
		return
	}
	r.core.Step(m)
	c.handle(r, crash)
}

// take removes a message from the network.
func (c *cluster) take(at int) Message {
	m := c.network[at]
	c.network = slices.Delete(c.network, at, at+1)
	return m
}

// leader returns the leader of the highest term among running replicas.
func (c *cluster) leader() *replica {
	var best *replica
	for _, id := range c.order {
		r := c.replicas[id]
		if r != nil && r.up && r.core.Role() == Leader && (best == nil || r.core.Term() > best.core.Term()) {
			best = r
		}
	}
	return best
}

// propose appends unique commands of eight bytes.
func (c *cluster) propose(r *replica, count, crash int) {
	var commands [][]byte
	for range count {
		c.commands++
		commands = append(commands, fmt.Appendf(nil, "%08d", c.commands))
	}
	r.core.Propose(commands...)
	c.handle(r, crash)
}

// read starts a read.
func (c *cluster) read(r *replica) {
	id := uint64(len(c.reads)) + c.highest<<20 + uint64(c.commands)<<8
	if _, used := c.reads[id]; used {
		return
	}
	c.reads[id] = readCheck{floor: c.highest}
	start := r.core.Read
	if id%2 == 1 {
		start = r.core.ReadAtHeartbeat
	}
	if !start(id) {
		delete(c.reads, id)
	}
	c.handle(r, crashNever)
}

// compact takes a snapshot of what the replica has applied.
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

// mayLose reports whether every membership keeps a quorum without a replica.
func (c *cluster) mayLose(id ReplicaID) bool {
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
	return c.highest > 1
}

// allAlive reports whether no voter has lost its disk. Removing one of the
// others could then end the quorum, which no leader can know in time.
func (c *cluster) allAlive(m Membership) bool {
	for _, v := range m.Voters {
		if c.replicas[v.ID] == nil {
			return false
		}
	}
	return true
}

// loseDisk ends a replica for good and starts an empty one in its place.
func (c *cluster) loseDisk(r *replica) {
	r.up = false
	delete(c.replicas, r.id)
	c.order = slices.DeleteFunc(c.order, func(id ReplicaID) bool { return id == r.id })
	c.add(c.names[r.id])
}

// repair lets empty replicas of known hosts join and carries out the change
// that is due.
func (c *cluster) repair(r *replica, crash int) {
	m, due := r.core.NextMembershipChange()
	for _, id := range c.order {
		if _, known := m.Find(id); !known && !due {
			m, due = m.AddLearner(Member{ID: id, Name: c.names[id]}), true
		}
	}
	if due {
		_, _ = r.core.ProposeMembership(m)
		c.handle(r, crash)
	}
}

// settle heals everything and runs until all replicas agree and no repair is
// left to do.
func (c *cluster) settle() {
	clear(c.cut)
	for _, id := range c.order {
		if r := c.replicas[id]; !r.up {
			c.start(r)
		}
	}
	for range 3000 {
		for _, id := range c.order {
			c.replicas[id].core.Tick()
			c.handle(c.replicas[id], crashNever)
		}
		for n := len(c.network); n > 0; n-- {
			c.deliver(c.take(0), crashNever)
		}
		if l := c.leader(); l != nil {
			c.repair(l, crashNever)
			if c.settled(l) {
				return
			}
		}
	}
	c.t.Fatalf("the group did not settle: %s", c)
}

// settled reports whether every replica holds what the leader holds.
func (c *cluster) settled(l *replica) bool {
	m := l.core.Members()
	if len(m.Learners) > 0 || !l.core.committedInTerm() || len(m.Voters) != len(c.order) {
		return false
	}
	for _, id := range c.order {
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
	for _, id := range c.order {
		r := c.replicas[id]
		out += fmt.Sprintf("[%d %s term %d last %v commit %d up %v members %v]\n",
			id, r.core.Role(), r.core.Term(), r.core.LastEntryID(), r.core.CommitIndex(), r.up, r.core.Members())
	}
	return out
}

// checkAllKept holds that the final log has everything that was ever applied.
func (c *cluster) checkAllKept() {
	kept := c.leader().applied
	count := 0
	for index := uint64(1); index <= c.highest; index++ {
		if _, ok := c.committed[index]; ok {
			count++
		}
	}
	if uint64(count) != c.highest {
		c.t.Fatalf("%d entries were applied up to index %d", count, c.highest)
	}
	seen := map[string]bool{}
	for _, command := range kept {
		if seen[command] {
			c.t.Fatalf("command %q was applied twice", command)
		}
		seen[command] = true
	}
}

// TestTwoLeadersAreFound shows that the checker notices a broken rule.
func TestTwoLeadersAreFound(t *testing.T) {
	probe := &recorder{TB: t}
	c := newCluster(probe, 3, 1)
	for _, id := range []ReplicaID{1, 2} {
		r := c.replicas[id]
		r.core.term = 7
		r.core.becomeLeader()
		c.check(r)
	}
	if !probe.failed {
		t.Fatal("two leaders of one term went unnoticed")
	}
}

// recorder notes a failure in place of failing.
type recorder struct {
	rapid.TB
	failed bool
}

// Fatalf notes the failure.
func (r *recorder) Fatalf(string, ...any) { r.failed = true }
