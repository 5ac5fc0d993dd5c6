package peer

import (
	"context"
	"net/netip"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/cockroachdb/errors"
	"github.com/rs/zerolog"

	"tanagerbarrow/consensus"
	"tanagerbarrow/consensus/raft"
	"tanagerbarrow/settings"
)

// The methods between replicas.
const (
	// MethodReplicate carries messages of the replicated log one way.
	MethodReplicate = "raft"
	// MethodReplicaCall carries a call between replicas of a group.
	MethodReplicaCall = "raft.call"
)

// The bounds of sending to one replica.
const (
	replicationCapacity = 512
	maxEnvelopes        = 64
	// maxBatchBytes of commands end a batch; what is sent stays well below the
	// bound of one message.
	maxBatchBytes  = 4 << 20
	connectTimeout = time.Second
	writeTimeout   = 2 * time.Second
)

// EnvelopeBatch carries the messages of several groups to one process.
type EnvelopeBatch struct {
	// Envelopes are in the order of sending.
	Envelopes []consensus.Envelope `json:"e"`
}

// commandBytes returns the size of the carried commands.
func (e EnvelopeBatch) commandBytes() int {
	size := 0
	for _, envelope := range e.Envelopes {
		for _, m := range envelope.Messages {
			for _, entry := range m.Entries {
				size += len(entry.Data)
			}
		}
	}
	return size
}

// ReplicaTransport carries the traffic between replicas. It implements
// [consensus.Transport].
type ReplicaTransport struct {
	host    string
	access  settings.Access
	log     zerolog.Logger
	dropped *metrics.Counter

	mu    sync.Mutex
	links map[string]*link
	ctx   context.Context
	stop  context.CancelFunc
	done  sync.WaitGroup
}

// link is the way to one process: a queue with a sender for messages, and a
// connection of its own for calls.
type link struct {
	queue           chan consensus.Envelope
	messages, calls *Client
}

// NewReplicaTransport returns a transport that presents itself as host.
func NewReplicaTransport(host string, a settings.Access, set *metrics.Set, log zerolog.Logger) *ReplicaTransport {
	r := &ReplicaTransport{
		host: host, access: a, log: log, links: map[string]*link{},
		dropped: set.GetOrCreateCounter("tanagerbarrow_replication_dropped_envelopes_total"),
	}
	r.ctx, r.stop = context.WithCancel(context.Background())
	return r
}

// link returns the way to a member and makes it on first use.
func (r *ReplicaTransport) link(to raft.Member) (*link, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if l := r.links[to.Address]; l != nil {
		return l, nil
	}
	if r.ctx.Err() != nil {
		return nil, errors.Mark(errors.New("the transport is closed"), consensus.ErrNotConnected)
	}
	address, err := netip.ParseAddrPort(to.Address)
	if err != nil {
		return nil, errors.Mark(errors.Wrapf(err, "address of host %q", to.Name), consensus.ErrNotConnected)
	}
	host := settings.Host{Name: to.Name, Peer: address}
	l := &link{
		queue:    make(chan consensus.Envelope, replicationCapacity),
		messages: r.client(host),
		calls:    r.client(host),
	}
	r.links[to.Address] = l
	r.done.Go(func() { r.send(l) })
	return l, nil
}

// client returns a client of a host.
func (r *ReplicaTransport) client(host settings.Host) *Client {
	return NewClient(r.host, r.access.PeerKey, host).UseTLS(r.access.TLS)
}

// Send queues messages; a full queue drops them.
func (r *ReplicaTransport) Send(to raft.Member, e consensus.Envelope) {
	l, err := r.link(to)
	if err != nil {
		return
	}
	select {
	case l.queue <- e:
	default:
		r.dropped.Inc()
	}
}

// Call carries out one call.
func (r *ReplicaTransport) Call(ctx context.Context, to raft.Member, request consensus.Request) (consensus.Response, error) {
	var response consensus.Response
	l, err := r.link(to)
	if err != nil {
		return response, err
	}
	err = l.calls.Call(ctx, MethodReplicaCall, request, &response)
	return response, err
}

// send sends what is queued, several envelopes at once.
func (r *ReplicaTransport) send(l *link) {
	for {
		var batch EnvelopeBatch
		select {
		case <-r.ctx.Done():
			return
		case e := <-l.queue:
			batch.Envelopes = append(batch.Envelopes, e)
		}
		for len(batch.Envelopes) < maxEnvelopes && len(l.queue) > 0 && batch.commandBytes() < maxBatchBytes {
			batch.Envelopes = append(batch.Envelopes, <-l.queue)
		}
		if err := l.messages.Notify(r.ctx, MethodReplicate, batch); err != nil && r.ctx.Err() == nil {
			r.log.Debug().Err(err).Str("host", l.messages.peer.Name).Msg("messages not sent")
		}
	}
}

// Close ends all connections.
func (r *ReplicaTransport) Close() {
	r.mu.Lock()
	r.stop()
	for _, l := range r.links {
		l.messages.Close()
		l.calls.Close()
	}
	r.mu.Unlock()
	r.done.Wait()
}

// Notify sends a call without an answer. A connection that does not take it
// within a time limit is closed: its peer is frozen or gone.
func (c *Client) Notify(ctx context.Context, method string, params any) error {
	connecting, cancel := context.WithTimeout(ctx, connectTimeout)
	defer cancel()
	conn, err := c.connect(connecting)
	if err != nil {
		return errors.Mark(err, consensus.ErrNotConnected)
	}
	stuck := time.AfterFunc(writeTimeout, func() { _ = conn.Close() })
	defer stuck.Stop()
	if err := conn.Notify(ctx, method, params); err != nil {
		c.dropBroken(conn, err)
		return errors.Wrapf(err, "notify %s on host %q", method, c.peer.Name)
	}
	return nil
}

// Replica is the receiving side of one group.
type Replica interface {
	// Receive takes in messages without blocking.
	Receive(e consensus.Envelope)
	// Handle answers a call.
	Handle(ctx context.Context, r consensus.Request) consensus.Response
}

// ServeReplicas registers the methods between replicas. find returns the
// replica of a group, or nil.
func (s *Server) ServeReplicas(find func(group string) Replica) {
	s.HandleInOrder(MethodReplicate, Typed(func(_ context.Context, all EnvelopeBatch) (Empty, error) {
		for _, e := range all.Envelopes {
			if replica := find(e.Group); replica != nil {
				replica.Receive(e)
			}
		}
		return Empty{}, nil
	}))
	s.Handle(MethodReplicaCall, Typed(func(ctx context.Context, r consensus.Request) (consensus.Response, error) {
		if replica := find(r.Group); replica != nil {
			return replica.Handle(ctx, r), nil
		}
		return consensus.NotServed(r.Group), nil
	}))
}
