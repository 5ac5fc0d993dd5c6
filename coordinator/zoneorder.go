package coordinator

import (
	"context"
	"slices"

	"github.com/cockroachdb/errors"

	"tanagerbarrow/declare"
	"tanagerbarrow/link"
	"tanagerbarrow/protocol"
)

// OrderZone commits an order on an availability zone. It returns [declare.ErrOutdatedOrder] for an
// order that may be older than the last one. After any other error the order may still be
// executed, but never behind a newer one.
func (c *Coordinator) OrderZone(ctx context.Context, o declare.ZoneOrder) error {
	if _, known := c.options.Settings.Regions[o.Zone]; !known {
		return errors.Newf("availability zone %q doesn't exist", o.Zone)
	}
	err := repeatUntilLeading(ctx, func() error { return c.tryZoneOrder(ctx, o) })
	c.metrics.countZoneOrder(err)
	c.log.Info().Str("event", "zone_moved").Str("zone", o.Zone).Bool("out", o.Out).Uint64("position", o.Position).AnErr("failed", err).Send()
	return err
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
	var result protocol.OrderResult
	m := protocol.ZoneOrder{Zone: o.Zone, Out: o.Out, Position: o.Position}
	err := c.mesh.call(ctx, address, protocol.KindZoneOrderCall, m, &result)
	if errors.Is(err, link.ErrRejected) {
		return c.orderZoneThroughLog(ctx, o)
	}
	if err != nil {
		return err
	}
	return orderError(result)
}

// handleZoneOrder executes an order that another host has passed on.
func (c *Coordinator) handleZoneOrder(m protocol.ZoneOrder) protocol.OrderResult {
	return c.handleOrder(func(ctx context.Context, l *leader) error {
		return l.orderZone(ctx, declare.ZoneOrder{Zone: m.Zone, Out: m.Out, Position: m.Position})
	})
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
	return l.executeOrder(ctx, func() (*declare.Command, error) {
		if last := l.c.machine.LastZoneOrder(o.Zone); last > o.Position {
			return nil, errors.Wrapf(declare.ErrOutdatedOrder, "the order names position %d, the last one stands at %d", o.Position, last)
		}
		command := o.Command()
		return &command, nil
	})
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
