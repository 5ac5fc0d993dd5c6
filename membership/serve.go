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
func (n *Node) ServeProbe(ctx context.Context, p Probe) (Probed, error) {
	err := n.call(ctx, p.Host, MethodPing, Ping{Digest: n.digest()}, &Pong{})
	return Probed{Answered: err == nil}, nil
}

// ServeSync answers [MethodSync].
func (n *Node) ServeSync(_ context.Context, s Sync) (Synced, error) {
	n.learn(s.Hosts, nil)
	return Synced{
		Sync:   Sync{Marks: n.table.Known(), Hosts: n.hosts.States()},
		Deltas: n.table.Missing(s.Marks),
		Joined: n.hasJoined(),
	}, nil
}

// ServePush answers [MethodPush]. It refuses records that break a rule.
func (n *Node) ServePush(_ context.Context, p Push) (Pushed, error) {
	for _, d := range p.Deltas {
		for i := range d.Registers {
			if err := d.Registers[i].Server.Check(n.regions); err != nil {
				return Pushed{}, err
			}
		}
	}
	n.learn(p.Hosts, p.Deltas)
	return Pushed{}, nil
}

// ServeForward answers [MethodForward].
func (n *Node) ServeForward(_ context.Context, t Take) (Taken, error) {
	var taken Taken
	before := n.table.ownVersion()
	for _, b := range t.Servers {
		if err := b.Check(n.regions); err != nil {
			return Taken{}, err
		}
		if t.Handover {
			n.table.Adopt(b, time.Now())
			continue
		}
		lease, err := n.table.Put(b, time.Now())
		if err != nil && !errors.Is(err, ErrOldGeneration) {
			return Taken{}, err
		}
		taken = Taken{LeaseMillis: lease.Milliseconds()}
		if err != nil {
			taken.Refusal = err.Error()
		}
	}
	if n.table.ownVersion() != before {
		n.signalAll()
	}
	return taken, nil
}

// HandOver hands the own leases to the owners that remain once this entry has
// left, and tells all that it left. ctx bounds it.
func (n *Node) HandOver(ctx context.Context) error {
	left := n.hosts.SetLeft()
	byOwner := map[string][]BackendServer{}
	for _, b := range n.table.Owned() {
		if owner := Owner(n.hosts, &b, n.regions); owner.Name != "" {
			byOwner[owner.Name] = append(byOwner[owner.Name], b)
		}
	}
	var failed error
	for owner, servers := range byOwner {
		err := n.call(ctx, owner, MethodForward, Take{Servers: servers, Handover: true}, &Taken{})
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
