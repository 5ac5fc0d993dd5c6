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

// ErrTooFewVoters means that the group has too few voters for a change to
// survive the number of losses that the deployment must tolerate.
var ErrTooFewVoters = errors.New("too few replicas vote yet")

// Announce applies a heartbeat that this host received and forwards it to the
// leader if necessary. The heartbeat of a draining server commits its
// deregistration.
func (c *Coordinator) Announce(ctx context.Context, b registry.BackendServer) error {
	if c.node.failed() {
		// This host doesn't learn who leads; another one can pass the heartbeat on.
		return errReplicaFailed
	}
	if b.Draining {
		return c.commitDeregistration(ctx, declare.DeregisteredServer{ID: b.ID, Started: b.Started})
	}
	now := time.Now()
	if o := c.recordHeartbeat(b, now); c.shouldForward(b, o, now) {
		c.forwardVersion(b)
		c.sendToLeader(protocol.KindHeartbeat, recordToWire(registry.Record{BackendServer: b, LastHeartbeat: now}, now))
	}
	return nil
}

// heartbeatsPerForward is the interval, in heartbeat intervals, at which the
// heartbeats of an unchanged warm server are forwarded to the leader, which
// tolerates the loss of some. It is slightly less than a whole number, since
// heartbeats sometimes arrive a little early.
const heartbeatsPerForward = 1.9

// shouldForward reports whether a heartbeat is forwarded to the leader, and
// records the time if it is.
func (c *Coordinator) shouldForward(b registry.BackendServer, o registry.Outcome, now time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if o == registry.Stale {
		return false
	}
	if o == registry.Refreshed && b.ColdRemaining == 0 && now.Sub(c.lastForwarded[b.ID]) < c.forwardInterval() {
		return false
	}
	if len(c.lastForwarded) > maxLastForwarded {
		clear(c.lastForwarded)
	}
	c.lastForwarded[b.ID] = now
	return true
}

// forwardInterval returns the minimum time between two forwarded heartbeats of
// an unchanged warm server.
func (c *Coordinator) forwardInterval() time.Duration {
	return time.Duration(heartbeatsPerForward * float64(c.options.Settings.HeartbeatInterval))
}

// maxLastForwarded bounds the number of times in lastForwarded, which is cleared
// as a whole when it grows larger.
const maxLastForwarded = 20_000

// recordHeartbeat updates the record of a backend server and passes it to the
// broker if this host leads.
func (c *Coordinator) recordHeartbeat(b registry.BackendServer, heard time.Time) registry.Outcome {
	if err := b.Check(); err != nil {
		c.recordLog.Warn().Str("event", "record_refused").Str("server", abbreviate(b.ID)).Err(err).Send()
		return registry.Stale
	}
	if c.isDeregistered(b.ID, b.Started) {
		return registry.Stale
	}
	c.mu.Lock()
	c.completeVersion(&b)
	o, replaced := c.records.Announce(b, heard)
	var r registry.Record
	if held := c.records.Get(b.ID); held != nil {
		r = *held
	}
	l := c.leader
	c.mu.Unlock()
	if o == registry.Changed {
		c.signalRecordsChanged()
	}
	if l != nil && o != registry.Stale {
		l.post(func(now time.Time) { l.announce(r, o, replaced, now) })
	}
	return o
}

// maxLoggedNameBytes is how much of the name in an invalid record is logged.
const maxLoggedNameBytes = 64

// abbreviate returns the beginning of a name.
func abbreviate(name string) string { return name[:min(len(name), maxLoggedNameBytes)] }

// isDeregistered reports whether a start of a backend server has been
// deregistered.
func (c *Coordinator) isDeregistered(id string, started int64) bool {
	return c.machine.Deregistered(declare.DeregisteredServer{ID: id, Started: started})
}

// ServerStart returns the start that a deregistration means which is sent from now on and
// doesn't name one: that of the record held here. Without a record, since this host may have
// lost its records in a restart, it means every start up to now.
func (c *Coordinator) ServerStart(id string) int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	if held := c.records.Get(id); held != nil {
		return held.Started
	}
	return time.Now().UnixMilli()
}

// Deregister commits the deregistration of one start of a backend server and of all earlier
// ones.
func (c *Coordinator) Deregister(ctx context.Context, id string, started int64) error {
	return c.commitDeregistration(ctx, declare.DeregisteredServer{ID: id, Started: started})
}

// commitDeregistration commits the deregistration of a backend server, after
// which the broker issues no grants for it.
func (c *Coordinator) commitDeregistration(ctx context.Context, s declare.DeregisteredServer) error {
	if c.machine.Deregistered(s) {
		return nil
	}
	err := c.propose(ctx, declare.Command{Deregister: &s})
	c.log.Info().Str("event", "leave_received").Str("server", s.ID).Int64("started", s.Started).AnErr("failed", err).Send()
	return err
}

// HeartbeatAddress returns the control address of a connected host in the zone
// or else in its region, or "" if there is none.
func (c *Coordinator) HeartbeatAddress(zone string) string {
	regions := c.options.Settings.Regions
	best, address := 0, ""
	for _, h := range c.mesh.knownHosts() {
		nearness := 0
		switch {
		case h.Name != c.self.Name && c.mesh.outboundTo(h.PeerAddress).open() == nil:
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

// Declare commits a validated configuration. A version that isn't newer than the
// current one changes nothing.
func (c *Coordinator) Declare(ctx context.Context, d declare.Document) error {
	if state, _ := c.machine.State(); d.Version <= state.Document.Version {
		return nil
	}
	err := c.propose(ctx, declare.Command{Declare: &d})
	c.log.Info().Str("event", "configuration_declared").Uint64("version", d.Version).AnErr("failed", err).Send()
	return err
}

// Document returns the newest committed configuration. It fails if no quorum
// confirms that this host has read the latest state.
func (c *Coordinator) Document(ctx context.Context) (declare.Document, error) {
	if err := c.node.ReadBarrier(ctx); err != nil {
		return declare.Document{}, err
	}
	state, _ := c.machine.State()
	return state.Document, nil
}

// propose commits a command. It fails with [ErrTooFewVoters] while fewer
// replicas vote than the settings require.
func (c *Coordinator) propose(ctx context.Context, command declare.Command) error {
	if err := c.checkVoters(); err != nil {
		return err
	}
	data, err := json.Marshal(command)
	if err != nil {
		return errors.Wrap(err, "encode command")
	}
	_, err = c.node.Propose(ctx, data)
	return err
}

// checkVoters returns [ErrTooFewVoters] while fewer replicas vote than the settings require.
func (c *Coordinator) checkVoters() error {
	voters, want := len(c.node.Status().Voters), c.options.Settings.Voters()
	if voters < want {
		return errors.Wrapf(ErrTooFewVoters, "%d of %d", voters, want)
	}
	return nil
}
