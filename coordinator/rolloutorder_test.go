package coordinator

import (
	"context"
	"fmt"
	"net"
	"sync"
	"testing"
	"time"

	"github.com/cockroachdb/errors"

	"tanagerbarrow/declare"
	"tanagerbarrow/link"
	"tanagerbarrow/protocol"
)

// orderRollout sends an order for a roll-out to a host once.
func (c *testCluster) orderRollout(n int, service, version string, position uint64) error {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	o := declare.RolloutOrder{Service: service, TargetVersion: version, DurationMillis: 12_000}
	return c.running[n].OrderRollout(ctx, o, position)
}

// orderRolloutNow sends an order to a host, with a new position each time, until it is
// acknowledged.
func (c *testCluster) orderRolloutNow(n int, service, version string) {
	c.t.Helper()
	c.eventually(fmt.Sprintf("host %d acknowledges version %s of %s", n, version, service), func() bool {
		return c.orderRollout(n, service, version, c.position(n)) == nil
	})
}

// moveRollout moves a service's roll-out to further stages.
func (c *testCluster) moveRollout(service string, stages ...declare.RolloutStage) {
	c.t.Helper()
	for _, stage := range stages {
		c.eventually("the roll-out moves to "+string(stage), func() bool {
			l := c.leader()
			if l == nil {
				return false
			}
			state, _ := l.c.machine.State()
			r := state.Rollout(service)
			if r != nil && r.Stage != stage {
				ctx, cancel := context.WithTimeout(context.Background(), time.Second)
				defer cancel()
				_ = l.propose(ctx, declare.Command{MoveRollout: &declare.RolloutMove{Service: service, Position: r.Position, Stage: stage}})
			}
			return r != nil && r.Stage == stage
		})
	}
}

// expectRollout checks what every running host reads of a service's roll-out.
func (c *testCluster) expectRollout(service, version string, stages ...declare.RolloutStage) declare.Rollout {
	c.t.Helper()
	var last declare.Rollout
	for n := range c.running {
		c.eventually(fmt.Sprintf("host %d reads the roll-out of %s", n, service), func() bool {
			ctx, cancel := context.WithTimeout(context.Background(), time.Second)
			defer cancel()
			r, err := c.running[n].Rollout(ctx, service)
			if err != nil {
				return false
			}
			expected := false
			for _, stage := range stages {
				expected = expected || r.Stage == stage
			}
			if r.TargetVersion != version || !expected {
				c.t.Fatalf("host %d reads %+v, want version %s in %v", n, r, version, stages)
			}
			last = r
			return true
		})
	}
	return last
}

// startAll starts five hosts with a configuration.
func (c *testCluster) startAll() {
	c.t.Helper()
	for n := range 5 {
		c.start(n, true)
	}
	c.declare(0, 1)
	c.eventually("a host leads", func() bool { return c.leader() != nil })
}

// TestRolloutOrderSentAgain guards against a roll-out that begins anew because its order was sent
// again, at whichever host and in whichever stage.
func TestRolloutOrderSentAgain(t *testing.T) {
	c := newTestCluster(t)
	c.startAll()
	first := c.position(0)
	c.orderRolloutNow(0, "s", "v2")
	began := c.expectRollout("s", "v2", declare.RolloutCanary)
	repeat := func(name string) {
		t.Helper()
		for n := range 5 {
			if err := c.orderRollout(n, "s", "v2", c.position(n)); err != nil {
				t.Errorf("%s, sent again to host %d: %v", name, n, err)
			}
			if err := c.orderRollout(n, "s", "v2", first); err != nil {
				t.Errorf("%s, arriving late at host %d: %v", name, n, err)
			}
		}
		now := c.expectRollout("s", "v2", declare.RolloutCanary, declare.RolloutSwitching, declare.RolloutCompleted)
		if now.Position != began.Position || now.BeganAt != began.BeganAt {
			t.Errorf("%s: the roll-out began anew: %+v, before %+v", name, now, began)
		}
	}
	repeat("while it runs")
	if err := c.orderRollout(1, "s", "v3", c.position(1)); !errors.Is(err, declare.ErrRolloutInProgress) {
		t.Errorf("another version while it runs: %v", err)
	}
	c.moveRollout("s", declare.RolloutSwitching, declare.RolloutCompleted)
	repeat("after its end")
	if err := c.orderRollout(2, "s", "v3", first); !errors.Is(err, declare.ErrOutdatedOrder) {
		t.Errorf("an order from before it: %v", err)
	}
	c.orderRolloutNow(2, "s", "v3")
	c.expectRollout("s", "v3", declare.RolloutCanary, declare.RolloutSwitching)
}

// TestRolloutOrdersThatCannotBeExecuted checks the errors of orders for services that aren't there.
func TestRolloutOrdersThatCannotBeExecuted(t *testing.T) {
	c := newTestCluster(t)
	for n := range 5 {
		c.start(n, true)
	}
	c.eventually("a host leads", func() bool { return c.leader() != nil })
	if err := c.orderRollout(0, "s", "v2", c.position(0)); err == nil || errors.Is(err, declare.ErrUnknownService) {
		t.Errorf("before the first configuration: %v", err)
	}
	c.declare(0, 1)
	for n := range 5 {
		if err := c.orderRollout(n, "unknown", "v2", c.position(n)); !errors.Is(err, declare.ErrUnknownService) {
			t.Errorf("host %d, a service that isn't there: %v", n, err)
		}
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		if _, err := c.running[n].Rollout(ctx, "s"); !errors.Is(err, declare.ErrNoRollout) {
			t.Errorf("host %d, a service without a roll-out: %v", n, err)
		}
		cancel()
	}
	if err := c.orderRollout(1, "s", "", c.position(1)); !errors.Is(err, declare.ErrInvalidRollout) {
		t.Errorf("an order without a version: %v", err)
	}
}

