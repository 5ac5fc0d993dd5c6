package coordinator

import (
	"context"
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"tanagerbarrow/broker"
	"tanagerbarrow/consensus"
	"tanagerbarrow/consensus/raft"
	"tanagerbarrow/link"
	"tanagerbarrow/protocol"
	"tanagerbarrow/registry"
)

// inboundLink is a connection that another process opened, with the hello that
// it sent.
type inboundLink struct {
	conn  *link.Conn
	hello protocol.Hello
}

// serveLink serves one inbound connection until it ends.
func (c *Coordinator) serveLink(ctx context.Context, conn *link.Conn) {
	in := &inboundLink{conn: conn}
	stop := context.AfterFunc(ctx, func() { time.AfterFunc(shutdownLinger, conn.Close) })
	defer stop()
	_ = conn.Run(
		func(kind link.Kind, body []byte) { c.receive(in, kind, body) },
		func(kind link.Kind, body []byte) (any, error) { return c.handleCall(kind, body) },
	)
	c.strangers.ended(conn)
	c.mu.Lock()
	delete(c.inbound, in)
	c.mu.Unlock()
	if l := c.leading(); l != nil && in.hello.ControlHost == nil {
		l.post(func(now time.Time) { l.disconnect(in, now) })
	}
}

// shutdownLinger is how long connections stay open after a shutdown was
// requested, so that the log's last messages are sent.
const shutdownLinger = 1500 * time.Millisecond

// receive handles a one-way message.
func (c *Coordinator) receive(in *inboundLink, kind link.Kind, body []byte) {
	var err error
	switch kind {
	case protocol.KindHello:
		err = c.receiveHello(in, body)
	case protocol.KindReplication:
		var e consensus.Envelope
		if err = link.Decode(body, &e); err == nil {
			in.receiveReplication(c, e)
		}
	case protocol.KindCompactReplication:
		var compact []protocol.CompactReplicationMessage
		if err = link.Decode(body, &compact); err == nil {
			in.receiveReplication(c, consensus.Envelope{Group: groupName, Messages: messagesFromCompact(compact)})
		}
	case protocol.KindHeartbeat:
		var h protocol.Heartbeat
		if err = link.Decode(body, &h); err == nil {
			c.recordHeartbeat(serverFromWire(h), time.Now().Add(-time.Duration(h.AgeMillis)*time.Millisecond))
		}
	case protocol.KindVersions:
		err = c.receiveVersions(body)
	default:
		err = c.receiveFromEntry(in, kind, body)
	}
	if err != nil {
		c.log.Warn().Str("event", "message_dropped").Str("from", in.hello.Name).Uint8("kind", uint8(kind)).Err(err).Send()
	}
}

// receiveReplication passes messages to the replica. Heartbeats don't carry
// their sender's address; a replica without a membership needs it to answer, so
// it is taken from the hello.
func (in *inboundLink) receiveReplication(c *Coordinator, e consensus.Envelope) {
	if h := in.hello.ControlHost; h != nil && e.From.ID == 0 && len(e.Messages) > 0 {
		e.From = raft.Member{ID: e.Messages[0].From, Name: h.Name, Address: h.PeerAddress}
	}
	c.node.Receive(e)
}

// receiveHello handles a hello and answers with the directory of control hosts.
func (c *Coordinator) receiveHello(in *inboundLink, body []byte) error {
	if err := link.Decode(body, &in.hello); err != nil {
		return err
	}
	c.strangers.introduced(in.conn)
	if h := in.hello.ControlHost; h != nil {
		if err := c.mesh.meet(*h); err != nil {
			in.conn.Close()
			return err
		}
		c.mesh.outboundTo(h.PeerAddress).reconnect(c.mesh, h.PeerAddress)
	}
	c.mu.Lock()
	c.inbound[in] = true
	c.mu.Unlock()
	if in.hello.ControlHost == nil {
		return in.conn.Send(protocol.KindDirectory, c.entryDirectory())
	}
	return in.conn.Send(protocol.KindDirectory, c.directory())
}

// directory returns the known control hosts, the known leader and the term.
func (c *Coordinator) directory() protocol.Directory {
	d := protocol.Directory{Hosts: c.mesh.knownHosts()}
	d.LeaderAddress, d.Term = c.leaderAddress()
	return d
}

// leaderAddress returns the peer address of the known leader, empty if there is none, and
// the term.
func (c *Coordinator) leaderAddress() (string, uint64) {
	if l := c.leading(); l != nil {
		return c.self.PeerAddress, l.term
	}
	s := c.node.Status()
	for _, h := range c.mesh.knownHosts() {
		if h.Name == s.Leader && h.Name != c.self.Name {
			return h.PeerAddress, s.Term
		}
	}
	return "", s.Term
}

// entryDirectory returns the directory for entries. It names the members of the log as
// well that were not in contact, because one of them may lead next, unless another host has
// their address now.
func (c *Coordinator) entryDirectory() protocol.Directory {
	d := c.directory()
	known := map[string]bool{"": true}
	for _, h := range d.Hosts {
		known[h.Name], known[h.PeerAddress] = true, true
	}
	for _, member := range c.node.Status().Members.All() {
		if !known[member.Name] && !known[member.Address] {
			known[member.Name], known[member.Address] = true, true
			d.Hosts = append(d.Hosts, protocol.ControlHost{Name: member.Name, PeerAddress: member.Address})
		}
	}
	return d
}

// announceHosts sends the directory to all entries if it names other addresses than the
// last time. An entry is connected to the leader alone and would otherwise not learn of
// hosts that join while that one leads.
func (c *Coordinator) announceHosts() {
	var addresses []string
	for _, h := range c.entryDirectory().Hosts {
		addresses = append(addresses, h.PeerAddress)
	}
	slices.Sort(addresses)
	c.mu.Lock()
	changed := !slices.Equal(addresses, c.announcedAddresses)
	c.announcedAddresses = addresses
	c.mu.Unlock()
	if changed {
		c.announceLeader()
	}
}

