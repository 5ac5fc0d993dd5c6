package consensus

import (
	"context"

	"tanagerbarrow/consensus/raft"
)

// Discovery forms a group from hosts that no settings list. Hosts join and
// leave it without an operator.
type Discovery struct {
	// Hosts returns the hosts that are known now, this one included.
	Hosts func() []raft.Member
	// Voters is how many voters found the group, and above which a voter that
	// does not answer is removed.
	Voters int
	// Founder says that this host, and no other one, may found the group.
	Founder bool
	// FirstStart says that the whole system starts for the first time. A host
	// without it never founds a group and is no founding member.
	FirstStart bool
}

// hosts returns the hosts that are listed or discovered.
func (n *Node) hosts() []raft.Member {
	if n.options.Discovery != nil {
		return n.options.Discovery.Hosts()
	}
	return n.options.Hosts
}

// foundDiscovered founds the group once enough hosts have answered that they
// hold nothing. Founding with fewer would let the loss of as many disks as are
// tolerated destroy what was accepted meanwhile.
func (n *Node) foundDiscovered(ctx context.Context, d *Discovery, members []raft.Member) {
	if !d.Founder || !d.FirstStart || len(members) < d.Voters {
		return
	}
	_ = n.do(ctx, func() error {
		n.core.Bootstrap(raft.Membership{Voters: members})
		return nil
	})
}