// TestTwoOperatorsOrderAtOnce lets two operators order different versions at the same time: one of
// them wins everywhere.
func TestTwoOperatorsOrderAtOnce(t *testing.T) {
	c := newTestCluster(t)
	c.startAll()
	position := c.position(0)
	results := make([]error, 4)
	var operators sync.WaitGroup
	for n := range results {
		operators.Go(func() { results[n] = c.orderRollout(n, "s", fmt.Sprint("v", 2+n%2), position) })
	}
	operators.Wait()
	accepted := map[string]bool{}
	for n, err := range results {
		switch {
		case err == nil:
			accepted[fmt.Sprint("v", 2+n%2)] = true
		case !errors.Is(err, declare.ErrRolloutInProgress):
			t.Errorf("operator %d: %v", n, err)
		}
	}
	if len(accepted) != 1 {
		t.Fatalf("accepted are %v", accepted)
	}
	for version := range accepted {
		c.expectRollout("s", version, declare.RolloutCanary, declare.RolloutSwitching)
	}
}

// TestRolloutsSurviveLosses kills the leader after the order, then all hosts, then two with their
// disks: the roll-out stays what was acknowledged, and its order, arriving late, stays late.
func TestRolloutsSurviveLosses(t *testing.T) {
	c := newTestCluster(t)
	c.startAll()
	late := c.position(0)
	c.orderRolloutNow(0, "s", "v2")
	var led int
	for n, r := range c.running {
		if r.leading() != nil {
			led = n
		}
	}
	c.kill(led)
	began := c.expectRollout("s", "v2", declare.RolloutCanary)
	c.moveRollout("s", declare.RolloutRolledBack)
	c.start(led, false)
	for n := range 5 {
		c.kill(n)
	}
	for n := range 5 {
		c.start(n, false)
	}
	if r := c.expectRollout("s", "v2", declare.RolloutRolledBack); r.Position != began.Position {
		t.Errorf("after the restart the roll-out is %+v, before %+v", r, began)
	}
	for n := range 2 {
		c.kill(n)
		delete(c.folders, n)
	}
	c.expectRollout("s", "v2", declare.RolloutRolledBack)
	for n := range c.running {
		if err := c.orderRollout(n, "s", "v3", late); !errors.Is(err, declare.ErrOutdatedOrder) {
			t.Errorf("host %d, a late order: %v", n, err)
		}
	}
}

// TestRolloutWithoutQuorum checks that nothing is acknowledged or read without a quorum.
func TestRolloutWithoutQuorum(t *testing.T) {
	c := newTestCluster(t)
	c.startAll()
	c.orderRolloutNow(0, "s", "v2")
	position := c.position(0)
	for n := range 3 {
		c.kill(n)
	}
	for n := range c.running {
		if err := c.orderRollout(n, "other", "v2", position); err == nil {
			t.Errorf("host %d acknowledged an order without a quorum", n)
		}
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		if r, err := c.running[n].Rollout(ctx, "s"); err == nil {
			t.Errorf("host %d read %+v without a quorum", n, r)
		}
		cancel()
	}
}

// TestOrderResultsKeepTheirMeaning passes each outcome of an order from one host to another.
func TestOrderResultsKeepTheirMeaning(t *testing.T) {
	if err := orderError(orderResult(nil)); err != nil {
		t.Errorf("an executed order: %v", err)
	}
	for _, err := range orderErrors {
		if got := orderError(orderResult(errors.Wrap(err, "x"))); !errors.Is(got, err) {
			t.Errorf("%v becomes %v", err, got)
		}
	}
	for _, r := range []protocol.OrderResult{orderResult(errors.New("no quorum")), {Outcome: 200}} {
		got := orderError(r)
		if got == nil {
			t.Errorf("%+v is taken as executed", r)
		}
		for _, err := range orderErrors {
			if errors.Is(got, err) {
				t.Errorf("%+v becomes %v", r, got)
			}
		}
	}
}

// TestLeaderOfAnEarlierBuildRejectsOrders passes an order to a host that doesn't know the call: it fails, and
// is neither repeated nor taken as refused.
func TestLeaderOfAnEarlierBuildRejectsOrders(t *testing.T) {
	client, server := net.Pipe()
	asked, earlier := link.New(client), link.New(server)
	t.Cleanup(func() { asked.Close(); earlier.Close() })
	go func() { _ = asked.Run(func(link.Kind, []byte) {}, nil) }()
	calls := 0
	go func() {
		_ = earlier.Run(func(link.Kind, []byte) {}, func(kind link.Kind, _ []byte) (any, error) {
			calls++
			return nil, errors.Newf("call kind %d is unknown", kind)
		})
	}()
	ctx, cancel := context.WithTimeout(t.Context(), waitTimeout)
	defer cancel()
	err := repeatUntilLeading(ctx, func() error {
		var result protocol.OrderResult
		return asked.Call(ctx, protocol.KindRolloutOrderCall, protocol.RolloutOrder{Service: "s", TargetVersion: "v2"}, &result)
	})
	if !errors.Is(err, link.ErrRejected) || calls != 1 || orderResult(err).Outcome != protocol.OrderFailed {
		t.Errorf("%d calls: %v", calls, err)
	}
}
