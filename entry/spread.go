package entry

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"tanagerbarrow/membership"
	"tanagerbarrow/peer"
	"tanagerbarrow/settings"
)

// links reaches the other entries for package membership.
type links map[string]*peer.Client

// newLinks returns a client for each other entry.
func newLinks(s *settings.Settings) links {
	l := links{}
	for _, c := range clients(s, s.EntryHosts) {
		l[c.Peer().Name] = c
	}
	return l
}

// Call calls a method of another entry.
func (l links) Call(ctx context.Context, host, method string, params, result any) error {
	c, ok := l[host]
	if !ok {
		return errors.Newf("host %q is not an entry host", host)
	}
	return c.Call(ctx, method, params, result)
}

// close closes every connection.
func (l links) close() {
	for _, c := range l {
		c.Close()
	}
}

// newNode returns this entry's part in the membership.
func newNode(s *settings.Settings, l links) *membership.Node {
	epoch := uint64(time.Now().UnixMilli())
	self := membership.HostState{Host: s.Host.Name, Epoch: epoch, AdminAddress: s.Entry.AdminListen.String()}
	var places []membership.Host
	for _, h := range s.EntryHosts {
		places = append(places, membership.Host{
			Name: h.Name, AvailabilityZone: h.AvailabilityZone, Region: s.Regions[h.AvailabilityZone],
		})
	}
	table := membership.NewTable(membership.Origin{Host: s.Host.Name, Epoch: epoch}, s.Limits.LeaseDuration)
	return membership.NewNode(table, membership.NewHosts(self, places), places, s.Regions, l)
}

// handleMembership registers the node's methods.
func handleMembership(p *peer.Server, n *membership.Node) {
	p.Handle(membership.MethodPing, peer.Typed(n.ServePing))
	p.Handle(membership.MethodProbe, peer.Typed(n.ServeProbe))
	p.Handle(membership.MethodSync, peer.Typed(n.ServeSync))
	p.Handle(membership.MethodPush, peer.Typed(n.ServePush))
	p.Handle(membership.MethodForward, peer.Typed(n.ServeForward))
}
