package consensus

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"tanagerbarrow/consensus/raft"
	"tanagerbarrow/consensus/waltest"
	"tanagerbarrow/verdict"
)

// errResponseLost is the error of a call whose response was lost.
var errResponseLost = errors.New("the response was lost")

// commandRecorder is a state machine that records its commands in order.
type commandRecorder struct {
	mu       sync.Mutex
	commands []string
	// hook is called before and after each command is applied.
	hook func(after bool)
}

// Apply appends a command and returns the number of commands.
func (c *commandRecorder) Apply(command []byte) ([]byte, error) {
	c.mu.Lock()
	hook := c.hook
	c.mu.Unlock()
	hook(false)
	c.mu.Lock()
	c.commands = append(c.commands, string(command))
	n := len(c.commands)
	c.mu.Unlock()
	hook(true)
	return fmt.Appendf(nil, "%d", n), nil
}

// Snapshot returns the commands.
func (c *commandRecorder) Snapshot() ([]byte, error) { return json.Marshal(c.all()) }

// Restore replaces the commands.
func (c *commandRecorder) Restore(data []byte) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.commands = nil
	return json.Unmarshal(data, &c.commands)
}

// all returns the commands.
func (c *commandRecorder) all() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return slices.Clone(c.commands)
}

// process is one replica of a test group with its disk and state machine.
type process struct {
	name    string
	node    *Node
	disk    *waltest.FS
	machine *commandRecorder
	killed  atomic.Bool
}

// group is a group of replicas in one process over a simulated network. starts
// counts the starts of processes.
type group struct {
	t         *testing.T
	processes []*process
	starts    int

	mu          sync.Mutex
	partitioned map[string]bool
	// onSend is called before each envelope is delivered, afterCall after each
	// executed call. dropEnvelope, if set, says which envelopes are lost.
	onSend       func(from, to string, e Envelope)
	afterCall    func(from, to string, r Request) error
	dropEnvelope func(from, to string, e Envelope) bool
}

// newGroup starts a group of size hosts that bootstrap it.
func newGroup(t *testing.T, size int) *group {
	g := &group{
		t: t, partitioned: map[string]bool{},
		onSend: func(string, string, Envelope) {}, afterCall: func(string, string, Request) error { return nil },
	}
	for i := range size {
		p := &process{name: fmt.Sprintf("control-%d", i+1), disk: waltest.New()}
		g.processes = append(g.processes, p)
	}
	for _, p := range g.processes {
		g.start(p)
	}
	return g
}

// addHost starts another host and asks the leader to add it.
func (g *group) addHost() {
	g.t.Helper()
	leader := g.leader()
	p := g.startHost()
	if err := leader.node.Change(g.t.Context(), Change{Kind: AddReplica, Name: p.name, Address: p.name}); err != nil {
		g.t.Fatal(err)
	}
}

// startHost starts another host, which is not a member yet.
func (g *group) startHost() *process {
	g.t.Helper()
	p := &process{name: fmt.Sprintf("control-%d", len(g.processes)+1), disk: waltest.New()}
	g.mu.Lock()
	g.processes = append(g.processes, p)
	g.mu.Unlock()
	g.start(p)
	return p
}

// countSyncs counts the syncs on a process's disk; each sync takes 1 ms more.
func countSyncs(p *process) *atomic.Int64 {
	var syncs atomic.Int64
	p.disk.SetHook(func(op waltest.Op, _ string, after bool) error {
		if op == waltest.OpSync && after {
			syncs.Add(1)
			time.Sleep(time.Millisecond)
		}
		return nil
	})
	return &syncs
}

