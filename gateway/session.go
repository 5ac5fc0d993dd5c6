package gateway

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/rs/zerolog"

	"tanagerbarrow/broker"
	"tanagerbarrow/fleet"
	"tanagerbarrow/link"
	"tanagerbarrow/protocol"
)

// The times of the search for the broker.
const (
	// searchInterval is the pause between two attempts to find the broker, a small
	// part of the duration of an election.
	searchInterval = 60 * time.Millisecond
	// handshakeTimeout bounds the time from the connection to a control host until
	// the broker's welcome.
	handshakeTimeout = 300 * time.Millisecond
	// replyMargin is added to the longest wait of an ask in the broker's queue. It
	// covers a round trip between regions, the broker's tick and a busy host.
	replyMargin = 70 * time.Millisecond
	// silenceLimit is how long a broker that did not reply to an ask may stay
	// silent before the connection is closed. It leaves time to retransmit a lost
	// packet.
	silenceLimit = 250 * time.Millisecond
)

// errNoBroker means that no broker is connected or that it did not reply in time.
var errNoBroker = errors.New("no broker replies")

// errPaused is the reason for closing the connection after a pause of the process.
var errPaused = errors.New("the process was paused")

// reply is the broker's reply to an ask; one field is set.
type reply struct {
	grant   *broker.Grant
	refusal *broker.Refusal
}

// session is the connection to the broker. It is safe for concurrent use.
type session struct {
	settings *fleet.Settings
	view     *view
	log      zerolog.Logger
	// assignChecks is called with the health checks that the broker assigns.
	assignChecks func(protocol.CheckAssignment)
	// onStateChange is called after each connection to a broker and after each
	// configuration that was applied.
	onStateChange func()
	// onView is called after each whole view that was applied.
	onView func()

	mu   sync.Mutex
	conn *link.Conn
	// lastReceived is when the broker last sent a message, and suspectSince when
	// an ask first got no reply since then; zero if none.
	lastReceived, suspectSince time.Time

	// controlHosts holds the addresses of the control hosts.
	controlHosts map[string]bool
	namedLeader  string
	nextSeq      uint64
	// pendingAsks are keyed by their sequence numbers, and heldGrants maps the
	// identifier of a grant to that of its server.
	pendingAsks map[uint64]chan reply
	heldGrants  map[uint64]string
}

// newSession returns a session that is not connected.
func newSession(s *fleet.Settings, v *view, log zerolog.Logger) *session {
	controlHosts := map[string]bool{}
	for _, seed := range s.SeedPeers() {
		controlHosts[seed.String()] = true
	}
	return &session{
		settings: s, view: v, log: log, controlHosts: controlHosts,
		pendingAsks: map[uint64]chan reply{}, heldGrants: map[uint64]string{},
	}
}

// run keeps the session connected until ctx ends. If a control host names another
// one as the leader, run connects to that one at once, but follows only one such
// redirect before the next pause: two hosts may each name the other.
func (s *session) run(ctx context.Context) {
	for ctx.Err() == nil {
		if address := s.nextAddress(); address != "" {
			s.connect(ctx, address)
		}
		if address := s.takeNamedLeader(); address != "" {
			s.connect(ctx, address)
		}
		select {
		case <-ctx.Done():
		case <-time.After(searchInterval):
		}
	}
}

// takeNamedLeader returns the address of the leader that a control host has named
// since the last call, or an empty string.
func (s *session) takeNamedLeader() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	leader := s.namedLeader
	s.namedLeader = ""
	return leader
}

