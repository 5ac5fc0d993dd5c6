package membership

import (
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sync/errgroup"
)

// The periods and timeouts of a node.
const (
	tickPeriod     = 200 * time.Millisecond
	pingPeriod     = time.Second
	callTimeout    = 500 * time.Millisecond
	forwardTimeout = 400 * time.Millisecond
	// avoidDuration is how long this node forwards no announcements to an owner
	// that did not answer; it grants the leases itself meanwhile.
	avoidDuration = 2 * time.Second
	// pushDelay is the time during which changes are collected for one push.
	pushDelay = 20 * time.Millisecond
)

// The capacities of a node's queues.
const (
	signalCapacity = 1
	// maxPendingStates bounds the host states that wait for a push. States
	// beyond it are dropped, oldest first; a comparison of digests finds them
	// later.
	maxPendingStates = 256
)

// Node replicates a [Table] and [Hosts] between this entry and the other
// entries.
type Node struct {
	table        *Table
	hosts        *Hosts
	regionByZone map[string]string
	transport    Transport
	links        []*link
	avoidUntil   sync.Map // host name to the time.Time until which it is forwarded nothing
	joined       chan struct{}
}

// link holds the state of pushing to one other entry.
type link struct {
	host   string
	signal chan struct{}

	mu      sync.Mutex
	pending []HostState
	acked   OriginVersion
}

// NewNode returns a node that replicates to all configured hosts except itself.
// regionByZone maps each availability zone to its region.
func NewNode(table *Table, hosts *Hosts, configured []Host, regionByZone map[string]string, t Transport) *Node {
	n := &Node{table: table, hosts: hosts, regionByZone: regionByZone, transport: t, joined: make(chan struct{})}
	for _, host := range configured {
		if host.Name != hosts.self {
			n.links = append(n.links, &link{host: host.Name, signal: make(chan struct{}, signalCapacity)})
		}
	}
	return n
}

// Table returns the node's table.
func (n *Node) Table() *Table { return n.table }

// Hosts returns the node's hosts.
func (n *Node) Hosts() *Hosts { return n.hosts }

// Run joins the other entries, ticks, probes, and pushes to each of them until
// ctx is done.
func (n *Node) Run(ctx context.Context) error {
	var g errgroup.Group
	g.Go(func() error {
		n.join(ctx)
		return nil
	})
	g.Go(func() error { return n.tickLoop(ctx) })
	g.Go(func() error { return n.probeLoop(ctx) })
	for _, l := range n.links {
		g.Go(func() error { return n.pushLoop(ctx, l) })
	}
	return g.Wait()
}

// tickLoop calls tick once every tickPeriod until ctx is done.
func (n *Node) tickLoop(ctx context.Context) error {
	tick := time.NewTicker(tickPeriod)
	defer tick.Stop()
	last := time.Now()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-tick.C:
			now := time.Now()
			n.tick(now, now.Sub(last))
			last = now
		}
	}
}

// tick expires leases and suspicions. gap is the time since the previous tick.
func (n *Node) tick(now time.Time, gap time.Duration) {
	if gap > pauseThreshold {
		n.hosts.RestartSuspicions(now)
	}
	n.broadcast(n.hosts.Tick(now)...)
	before := n.table.ownVersion()
	if n.table.Tick(now, n.hosts.OriginAlive) {
		n.hosts.SetEpoch(n.table.Self().Epoch)
		n.broadcast(n.hosts.Self())
	}
	if n.table.ownVersion() != before {
		n.signalPushes()
	}
}

// broadcast queues host states for every other entry and wakes the push loops.
func (n *Node) broadcast(states ...HostState) {
	if len(states) == 0 {
		return
	}
	for _, l := range n.links {
		l.mu.Lock()
		l.pending = append(l.pending, states...)
		l.pending = l.pending[max(0, len(l.pending)-maxPendingStates):]
		l.mu.Unlock()
	}
	n.signalPushes()
}

// signalPushes wakes every push loop.
func (n *Node) signalPushes() {
	for _, l := range n.links {
		select {
		case l.signal <- struct{}{}:
		default:
		}
	}
}

