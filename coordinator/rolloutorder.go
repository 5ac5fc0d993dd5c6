package coordinator

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"tanagerbarrow/declare"
	"tanagerbarrow/protocol"
	"tanagerbarrow/route"
)

// errNoConfiguration means that no configuration is known yet, so that nobody can tell which
// services there are.
var errNoConfiguration = errors.New("no configuration was declared yet")

// OrderRollout commits an order to move a service to a new version, unless that is in progress
// or done already. The position is that of the log that the operator received before it sent
// the order. The errors are those of [declare.Machine.CheckRollout] and
// [declare.ErrUnknownService]; after any other one the order may still be executed, but never
// behind a newer one.
func (c *Coordinator) OrderRollout(ctx context.Context, o declare.RolloutOrder, position uint64) error {
	err := o.Check()
	if err == nil {
		err = repeatUntilLeading(ctx, func() error { return c.tryRolloutOrder(ctx, o, position) })
	}
	c.metrics.countRolloutOrder(err)
	c.log.Info().Str("event", "rollout_ordered").Str("service", abbreviate(o.Service)).Str("version", abbreviate(o.TargetVersion)).
		Int64("duration_ms", o.DurationMillis).Uint64("position", position).AnErr("failed", err).Send()
	return err
}

// tryRolloutOrder executes an order once on the leader that is known now. A leader of a build
// that doesn't know roll-outs rejects it.
func (c *Coordinator) tryRolloutOrder(ctx context.Context, o declare.RolloutOrder, position uint64) error {
	if l := c.leading(); l != nil {
		return l.orderRollout(ctx, o, position)
	}
	address, _ := c.leaderAddress()
	if address == "" {
		return errNotLeading
	}
	var result protocol.OrderResult
	m := protocol.RolloutOrder{Service: o.Service, TargetVersion: o.TargetVersion, DurationMillis: o.DurationMillis, Position: position}
	if err := c.mesh.call(ctx, address, protocol.KindRolloutOrderCall, m, &result); err != nil {
		return err
	}
	return orderError(result)
}

// handleRolloutOrder executes an order that another host has passed on.
func (c *Coordinator) handleRolloutOrder(m protocol.RolloutOrder) protocol.OrderResult {
	o := declare.RolloutOrder{Service: m.Service, TargetVersion: m.TargetVersion, DurationMillis: m.DurationMillis}
	if err := o.Check(); err != nil {
		return orderResult(err)
	}
	return c.handleOrder(func(ctx context.Context, l *leader) error { return l.orderRollout(ctx, o, m.Position) })
}

// orderRollout begins a roll-out if the order asks for something new and no other order for the
// service stands behind its position.
func (l *leader) orderRollout(ctx context.Context, o declare.RolloutOrder, position uint64) error {
	return l.executeOrder(ctx, func() (*declare.Command, error) {
		if err := l.c.checkService(o.Service); err != nil {
			return nil, err
		}
		now := time.Now()
		begins, err := l.c.machine.CheckRollout(o, position, now)
		if err != nil || !begins {
			return nil, err
		}
		o.BeganAt = now.UnixMilli()
		l.c.mu.Lock()
		l.c.acceptedRollouts[o.Service] = acceptedRollout{l.term, o}
		l.c.mu.Unlock()
		return &declare.Command{StartRollout: &o}, nil
	})
}

// checkService returns an error unless the newest configuration has the service.
func (c *Coordinator) checkService(name string) error {
	state, _ := c.machine.State()
	if state.Document.Version == 0 {
		return errNoConfiguration
	}
	content, err := state.Document.Content()
	if err != nil {
		return err
	}
	config, err := c.options.Decode(content)
	if err != nil {
		return errors.Wrap(err, "decode configuration")
	}
	if route.NewIndex(config).Service(name) == nil {
		return errors.Wrapf(declare.ErrUnknownService, "service %q", abbreviate(name))
	}
	return nil
}

// Rollout returns the roll-out in progress of a service, or else its last one. It returns
// [declare.ErrNoRollout] if there was none, and another error if no quorum confirms that this
// host has read the latest state.
func (c *Coordinator) Rollout(ctx context.Context, service string) (declare.Rollout, error) {
	if err := c.node.ReadBarrier(ctx); err != nil {
		return declare.Rollout{}, err
	}
	state, _ := c.machine.State()
	r := state.Rollout(service)
	if r == nil {
		return declare.Rollout{}, errors.Wrapf(declare.ErrNoRollout, "service %q", abbreviate(service))
	}
	return *r, nil
}
