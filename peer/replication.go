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

// Methods of calls between replicas.
const (
	// MethodReplicate sends messages of the replicated log as notifications,
	// without a response.
	MethodReplicate = "raft"
	// MethodReplicaCall sends a call from one replica of a group to another.
	MethodReplicaCall = "raft.call"
)

// Limits on sending to one process.
const (
	maxQueuedEnvelopes = 512
	maxBatchEnvelopes  = 64
	// maxBatchCommandBytes is the size of commands, in bytes, from which on no
	// further envelope is added to a batch. It keeps a batch well below
	// maxMessageBytes.
	maxBatchCommandBytes = 4 << 20
	connectTimeout       = time.Second
	writeTimeout         = 2 * time.Second
)

// EnvelopeBatch carries messages of several groups to one process.
type EnvelopeBatch struct {
	// Envelopes are in the order of sending.
	Envelopes []consensus.Envelope `json:"e"`
}

// commandBytes returns the total size of the commands in the batch, in bytes.
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

// ReplicaTransport sends messages and calls between replicas. It implements
// [consensus.Transport].
type ReplicaTransport struct {
	host             string
	access           settings.Access
	log              zerolog.Logger
	droppedEnvelopes *metrics.Counter

	mu           sync.Mutex
	destinations map[string]*destination
	ctx          context.Context
	stop         context.CancelFunc
	senders      sync.WaitGroup
}

// destination is one remote process. Messages are queued and sent by a
// goroutine; calls use a separate connection.
type destination struct {
	queue           chan consensus.Envelope
	messages, calls *Client
}

// NewReplicaTransport returns a transport that identifies itself as host.
func NewReplicaTransport(host string, a settings.Access, set *metrics.Set, log zerolog.Logger) *ReplicaTransport {
	r := &ReplicaTransport{
		host: host, access: a, log: log, destinations: map[string]*destination{},
		droppedEnvelopes: set.GetOrCreateCounter("tanagerbarrow_replication_dropped_envelopes_total"),
	}
	r.ctx, r.stop = context.WithCancel(context.Background())
	return r
}

// destination returns the destination of a member. The first use creates it and
// starts its sender.
func (r *ReplicaTransport) destination(to raft.Member) (*destination, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if d := r.destinations[to.Address]; d != nil {
		return d, nil
	}
	if r.ctx.Err() != nil {
		return nil, errors.Mark(errors.New("the transport is closed"), consensus.ErrNotConnected)
	}
	address, err := netip.ParseAddrPort(to.Address)
	if err != nil {
		return nil, errors.Mark(errors.Wrapf(err, "address of host %q", to.Name), consensus.ErrNotConnected)
	}
	host := settings.Host{Name: to.Name, Peer: address}
	d := &destination{
		queue:    make(chan consensus.Envelope, maxQueuedEnvelopes),
		messages: r.newClient(host),
		calls:    r.newClient(host),
	}
	r.destinations[to.Address] = d
	r.senders.Go(func() { r.sendQueued(d) })
	return d, nil
}

// newClient returns a client that calls host.
func (r *ReplicaTransport) newClient(host settings.Host) *Client {
	return NewClient(r.host, r.access.PeerKey, host).UseTLS(r.access.TLS)
}

// Send queues an envelope for a member. If the queue is full, the envelope is
// dropped and counted.
func (r *ReplicaTransport) Send(to raft.Member, e consensus.Envelope) {
	d, err := r.destination(to)
	if err != nil {
		return
	}
	select {
	case d.queue <- e:
	default:
		r.droppedEnvelopes.Inc()
	}
}

// Call calls a replica on the host of a member.
func (r *ReplicaTransport) Call(ctx context.Context, to raft.Member, request consensus.Request) (consensus.Response, error) {
	var response consensus.Response
	d, err := r.destination(to)
	if err != nil {
		return response, err
	}
	err = d.calls.Call(ctx, MethodReplicaCall, request, &response)
	return response, err
}

// sendQueued sends the queued envelopes in batches until the transport is
// closed.
func (r *ReplicaTransport) sendQueued(d *destination) {
	for {
		var batch EnvelopeBatch
		select {
		case <-r.ctx.Done():
			return
		case e := <-d.queue:
			batch.Envelopes = append(batch.Envelopes, e)
		}
		for len(batch.Envelopes) < maxBatchEnvelopes && len(d.queue) > 0 && batch.commandBytes() < maxBatchCommandBytes {
			batch.Envelopes = append(batch.Envelopes, <-d.queue)
		}
		if err := d.messages.Notify(r.ctx, MethodReplicate, batch); err != nil && r.ctx.Err() == nil {
			r.log.Debug().Err(err).Str("host", d.messages.peer.Name).Msg("messages not sent")
		}
	}
}

// Close closes all connections and waits for the senders to end.
func (r *ReplicaTransport) Close() {
	r.mu.Lock()
	r.stop()
	for _, d := range r.destinations {
		d.messages.Close()
		d.calls.Close()
	}
	r.mu.Unlock()
	r.senders.Wait()
}

// Notify sends a call that has no response. If the call cannot be written
// within writeTimeout, the connection is closed, because the peer is then
// frozen or gone.
func (c *Client) Notify(ctx context.Context, method string, params any) error {
	connectCtx, cancel := context.WithTimeout(ctx, connectTimeout)
	defer cancel()
	conn, err := c.connect(connectCtx)
	if err != nil {
		return errors.Mark(err, consensus.ErrNotConnected)
	}
	writeTimer := time.AfterFunc(writeTimeout, func() { _ = conn.Close() })
	defer writeTimer.Stop()
	err = conn.Notify(ctx, method, params)
	c.release(conn, err)
	if err != nil {
		return errors.Wrapf(err, "notify %s on host %q", method, c.peer.Name)
	}
	return nil
}

// Replica handles messages and calls for one group.
type Replica interface {
	// Receive accepts the messages of an envelope without blocking.
	Receive(e consensus.Envelope)
	// Handle executes a call and returns its response.
	Handle(ctx context.Context, r consensus.Request) consensus.Response
}

// ServeReplicas registers the methods of calls between replicas. find returns
// the local replica of a group, or nil if there is none.
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