// announceLeader sends the directory, which names the leader, to all connected
// entries.
func (c *Coordinator) announceLeader() {
	body, err := link.Encode(c.entryDirectory())
	if err != nil {
		c.log.Error().Str("event", "encode_failed").Err(err).Send()
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	for in := range c.inbound {
		if in.hello.ControlHost == nil {
			_ = in.conn.SendEncoded(protocol.KindDirectory, body)
		}
	}
}

// receiveFromEntry handles a message from an entry. A host that doesn't lead
// answers a subscription with the directory and ignores all else.
func (c *Coordinator) receiveFromEntry(in *inboundLink, kind link.Kind, body []byte) error {
	l := c.leading()
	if l == nil {
		if kind == protocol.KindSubscribe {
			return in.conn.Send(protocol.KindDirectory, c.entryDirectory())
		}
		return nil
	}
	name := in.hello.Name
	switch kind {
	case protocol.KindSubscribe:
		return postMessage(l, body, func(m protocol.Subscribe, now time.Time) { l.subscribe(in, m, now) })
	case protocol.KindAsk:
		return postMessage(l, body, func(m broker.Ask, now time.Time) { l.ask(name, m, now) })
	case protocol.KindDetailedAsk:
		return postMessage(l, body, func(m broker.DetailedAsk, now time.Time) { l.broker.AskInDetail(name, m, now) })
	case protocol.KindResult:
		return postMessage(l, body, func(m broker.Result, now time.Time) { l.result(name, m, now) })
	case protocol.KindRollouts:
		return postMessage(l, body, func(m protocol.RolloutsConfirmation, _ time.Time) { l.confirmRollouts(in, m) })
	case protocol.KindRelease:
		return postMessage(l, body, func(m broker.Release, now time.Time) { l.release(name, m, now) })
	case protocol.KindCancel:
		return postMessage(l, body, func(m broker.Cancel, now time.Time) { l.broker.Cancel(name, m.Seq, now) })
	case protocol.KindPath:
		return postMessage(l, body, func(m protocol.Path, now time.Time) { l.changePath(name, m, now) })
	case protocol.KindBackoff:
		return postMessage(l, body, func(m broker.Backoff, now time.Time) { l.broker.SetBackoff(name, m, now) })
	case protocol.KindLeaving:
		return postMessage(l, body, func(m protocol.Leaving, now time.Time) { l.leave(name, m, now) })
	case protocol.KindSamples:
		return postMessage(l, body, func(m []broker.Sample, now time.Time) { l.samples(name, m, now) })
	default:
		return c.receiveAboutAccounts(l, in, kind, body)
	}
}

// postMessage decodes a message and queues it for the broker.
func postMessage[T any](l *leader, body []byte, handle func(T, time.Time)) error {
	var m T
	if err := link.Decode(body, &m); err != nil {
		return err
	}
	l.post(func(now time.Time) { handle(m, now) })
	return nil
}

// handleCall handles a call from another control host.
func (c *Coordinator) handleCall(kind link.Kind, body []byte) (any, error) {
	switch kind {
	case protocol.KindReplicationCall:
		var r consensus.Request
		if err := link.Decode(body, &r); err != nil {
			return nil, err
		}
		return c.node.Handle(context.Background(), r), nil
	case protocol.KindRecordsCall:
		return c.allRecords(), nil
	case protocol.KindVersions:
		return c.allVersions(), nil
	case protocol.KindZoneOrderCall:
		var m protocol.ZoneOrder
		if err := link.Decode(body, &m); err != nil {
			return nil, err
		}
		return c.handleZoneOrder(m), nil
	case protocol.KindRolloutOrderCall:
		var m protocol.RolloutOrder
		if err := link.Decode(body, &m); err != nil {
			return nil, err
		}
		return c.handleRolloutOrder(m), nil
	default:
		return nil, errors.Newf("call kind %d is unknown", kind)
	}
}

// allRecords returns the records of backend servers that this host holds.
func (c *Coordinator) allRecords() []protocol.Heartbeat {
	c.mu.Lock()
	defer c.mu.Unlock()
	var records []registry.Record
	for _, r := range c.records.All() {
		records = append(records, *r)
	}
	return recordsToWire(records, time.Now())
}

// recordsToWire encodes records.
func recordsToWire(records []registry.Record, now time.Time) []protocol.Heartbeat {
	var all []protocol.Heartbeat
	for _, r := range records {
		all = append(all, recordToWire(r, now))
	}
	return all
}

// recordToWire encodes a record.
func recordToWire(r registry.Record, now time.Time) protocol.Heartbeat {
	return protocol.Heartbeat{
		ID: r.ID, Started: r.Started, Sequence: r.Sequence, Service: r.Service, Address: r.Address,
		AvailabilityZone: r.AvailabilityZone, Slots: r.Slots, Draining: r.Draining,
		ColdMillis: int(r.ColdRemaining.Milliseconds()), AgeMillis: int(now.Sub(r.LastHeartbeat).Milliseconds()),
	}
}

// serverFromWire decodes the backend server of a record.
func serverFromWire(h protocol.Heartbeat) registry.BackendServer {
	return registry.BackendServer{
		ID: h.ID, Started: h.Started, Sequence: h.Sequence, Service: h.Service, Address: h.Address,
		AvailabilityZone: h.AvailabilityZone, Slots: h.Slots, Draining: h.Draining,
		ColdRemaining: time.Duration(h.ColdMillis) * time.Millisecond,
	}
}
