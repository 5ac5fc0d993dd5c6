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

// Timing of the connections between control hosts.
const (
	// discoveryInterval is the pause between two attempts to connect to all
	// control hosts. It is short, because a new deployment forms within a second
	// or two.
	discoveryInterval = 200 * time.Millisecond
	// redialDelay is the minimum time between a failed dial and the next one, so
	// that not every message to a host that is down starts a dial.
	redialDelay = 60 * time.Millisecond
)

// mesh holds the known control hosts and transports the messages of the
// replicas. It implements [consensus.Transport].
type mesh struct {
	c    *Coordinator
	ctx  context.Context
	dial func(ctx context.Context, address string) (*link.Conn, error)

	mu       sync.Mutex
	hosts    map[string]protocol.ControlHost
	outbound map[string]*outboundLink
}

// outboundLink is the connection to one peer address.
type outboundLink struct {
	mu   sync.Mutex
	conn *link.Conn
	// dialCount counts the dials; only the latest one may set conn.
	dialCount int
	dialing   bool
	failedAt  time.Time
}

// newMesh returns a mesh whose only known host is this one.
func newMesh(c *Coordinator) *mesh {
	return &mesh{
		c: c, ctx: context.Background(), dial: link.Dial,
		hosts: map[string]protocol.ControlHost{c.self.Name: c.self}, outbound: map[string]*outboundLink{},
	}
}

// start connects to control hosts periodically until ctx ends.
func (m *mesh) start(ctx context.Context) {
	m.ctx = ctx
	m.c.goroutines.Go(func() {
		for ctx.Err() == nil {
			m.connectAll()
			select {
			case <-ctx.Done():
			case <-time.After(discoveryInterval):
			}
		}
	})
}

// connectAll connects to the seeds, to the members of the log and to each known
// host.
func (m *mesh) connectAll() {
	for _, member := range m.c.node.Status().Members.All() {
		if member.Address != "" && member.Address != m.c.self.PeerAddress {
			m.outboundTo(member.Address).connect(m, member.Address)
		}
	}
	for _, seed := range m.c.options.Settings.SeedPeers() {
		if address := seed.String(); address != m.c.self.PeerAddress {
			m.outboundTo(address).connect(m, address)
		}
	}
	for _, h := range m.knownHosts() {
		if h.Name != m.c.self.Name {
			m.outboundTo(h.PeerAddress).connect(m, h.PeerAddress)
		}
	}
}

// addHost adds or updates a known control host.
func (m *mesh) addHost(h protocol.ControlHost) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if known, ok := m.hosts[h.Name]; !ok || known != h {
		m.c.log.Info().Str("event", "control_host_found").Str("peer_host", h.Name).Str("address", h.PeerAddress).Send()
		m.hosts[h.Name] = h
	}
}

// knownHosts returns the known control hosts, including this one.
func (m *mesh) knownHosts() []protocol.ControlHost {
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
	for _, h := range m.knownHosts() {
		all = append(all, raft.Member{Name: h.Name, Address: h.PeerAddress})
	}
	return all
}

// outboundTo returns the link to an address and adds it if there is none.
func (m *mesh) outboundTo(address string) *outboundLink {
	m.mu.Lock()
	defer m.mu.Unlock()
	o := m.outbound[address]
	if o == nil {
		o = &outboundLink{}
		m.outbound[address] = o
	}
	return o
}

// open returns the open connection, or nil.
func (o *outboundLink) open() *link.Conn {
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

// connect dials in the background unless the connection is open, a dial is
// running or one has just failed.
func (o *outboundLink) connect(m *mesh, address string) {
	if o.open() != nil {
		return
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.dialing || time.Since(o.failedAt) < redialDelay {
		return
	}
	o.startDial(m, address)
}

// reconnect dials a peer that has just shown that it is up, even while another
// dial is running. A dial that started while the peer was down hangs until its
// timeout; the new one supersedes it.
func (o *outboundLink) reconnect(m *mesh, address string) {
	if o.open() != nil {
		return
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	o.startDial(m, address)
}

// startDial dials in the background. The caller holds o.mu.
func (o *outboundLink) startDial(m *mesh, address string) {
	o.dialCount++
	o.dialing = true
	dialNumber := o.dialCount
	go func() {
		conn, err := m.dial(m.ctx, address)
		if o.finishDial(dialNumber, conn, err) {
			m.runOutbound(conn)
		}
	}()
}

// finishDial records the outcome of a dial and reports whether its connection is
// used. It closes the connection of a superseded dial.
func (o *outboundLink) finishDial(dialNumber int, conn *link.Conn, err error) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	if dialNumber != o.dialCount {
		if conn != nil {
			conn.Close()
		}
		return false
	}
	o.dialing = false
	if err != nil {
		o.failedAt = time.Now()
		return false
	}
	o.conn = conn
	return true
}

// runOutbound sends this host's hello on a connection and reads directories from
// it until it closes.
func (m *mesh) runOutbound(conn *link.Conn) {
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
				m.addHost(h)
			}
		}
	}, nil)
	m.c.log.Info().Str("event", "control_link_lost").Str("address", conn.RemoteAddr().String()).AnErr("reason", err).Send()
}

// Send sends one-way messages. It never blocks; without a connection it drops
// them and starts a dial.
func (m *mesh) Send(to raft.Member, e consensus.Envelope) {
	o := m.outboundTo(to.Address)
	if conn := o.open(); conn != nil {
		compact, rest := splitCompact(e.Messages)
		// A replica without a membership identifies the sender only by the
		// envelope, which compact messages are sent without.
		if noSender := e.From.ID == 0; noSender && len(compact) > 0 {
			_ = conn.Send(protocol.KindCompactReplication, compact)
			e.Messages = rest
		}
		if len(e.Messages) > 0 {
			_ = conn.Send(protocol.KindReplication, e)
		}
		return
	}
	o.connect(m, to.Address)
}

// Call makes one replication call to a member.
func (m *mesh) Call(ctx context.Context, to raft.Member, r consensus.Request) (consensus.Response, error) {
	var out consensus.Response
	err := m.call(ctx, to.Address, protocol.KindReplicationCall, r, &out)
	return out, err
}

// call makes one call to an address. Without a connection it starts a dial and
// returns [consensus.ErrNotConnected].
func (m *mesh) call(ctx context.Context, address string, kind link.Kind, params, result any) error {
	o := m.outboundTo(address)
	conn := o.open()
	if conn == nil {
		o.connect(m, address)
		return errors.Mark(errors.Newf("no connection to %s", address), consensus.ErrNotConnected)
	}
	return conn.Call(ctx, kind, params, result)
}

// accept accepts and serves connections until ctx ends or the listener closes.
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
			time.Sleep(redialDelay)
		}
	}
}
