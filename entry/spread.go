package entry

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"tanagerbarrow/membership"
	"tanagerbarrow/peer"
	"tanagerbarrow/settings"
)

// peerClients are the clients of the other entries, by host name. Package
// membership calls the entries through them.
type peerClients map[string]*peer.Client

// newPeerClients returns a client for each other entry.
func newPeerClients(s *settings.Settings) peerClients {
	l := peerClients{}
	for _, c := range clients(s, s.EntryHosts) {
		l[c.Peer().Name] = c
	}
	return l
}

// Call calls a method of the entry on host. It returns an error if host is not
// another entry host.
func (l peerClients) Call(ctx context.Context, host, method string, params, result any) error {
	c, ok := l[host]
	if !ok {
		return errors.Newf("host %q is not an entry host", host)
	}
	return c.Call(ctx, method, params, result)
}

// close closes every connection.
func (l peerClients) close() {
	for _, c := range l {
		c.Close()
	}
}

// newNode returns this entry's membership node. The epoch is the process's start
// time in Unix milliseconds.
func newNode(s *settings.Settings, l peerClients) *membership.Node {
	epoch := uint64(time.Now().UnixMilli())
	self := membership.HostState{Host: s.Host.Name, Epoch: epoch, AdminAddress: s.Entry.AdminListen.String()}
	var hosts []membership.Host
	for _, h := range s.EntryHosts {
		hosts = append(hosts, membership.Host{
			Name: h.Name, AvailabilityZone: h.AvailabilityZone, Region: s.Regions[h.AvailabilityZone],
		})
	}
	table := membership.NewTable(membership.Origin{Host: s.Host.Name, Epoch: epoch}, s.Limits.LeaseDuration)
	return membership.NewNode(table, membership.NewHosts(self, hosts), hosts, s.Regions, l)
}

// handleMembership registers the node's methods on the server for peers.
func handleMembership(p *peer.Server, n *membership.Node) {
	p.Handle(membership.MethodPing, peer.Typed(n.ServePing))
	p.Handle(membership.MethodProbe, peer.Typed(n.ServeProbe))
	p.Handle(membership.MethodSync, peer.Typed(n.ServeSync))
	p.Handle(membership.MethodPush, peer.Typed(n.ServePush))
	p.Handle(membership.MethodForward, peer.Typed(n.ServeForward))
}