// nextAddress returns the address of the named leader, or else of a random control
// host.
func (s *session) nextAddress() string {
	if leader := s.takeNamedLeader(); leader != "" {
		return leader
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	at := rand.IntN(max(1, len(s.controlHosts)))
	for address := range s.controlHosts {
		if at--; at < 0 {
			return address
		}
	}
	return ""
}

// connect connects to a control host. It returns when the connection ends, which
// is at once if the host is not the leader.
func (s *session) connect(ctx context.Context, address string) {
	conn, err := link.Dial(ctx, address)
	if err != nil {
		s.log.Debug().Str("event", "control_host_unreachable").Str("address", address).Err(err).Send()
		return
	}
	defer conn.Close()
	stop := context.AfterFunc(ctx, conn.Close)
	defer stop()
	hello := protocol.Hello{
		Name: s.settings.Host.Name, AvailabilityZone: s.settings.Host.AvailabilityZone,
	}
	if conn.Send(protocol.KindHello, hello) != nil {
		return
	}
	c := &controlConn{session: s, conn: conn, address: address}
	c.handshakeTimer = time.AfterFunc(handshakeTimeout, conn.Close)
	defer c.handshakeTimer.Stop()
	err = conn.Run(c.receive, nil)
	s.endConnection(conn, err)
}

// controlConn is a connection to a control host.
type controlConn struct {
	session        *session
	conn           *link.Conn
	address        string
	handshakeTimer *time.Timer
}

// receive handles a message of the control host. It closes the connection if the
// message is invalid.
func (c *controlConn) receive(kind link.Kind, body []byte) {
	c.session.markReceived()
	var err error
	switch kind {
	case protocol.KindDirectory:
		err = c.handleDirectory(body)
	case protocol.KindWelcome:
		err = c.handleWelcome(body)
	case protocol.KindDocument:
		var d protocol.Document
		if err = link.Decode(body, &d); err == nil {
			err = c.session.view.applyDocument(d)
		}
		if err == nil {
			c.session.log.Info().Str("event", "configuration_applied").Uint64("version", d.Version).Send()
			c.session.onStateChange()
		}
	case protocol.KindView:
		err = c.handleView(body)
	case protocol.KindCheckAssignment:
		var m protocol.CheckAssignment
		if err = link.Decode(body, &m); err == nil {
			c.session.assignChecks(m)
		}
	case protocol.KindGrant:
		var g broker.Grant
		if err = link.Decode(body, &g); err == nil {
			c.session.deliverReply(g.Seq, reply{grant: &g})
		}
	case protocol.KindRefusal:
		var r broker.Refusal
		if err = link.Decode(body, &r); err == nil {
			c.session.deliverReply(r.Seq, reply{refusal: &r})
		}
	}
	if err != nil {
		c.session.log.Warn().Str("event", "session_broken").Uint8("kind", uint8(kind)).Err(err).Send()
		c.conn.Close()
	}
}

// handleDirectory stores the addresses of the control hosts. It subscribes if this
// host is the leader, and else closes the connection.
func (c *controlConn) handleDirectory(body []byte) error {
	var d protocol.Directory
	if err := link.Decode(body, &d); err != nil {
		return err
	}
	s := c.session
	s.mu.Lock()
	for _, h := range d.Hosts {
		s.controlHosts[h.PeerAddress] = true
	}
	if d.LeaderAddress != c.address {
		s.namedLeader = d.LeaderAddress
		s.mu.Unlock()
		c.conn.Close()
		return nil
	}
	m := protocol.Subscribe{}
	for id, server := range s.heldGrants {
		m.Held = append(m.Held, broker.HeldGrant{ServerID: server, ID: id})
	}
	s.mu.Unlock()
	m.Version = s.view.version()
	return c.conn.Send(protocol.KindSubscribe, m)
}

// handleView applies changes of servers and zones.
func (c *controlConn) handleView(body []byte) error {
	var m protocol.View
	if err := link.Decode(body, &m); err != nil {
		return err
	}
	c.session.view.applyView(m, time.Now())
	if m.Full {
		c.session.onView()
	}
	return nil
}

// handleWelcome starts to use the connection for asks. It returns an error if the
// broker's term is older than one seen before.
func (c *controlConn) handleWelcome(body []byte) error {
	var w protocol.Welcome
	if err := link.Decode(body, &w); err != nil {
		return err
	}
	if !c.session.view.beginTerm(w.Term) {
		return errors.Newf("the broker's term %d is older than the current term", w.Term)
	}
	c.handshakeTimer.Stop()
	c.session.mu.Lock()
	c.session.conn = c.conn
	c.session.mu.Unlock()
	c.session.log.Info().Str("event", "broker_found").Str("address", c.address).Uint64("term", w.Term).Send()
	c.session.onStateChange()
	return nil
}

// endConnection stops using a connection and fails its pending asks.
func (s *session) endConnection(conn *link.Conn, reason error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.conn != conn {
		return
	}
	s.conn, s.suspectSince = nil, time.Time{}
	for seq, pending := range s.pendingAsks {
		close(pending)
		delete(s.pendingAsks, seq)
	}
	s.log.Warn().Str("event", "broker_lost").AnErr("reason", reason).Send()
}

// closeConnection closes the connection to the broker, so that run opens another.
func (s *session) closeConnection() {
	s.mu.Lock()
	conn := s.conn
	s.mu.Unlock()
	if conn == nil {
		return
	}
	conn.Close()
	s.endConnection(conn, errPaused)
}

// ask asks the broker for a grant and waits for the reply. It returns
// [errNoBroker] if no broker is connected or it did not reply in time.
func (s *session) ask(ctx context.Context, ask broker.Ask, maxQueueWait time.Duration) (reply, error) {
	s.mu.Lock()
	conn := s.conn
	if conn == nil || !s.suspectSince.IsZero() {
		s.mu.Unlock()
		return reply{}, errNoBroker
	}
	s.nextSeq++
	ask.Seq = s.nextSeq
	replies := make(chan reply, 1)
	s.pendingAsks[ask.Seq] = replies
	s.mu.Unlock()
	if conn.Send(protocol.KindAsk, ask) != nil {
		s.removeAsk(ask.Seq)
		return reply{}, errNoBroker
	}
	timeout := time.NewTimer(maxQueueWait + replyMargin)
	defer timeout.Stop()
	select {
	case r, ok := <-replies:
		if !ok {
			return reply{}, errNoBroker
		}
		return r, nil
	case <-ctx.Done():
		s.removeAsk(ask.Seq)
		_ = conn.Send(protocol.KindCancel, broker.Cancel{Seq: ask.Seq})
		return reply{}, ctx.Err()
	case <-timeout.C:
		s.removeAsk(ask.Seq)
		_ = conn.Send(protocol.KindCancel, broker.Cancel{Seq: ask.Seq})
		s.suspectBroker(conn, ask.Seq)
		return reply{}, errNoBroker
	}
}

// markReceived records that the broker sent a message.
func (s *session) markReceived() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lastReceived, s.suspectSince = time.Now(), time.Time{}
}

