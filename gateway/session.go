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
	// searchPause is the time between two looks: a small part of an election.
	searchPause = 60 * time.Millisecond
	// directoryWait bounds the wait for a control host's answer.
	directoryWait = 300 * time.Millisecond
	// answerSlack is added to the longest wait of an ask in the broker's queue: a
	// round trip between regions, the broker's tick and a busy host.
	answerSlack = 70 * time.Millisecond
	// suspectLimit is how long a broker that left an ask without an answer may
	// stay silent before the connection is given up. A lost packet is sent again
	// within it.
	suspectLimit = 250 * time.Millisecond
)

// errNoBroker means that no broker answers.
var errNoBroker = errors.New("no broker answers")

// reply is the broker's answer to an ask.
type reply struct {
	grant   *broker.Grant
	refusal *broker.Refusal
}

// session is the connection to the broker. It is safe for concurrent use.
type session struct {
	settings *fleet.Settings
	view     *view
	log      zerolog.Logger
	// checks receives the health checks to do.
	checks func(protocol.Checks)
	// connected is told of each connection to a broker.
	connected func()

	mu   sync.Mutex
	conn *link.Conn
	// heard is when the broker last sent anything, and suspect when an ask was
	// first left without an answer since then; zero for none.
	heard, suspect time.Time

	known   map[string]bool
	leader  string
	nextSeq uint64
	waiting map[uint64]chan reply
	held    map[uint64]string
}

// newSession returns a session that is not connected.
func newSession(s *fleet.Settings, v *view, log zerolog.Logger) *session {
	known := map[string]bool{}
	for _, seed := range s.SeedPeers() {
		known[seed.String()] = true
	}
	return &session{
		settings: s, view: v, log: log, known: known,
		waiting: map[uint64]chan reply{}, held: map[uint64]string{},
	}
}

// run keeps the session connected until ctx ends. It follows a control host's
// word about the leader at once, but only one: two hosts may each name the other.
func (s *session) run(ctx context.Context) {
	for ctx.Err() == nil {
		if address := s.candidate(); address != "" {
			s.visit(ctx, address)
		}
		if address := s.namedLeader(); address != "" {
			s.visit(ctx, address)
		}
		select {
		case <-ctx.Done():
		case <-time.After(searchPause):
		}
	}
}

// namedLeader returns the address of the leader that a control host has named
// since the last call, or none.
func (s *session) namedLeader() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	leader := s.leader
	s.leader = ""
	return leader
}