// pushLoop pushes changes to one other entry whenever it is signalled, until
// ctx is done.
func (n *Node) pushLoop(ctx context.Context, l *link) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-l.signal:
			sleep(ctx, pushDelay)
			n.push(ctx, l)
		}
	}
}

// push sends the changes that the other entry has not acknowledged. A failed
// push is not retried; the next comparison of digests finds the missing
// changes.
func (n *Node) push(ctx context.Context, l *link) {
	l.mu.Lock()
	states, acked := l.pending, l.acked
	l.pending = nil
	l.mu.Unlock()
	if self := n.table.Self(); acked.Origin != self {
		acked = OriginVersion{Origin: self}
	}
	for more := true; more && ctx.Err() == nil; {
		var d Delta
		d, more = n.table.OwnDelta(acked.Version)
		p := Push{Hosts: states}
		if d.To > d.From {
			p.Deltas = []Delta{d}
		}
		if len(p.Hosts)+len(p.Deltas) == 0 || n.call(ctx, l.host, MethodPush, p, &PushResult{}) != nil {
			return
		}
		states, acked.Version = nil, d.To
		l.mu.Lock()
		l.acked = acked
		l.mu.Unlock()
	}
}

// call calls a method of another entry within callTimeout.
func (n *Node) call(ctx context.Context, host, method string, params, result any) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	return n.transport.Call(ctx, host, method, params, result)
}

// Grant is the lease granted for an announcement.
type Grant struct {
	// Lease is how long the announcement is valid.
	Lease time.Duration
	// Owner is the host that owns the lease; the next announcement should be
	// sent there.
	Owner Host
}

// Announce processes an announcement: it forwards it to the owner of the lease,
// or grants the lease itself if this host is the owner or the owner does not
// answer. The announcement of a leaving backend server is always processed here
// and pushed to all entries at once. Announce returns [ErrOldGeneration] if a
// newer record is known.
func (n *Node) Announce(ctx context.Context, b BackendServer) (Grant, error) {
	if err := n.table.Check(b); err != nil {
		return Grant{}, err
	}
	owner := Owner(n.hosts, &b, n.regionByZone)
	if b.State != Leaving && n.canForward(owner.Name) {
		lease, err := n.forward(ctx, owner, b)
		if err == nil || errors.Is(err, ErrOldGeneration) {
			return Grant{Lease: lease, Owner: owner}, err
		}
		n.avoidUntil.Store(owner.Name, time.Now().Add(avoidDuration))
	}
	lease, err := n.putLocally(b)
	return Grant{Lease: lease, Owner: n.hosts.ownHost()}, err
}

// canForward reports whether announcements may be forwarded to the host.
func (n *Node) canForward(host string) bool {
	if host == "" || host == n.hosts.self {
		return false
	}
	until, ok := n.avoidUntil.Load(host)
	return !ok || time.Now().After(until.(time.Time))
}

// forward sends an announcement to the owner of the lease and returns the
// granted lease.
func (n *Node) forward(ctx context.Context, owner Host, b BackendServer) (time.Duration, error) {
	ctx, cancel := context.WithTimeout(ctx, forwardTimeout)
	defer cancel()
	var result ForwardResult
	err := n.transport.Call(ctx, owner.Name, MethodForward, Forward{Servers: []BackendServer{b}}, &result)
	if err != nil {
		return 0, err
	}
	if result.Refusal != "" {
		return 0, errors.Wrap(ErrOldGeneration, result.Refusal)
	}
	return time.Duration(result.LeaseMillis) * time.Millisecond, nil
}

// putLocally puts an announcement into the own table and signals a push if that
// changed the table.
func (n *Node) putLocally(b BackendServer) (time.Duration, error) {
	before := n.table.ownVersion()
	lease, err := n.table.Put(b, time.Now())
	if n.table.ownVersion() != before {
		n.signalPushes()
	}
	return lease, err
}

// SetLeaving records that a backend server is leaving, as its answers show.
func (n *Node) SetLeaving(b *BackendServer) {
	if n.table.SetLeaving(b.Address, b.Generation, time.Now()) {
		n.signalPushes()
	}
}

// sleep waits for d, or returns early when ctx is done.
func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}
