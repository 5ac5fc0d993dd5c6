package coordinator

import (
	"context"
	"maps"
	"net"
	"net/netip"
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

	mu sync.Mutex
	// seeds are peer addresses. hosts holds the known hosts by their names, and outbound
	// the links by their peer addresses.
	seeds    []netip.AddrPort
	hosts    map[string]*knownHost
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
	// peer is the name of the host that sent its directory on conn; empty before.
	peer string
}

// newMesh returns a mesh whose only known host is this one.
func newMesh(c *Coordinator) *mesh {
	return &mesh{
		c: c, ctx: context.Background(), dial: link.Dial, seeds: c.options.Settings.SeedPeers(),
		hosts: map[string]*knownHost{c.self.Name: {ControlHost: c.self, met: true}}, outbound: map[string]*outboundLink{},
	}
}

// start connects to control hosts periodically until ctx ends.
func (m *mesh) start(ctx context.Context) {
	m.ctx = ctx
	m.c.goroutines.Go(func() {
		for ctx.Err() == nil {
			members := m.c.node.Status().Members.All()
			m.forgetHosts(time.Now(), members)
			m.connectAll(members)
			m.c.announceHosts()
			select {
			case <-ctx.Done():
			case <-time.After(discoveryInterval):
			}
		}
	})
}

// connectAll connects to the seeds, to the members of the log and to each known
// host, and drops the links to other addresses that are closed.
func (m *mesh) connectAll(members []raft.Member) {
	addresses := m.addresses(members)
	for address := range addresses {
		m.outboundTo(address).connect(m, address)
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	maps.DeleteFunc(m.outbound, func(address string, o *outboundLink) bool { return !addresses[address] && o.unused() })
}

// addresses returns the addresses of all other control hosts that are known.
func (m *mesh) addresses(members []raft.Member) map[string]bool {
	all := map[string]bool{}
	for _, member := range members {
		all[member.Address] = true
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, seed := range m.seeds {
		all[seed.String()] = true
	}
	for _, h := range m.hosts {
		all[h.PeerAddress] = true
	}
	delete(all, "")
	delete(all, m.c.self.PeerAddress)
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

// openTo reports whether the connection is open and leads to the host with the name.
func (o *outboundLink) openTo(name string) bool {
	if o.open() == nil {
		return false
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.peer == name
}

// unused reports whether there is neither a connection nor a dial.
func (o *outboundLink) unused() bool {
	if o.open() != nil {
		return false
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	return !o.dialing
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
			m.runOutbound(o, conn, address)
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
	o.conn, o.peer = conn, ""
	return true
}

// runOutbound sends this host's hello on the connection to an address and reads
// directories from it until it closes.
func (m *mesh) runOutbound(o *outboundLink, conn *link.Conn, address string) {
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
			m.receiveDirectory(o, conn, address, d)
		}
	}, nil)
	m.c.log.Info().Str("event", "control_link_lost").Str("address", conn.RemoteAddr().String()).AnErr("reason", err).Send()
}

// receiveDirectory stores the hosts of the directory that the host at an address has sent.
// It closes the connection to a host of another deployment.
func (m *mesh) receiveDirectory(o *outboundLink, conn *link.Conn, address string, d protocol.Directory) {
	var senders []protocol.ControlHost
	for _, h := range d.Hosts {
		if h.PeerAddress == address {
			senders = append(senders, h)
		}
	}
	// Hosts of earlier builds also name those that had their address; their hello tells
	// which one they are.
	if len(senders) == 1 {
		if err := m.meet(senders[0]); err != nil {
			m.c.log.Warn().Str("event", "control_host_refused").Str("address", address).Err(err).Send()
			conn.Close()
			return
		}
		o.mu.Lock()
		o.peer = senders[0].Name
		o.mu.Unlock()
	}
	for _, h := range d.Hosts {
		m.suggest(h)
	}
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
			opened := link.New(conn)
			opened.LimitFrames(maxStrangerFrameBytes)
			if toClose := c.strangers.add(opened); toClose != nil {
				toClose.Close()
			}
			go c.serveLink(ctx, opened)
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
