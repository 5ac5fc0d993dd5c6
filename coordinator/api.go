package coordinator

import (
	"context"
	"encoding/json"
	"time"

	"github.com/cockroachdb/errors"

	"tanagerbarrow/declare"
	"tanagerbarrow/protocol"
	"tanagerbarrow/registry"
)

// ErrTooFewVoters means that a change would not survive the losses that the
// deployment must bear.
var ErrTooFewVoters = errors.New("too few replicas vote yet")

// Announce takes in a heartbeat at this host.
func (c *Coordinator) Announce(ctx context.Context, b registry.BackendServer) error {
	if b.Draining {
		return c.leave(ctx, declare.LeavingServer{ID: b.ID, Started: b.Started})
	}
	now := time.Now()
	if o := c.takeHeartbeat(b, now); c.worthForwarding(b, o, now) {
		c.sendToLeader(protocol.KindHeartbeat, toWire(registry.Record{BackendServer: b, LastHeartbeat: now}, now))
	}
	return nil
}

// forwardEach is the share of the heartbeats of an unchanged warm server that go
// on to the leader, which tolerates the loss of some; a little less than a whole
// number, since heartbeats come a little early at times.
const forwardEach = 1.9

// worthForwarding reports whether the leader should get a heartbeat.
func (c *Coordinator) worthForwarding(b registry.BackendServer, o registry.Outcome, now time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if o == registry.Stale {
		return false
	}
	if o == registry.Refreshed && b.ColdRemaining == 0 && now.Sub(c.forwarded[b.ID]) < c.forwardPause() {
		return false
	}
	if len(c.forwarded) > maxForwarded {
		clear(c.forwarded)
	}
	c.forwarded[b.ID] = now
	return true
}

// forwardPause is the least time between two heartbeats that go on.
func (c *Coordinator) forwardPause() time.Duration {
	return time.Duration(forwardEach * float64(c.options.Settings.HeartbeatInterval))
}

// maxForwarded bounds the remembered times; they are forgotten all at once.
const maxForwarded = 20_000

// takeHeartbeat notes a heartbeat, and hands it to the broker if this host
// leads.
func (c *Coordinator) takeHeartbeat(b registry.BackendServer, heard time.Time) registry.Outcome {
	if c.left(b.ID, b.Started) {
		return registry.Stale
	}
	c.mu.Lock()
	o, replaced := c.records.Announce(b, heard)
	var r registry.Record
	if held := c.records.Get(b.ID); held != nil {
		r = *held
	}
	l := c.leader
	c.mu.Unlock()
	if o == registry.Changed {
		c.noteRecordsChanged()
	}
	if l != nil && o != registry.Stale {
		l.post(func(now time.Time) { l.announce(r, o, replaced, now) })
	}
	return o
}

// left reports whether a start of a backend server has announced its leaving.
func (c *Coordinator) left(id string, started int64) bool {
	return c.machine.Leaving(declare.LeavingServer{ID: id, Started: started})
}

// Deregister commits the deregistration of one start of a backend server. If
// the server doesn't send its start, started is 0 and means the start of the
// record held here. Without a record, since this host may have lost its records
// in a restart, it means every start up to now.
func (c *Coordinator) Deregister(ctx context.Context, id string, started int64) error {
	c.mu.Lock()
	held := c.records.Get(id)
	c.mu.Unlock()
	switch {
	case started != 0:
	case held != nil:
		started = held.Started
	default:
		started = time.Now().UnixMilli()
	}
	return c.leave(ctx, declare.LeavingServer{ID: id, Started: started})
}

// leave makes a leaving durable; the broker then grants the server nothing.
func (c *Coordinator) leave(ctx context.Context, l declare.LeavingServer) error {
	if c.machine.Leaving(l) {
		return nil
	}
	err := c.propose(ctx, declare.Command{Leave: &l})
	c.log.Info().Str("event", "leave_received").Str("server", l.ID).Int64("started", l.Started).AnErr("failed", err).Send()
	return err
}

// HeartbeatAddress returns the control address that is nearest to a zone.
func (c *Coordinator) HeartbeatAddress(zone string) string {
	regions := c.options.Settings.Regions
	best, address := 0, ""
	for _, h := range c.mesh.known() {
		nearness := 0
		switch {
		case h.Name != c.self.Name && c.mesh.link(h.PeerAddress).open() == nil:
			continue
		case h.AvailabilityZone == zone:
			nearness = 2
		case regions[h.AvailabilityZone] == regions[zone]:
			nearness = 1
		}
		if nearness > best {
			best, address = nearness, h.ControlAddress
		}
	}
	return address
}

// Declare offers a checked configuration. One that isn't newer than the held
// one changes nothing.
func (c *Coordinator) Declare(ctx context.Context, d declare.Document) error {
	if state, _ := c.machine.State(); d.Version <= state.Document.Version {
		return nil
	}
	err := c.propose(ctx, declare.Command{Declare: &d})
	c.log.Info().Str("event", "configuration_declared").Uint64("version", d.Version).AnErr("failed", err).Send()
	return err
}

// Document returns the newest configuration.
func (c *Coordinator) Document(ctx context.Context) (declare.Document, error) {
	if err := c.node.ReadBarrier(ctx); err != nil {
		return declare.Document{}, err
	}
	state, _ := c.machine.State()
	return state.Document, nil
}

// TakeZoneOut stops new work in a zone.
func (c *Coordinator) TakeZoneOut(ctx context.Context, zone string) error {
	return c.moveZone(ctx, zone, declare.Command{ZoneOut: zone})
}

// BringZoneBack lets a zone receive work again.
func (c *Coordinator) BringZoneBack(ctx context.Context, zone string) error {
	return c.moveZone(ctx, zone, declare.Command{ZoneIn: zone})
}

// moveZone commits a change of a zone.
func (c *Coordinator) moveZone(ctx context.Context, zone string, command declare.Command) error {
	if _, known := c.options.Settings.Regions[zone]; !known {
		return errors.Newf("availability zone %q doesn't exist", zone)
	}
	err := c.propose(ctx, command)
	c.log.Info().Str("event", "zone_moved").Str("zone", zone).Bool("out", command.ZoneOut != "").AnErr("failed", err).Send()
	return err
}

// propose commits a command once enough replicas vote.
func (c *Coordinator) propose(ctx context.Context, command declare.Command) error {
	if voters := len(c.node.Status().Voters); voters < c.options.Settings.Voters() {
		return errors.Wrapf(ErrTooFewVoters, "%d of %d", voters, c.options.Settings.Voters())
	}
	data, err := json.Marshal(command)
	if err != nil {
		return errors.Wrap(err, "encode command")
	}
	_, err = c.node.Propose(ctx, data)
	return err
}
