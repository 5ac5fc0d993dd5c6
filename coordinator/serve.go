package coordinator

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"tanagerbarrow/broker"
	"tanagerbarrow/consensus"
	"tanagerbarrow/consensus/raft"
	"tanagerbarrow/link"
	"tanagerbarrow/protocol"
	"tanagerbarrow/registry"
)

// watcher is a process that dialled this host.
type watcher struct {
	conn  *link.Conn
	hello protocol.Hello
}

// serveLink serves one connection of another process until it ends.
func (c *Coordinator) serveLink(ctx context.Context, conn *link.Conn) {
	w := &watcher{conn: conn}
	stop := context.AfterFunc(ctx, func() { time.AfterFunc(stopLinger, conn.Close) })
	defer stop()
	_ = conn.Run(
		func(kind link.Kind, body []byte) { c.receive(w, kind, body) },
		func(kind link.Kind, body []byte) (any, error) { return c.answer(kind, body) },
	)
	c.mu.Lock()
	delete(c.watchers, w)
	c.mu.Unlock()
	if l := c.leading(); l != nil && w.hello.ControlHost == nil {
		l.post(func(now time.Time) { l.disconnect(w, now) })
	}
}

// stopLinger is how long connections stay open after a stop was asked for, so
// that the log's last messages go out.
const stopLinger = 1500 * time.Millisecond

// receive takes in a message.
func (c *Coordinator) receive(w *watcher, kind link.Kind, body []byte) {
	var err error
	switch kind {
	case protocol.KindHello:
		err = c.welcome(w, body)
	case protocol.KindReplication:
		var e consensus.Envelope
		if err = link.Decode(body, &e); err == nil {
			w.deliver(c, e)
		}
	case protocol.KindCompactReplication:
		var short []protocol.CompactReplicationMessage
		if err = link.Decode(body, &short); err == nil {
			w.deliver(c, consensus.Envelope{Group: groupName, Messages: fromSignals(short)})
		}
	case protocol.KindHeartbeat:
		var h protocol.Heartbeat
		if err = link.Decode(body, &h); err == nil {
			c.takeHeartbeat(fromWire(h), time.Now().Add(-time.Duration(h.AgeMillis)*time.Millisecond))
		}
	default:
		err = c.receiveFromEntry(w, kind, body)
	}
	if err != nil {
		c.log.Warn().Str("event", "message_dropped").Str("from", w.hello.Name).Uint8("kind", uint8(kind)).Err(err).Send()
	}
}

// deliver hands messages to the replica. Heartbeats don't name their sender's
// address; a replica that has no membership yet needs it to answer, so it is
// taken from the greeting.
func (w *watcher) deliver(c *Coordinator, e consensus.Envelope) {
	if h := w.hello.ControlHost; h != nil && e.From.ID == 0 && len(e.Messages) > 0 {
		e.From = raft.Member{ID: e.Messages[0].From, Name: h.Name, Address: h.PeerAddress}
	}
	c.node.Receive(e)
}

// welcome takes in a greeting and tells where the control hosts are.
func (c *Coordinator) welcome(w *watcher, body []byte) error {
	if err := link.Decode(body, &w.hello); err != nil {
		return err
	}
	if h := w.hello.ControlHost; h != nil {
		c.mesh.meet(*h)
		c.mesh.link(h.PeerAddress).reconnect(c.mesh, h.PeerAddress)
	}
	c.mu.Lock()
	c.watchers[w] = true
	c.mu.Unlock()
	return w.conn.Send(protocol.KindDirectory, c.directory())
}

// directory tells what this host knows of the control hosts.
func (c *Coordinator) directory() protocol.Directory {
	d := protocol.Directory{Hosts: c.mesh.known()}
	if l := c.leading(); l != nil {
		d.LeaderAddress, d.Term = c.self.PeerAddress, l.term
		return d
	}
	s := c.node.Status()
	d.Term = s.Term
	for _, h := range d.Hosts {
		if h.Name == s.Leader && h.Name != c.self.Name {
			d.LeaderAddress = h.PeerAddress
		}
	}
	return d
}

// announceLeader tells all connected entries who leads now.
func (c *Coordinator) announceLeader() {
	d := c.directory()
	c.mu.Lock()
	defer c.mu.Unlock()
	for w := range c.watchers {
		if w.hello.ControlHost == nil {
			_ = w.conn.Send(protocol.KindDirectory, d)
		}
	}
}

// receiveFromEntry takes in a message of an entry.
func (c *Coordinator) receiveFromEntry(w *watcher, kind link.Kind, body []byte) error {
	l := c.leading()
	if l == nil {
		if kind == protocol.KindSubscribe {
			return w.conn.Send(protocol.KindDirectory, c.directory())
		}
		return nil
	}
	name := w.hello.Name
	switch kind {
	case protocol.KindSubscribe:
		var s protocol.Subscribe
		if err := link.Decode(body, &s); err != nil {
			return err
		}
		l.post(func(now time.Time) { l.subscribe(w, s, now) })
	case protocol.KindAsk:
		var a broker.Ask
		if err := link.Decode(body, &a); err != nil {
			return err
		}
		l.post(func(now time.Time) { l.ask(name, a, now) })
	case protocol.KindRelease:
		var r broker.Release
		if err := link.Decode(body, &r); err != nil {
			return err
		}
		l.post(func(now time.Time) { l.release(name, r, now) })
	case protocol.KindCancel:
		var m broker.Cancel
		if err := link.Decode(body, &m); err != nil {
			return err
		}
		l.post(func(now time.Time) { l.broker.Cancel(name, m.Seq, now) })
	case protocol.KindSamples:
		var samples []broker.Sample
		if err := link.Decode(body, &samples); err != nil {
			return err
		}
		l.post(func(now time.Time) { l.samples(samples, now) })
	default:
		return errors.New("kind is unknown")
	}
	return nil
}

// answer answers a call of another control host.
func (c *Coordinator) answer(kind link.Kind, body []byte) (any, error) {
	switch kind {
	case protocol.KindReplicationCall:
		var r consensus.Request
		if err := link.Decode(body, &r); err != nil {
			return nil, err
		}
		return c.node.Handle(context.Background(), r), nil
	case protocol.KindRecordsCall:
		return c.allRecords(), nil
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
	return asWire(records, time.Now())
}

// asWire encodes records.
func asWire(records []registry.Record, now time.Time) []protocol.Heartbeat {
	var all []protocol.Heartbeat
	for _, r := range records {
		all = append(all, toWire(r, now))
	}
	return all
}

// toWire encodes a record.
func toWire(r registry.Record, now time.Time) protocol.Heartbeat {
	return protocol.Heartbeat{
		ID: r.ID, Started: r.Started, Sequence: r.Sequence, Service: r.Service, Address: r.Address,
		AvailabilityZone: r.AvailabilityZone, Slots: r.Slots, Draining: r.Draining,
		ColdMillis: int(r.ColdRemaining.Milliseconds()), AgeMillis: int(now.Sub(r.LastHeartbeat).Milliseconds()),
	}
}

// fromWire decodes a record.
func fromWire(h protocol.Heartbeat) registry.BackendServer {
	return registry.BackendServer{
		ID: h.ID, Started: h.Started, Sequence: h.Sequence, Service: h.Service, Address: h.Address,
		AvailabilityZone: h.AvailabilityZone, Slots: h.Slots, Draining: h.Draining,
		ColdRemaining: time.Duration(h.ColdMillis) * time.Millisecond,
	}
}