// suspectBroker records an ask without a reply. Until the broker sends a message
// again, the entry chooses servers itself; the connection to a broker that stays
// silent for silenceLimit is closed.
func (s *session) suspectBroker(conn *link.Conn, seq uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.log.Warn().Str("event", "broker_silent").Uint64("ask", seq).Dur("heard_ms", time.Since(s.lastReceived)).Send()
	if !s.suspectSince.IsZero() || time.Since(s.lastReceived) < replyMargin {
		return
	}
	s.suspectSince = time.Now()
	time.AfterFunc(silenceLimit, func() {
		s.mu.Lock()
		stillSilent := s.conn == conn && !s.suspectSince.IsZero()
		s.mu.Unlock()
		if stillSilent {
			conn.Close()
		}
	})
}

// removeAsk removes an ask from the pending ones.
func (s *session) removeAsk(seq uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.pendingAsks, seq)
}

// deliverReply passes a reply to the ask that waits for it and records a grant as
// held.
func (s *session) deliverReply(seq uint64, r reply) {
	s.mu.Lock()
	defer s.mu.Unlock()
	pending, ok := s.pendingAsks[seq]
	if !ok {
		return
	}
	delete(s.pendingAsks, seq)
	if r.grant != nil {
		if server := s.view.server(r.grant.Server); server != nil {
			s.heldGrants[r.grant.ID] = server.ID
		}
	}
	pending <- r
}

// release ends a grant and reports its outcome to the broker.
func (s *session) release(r broker.Release) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.heldGrants, r.ID)
	if s.conn != nil {
		_ = s.conn.Send(protocol.KindRelease, r)
	}
}

// reportSamples sends results of health checks to the broker.
func (s *session) reportSamples(samples []broker.Sample) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.conn != nil {
		_ = s.conn.Send(protocol.KindSamples, samples)
	}
}