// start starts a process on its disk.
func (g *group) start(p *process) {
	g.t.Helper()
	g.starts++
	var hosts []raft.Member
	for _, other := range g.processes {
		hosts = append(hosts, raft.Member{Name: other.name, Address: other.name})
	}
	p.machine = &commandRecorder{hook: func(bool) {}}
	id := raft.ReplicaID(g.starts)
	node, err := Open(Options{
		Group: "test", Name: p.name, Hosts: hosts, Folder: "/data/test", FS: p.disk, Machine: p.machine,
		Transport: &fakeTransport{group: g, from: p.name}, Log: zerolog.Nop(), SnapshotEntries: 8,
		NewID: func() raft.ReplicaID { return id },
	})
	if err != nil {
		g.t.Fatal(err)
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	p.node = node
	p.killed.Store(false)
	g.partitioned[p.name] = false
}

// stop stops all processes.
func (g *group) stop() {
	for _, p := range g.processes {
		p.node.Kill()
	}
}

// setPartitioned disconnects a process from the others or reconnects it.
func (g *group) setPartitioned(name string, partitioned bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.partitioned[name] = partitioned
}

// reachable returns the replica of a process, or nil if it is not connected.
func (g *group) reachable(from, to string) *Node {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, p := range g.processes {
		if p.name == to && !g.partitioned[from] && !g.partitioned[to] && p.node != nil {
			return p.node
		}
	}
	return nil
}

// hooks returns the hooks of the network.
func (g *group) hooks() (onSend func(from, to string, e Envelope), afterCall func(from, to string, r Request) error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.onSend, g.afterCall
}

// fakeTransport is the [Transport] of one process.
type fakeTransport struct {
	group *group
	from  string
}

// Send delivers an envelope at once.
func (f *fakeTransport) Send(to raft.Member, e Envelope) {
	onSend, _ := f.group.hooks()
	onSend(f.from, to.Name, e)
	f.group.mu.Lock()
	drop := f.group.dropEnvelope
	f.group.mu.Unlock()
	if drop != nil && drop(f.from, to.Name, e) {
		return
	}
	if n := f.group.reachable(f.from, to.Name); n != nil {
		n.Receive(e)
	}
}

// Call executes a call; its response is lost if the processes are disconnected
// meanwhile.
func (f *fakeTransport) Call(ctx context.Context, to raft.Member, r Request) (Response, error) {
	n := f.group.reachable(f.from, to.Name)
	if n == nil {
		return Response{}, ErrNotConnected
	}
	response := n.Handle(ctx, r)
	_, afterCall := f.group.hooks()
	if err := afterCall(f.from, to.Name, r); err != nil {
		return Response{}, err
	}
	if f.group.reachable(f.from, to.Name) == nil {
		return Response{}, errResponseLost
	}
	return response, nil
}

// eventually waits until a condition holds, at most 2 minutes of virtual time.
func (g *group) eventually(what string, condition func() bool) {
	g.t.Helper()
	for range 2400 {
		if condition() {
			return
		}
		time.Sleep(50 * time.Millisecond)
	}
	for _, p := range g.processes {
		g.t.Logf("%s: %+v", p.name, p.node.Status())
	}
	g.t.Fatalf("timed out waiting until %s", what)
}

// leader waits for a leader that all processes know.
func (g *group) leader() *process {
	g.t.Helper()
	var found *process
	g.eventually("all processes know the leader", func() bool {
		found = nil
		name := g.processes[0].node.Status().Leader
		for _, p := range g.processes {
			s := p.node.Status()
			if s.Leader != name {
				return false
			}
			if s.Role == raft.Leader.String() {
				found = p
			}
		}
		return found != nil
	})
	return found
}

// propose proposes a command through a process that may be killed meanwhile.
func (g *group) propose(via *process, command string) error {
	ctx, cancel := context.WithTimeout(g.t.Context(), 20*time.Second)
	defer cancel()
	_, err := via.node.Propose(ctx, []byte(command))
	if via.killed.Load() {
		return errResponseLost
	}
	return err
}

// outcomeChecker compares the outcomes of commands with the commands that the
// replicas applied.
type outcomeChecker struct {
	accepted, refused []string
}

// record records the outcome of a command.
func (o *outcomeChecker) record(command string, err error) {
	switch {
	case err == nil:
		o.accepted = append(o.accepted, command)
	case verdict.Of(err) == verdict.NotRun:
		o.refused = append(o.refused, command)
	}
}

// check waits until all replicas have applied the same commands and compares
// those with the outcomes.
func (o *outcomeChecker) check(g *group) {
	g.t.Helper()
	g.eventually("all replicas are voters and have applied the same commands", func() bool {
		want := g.processes[0].machine.all()
		members := g.processes[0].node.Status().Members
		for _, p := range g.processes {
			s := p.node.Status()
			if !s.Members.IsVoter(s.ReplicaID) || len(s.Members.Voters) != len(members.Voters) ||
				!slices.Equal(p.machine.all(), want) {
				return false
			}
		}
		return len(members.Learners) == 0 && len(members.Voters) <= len(g.processes) && len(want) >= len(o.accepted)
	})
	count := map[string]int{}
	for _, command := range g.processes[0].machine.all() {
		count[command]++
		if count[command] > 1 {
			g.t.Errorf("command %q was applied twice", command)
		}
	}
	for _, command := range o.accepted {
		if count[command] == 0 {
			g.t.Errorf("accepted command %q is lost", command)
		}
	}
	for _, command := range o.refused {
		if count[command] > 0 {
			g.t.Errorf("command %q failed as NotRun but was applied", command)
		}
	}
}
