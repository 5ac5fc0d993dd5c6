package coordinator

import (
	"context"
	"encoding/json"
	"time"

	"github.com/cockroachdb/errors"

	"tanagerbarrow/consensus"
	"tanagerbarrow/declare"
	"tanagerbarrow/protocol"
	"tanagerbarrow/verdict"
)

// An order on an availability zone, or for a roll-out, has no version: a later order may say the
// same as an earlier one. An order that was delayed, in a host that was paused or on its way, must
// not be executed behind a newer one. Each order therefore names a position of the replicated
// log that its operator has received before sending it. The leader executes the order only if
// no other order on the same zone or service stands behind that position:
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
	// passedOrderTimeout bounds the execution of an order that another host has passed on.
	passedOrderTimeout = time.Second
	// leaderRetryInterval is the pause between two attempts to reach the leader.
	leaderRetryInterval = 25 * time.Millisecond
)

// LogPosition returns the position of the log that an order names which is sent from now on:
// that of the last committed entry. It fails if no quorum confirms it.
func (c *Coordinator) LogPosition(ctx context.Context) (uint64, error) { return c.node.ReadIndex(ctx) }

// repeatUntilLeading tries an order until it was or may have been executed, or ctx ends.
func repeatUntilLeading(ctx context.Context, try func() error) error {
	for {
		err := try()
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

// handleOrder executes an order that another host has passed on.
func (c *Coordinator) handleOrder(execute func(context.Context, *leader) error) protocol.OrderResult {
	ctx, cancel := context.WithTimeout(context.Background(), passedOrderTimeout)
	defer cancel()
	if l := c.leading(); l != nil {
		return orderResult(execute(ctx, l))
	}
	return orderResult(errNotLeading)
}

// orderErrors are the errors that tell what became of an order.
var orderErrors = map[protocol.OrderOutcome]error{
	protocol.OrderOutdated: declare.ErrOutdatedOrder, protocol.OrderNotLeading: errNotLeading,
	protocol.OrderInProgress: declare.ErrRolloutInProgress, protocol.OrderUnknownSubject: declare.ErrUnknownService,
	protocol.OrderInvalid: declare.ErrInvalidRollout,
}

// orderResult encodes the error of an order; nil means that it was executed.
func orderResult(err error) protocol.OrderResult {
	if err == nil {
		return protocol.OrderResult{Outcome: protocol.OrderExecuted}
	}
	for outcome, known := range orderErrors {
		if errors.Is(err, known) {
			return protocol.OrderResult{Outcome: outcome, Message: err.Error()}
		}
	}
	return protocol.OrderResult{Outcome: protocol.OrderFailed, Message: err.Error()}
}

// orderError returns the error of a result, or nil.
func orderError(r protocol.OrderResult) error {
	if r.Outcome == protocol.OrderExecuted {
		return nil
	}
	if known := orderErrors[r.Outcome]; known != nil {
		return errors.Mark(errors.Newf("leader: %s", r.Message), known)
	}
	return errors.Newf("leader: %s", r.Message)
}

// executeOrder commits the command that a check of the state yields. Orders are checked one at a
// time; without a command there is nothing to do.
func (l *leader) executeOrder(ctx context.Context, check func() (*declare.Command, error)) error {
	select {
	case l.orders <- struct{}{}:
		defer func() { <-l.orders }()
	case <-ctx.Done():
		return errors.Wrap(ctx.Err(), "wait for other orders")
	}
	if l.orderPending {
		// An earlier order whose outcome is unknown may still be committed. Once a command
		// behind it is, the earlier one has been applied or is lost.
		if err := l.propose(ctx, declare.Command{}); err != nil {
			return err
		}
		l.orderPending = false
	}
	command, err := check()
	if err != nil || command == nil {
		return err
	}
	if err := l.c.checkVoters(); err != nil {
		return err
	}
	err = l.propose(ctx, *command)
	l.orderPending = err != nil && !errors.Is(err, errNotLeading)
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
