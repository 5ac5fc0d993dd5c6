package coordinator

import (
	"context"
	"encoding/json"
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"tanagerbarrow/consensus"
	"tanagerbarrow/declare"
	"tanagerbarrow/link"
	"tanagerbarrow/protocol"
	"tanagerbarrow/verdict"
)

// An order on an availability zone has no version: a later order may say the same as an
// earlier one. An order that was delayed, in a host that was paused or on its way, must not
// be executed behind a newer one. Each order therefore names a position of the replicated
// log that its operator has received before sending it. The leader executes the order only if
// no other order on the zone stands behind that position:
//
//   - an order that was sent before another one was accepted names an earlier position than
//     that one, however late it arrives;
//   - the position that an order names never changes on its way, not even when a host repeats it;
//   - orders are checked one after the other, each against all that were proposed before, and
//     enter the log in the term in which they were checked.

// errNotLeading is the error of an order that reached a host that doesn't lead.
var errNotLeading = errors.New("this host doesn't lead")

// Timing of orders.
const (
	// zoneOrderTimeout bounds the execution of an order that another host has passed on.
	zoneOrderTimeout = time.Second
	// leaderRetryInterval is the pause between two attempts to reach the leader.
	leaderRetryInterval = 25 * time.Millisecond
)

// LogPosition returns the position of the log that an order names which is sent from now on:
// that of the last committed entry. It fails if no quorum confirms it.
func (c *Coordinator) LogPosition(ctx context.Context) (uint64, error) { return c.node.ReadIndex(ctx) }

// OrderZone commits an order on an availability zone. It returns [declare.ErrOutdatedOrder] for an
// order that may be older than the last one. After any other error the order may still be
// executed, but never behind a newer one.
func (c *Coordinator) OrderZone(ctx context.Context, o declare.ZoneOrder) error {
	if _, known := c.options.Settings.Regions[o.Zone]; !known {
		return errors.Newf("availability zone %q doesn't exist", o.Zone)
	}
	err := c.orderZone(ctx, o)
	c.metrics.countZoneOrder(err)
	c.log.Info().Str("event", "zone_moved").Str("zone", o.Zone).Bool("out", o.Out).Uint64("position", o.Position).AnErr("failed", err).Send()
	return err
}

// orderZone executes an order on the leader: on this host if it leads, otherwise by a call. It
// repeats the call while the order was certainly not executed.
func (c *Coordinator) orderZone(ctx context.Context, o declare.ZoneOrder) error {
	for {
		err := c.tryZoneOrder(ctx, o)
		if !errors.Is(err, errNotLeading) && !errors.Is(err, consensus.ErrNotConnected) {
			return err
		}
		select {
		case <-ctx.Done():
			return err
		case <-time.After(leaderRetryInterval):
		}
	}
}

// tryZoneOrder executes an order once on the leader that is known now.
func (c *Coordinator) tryZoneOrder(ctx context.Context, o declare.ZoneOrder) error {
	if l := c.leading(); l != nil {
		return l.orderZone(ctx, o)
	}
	address, _ := c.leaderAddress()
	if address == "" {
		return errNotLeading
	}
	var result protocol.ZoneOrderResult
	m := protocol.ZoneOrder{Zone: o.Zone, Out: o.Out, Position: o.Position}
	err := c.mesh.call(ctx, address, protocol.KindZoneOrderCall, m, &result)
	if errors.Is(err, link.ErrRejected) {
		return c.orderZoneThroughLog(ctx, o)
	}
	if err != nil {
		return err
	}
	return zoneOrderError(result)
}

// handleZoneOrder executes an order that another host has passed on.
func (c *Coordinator) handleZoneOrder(m protocol.ZoneOrder) protocol.ZoneOrderResult {
	ctx, cancel := context.WithTimeout(context.Background(), zoneOrderTimeout)
	defer cancel()
	err := errNotLeading
	if l := c.leading(); l != nil {
		err = l.orderZone(ctx, declare.ZoneOrder{Zone: m.Zone, Out: m.Out, Position: m.Position})
	}
	switch {
	case err == nil:
		return protocol.ZoneOrderResult{Outcome: protocol.ZoneOrderExecuted}
	case errors.Is(err, errNotLeading):
		return protocol.ZoneOrderResult{Outcome: protocol.ZoneOrderNotLeading}
	case errors.Is(err, declare.ErrOutdatedOrder):
		return protocol.ZoneOrderResult{Outcome: protocol.ZoneOrderOutdated}
	default:
		return protocol.ZoneOrderResult{Outcome: protocol.ZoneOrderFailed, Message: err.Error()}
	}
}

// zoneOrderError returns the error of a result, or nil.
func zoneOrderError(r protocol.ZoneOrderResult) error {
	switch r.Outcome {
	case protocol.ZoneOrderExecuted:
		return nil
	case protocol.ZoneOrderNotLeading:
		return errNotLeading
	case protocol.ZoneOrderOutdated:
		return declare.ErrOutdatedOrder
	default:
		return errors.Newf("leader: %s", r.Message)
	}
}

// orderZoneThroughLog commits an order through a leader of a build that doesn't check orders.
// Between the check on this host and the commit a newer order may be accepted.
func (c *Coordinator) orderZoneThroughLog(ctx context.Context, o declare.ZoneOrder) error {
	if err := c.node.ReadBarrier(ctx); err != nil {
		return err
	}
	if c.machine.LastZoneOrder(o.Zone) > o.Position {
		return declare.ErrOutdatedOrder
	}
	return c.propose(ctx, o.Command())
}

// orderZone commits an order if no other one on the zone stands behind its position.
func (l *leader) orderZone(ctx context.Context, o declare.ZoneOrder) error {
	select {
	case l.zoneOrders <- struct{}{}:
		defer func() { <-l.zoneOrders }()
	case <-ctx.Done():
		return errors.Wrap(ctx.Err(), "wait for other orders")
	}
	if l.zoneOrderPending {
		// An earlier order whose outcome is unknown may still be committed. Once a command
		// behind it is, the earlier one has been applied or is lost.
		if err := l.propose(ctx, declare.Command{}); err != nil {
			return err
		}
		l.zoneOrderPending = false
	}
	if last := l.c.machine.LastZoneOrder(o.Zone); last > o.Position {
		return errors.Wrapf(declare.ErrOutdatedOrder, "the order names position %d, the last one stands at %d", o.Position, last)
	}
	if err := l.c.checkVoters(); err != nil {
		return err
	}
	err := l.propose(ctx, o.Command())
	l.zoneOrderPending = err != nil && !errors.Is(err, errNotLeading)
	return err
}

// propose commits a command in the leader's own term. It returns [errNotLeading] if the
// command was certainly not proposed.
func (l *leader) propose(ctx context.Context, command declare.Command) error {
	data, err := json.Marshal(command)
	if err != nil {
		return errors.Wrap(err, "encode command")
	}
	if _, err = l.c.node.ProposeInTerm(ctx, l.term, data); err != nil && verdict.Of(err) == verdict.NotRun {
		return errors.Mark(err, errNotLeading)
	}
	return err
}

// zonesOut returns the availability zones that get no new work, in sorted order.
func (l *leader) zonesOut() []string {
	var out []string
	for zone := range l.state.ZonesOut {
		out = append(out, zone)
	}
	slices.Sort(out)
	return out
}
