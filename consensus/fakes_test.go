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

// errLost is the error of a call whose answer was lost.
var errLost = errors.New("the answer was lost")

// list is a state machine that keeps its commands in order.
type list struct {
	mu       sync.Mutex
	commands []string
	// hook is called before and after each command is applied.
	hook func(after bool)
}

// Apply appends a command and returns the number of commands.
func (l *list) Apply(command []byte) ([]byte, error) {
	l.mu.Lock()
	hook := l.hook
	l.mu.Unlock()
	hook(false)
	l.mu.Lock()
	l.commands = append(l.commands, string(command))
	n := len(l.commands)
	l.mu.Unlock()
	hook(true)
	return fmt.Appendf(nil, "%d", n), nil
}

// Snapshot returns the commands.
func (l *list) Snapshot() ([]byte, error) { return json.Marshal(l.all()) }

// Restore replaces the commands.
func (l *list) Restore(data []byte) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.commands = nil
	return json.Unmarshal(data, &l.commands)
}

// all returns the commands.
func (l *list) all() []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return slices.Clone(l.commands)
}

// process is one replica of a test group with its disk.
type process struct {
	name    string
	node    *Node
	disk    *waltest.FS
	machine *list
	dead    atomic.Bool
}

// group is a group of replicas in one process over a fake network.
type group struct {
	t         *testing.T
	processes []*process
	lives     int

	mu  sync.Mutex
	cut map[string]bool
	// sending is called for each envelope, calling after each call.
	sending func(from, to string, e Envelope)
	calling func(from, to string, r Request) error
}

// newGroup starts a group whose first size hosts found it.
func newGroup(t *testing.T, size int) *group {
	g := &group{
		t: t, cut: map[string]bool{},
		sending: func(string, string, Envelope) {}, calling: func(string, string, Request) error { return nil },
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

// addSpare starts one more host and asks the leader to add it.
func (g *group) addSpare() {
	g.t.Helper()
	leader := g.leader()
	p := g.startSpare()
	if err := leader.node.Change(g.t.Context(), Change{Kind: AddReplica, Name: p.name, Address: p.name}); err != nil {
		g.t.Fatal(err)
	}
}

// startSpare starts one more host.
func (g *group) startSpare() *process {
	g.t.Helper()
	p := &process{name: fmt.Sprintf("control-%d", len(g.processes)+1), disk: waltest.New()}
	g.mu.Lock()
	g.processes = append(g.processes, p)
	g.mu.Unlock()
	g.start(p)
	return p
}

// countSyncs counts the syncs on a process's disk.
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

// start starts a process from its disk.
func (g *group) start(p *process) {
	g.t.Helper()
	g.lives++
	var hosts []raft.Member
	for _, other := range g.processes {
		hosts = append(hosts, raft.Member{Name: other.name, Address: other.name})
	}
	p.machine = &list{hook: func(bool) {}}
	life := raft.ReplicaID(g.lives)
	node, err := Open(Options{
		Group: "test", Name: p.name, Hosts: hosts, Folder: "/data/test", FS: p.disk, Machine: p.machine,
		Transport: &way{group: g, from: p.name}, Log: zerolog.Nop(), SnapshotEntries: 8,
		NewID: func() raft.ReplicaID { return life },
	})
	if err != nil {
		g.t.Fatal(err)
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	p.node = node
	p.dead.Store(false)
	g.cut[p.name] = false
}

// stop ends all processes.
func (g *group) stop() {
	for _, p := range g.processes {
		p.node.Kill()
	}
}

// setCut cuts a process off or heals it.
func (g *group) setCut(name string, cut bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.cut[name] = cut
}

// reach returns a replica if the way to it is open.
func (g *group) reach(from, to string) *Node {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, p := range g.processes {
		if p.name == to && !g.cut[from] && !g.cut[to] && p.node != nil {
			return p.node
		}
	}
	return nil
}

// hooks returns the hooks of the network.
func (g *group) hooks() (sending func(from, to string, e Envelope), calling func(from, to string, r Request) error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.sending, g.calling
}

// way is the [Transport] of one process.
type way struct {
	group *group
	from  string
}

// Send delivers an envelope at once.
func (w *way) Send(to raft.Member, e Envelope) {
	sending, _ := w.group.hooks()
	sending(w.from, to.Name, e)
	if n := w.group.reach(w.from, to.Name); n != nil {
		n.Receive(e)
	}
}

// Call delivers a call; its answer is lost if the way is cut meanwhile.
func (w *way) Call(ctx context.Context, to raft.Member, r Request) (Response, error) {
	n := w.group.reach(w.from, to.Name)
	if n == nil {
		return Response{}, ErrNotConnected
	}
	response := n.Handle(ctx, r)
	_, calling := w.group.hooks()
	if err := calling(w.from, to.Name, r); err != nil {
		return Response{}, err
	}
	if w.group.reach(w.from, to.Name) == nil {
		return Response{}, errLost
	}
	return response, nil
}

// eventually waits for an event in virtual time.
func (g *group) eventually(what string, happened func() bool) {
	g.t.Helper()
	for range 2400 {
		if happened() {
			return
		}
		time.Sleep(50 * time.Millisecond)
	}
	for _, p := range g.processes {
		g.t.Logf("%s: %+v", p.name, p.node.Status())
	}
	g.t.Fatalf("waited in vain: %s", what)
}

// leader waits for a leader that all processes know.
func (g *group) leader() *process {
	g.t.Helper()
	var found *process
	g.eventually("all know the leader", func() bool {
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

// propose proposes a command through a process that may die meanwhile.
func (g *group) propose(via *process, command string) error {
	ctx, cancel := context.WithTimeout(g.t.Context(), 20*time.Second)
	defer cancel()
	_, err := via.node.Propose(ctx, []byte(command))
	if via.dead.Load() {
		return errLost
	}
	return err
}

// ledgerOf checks the outcomes of commands against what the replicas hold.
type ledgerOf struct {
	accepted, refused []string
}

// note notes the outcome of a command.
func (l *ledgerOf) note(command string, err error) {
	switch {
	case err == nil:
		l.accepted = append(l.accepted, command)
	case verdict.Of(err) == verdict.NotRun:
		l.refused = append(l.refused, command)
	}
}

// check waits until all replicas hold the same commands and compares them with
// the outcomes.
func (l *ledgerOf) check(g *group) {
	g.t.Helper()
	g.eventually("all replicas vote and agree", func() bool {
		want := g.processes[0].machine.all()
		members := g.processes[0].node.Status().Members
		for _, p := range g.processes {
			s := p.node.Status()
			if !s.Members.IsVoter(s.ReplicaID) || len(s.Members.Voters) != len(members.Voters) ||
				!slices.Equal(p.machine.all(), want) {
				return false
			}
		}
		return len(members.Learners) == 0 && len(members.Voters) <= len(g.processes) && len(want) >= len(l.accepted)
	})
	count := map[string]int{}
	for _, command := range g.processes[0].machine.all() {
		count[command]++
		if count[command] > 1 {
			g.t.Errorf("command %q was applied twice", command)
		}
	}
	for _, command := range l.accepted {
		if count[command] == 0 {
			g.t.Errorf("accepted command %q is lost", command)
		}
	}
	for _, command := range l.refused {
		if count[command] > 0 {
			g.t.Errorf("command %q was refused as NotRun and is applied", command)
		}
	}
}