// candidate returns the leader's address, or any control host's.
func (s *session) candidate() string {
	if leader := s.namedLeader(); leader != "" {
		return leader
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	at := rand.IntN(max(1, len(s.known)))
	for address := range s.known {
		if at--; at < 0 {
			return address
		}
	}
	return ""
}

// visit connects to a control host, and stays if it leads.
func (s *session) visit(ctx context.Context, address string) {
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
	v := &visit{session: s, conn: conn, address: address}
	v.patience = time.AfterFunc(directoryWait, conn.Close)
	defer v.patience.Stop()
	err = conn.Run(v.receive, nil)
	s.leave(conn, err)
}

// visit is one connection to a control host.
type visit struct {
	session  *session
	conn     *link.Conn
	address  string
	patience *time.Timer
}

// receive takes in a message of the control host.
func (v *visit) receive(kind link.Kind, body []byte) {
	v.session.noteHeard()
	var err error
	switch kind {
	case protocol.KindDirectory:
		err = v.takeDirectory(body)
	case protocol.KindWelcome:
		err = v.takeWelcome(body)
	case protocol.KindDocument:
		var d protocol.Document
		if err = link.Decode(body, &d); err == nil {
			err = v.session.view.takeDocument(d)
		}
		if err == nil {
			v.session.log.Info().Str("event", "configuration_applied").Uint64("version", d.Version).Send()
			v.session.connected()
		}
	case protocol.KindView:
		var m protocol.View
		if err = link.Decode(body, &m); err == nil {
			v.session.view.takeView(m, time.Now())
		}
	case protocol.KindChecks:
		var m protocol.Checks
		if err = link.Decode(body, &m); err == nil {
			v.session.checks(m)
		}
	case protocol.KindGrant:
		var g broker.Grant
		if err = link.Decode(body, &g); err == nil {
			v.session.answer(g.Seq, reply{grant: &g})
		}
	case protocol.KindRefusal:
		var r broker.Refusal
		if err = link.Decode(body, &r); err == nil {
			v.session.answer(r.Seq, reply{refusal: &r})
		}
	}
	if err != nil {
		v.session.log.Warn().Str("event", "session_broken").Uint8("kind", uint8(kind)).Err(err).Send()
		v.conn.Close()
	}
}

// takeDirectory learns the control hosts, and subscribes if this one leads.
func (v *visit) takeDirectory(body []byte) error {
	var d protocol.Directory
	if err := link.Decode(body, &d); err != nil {
		return err
	}
	s := v.session
	s.mu.Lock()
	for _, h := range d.Hosts {
		s.known[h.Peer] = true
	}
	if d.Leader != v.address {
		s.leader = d.Leader
		s.mu.Unlock()
		v.conn.Close()
		return nil
	}
	m := protocol.Subscribe{}
	for id, server := range s.held {
		m.Held = append(m.Held, broker.HeldGrant{ServerID: server, ID: id})
	}
	s.mu.Unlock()
	m.Version = s.view.version()
	return v.conn.Send(protocol.KindSubscribe, m)
}

// takeWelcome begins to use the connection for grants.
func (v *visit) takeWelcome(body []byte) error {
	var w protocol.Welcome
	if err := link.Decode(body, &w); err != nil {
		return err
	}
	if !v.session.view.enter(w.Term) {
		return errors.Newf("term %d has ended", w.Term)
	}
	v.patience.Stop()
	v.session.mu.Lock()
	v.session.conn = v.conn
	v.session.mu.Unlock()
	v.session.log.Info().Str("event", "broker_found").Str("address", v.address).Uint64("term", w.Term).Send()
	v.session.connected()
	return nil
}

// leave ends the use of a connection and fails its asks.
func (s *session) leave(conn *link.Conn, reason error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.conn != conn {
		return
	}
	s.conn, s.suspect = nil, time.Time{}
	for seq, w := range s.waiting {
		close(w)
		delete(s.waiting, seq)
	}
	s.log.Warn().Str("event", "broker_lost").AnErr("reason", reason).Send()
}

// ask asks for a grant. [errNoBroker] means that no answer came.
func (s *session) ask(ctx context.Context, a broker.Ask, longestWait time.Duration) (reply, error) {
	s.mu.Lock()
	conn := s.conn
	if conn == nil || !s.suspect.IsZero() {
		s.mu.Unlock()
		return reply{}, errNoBroker
	}
	s.nextSeq++
	a.Seq = s.nextSeq
	answer := make(chan reply, 1)
	s.waiting[a.Seq] = answer
	s.mu.Unlock()
	if conn.Send(protocol.KindAsk, a) != nil {
		s.forget(a.Seq)
		return reply{}, errNoBroker
	}
	timeout := time.NewTimer(longestWait + answerSlack)
	defer timeout.Stop()
	select {
	case r, ok := <-answer:
		if !ok {
			return reply{}, errNoBroker
		}
		return r, nil
	case <-ctx.Done():
		s.forget(a.Seq)
		_ = conn.Send(protocol.KindCancel, broker.Cancel{Seq: a.Seq})
		return reply{}, ctx.Err()
	case <-timeout.C:
		s.forget(a.Seq)
		_ = conn.Send(protocol.KindCancel, broker.Cancel{Seq: a.Seq})
		s.distrust(conn, a.Seq)
		return reply{}, errNoBroker
	}
}

// noteHeard notes that the broker lives.
func (s *session) noteHeard() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.heard, s.suspect = time.Now(), time.Time{}
}

// distrust notes an ask without an answer. Until the broker is heard again the
// entry decides alone, and a broker that stays silent is given up.
func (s *session) distrust(conn *link.Conn, seq uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.log.Warn().Str("event", "broker_silent").Uint64("ask", seq).Dur("heard_ms", time.Since(s.heard)).Send()
	if !s.suspect.IsZero() || time.Since(s.heard) < answerSlack {
		return
	}
	s.suspect = time.Now()
	time.AfterFunc(suspectLimit, func() {
		s.mu.Lock()
		silent := s.conn == conn && !s.suspect.IsZero()
		s.mu.Unlock()
		if silent {
			conn.Close()
		}
	})
}

// forget drops an ask.
func (s *session) forget(seq uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.waiting, seq)
}

// answer hands an answer to its ask.
func (s *session) answer(seq uint64, r reply) {
	s.mu.Lock()
	defer s.mu.Unlock()
	w, ok := s.waiting[seq]
	if !ok {
		return
	}
	delete(s.waiting, seq)
	if r.grant != nil {
		if server := s.view.server(r.grant.Server); server != nil {
			s.held[r.grant.ID] = server.ID
		}
	}
	w <- r
}

// release ends a grant.
func (s *session) release(r broker.Release) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.held, r.ID)
	if s.conn != nil {
		_ = s.conn.Send(protocol.KindRelease, r)
	}
}

// report sends health checks.
func (s *session) report(samples []broker.Sample) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.conn != nil {
		_ = s.conn.Send(protocol.KindSamples, samples)
	}
}
