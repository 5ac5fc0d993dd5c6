package coordinator

import (
	"context"
	"testing"
	"time"

	"tanagerbarrow/link"
	"tanagerbarrow/protocol"
	"tanagerbarrow/registry"
)

// TestLeavingInAResponseBindsAllEntries lets an entry report that a server leaves whose heartbeats
// say that it is ready: no broker may use that start of the server again, also after the
// leader is lost, but another start of it and another server at its address.
func TestLeavingInAResponseBindsAllEntries(t *testing.T) {
	c := newTestCluster(t)
	for n := range 5 {
		c.start(n, true)
	}
	c.declare(0, 1)
	b := registry.BackendServer{
		ID: "i-1", Started: 1000, Sequence: 1, Service: "s", Address: "127.0.0.1:1", AvailabilityZone: "z0", Slots: 2,
	}
	// Announces the server at all hosts, as if each had received a heartbeat.
	announce := func() {
		b.Sequence++
		for _, r := range c.running {
			_ = r.Announce(t.Context(), b)
		}
	}
	c.eventually("the leader knows the server", func() bool {
		announce()
		return c.leaderKnows(1)
	})
	c.reportLeaving("i-1")
	c.eventually("the leader removes the server", func() bool { return c.leaderKnows(0) })
	announce()
	if !c.leaderKnows(0) {
		t.Error("a heartbeat of a server that leaves restored it")
	}
	c.eventually("all hosts know that the server leaves", func() bool {
		for _, r := range c.running {
			if !r.isDeregistered("i-1", 1000) {
				return false
			}
		}
		return true
	})
	old := c.leader()
	for n, r := range c.running {
		if r.leading() == old {
			c.kill(n)
		}
	}
	c.eventually("there is another leader", func() bool { return c.leader() != nil && c.leader() != old })
	announce()
	if !c.leaderKnows(0) {
		t.Error("the next broker uses a server that leaves")
	}
	c.eventually("another start of the server is used", func() bool {
		b.Started = 2000
		announce()
		return c.leaderKnows(1)
	})
	c.eventually("another server at its address is used", func() bool {
		b.ID, b.Started = "i-2", 3000
		announce()
		return c.leaderKnows(1) && c.leaderServer("i-2")
	})
}

// reportLeaving passes the report of an entry that a server leaves to the leader.
func (c *testCluster) reportLeaving(id string) {
	c.t.Helper()
	l := c.leader()
	numbers := make(chan uint32, 1)
	l.post(func(time.Time) {
		for number, s := range l.broker.Servers() {
			if s.Record.ID == id {
				numbers <- number
				return
			}
		}
		close(numbers)
	})
	body, err := link.Encode(protocol.Leaving{ServerID: id, Number: <-numbers, Term: l.term})
	if err == nil {
		err = l.c.receiveFromEntry(&inboundLink{hello: protocol.Hello{Name: "e"}}, protocol.KindLeaving, body)
	}
	if err != nil {
		c.t.Fatal(err)
	}
}

// leaderServer reports whether the leader's broker uses a server.
func (c *testCluster) leaderServer(id string) bool {
	l := c.leader()
	ctx, cancel := context.WithTimeout(c.t.Context(), time.Second)
	defer cancel()
	found := make(chan bool, 1)
	l.post(func(time.Time) {
		for _, s := range l.broker.Servers() {
			if s.Record.ID == id {
				found <- true
				return
			}
		}
		found <- false
	})
	select {
	case f := <-found:
		return f
	case <-ctx.Done():
		return false
	}
}
