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

// Times of joining a group.
const (
	identifyTimeout = time.Second
	minJoinPause    = 50 * time.Millisecond
	maxJoinPause    = 2 * time.Second
)

// ChangeKind is the kind of a [Change].
type ChangeKind string

// The kinds of membership changes.
const (
	// AddReplica adds a host as a learner; it becomes a voter once it has
	// caught up with the log.
	AddReplica ChangeKind = "add"
	// RemoveReplica removes a host from the group.
	RemoveReplica ChangeKind = "remove"
	// ReplaceReplica adds a host; once it is a voter, another host is removed.
	ReplaceReplica ChangeKind = "replace"
)

// Change is a membership change requested by an operator.
type Change struct {
	// Kind is the kind of the change.
	Kind ChangeKind `json:"kind"`
	// Name is the host that is added or removed.
	Name string `json:"name"`
	// Address is the peer address of the host that is added.
	Address string `json:"address,omitempty"`
	// Replaces is the host that a [ReplaceReplica] removes.
	Replaces string `json:"replaces,omitempty"`
}

// Change starts a membership change on the leader. It returns once the first
// step is appended to the log. A change that has already been made is not an
// error.
func (n *Node) Change(ctx context.Context, c Change) error {
	return n.onLeader(ctx, Request{Group: n.options.Group, Kind: RequestChange, Change: &c},
		func(ctx context.Context) outcome { return outcome{err: n.changeLocally(ctx, &c)} }).err
}

// changeLocally starts a membership change if this replica leads.
func (n *Node) changeLocally(ctx context.Context, c *Change) error {
	if c == nil {
		return n.rejectedError(errors.New("the membership change is missing"))
	}
	if c.Kind == RemoveReplica {
		return n.runTask(ctx, func() error { return n.remove(c.Name) })
	}
	member := raft.Member{Name: c.Name, Address: c.Address}
	r, err := n.options.Transport.Call(ctx, member, Request{Group: n.options.Group, Kind: RequestIdentify})
	if err := errors.CombineErrors(err, r.err()); err != nil {
		return n.rejectedError(errors.Wrapf(err, "host %q at %s does not answer", c.Name, c.Address))
	}
	member.ID = r.Self.ID
	if c.Kind == ReplaceReplica {
		member.Replaces = c.Replaces
	}
	return n.runTask(ctx, func() error { return n.admit(member) })
}

// runTask runs a task on the run goroutine and returns its error.
func (n *Node) runTask(ctx context.Context, task func() error) error {
	done := make(chan outcome, 1)
	select {
	case n.tasks <- func() { done <- outcome{err: task()} }:
	case <-ctx.Done():
	case <-n.done:
	}
	return n.wait(ctx, done, 0).err
}

// admit adds a replica as a learner, unless it is a member already.
func (n *Node) admit(member raft.Member) error {
	m := n.core.Members()
	if _, known := m.Find(member.ID); known {
		return nil
	}
	return n.change(m.AddLearner(member))
}

// remove removes the replica of a host, if it is a member.
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
		return n.noLeaderError()
	default:
		return n.rejectedError(err)
	}
}

// readmit admits a replica whose host is already a member under another replica
// ID: its disk was lost. Any other host must be added by an operator, unless
// the group uses discovery.
func (n *Node) readmit(member raft.Member) error {
	if n.core.Role() != raft.Leader {
		return n.noLeaderError()
	}
	if n.options.Discovery != nil {
		return n.admit(member)
	}
	for _, m := range n.core.Members().All() {
		if m.Name == member.Name {
			return n.admit(member)
		}
	}
	return n.rejectedError(errors.Newf("host %q is no member; an operator must add it", member.Name))
}

// join bootstraps the group or asks to be admitted, until the replica is a
// member. With discovery it continues until the replica stops.
func (n *Node) join(ctx context.Context) {
	pause := minJoinPause
	for ctx.Err() == nil && (n.options.Discovery != nil || !n.isMember()) {
		if !n.isMember() || n.Status().Leader == "" {
			n.tryJoin(ctx)
		}
		if !n.pause(ctx, pause) {
			return
		}
		pause = min(2*pause, maxJoinPause)
	}
}

// isMember reports whether the replica is in the newest membership that it has.
func (n *Node) isMember() bool {
	_, ok := n.Status().Members.Find(n.self.ID)
	return ok
}

// tryJoin asks every other host once. The first host by name bootstraps the
// group if all configured hosts respond that they hold no log. A host that lost its
// disk can therefore not bootstrap a second group while another host holds the
// first one.
func (n *Node) tryJoin(ctx context.Context) {
	responses := n.identifyAll(ctx)
	members := []raft.Member{n.self}
	initialized := len(n.Status().Members.All()) > 0
	for _, r := range responses {
		if r.Initialized {
			initialized = true
			n.requestJoin(ctx, r.Self)
		}
		members = append(members, r.Self)
	}
	if initialized {
		return
	}
	if d := n.options.Discovery; d != nil {
		n.bootstrapDiscovered(ctx, d, members)
		return
	}
	if len(members) < len(n.options.Hosts) {
		return
	}
	slices.SortFunc(members, func(a, b raft.Member) int { return strings.Compare(a.Name, b.Name) })
	if members[0].ID == n.self.ID {
		_ = n.runTask(ctx, func() error {
			n.core.Bootstrap(raft.Membership{Voters: members})
			return nil
		})
	}
}

// identifyAll asks every other host for its replica ID and returns the
// responses; a host that does not respond is left out.
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

// requestJoin asks a host to admit this replica; only the leader does so.
func (n *Node) requestJoin(ctx context.Context, to raft.Member) {
	ctx, cancel := context.WithTimeout(ctx, identifyTimeout)
	defer cancel()
	r, err := n.options.Transport.Call(ctx, to, Request{Group: n.options.Group, Kind: RequestJoin, Member: n.self})
	if err := errors.CombineErrors(err, r.err()); err != nil {
		n.log.Debug().Err(err).Str("host", to.Name).Msg("join request failed")
	}
}
