package consensus

import (
	"context"

	"tanagerbarrow/consensus/raft"
)

// Discovery forms a group of hosts that are not configured. Hosts join and
// leave the group without an operator.
type Discovery struct {
	// Hosts returns the hosts that are known now, including this one.
	Hosts func() []raft.Member
	// Voters is the number of voters that are needed to bootstrap the group.
	// While the group has more voters, one that does not respond is removed.
	Voters int
	// MayBootstrap says that this host, and no other one, may bootstrap the group, and
	// that its disk dates from the first start of the whole system. While it holds no
	// log, no group exists, so that every host that holds none may be a first member.
	MayBootstrap bool
	// FirstStart says that this host's disk dates from the first start of the whole
	// system. Bootstrapping hosts of earlier builds count only such hosts.
	FirstStart bool
}

// hosts returns the configured or discovered hosts.
func (n *Node) hosts() []raft.Member {
	if n.options.Discovery != nil {
		return n.options.Discovery.Hosts()
	}
	return n.options.Hosts
}

// bootstrapDiscovered bootstraps the group once enough hosts have responded
// that they hold no log. With fewer first members, the loss of as many disks as
// are tolerated could destroy commands that were accepted meanwhile.
func (n *Node) bootstrapDiscovered(ctx context.Context, d *Discovery, members []raft.Member) {
	if !d.MayBootstrap || len(members) < d.Voters {
		return
	}
	_ = n.runTask(ctx, func() error {
		n.core.Bootstrap(raft.Membership{Voters: members})
		return nil
	})
}
