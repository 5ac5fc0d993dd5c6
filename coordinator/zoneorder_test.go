package coordinator

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/cockroachdb/errors"

	"tanagerbarrow/declare"
)

// position returns the position for an order that is sent now.
func (c *testCluster) position(n int) uint64 {
	c.t.Helper()
	var position uint64
	c.eventually(fmt.Sprintf("host %d names a position", n), func() bool {
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		var err error
		position, err = c.running[n].LogPosition(ctx)
		return err == nil
	})
	return position
}

// order sends an order to a host once.
func (c *testCluster) order(n int, out bool, position uint64) error {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	return c.running[n].OrderZone(ctx, declare.ZoneOrder{Zone: "z1", Out: out, Position: position})
}

// orderNow sends an order to a host, with a new position each time, until it is acknowledged.
func (c *testCluster) orderNow(n int, out bool) {
	c.t.Helper()
	c.eventually(fmt.Sprintf("host %d acknowledges out=%v", n, out), func() bool { return c.order(n, out, c.position(n)) == nil })
}

// expectOut checks that the zone is out, or not, at every host after all that was committed.
func (c *testCluster) expectOut(out bool) {
	c.t.Helper()
	for n, r := range c.running {
		ctx, cancel := context.WithTimeout(context.Background(), waitTimeout)
		if err := r.node.ReadBarrier(ctx); err != nil {
			c.t.Fatal(err)
		}
		cancel()
		if state, _ := r.machine.State(); state.ZonesOut["z1"] != out {
			c.t.Errorf("host %d: zones out are %v", n, state.ZonesOut)
		}
	}
}

// TestLateZoneOrderIsNotCommitted guards against an order on a zone that was delayed and is
// committed behind a newer one, on whichever host and whatever the newer one says.
func TestLateZoneOrderIsNotCommitted(t *testing.T) {
	c := newTestCluster(t)
	for n := range 5 {
		c.start(n, true)
	}
	c.declare(0, 1)
	c.orderNow(0, true)
	for name, newer := range map[string]func(){
		"taken out again": func() { c.orderNow(1, false); c.orderNow(2, true) },
		"taken out twice": func() { c.orderNow(3, true) },
	} {
		late := c.position(4)
		newer()
		for n := range 5 {
			if err := c.order(n, false, late); !errors.Is(err, declare.ErrOutdatedOrder) {
				t.Errorf("%s: a late order at host %d: %v", name, n, err)
			}
		}
		c.expectOut(true)
	}
	for n := range 5 {
		if err := c.order(n, n%2 == 0, c.position(n)); err != nil {
			t.Errorf("an order of now at host %d: %v", n, err)
		}
		c.expectOut(n%2 == 0)
	}
}

// TestZoneOrdersSurviveChangesOfLeaderAndRestarts checks that late orders stay late, and orders
// of now are accepted, under the next leader and after all hosts have restarted.
func TestZoneOrdersSurviveChangesOfLeaderAndRestarts(t *testing.T) {
	c := newTestCluster(t)
	for n := range 5 {
		c.start(n, true)
	}
	c.declare(0, 1)
	late := c.position(0)
	c.orderNow(1, true)
	leader := -1
	c.eventually("a host leads", func() bool {
		for n, r := range c.running {
			if r.leading() != nil {
				leader = n
			}
		}
		return leader >= 0
	})
	c.kill(leader)
	asked := (leader + 1) % 5
	c.eventually("the next leader refuses the late order", func() bool {
		err := c.order(asked, false, late)
		if err == nil {
			t.Fatal("the next leader accepted a late order")
		}
		return errors.Is(err, declare.ErrOutdatedOrder)
	})
	c.start(leader, false)
	c.orderNow(leader, false)
	c.orderNow(asked, true)
	for n := range 5 {
		c.kill(n)
	}
	for n := range 5 {
		c.start(n, false)
	}
	c.eventually("the late order is refused after the restart", func() bool {
		err := c.order(asked, false, late)
		if err == nil {
			t.Fatal("a late order was accepted after the restart")
		}
		return errors.Is(err, declare.ErrOutdatedOrder)
	})
	c.expectOut(true)
	c.orderNow(asked, false)
	c.expectOut(false)
}

// TestZoneOrderWithoutQuorumComesFirstOrNever sends an order to a leader that has just lost its
// quorum and a newer one as soon as there is a quorum again: the first may be in the log of a
// host that leads again, but must not stand behind the newer one.
func TestZoneOrderWithoutQuorumComesFirstOrNever(t *testing.T) {
	c := newTestCluster(t)
	for n := range 5 {
		c.start(n, true)
	}
	c.declare(0, 1)
	c.orderNow(0, true)
	leader := -1
	c.eventually("a host leads", func() bool {
		for n, r := range c.running {
			if r.leading() != nil {
				leader = n
			}
		}
		return leader >= 0
	})
	first := c.position(leader)
	var down []int
	for n := range 5 {
		if n != leader && len(down) < 3 {
			down = append(down, n)
		}
	}
	for _, n := range down {
		c.kill(n)
	}
	if err := c.order(leader, false, first); err == nil {
		t.Fatal("an order was acknowledged without a quorum")
	}
	for _, n := range down {
		c.start(n, false)
	}
	c.orderNow(down[0], true)
	c.expectOut(true)
	time.Sleep(2 * time.Second)
	c.expectOut(true)
}

// TestZoneOrderWaitsForUnknownOutcome guards against an order that is checked while an earlier
// one, whose outcome is unknown, may still be committed behind it.
func TestZoneOrderWaitsForUnknownOutcome(t *testing.T) {
	c := newTestCluster(t)
	for n := range 5 {
		c.start(n, true)
	}
	c.declare(0, 1)
	c.orderNow(0, true)
	c.eventually("a host leads", func() bool { return c.leader() != nil })
	l := c.leader()
	before := l.c.node.Status().AppliedIndex
	l.orders <- struct{}{}
	l.orderPending = true
	<-l.orders
	c.orderNow(1, false)
	c.expectOut(false)
	if got := l.c.node.Status().AppliedIndex; got < before+2 {
		t.Errorf("the log grew from %d to %d, want an entry before the order", before, got)
	}
}
