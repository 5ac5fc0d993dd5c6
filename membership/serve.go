package membership

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
)

// ServePing answers [MethodPing].
func (n *Node) ServePing(_ context.Context, p Ping) (Pong, error) {
	return Pong{Differs: p.Digest != n.digest()}, nil
}

// ServeProbe answers [MethodProbe].
func (n *Node) ServeProbe(ctx context.Context, p Probe) (ProbeResult, error) {
	err := n.call(ctx, p.Host, MethodPing, Ping{Digest: n.digest()}, &Pong{})
	return ProbeResult{Answered: err == nil}, nil
}

// ServeSync answers [MethodSync].
func (n *Node) ServeSync(_ context.Context, s Sync) (SyncResult, error) {
	n.applyRemote(s.Hosts, nil)
	return SyncResult{
		Sync:   Sync{Versions: n.table.SyncVersions(), Hosts: n.hosts.States()},
		Deltas: n.table.MissingDeltas(s.Versions),
		Joined: n.hasJoined(),
	}, nil
}

// ServePush answers [MethodPush]. It rejects a push with an invalid record.
func (n *Node) ServePush(_ context.Context, p Push) (PushResult, error) {
	for _, d := range p.Deltas {
		for i := range d.Registers {
			if err := d.Registers[i].Server.Check(n.regionByZone); err != nil {
				return PushResult{}, err
			}
		}
	}
	n.applyRemote(p.Hosts, p.Deltas)
	return PushResult{}, nil
}

// ServeForward answers [MethodForward].
func (n *Node) ServeForward(_ context.Context, f Forward) (ForwardResult, error) {
	var result ForwardResult
	before := n.table.ownVersion()
	for _, b := range f.Servers {
		if err := b.Check(n.regionByZone); err != nil {
			return ForwardResult{}, err
		}
		if f.Handover {
			n.table.Adopt(b, time.Now())
			continue
		}
		lease, err := n.table.Put(b, time.Now())
		if err != nil && !errors.Is(err, ErrOldGeneration) {
			return ForwardResult{}, err
		}
		result = ForwardResult{LeaseMillis: lease.Milliseconds()}
		if err != nil {
			result.Refusal = err.Error()
		}
	}
	if n.table.ownVersion() != before {
		n.signalPushes()
	}
	return result, nil
}

// HandOver transfers the own leases to the owners that result without this
// entry, and informs all other entries that this entry left. ctx bounds it.
func (n *Node) HandOver(ctx context.Context) error {
	left := n.hosts.SetLeft()
	byOwner := map[string][]BackendServer{}
	for _, b := range n.table.Owned() {
		if owner := Owner(n.hosts, &b, n.regionByZone); owner.Name != "" {
			byOwner[owner.Name] = append(byOwner[owner.Name], b)
		}
	}
	var failed error
	for owner, servers := range byOwner {
		err := n.call(ctx, owner, MethodForward, Forward{Servers: servers, Handover: true}, &ForwardResult{})
		if err != nil {
			failed = errors.CombineErrors(failed, errors.Wrapf(err, "hand leases to host %q", owner))
			continue
		}
		n.table.Release(servers, time.Now())
	}
	for _, l := range n.links {
		l.mu.Lock()
		l.pending = append(l.pending, left)
		l.mu.Unlock()
		n.push(ctx, l)
	}
	return failed
}
