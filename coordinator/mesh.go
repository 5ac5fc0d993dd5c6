package coordinator

import (
	"context"
	"net"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"tanagerbarrow/consensus"
	"tanagerbarrow/consensus/raft"
	"tanagerbarrow/link"
	"tanagerbarrow/protocol"
)

// The times of the mesh.
const (
	// seedPause is the time between two looks for control hosts: short, since a
	// new system forms within a second or two.
	seedPause = 200 * time.Millisecond
	// redialPause keeps a host that is down from being dialled by every message.
	redialPause = 60 * time.Millisecond
)

// mesh knows the control hosts and carries the replicas' messages. It
// implements [consensus.Transport].
type mesh struct {
	c    *Coordinator
	ctx  context.Context
	dial func(ctx context.Context, address string) (*link.Conn, error)

	mu    sync.Mutex
	hosts map[string]protocol.ControlHost
	links map[string]*outgoing
}

// outgoing is the connection to one peer address.
type outgoing struct {
	mu   sync.Mutex
	conn *link.Conn
	// dials counts the dials; only the last one may set conn.
	dials   int
	dialing bool
	failed  time.Time
}

// newMesh returns a mesh that knows this host.
func newMesh(c *Coordinator) *mesh {
	return &mesh{
		c: c, ctx: context.Background(), dial: link.Dial,
		hosts: map[string]protocol.ControlHost{c.self.Name: c.self}, links: map[string]*outgoing{},
	}
}

// start looks for control hosts until ctx ends.
func (m *mesh) start(ctx context.Context) {
	m.ctx = ctx
	m.c.joined.Go(func() {
		for ctx.Err() == nil {
			m.seek()
			select {
			case <-ctx.Done():
			case <-time.After(seedPause):
			}
		}
	})
}

// seek connects to the seeds, to the members of the log and to each known host.
func (m *mesh) seek() {
	for _, member := range m.c.node.Status().Members.All() {
		if member.Address != "" && member.Address != m.c.self.PeerAddress {
			m.link(member.Address).connect(m, member.Address)
		}
	}
	for _, seed := range m.c.options.Settings.SeedPeers() {
		if address := seed.String(); address != m.c.self.PeerAddress {
			m.link(address).connect(m, address)
		}
	}
	for _, h := range m.known() {
		if h.Name != m.c.self.Name {
			m.link(h.PeerAddress).connect(m, h.PeerAddress)
		}
	}
}

// meet notes a control host.
func (m *mesh) meet(h protocol.ControlHost) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if known, ok := m.hosts[h.Name]; !ok || known != h {
		m.c.log.Info().Str("event", "control_host_found").Str("peer_host", h.Name).Str("address", h.PeerAddress).Send()
		m.hosts[h.Name] = h
	}
}

// known returns the known control hosts, this one included.
func (m *mesh) known() []protocol.ControlHost {
	m.mu.Lock()
	defer m.mu.Unlock()
	var all []protocol.ControlHost
	for _, h := range m.hosts {
		all = append(all, h)
	}
	return all
}

// members returns the known control hosts as members of the group.
func (m *mesh) members() []raft.Member {
	var all []raft.Member
	for _, h := range m.known() {
		all = append(all, raft.Member{Name: h.Name, Address: h.PeerAddress})
	}
	return all
}

// link returns the place for the connection to an address.
func (m *mesh) link(address string) *outgoing {
	m.mu.Lock()
	defer m.mu.Unlock()
	o := m.links[address]
	if o == nil {
		o = &outgoing{}
		m.links[address] = o
	}
	return o
}

// open returns the open connection, or nil.
func (o *outgoing) open() *link.Conn {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.conn == nil {
		return nil
	}
	select {
	case <-o.conn.Done():
		return nil
	default:
		return o.conn
	}
}

// connect opens the connection in the background unless it is open.
func (o *outgoing) connect(m *mesh, address string) {
	if o.open() != nil {
		return
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.dialing || time.Since(o.failed) < redialPause {
		return
	}
	o.begin(m, address)
}

// reconnect is connect for a peer that has just shown that it is up. A dial that
// began while the peer was down hangs until its time limit; another one takes
// its place.
func (o *outgoing) reconnect(m *mesh, address string) {
	if o.open() != nil {
		return
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	o.begin(m, address)
}

// begin dials in the background. The caller holds o.mu.
func (o *outgoing) begin(m *mesh, address string) {
	o.dials++
	o.dialing = true
	n := o.dials
	go func() {
		conn, err := m.dial(m.ctx, address)
		if o.end(n, conn, err) {
			m.greet(conn)
		}
	}()
}

// end takes in the outcome of a dial and reports whether its connection is used.
func (o *outgoing) end(n int, conn *link.Conn, err error) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	if n != o.dials {
		if conn != nil {
			conn.Close()
		}
		return false
	}
	o.dialing = false
	if err != nil {
		o.failed = time.Now()
		return false
	}
	o.conn = conn
	return true
}

// greet presents this host on a connection and reads from it.
func (m *mesh) greet(conn *link.Conn) {
	hello := protocol.Hello{
		Name: m.c.self.Name, AvailabilityZone: m.c.self.AvailabilityZone,
		ControlHost: &m.c.self,
	}
	if err := conn.Send(protocol.KindHello, hello); err != nil {
		conn.Close()
		return
	}
	err := conn.Run(func(kind link.Kind, body []byte) {
		var d protocol.Directory
		if kind == protocol.KindDirectory && link.Decode(body, &d) == nil {
			for _, h := range d.Hosts {
				m.meet(h)
			}
		}
	}, nil)
	m.c.log.Info().Str("event", "control_link_lost").Str("address", conn.RemoteAddr().String()).AnErr("reason", err).Send()
}

// Send carries messages one way. It never blocks; without a connection they are
// dropped.
func (m *mesh) Send(to raft.Member, e consensus.Envelope) {
	o := m.link(to.Address)
	if conn := o.open(); conn != nil {
		short, rest := signals(e.Messages)
		// A replica without a membership knows the sender only by its envelope.
		if known := e.From.ID == 0; known && len(short) > 0 {
			_ = conn.Send(protocol.KindCompactReplication, short)
			e.Messages = rest
		}
		if len(e.Messages) > 0 {
			_ = conn.Send(protocol.KindReplication, e)
		}
		return
	}
	o.connect(m, to.Address)
}

// Call carries out one call.
func (m *mesh) Call(ctx context.Context, to raft.Member, r consensus.Request) (consensus.Response, error) {
	var out consensus.Response
	err := m.call(ctx, to.Address, protocol.KindReplicationCall, r, &out)
	return out, err
}

// call carries out one call at an address.
func (m *mesh) call(ctx context.Context, address string, kind link.Kind, params, result any) error {
	o := m.link(address)
	conn := o.open()
	if conn == nil {
		o.connect(m, address)
		return errors.Mark(errors.Newf("no connection to %s", address), consensus.ErrNotConnected)
	}
	return conn.Call(ctx, kind, params, result)
}

// accept takes connections until the listener closes.
func (c *Coordinator) accept(ctx context.Context, listener net.Listener) {
	for {
		conn, err := listener.Accept()
		switch {
		case err == nil:
			go c.serveLink(ctx, link.New(conn))
		case ctx.Err() != nil:
			return
		case errors.Is(err, net.ErrClosed):
			return
		default:
			c.log.Error().Str("event", "accept_failed").Err(err).Send()
			time.Sleep(redialPause)
		}
	}
}
