package consensus

import (
	"context"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"tanagerbarrow/consensus/raft"
)

// The times of joining a group.
const (
	identifyTimeout = time.Second
	firstJoinPause  = 50 * time.Millisecond
	lastJoinPause   = 2 * time.Second
)

// ChangeKind says what a [Change] does.
type ChangeKind string

// The kinds of membership changes.
const (
	// AddReplica admits a host; it votes once it has synced.
	AddReplica ChangeKind = "add"
	// RemoveReplica ends a host's part.
	RemoveReplica ChangeKind = "remove"
	// ReplaceReplica admits a host; once it votes, another one leaves.
	ReplaceReplica ChangeKind = "replace"
)

// Change is a membership change that an operator wants.
type Change struct {
	// Kind says what is wanted.
	Kind ChangeKind `json:"kind"`
	// Name is the host that is added or removed.
	Name string `json:"name"`
	// Address is the peer address of the host that is added.
	Address string `json:"address,omitempty"`
	// Replaces is the host that leaves in a [ReplaceReplica].
	Replaces string `json:"replaces,omitempty"`
}

// Change begins a membership change on the leader. It returns once the first
// step is appended; a change that was carried out already is no error.
func (n *Node) Change(ctx context.Context, c Change) error {
	return n.onLeader(ctx, Request{Group: n.options.Group, Kind: RequestChange, Change: &c},
		func(ctx context.Context) outcome { return outcome{err: n.changeHere(ctx, &c)} }).err
}

// changeHere begins a membership change if this replica leads.
func (n *Node) changeHere(ctx context.Context, c *Change) error {
	if c == nil {
		return n.rejected(errors.New("the membership change is missing"))
	}
	if c.Kind == RemoveReplica {
		return n.do(ctx, func() error { return n.remove(c.Name) })
	}
	member := raft.Member{Name: c.Name, Address: c.Address}
	r, err := n.options.Transport.Call(ctx, member, Request{Group: n.options.Group, Kind: RequestIdentify})
	if err := errors.CombineErrors(err, r.err()); err != nil {
		return n.rejected(errors.Wrapf(err, "host %q at %s does not answer", c.Name, c.Address))
	}
	member.ID = r.Self.ID
	if c.Kind == ReplaceReplica {
		member.Replaces = c.Replaces
	}
	return n.do(ctx, func() error { return n.admit(member) })
}

// do runs a task on the run goroutine and returns its error.
func (n *Node) do(ctx context.Context, task func() error) error {
	done := make(chan outcome, 1)
	select {
	case n.tasks <- func() { done <- outcome{err: task()} }:
	case <-ctx.Done():
	case <-n.done:
	}
	return n.wait(ctx, done, 0).err
}

// admit adds a learner, unless the replica is a member.
func (n *Node) admit(member raft.Member) error {
	m := n.core.Members()
	if _, known := m.Find(member.ID); known {
		return nil
	}
	return n.change(m.AddLearner(member))
}

// remove removes all replicas of a host.
func (n *Node) remove(name string) error {
	m := n.core.Members()
	for _, member := range m.All() {
		if member.Name == name {
			return n.change(m.Remove(member.ID))
		}
	}
	return nil
}

// change proposes a membership.
func (n *Node) change(m raft.Membership) error {
	_, err := n.core.ProposeMembership(m)
	switch {
	case err == nil:
		n.log.Info().Interface("members", m).Msg("membership change")
		return nil
	case errors.Is(err, raft.ErrNotLeader):
		return n.noLeader()
	default:
		return n.rejected(err)
	}
}

// readmit lets a replica return whose host is a voter under another identity:
// its disk was lost. Other hosts need an operator.
func (n *Node) readmit(member raft.Member) error {
	if n.core.Role() != raft.Leader {
		return n.noLeader()
	}
	if n.options.Discovery != nil {
		return n.admit(member)
	}
	for _, m := range n.core.Members().All() {
		if m.Name == member.Name {
			return n.admit(member)
		}
	}
	return n.rejected(errors.Newf("host %q is no member; an operator must add it", member.Name))
}

// join founds the group or asks to be admitted, until the replica is a member.
func (n *Node) join(ctx context.Context) {
	pause := firstJoinPause
	for ctx.Err() == nil && (n.options.Discovery != nil || !n.isMember()) {
		if !n.isMember() || n.Status().Leader == "" {
			n.tryJoin(ctx)
		}
		if !n.pause(ctx, pause) {
			return
		}
		pause = min(2*pause, lastJoinPause)
	}
}

// isMember reports whether the replica is in the newest membership it knows.
func (n *Node) isMember() bool {
	_, ok := n.Status().Members.Find(n.self.ID)
	return ok
}

// tryJoin asks the listed hosts once. The first host by name founds the group
// if every listed host answers that it holds nothing: a host that lost its disk
// can therefore not found a second group while another one holds the first.
func (n *Node) tryJoin(ctx context.Context) {
	answers := n.identifyAll(ctx)
	members := []raft.Member{n.self}
	formed := n.isMember()
	for _, a := range answers {
		if a.Formed {
			formed = true
			n.askToJoin(ctx, a.Self)
		}
		if d := n.options.Discovery; d == nil || a.Fresh {
			members = append(members, a.Self)
		}
	}
	if formed {
		return
	}
	if d := n.options.Discovery; d != nil {
		n.foundDiscovered(ctx, d, members)
		return
	}
	if len(members) < len(n.options.Hosts) {
		return
	}
	slices.SortFunc(members, func(a, b raft.Member) int { return strings.Compare(a.Name, b.Name) })
	if members[0].ID == n.self.ID {
		_ = n.do(ctx, func() error {
			n.core.Bootstrap(raft.Membership{Voters: members})
			return nil
		})
	}
}

// identifyAll asks every other listed host for its identity.
func (n *Node) identifyAll(ctx context.Context) []Response {
	var all []Response
	var mu sync.Mutex
	var wg sync.WaitGroup
	for _, h := range n.hosts() {
		if h.Name == n.self.Name {
			continue
		}
		wg.Go(func() {
			ctx, cancel := context.WithTimeout(ctx, identifyTimeout)
			defer cancel()
			r, err := n.options.Transport.Call(ctx, h, Request{Group: n.options.Group, Kind: RequestIdentify})
			if err != nil || r.Failure != nil {
				return
			}
			mu.Lock()
			defer mu.Unlock()
			all = append(all, r)
		})
	}
	wg.Wait()
	return all
}

// askToJoin asks a host to admit this replica; only the leader does.
func (n *Node) askToJoin(ctx context.Context, to raft.Member) {
	ctx, cancel := context.WithTimeout(ctx, identifyTimeout)
	defer cancel()
	r, err := n.options.Transport.Call(ctx, to, Request{Group: n.options.Group, Kind: RequestJoin, Member: n.self})
	if err := errors.CombineErrors(err, r.err()); err != nil {
		n.log.Debug().Err(err).Str("host", to.Name).Msg("not admitted")
	}
}
