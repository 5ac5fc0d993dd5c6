package gateway

import (
	"time"

	"github.com/cockroachdb/errors"

	"tanagerbarrow/broker"
	"tanagerbarrow/link"
	"tanagerbarrow/protocol"
)

// controlConn is a connection to a control host.
type controlConn struct {
	session *session
	search  *brokerSearch
	conn    *link.Conn
	address string
	// subscribed is whether a subscription was sent to the host since it last said that
	// it doesn't lead.
	subscribed bool
	// subscribedPath is the path that the subscription reported.
	subscribedPath protocol.Path
	// directory is the last directory that the host has sent.
	directory protocol.Directory
	// handshakeTimer closes the connection if no welcome follows the subscription.
	handshakeTimer *time.Timer
}

// active reports whether the connection is the one to the broker.
func (c *controlConn) active() bool { return c.session.activeConn() == c.conn }

// receive handles a message of the control host. It closes the connection if the
// message is invalid.
func (c *controlConn) receive(kind link.Kind, body []byte) {
	var err error
	switch kind {
	case protocol.KindDirectory:
		err = c.handleDirectory(body)
	case protocol.KindWelcome:
		err = c.handleWelcome(body)
	default:
		if c.active() {
			c.session.markReceived()
			err = c.receiveFromBroker(kind, body)
		}
	}
	if err != nil {
		c.session.log.Warn().Str("event", "session_broken").Uint8("kind", uint8(kind)).Err(err).Send()
		c.conn.Close()
	}
}

// receiveFromBroker handles a message of the broker.
func (c *controlConn) receiveFromBroker(kind link.Kind, body []byte) error {
	var err error
	switch kind {
	case protocol.KindDocument:
		var d protocol.Document
		if err = link.Decode(body, &d); err == nil {
			err = c.session.view.applyDocument(d)
		}
		if err == nil {
			c.session.currency.configured(c.session.view.version())
			c.session.log.Info().Str("event", "configuration_applied").Uint64("version", d.Version).Send()
			c.session.onStateChange()
		}
	case protocol.KindCapabilities:
		var m protocol.Capabilities
		if err = link.Decode(body, &m); err == nil {
			c.session.setCapabilities(c.conn, m)
			c.reportShares(m)
		}
	case protocol.KindView:
		err = c.handleView(body)
	case protocol.KindRollouts:
		err = c.handleRollouts(body)
	case protocol.KindRelays:
		var relays []protocol.Relay
		if err = link.Decode(body, &relays); err == nil {
			c.session.view.setRelays(relays)
		}
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
	default:
		err = c.receiveAboutAccounts(kind, body)
	}
	return err
}

// handleDirectory stores the addresses of the control hosts, and subscribes if this
// host is the leader. The connection to a host that doesn't lead stays open during a
// search, because the host sends a directory as soon as it leads. The broker sends its
// directory whenever control hosts were added or removed.
func (c *controlConn) handleDirectory(body []byte) error {
	var d protocol.Directory
	if err := link.Decode(body, &d); err != nil {
		return err
	}
	if err := c.session.controlHosts.verify(c.address, d); err != nil {
		return err
	}
	c.directory = d
	if d.LeaderAddress != c.address {
		c.search.addHosts(d)
		c.subscribed = false
		c.stopHandshakeTimer()
		if c.active() {
			c.conn.Close()
		}
		return nil
	}
	if c.active() {
		c.session.useDirectory(d)
		return nil
	}
	c.search.addHosts(d)
	if c.subscribed {
		return nil
	}
	c.subscribed = true
	c.handshakeTimer = time.AfterFunc(handshakeTimeout, c.conn.Close)
	m := c.session.subscription()
	c.subscribedPath = m.Path
	return c.conn.Send(protocol.KindSubscribe, m)
}

// useDirectory stores the control hosts that the broker knows and forgets all others but
// the seeds.
func (s *session) useDirectory(d protocol.Directory) {
	if s.controlHosts.replace(d) {
		s.log.Info().Str("event", "control_hosts_changed").Strs("addresses", s.controlHosts.addresses()).Send()
	}
}

// stopHandshakeTimer ends the wait for a welcome.
func (c *controlConn) stopHandshakeTimer() {
	if c.handshakeTimer != nil {
		c.handshakeTimer.Stop()
	}
}

// subscription returns the message that asks a broker for a session.
func (s *session) subscription() protocol.Subscribe {
	m := protocol.Subscribe{Version: s.view.version(), Limits: s.view.serverLimits()}
	s.mu.Lock()
	defer s.mu.Unlock()
	m.RelayAddress, m.Path = s.relayAddress, s.path
	for id, server := range s.heldGrants {
		m.Held = append(m.Held, broker.HeldGrant{ServerID: server, ID: id})
	}
	return m
}

// handleView applies changes of servers and zones.
func (c *controlConn) handleView(body []byte) error {
	var m protocol.View
	if err := link.Decode(body, &m); err != nil {
		return err
	}
	c.session.view.applyView(m, time.Now())
	if m.Full {
		for id, d := range c.session.view.currentDepartures() {
			c.session.reportLeaving(id, d)
		}
		c.session.onView()
		c.session.confirmRollouts()
	}
	return nil
}

// handleWelcome starts to use the connection for asks. It returns an error if the
// broker's term is older than one seen before. A welcome to a subscription before the last
// directory is ignored: the broker that sent it has stopped, and knows nothing of this entry if it
// leads again.
func (c *controlConn) handleWelcome(body []byte) error {
	var w protocol.Welcome
	if err := link.Decode(body, &w); err != nil {
		return err
	}
	if !c.subscribed {
		return nil
	}
	if !c.session.view.beginTerm(w.Term) {
		return errors.Newf("the broker's term %d is older than the current term", w.Term)
	}
	c.stopHandshakeTimer()
	before := c.session.use(c.conn)
	c.session.view.beginRollouts()
	if before != nil {
		before.Close()
	}
	c.session.useDirectory(c.directory)
	c.session.resendPath(c.subscribedPath)
	c.session.reportBackoffs(c.session.view.activeBackoffs(time.Now()))
	c.session.log.Info().Str("event", "broker_found").Str("address", c.address).Uint64("term", w.Term).Send()
	c.session.onStateChange()
	c.search.end()
	return nil
}
