package gateway

import (
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/rs/zerolog"

	"tanagerbarrow/account"
	"tanagerbarrow/boottime"
	"tanagerbarrow/broker"
	"tanagerbarrow/fleet"
	"tanagerbarrow/link"
	"tanagerbarrow/protocol"
)

// The times of a session.
const (
	// handshakeTimeout bounds the time from the subscription until the broker's
	// welcome.
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
	settings     *fleet.Settings
	view         *view
	log          zerolog.Logger
	controlHosts *controlHosts
	// assignChecks is called with the health checks that the broker assigns.
	assignChecks func(protocol.CheckAssignment)
	// onStateChange is called after each connection to a broker and after each
	// configuration that was applied.
	onStateChange func()
	// onView is called after each whole view that was applied.
	onView func()

	mu   sync.Mutex
	conn *link.Conn
	// capabilities are the further messages that the broker handles.
	capabilities protocol.Capabilities
	// lostSince is when the last broker was lost, or the process started, in
	// [boottime.Now].
	lostSince time.Duration
	// lastReceived is when the broker last sent a message, and suspectSince when
	// an ask first got no reply since then; zero if none.
	lastReceived, suspectSince time.Time

	nextSeq uint64
	// pendingAsks are keyed by their sequence numbers, and heldGrants maps the
	// identifier of a grant to that of its server.
	pendingAsks map[uint64]chan reply
	heldGrants  map[uint64]string
	// relayAddress accepts requests that this entry relays; empty if it relays none.
	relayAddress string
	// accountShares are what this entry may let through of client accounts without a broker.
	accountShares *accountShares
	// currency tells whether the configuration is the newest. brokerWelcomed receives a value after each
	// connection to a broker that handles queries.
	currency       *currency
	brokerWelcomed chan struct{}
	// path is what the broker knows of the path to the backend servers.
	path protocol.Path
}

// newSession returns a session that is not connected.
func newSession(s *fleet.Settings, v *view, log zerolog.Logger) *session {
	return &session{
		settings: s, view: v, log: log, controlHosts: newControlHosts(s.Regions, s.SeedPeers()), lostSince: boottime.Now(),
		pendingAsks: map[uint64]chan reply{}, heldGrants: map[uint64]string{},
		accountShares: newAccountShares(s.Bounds.LimitWindow), currency: newCurrency(boottime.Now),
		brokerWelcomed: make(chan struct{}, 1),
	}
}

// run keeps the session connected until ctx ends.
func (s *session) run(ctx context.Context) {
	for ctx.Err() == nil {
		s.findBroker(ctx)
		for conn := s.activeConn(); conn != nil; conn = s.activeConn() {
			<-conn.Done()
			s.endConnection(conn, conn.Err())
		}
	}
}

// activeConn returns the connection to the broker, or nil.
func (s *session) activeConn() *link.Conn {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.conn
}

// use makes a connection the one to the broker, and returns the one before it, whose
// asks it fails; nil if there was none.
func (s *session) use(conn *link.Conn) (before *link.Conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	before = s.conn
	if before == nil && boottime.Now()-s.lostSince > account.ShareLifetime {
		s.accountShares.drop()
	}
	s.conn, s.capabilities = conn, protocol.Capabilities{}
	s.lastReceived, s.suspectSince = time.Now(), time.Time{}
	s.failPendingAsks()
	return before
}

// setCapabilities sets the further messages that the broker of a connection handles.
func (s *session) setCapabilities(conn *link.Conn, m protocol.Capabilities) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.conn == conn {
		s.capabilities = m
	}
}

// failPendingAsks ends the asks that wait for a reply. The caller holds the lock.
func (s *session) failPendingAsks() {
	for seq, pending := range s.pendingAsks {
		close(pending)
		delete(s.pendingAsks, seq)
	}
}

// endConnection stops using a connection and fails its pending asks.
func (s *session) endConnection(conn *link.Conn, reason error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.conn != conn {
		return
	}
	s.conn, s.suspectSince, s.lostSince = nil, time.Time{}, boottime.Now()
	s.failPendingAsks()
	s.log.Warn().Str("event", "broker_lost").AnErr("reason", reason).Send()
}

// closeAfterPause closes the connection to the broker after a pause of the process, so
// that run opens another. The broker counts as lost since the beginning of the pause.
func (s *session) closeAfterPause(paused time.Duration) {
	s.mu.Lock()
	conn := s.conn
	s.mu.Unlock()
	if conn == nil {
		return
	}
	conn.Close()
	s.endConnection(conn, errPaused)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lostSince = boottime.Now() - paused
}

// ask asks the broker for a grant and waits for the reply. Details that are not empty are
// sent to a broker that handles them. It returns [errNoBroker] if no broker is connected or it
// did not reply in time.
func (s *session) ask(ctx context.Context, ask broker.Ask, details broker.Details, maxQueueWait time.Duration) (reply, error) {
	s.mu.Lock()
	conn, detailed := s.conn, details != broker.Details{} && s.capabilities.DetailedAsks
	if conn == nil || !s.suspectSince.IsZero() {
		s.mu.Unlock()
		return reply{}, errNoBroker
	}
	s.nextSeq++
	ask.Seq = s.nextSeq
	replies := make(chan reply, 1)
	s.pendingAsks[ask.Seq] = replies
	s.mu.Unlock()
	if sendAsk(conn, ask, details, detailed) != nil {
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

// sendAsk sends an ask, with its details or without them.
func sendAsk(conn *link.Conn, ask broker.Ask, details broker.Details, detailed bool) error {
	if detailed {
		return conn.Send(protocol.KindDetailedAsk, broker.DetailedAsk{Ask: ask, Details: details})
	}
	return conn.Send(protocol.KindAsk, ask)
}

// inTouch reports whether a broker is connected that replies.
func (s *session) inTouch() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.conn != nil && s.suspectSince.IsZero()
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

// setRelayAddress sets the address at which this entry accepts requests that it relays.
// It must be called before run.
func (s *session) setRelayAddress(address string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.relayAddress = address
}

// changePath changes what the broker knows of the path to the backend servers.
func (s *session) changePath(change func(*protocol.Path)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	change(&s.path)
	if s.conn != nil {
		_ = s.conn.Send(protocol.KindPath, s.path)
	}
}

// resendPath sends the path to a new broker if it has changed since the subscription.
func (s *session) resendPath(known protocol.Path) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.conn != nil && s.path != known {
		_ = s.conn.Send(protocol.KindPath, s.path)
	}
}

// reportBackoffs tells the broker which servers want no requests of this entry.
func (s *session) reportBackoffs(backoffs []broker.Backoff) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.conn == nil {
		return
	}
	for _, b := range backoffs {
		_ = s.conn.Send(protocol.KindBackoff, b)
	}
}

// reportLeaving tells the broker that a server has said that it leaves.
func (s *session) reportLeaving(serverID string, d departure) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.conn != nil {
		_ = s.conn.Send(protocol.KindLeaving, d.wire(serverID))
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
