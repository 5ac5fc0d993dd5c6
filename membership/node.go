package membership

import (
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sync/errgroup"
)

// The times of a node.
const (
	tickPeriod     = 200 * time.Millisecond
	pingPeriod     = time.Second
	callTimeout    = 500 * time.Millisecond
	forwardTimeout = 400 * time.Millisecond
	// avoidTime is how long an owner that did not answer gets no announcements
	// from this node; it takes them itself meanwhile.
	avoidTime = 2 * time.Second
	// pushDelay collects changes for one push.
	pushDelay = 20 * time.Millisecond
)

// The capacities of a node's queues.
const (
	signalCapacity = 1
	// maxPendingStates bounds the host states that wait for a push; what does
	// not fit is found by digest.
	maxPendingStates = 256
)

// Node keeps a [Table] and [Hosts] in step with those of the other entries.
type Node struct {
	table     *Table
	hosts     *Hosts
	regions   map[string]string
	transport Transport
	links     []*link
	avoided   sync.Map // host name to time.Time, the end of not forwarding
	joined    chan struct{}
}

// link is what a node keeps for pushing to one other entry.
type link struct {
	host   string
	signal chan struct{}

	mu      sync.Mutex
	pending []HostState
	acked   Mark
}

// NewNode returns a node. regions maps each availability zone to its region.
func NewNode(table *Table, hosts *Hosts, places []Host, regions map[string]string, t Transport) *Node {
	n := &Node{table: table, hosts: hosts, regions: regions, transport: t, joined: make(chan struct{})}
	for _, p := range places {
		if p.Name != hosts.self {
			n.links = append(n.links, &link{host: p.Name, signal: make(chan struct{}, signalCapacity)})
		}
	}
	return n
}

// Table returns the node's table.
func (n *Node) Table() *Table { return n.table }

// Hosts returns the node's hosts.
func (n *Node) Hosts() *Hosts { return n.hosts }

// Run does the node's duties until ctx ends: it joins the other entries, ticks,
// probes, and pushes to each of them.
func (n *Node) Run(ctx context.Context) error {
	var g errgroup.Group
	g.Go(func() error {
		n.join(ctx)
		return nil
	})
	g.Go(func() error { return n.tickForever(ctx) })
	g.Go(func() error { return n.probeForever(ctx) })
	for _, l := range n.links {
		g.Go(func() error { return n.pushForever(ctx, l) })
	}
	return g.Wait()
}

// tickForever ends leases and suspicions.
func (n *Node) tickForever(ctx context.Context) error {
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

// tick does one tick, gap after the one before.
func (n *Node) tick(now time.Time, gap time.Duration) {
	if gap > pauseThreshold {
		n.hosts.Resume(now)
	}
	n.tell(n.hosts.Tick(now)...)
	before := n.table.ownVersion()
	if n.table.Tick(now, n.hosts.OriginAlive) {
		n.hosts.Renew(n.table.Self().Epoch)
		n.tell(n.hosts.Self())
	}
	if n.table.ownVersion() != before {
		n.signalAll()
	}
}

// tell queues host states for every other entry and wakes the pushers.
func (n *Node) tell(states ...HostState) {
	if len(states) == 0 {
		return
	}
	for _, l := range n.links {
		l.mu.Lock()
		l.pending = append(l.pending, states...)
		l.pending = l.pending[max(0, len(l.pending)-maxPendingStates):]
		l.mu.Unlock()
	}
	n.signalAll()
}

// signalAll wakes every pusher.
func (n *Node) signalAll() {
	for _, l := range n.links {
		select {
		case l.signal <- struct{}{}:
		default:
		}
	}
}

// pushForever pushes changes to one other entry.
func (n *Node) pushForever(ctx context.Context, l *link) error {
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

// push sends what the other entry has not acknowledged. A failed push is not
// repeated; the next comparison of digests makes up for it.
func (n *Node) push(ctx context.Context, l *link) {
	l.mu.Lock()
	states, acked := l.pending, l.acked
	l.pending = nil
	l.mu.Unlock()
	if self := n.table.Self(); acked.Origin != self {
		acked = Mark{Origin: self}
	}
	for more := true; more && ctx.Err() == nil; {
		var d Delta
		d, more = n.table.Own(acked.Version)
		p := Push{Hosts: states}
		if d.To > d.From {
			p.Deltas = []Delta{d}
		}
		if len(p.Hosts)+len(p.Deltas) == 0 || n.call(ctx, l.host, MethodPush, p, &Pushed{}) != nil {
			return
		}
		states, acked.Version = nil, d.To
		l.mu.Lock()
		l.acked = acked
		l.mu.Unlock()
	}
}

// call calls another entry within the usual time.
func (n *Node) call(ctx context.Context, host, method string, params, result any) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	return n.transport.Call(ctx, host, method, params, result)
}

// Grant answers an announcement.
type Grant struct {
	// Lease is how long the announcement holds.
	Lease time.Duration
	// Owner is the host that holds the lease; the next announcement had best go
	// there.
	Owner Host
}

// Announce takes an announcement: it passes it on to the owner of the lease, or
// takes it itself where the owner does not answer. What a leaving backend
// server says is taken at once and told to all. It returns [ErrOldGeneration]
// if something newer is known.
func (n *Node) Announce(ctx context.Context, b BackendServer) (Grant, error) {
	if err := n.table.Check(b); err != nil {
		return Grant{}, err
	}
	owner := Owner(n.hosts, &b, n.regions)
	if b.State != Leaving && n.forwardable(owner.Name) {
		lease, err := n.forward(ctx, owner, b)
		if err == nil || errors.Is(err, ErrOldGeneration) {
			return Grant{Lease: lease, Owner: owner}, err
		}
		n.avoided.Store(owner.Name, time.Now().Add(avoidTime))
	}
	lease, err := n.take(b)
	return Grant{Lease: lease, Owner: n.hosts.own()}, err
}

// forwardable reports whether announcements may be passed on to the host.
func (n *Node) forwardable(host string) bool {
	if host == "" || host == n.hosts.self {
		return false
	}
	until, ok := n.avoided.Load(host)
	return !ok || time.Now().After(until.(time.Time))
}

// forward passes an announcement on to the owner of the lease.
func (n *Node) forward(ctx context.Context, owner Host, b BackendServer) (time.Duration, error) {
	ctx, cancel := context.WithTimeout(ctx, forwardTimeout)
	defer cancel()
	var taken Taken
	err := n.transport.Call(ctx, owner.Name, MethodForward, Take{Servers: []BackendServer{b}}, &taken)
	if err != nil {
		return 0, err
	}
	if taken.Refusal != "" {
		return 0, errors.Wrap(ErrOldGeneration, taken.Refusal)
	}
	return time.Duration(taken.LeaseMillis) * time.Millisecond, nil
}

// take puts an announcement into the own table and tells the others if it
// changed anything.
func (n *Node) take(b BackendServer) (time.Duration, error) {
	before := n.table.ownVersion()
	lease, err := n.table.Put(b, time.Now())
	if n.table.ownVersion() != before {
		n.signalAll()
	}
	return lease, err
}

// SetLeaving notes that the answers of a backend server show that it leaves.
func (n *Node) SetLeaving(b *BackendServer) {
	if n.table.Leave(b.Address, b.Generation, time.Now()) {
		n.signalAll()
	}
}

// sleep waits, or returns early when ctx ends.
func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}
