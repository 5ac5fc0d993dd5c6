package coordinator

import (
	"context"
	"time"

	"golang.org/x/sys/unix"

	"tanagerbarrow/consensus/raft"
	"tanagerbarrow/link"
	"tanagerbarrow/protocol"
)

// leasePause is the time between two looks whether this host leads.
const leasePause = 20 * time.Millisecond

// fetchTimeout bounds the question for another host's records.
const fetchTimeout = 700 * time.Millisecond

// bootTime returns the time since the host started, suspended time included. A
// lease by the steady clock would outlive a suspension.
func bootTime() time.Duration {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		return 0
	}
	return time.Duration(t.Nano())
}

// holdLease makes this host the broker while a quorum confirms that it leads.
func (c *Coordinator) holdLease(ctx context.Context) {
	for ctx.Err() == nil {
		c.renewLease(ctx)
		select {
		case <-ctx.Done():
		case <-time.After(leasePause):
		}
	}
}

// renewLease asks the quorum once. The lease counts from before the question.
func (c *Coordinator) renewLease(ctx context.Context) {
	status := c.node.Status()
	l := c.leading()
	if status.Role != raft.Leader.String() || status.Leader == "" {
		if l != nil {
			c.stopLeading("another replica leads")
		}
		return
	}
	if l != nil && l.term != status.Term {
		c.stopLeading("new term")
		l = nil
	}
	asked := bootTime()
	ctx, cancel := context.WithTimeout(ctx, leaseSpan)
	defer cancel()
	confirm := c.node.HeartbeatReadBarrier
	if l == nil {
		// The first confirmation doesn't wait for a heartbeat.
		confirm = c.node.ReadBarrier
	}
	err := confirm(ctx)
	switch {
	case err != nil && l != nil && !l.leased():
		c.stopLeading("lease expired")
	case err != nil:
	case l != nil:
		l.extend(asked + leaseSpan)
	case c.node.Status().Term == status.Term:
		c.startLeading(status.Term, asked+leaseSpan)
	}
}

// startLeading starts the broker of a term.
func (c *Coordinator) startLeading(term uint64, until time.Duration) {
	l := newLeader(c, term, until)
	c.mu.Lock()
	c.leader = l
	c.mu.Unlock()
	c.log.Info().Str("event", "broker_started").Uint64("term", term).Send()
	go l.run()
	l.post(func(now time.Time) { l.takeOwnRecords(now) })
	l.postUrgent(l.applyState)
	for _, h := range c.mesh.known() {
		if h.Name != c.self.Name {
			go c.fetchRecords(h.PeerAddress)
		}
	}
	c.announceLeader()
}

// fetchRecords asks another control host for its records of backend servers.
func (c *Coordinator) fetchRecords(address string) {
	ctx, cancel := context.WithTimeout(context.Background(), fetchTimeout)
	defer cancel()
	var records []protocol.Heartbeat
	if err := c.mesh.call(ctx, address, protocol.KindRecordsCall, struct{}{}, &records); err != nil {
		c.log.Warn().Str("event", "records_not_fetched").Str("address", address).Err(err).Send()
		return
	}
	now := time.Now()
	for _, r := range records {
		c.takeHeartbeat(fromWire(r), now.Add(-time.Duration(r.AgeMillis)*time.Millisecond))
	}
}

// stopLeading ends the broker and lets entries look for the next one.
func (c *Coordinator) stopLeading(reason string) {
	c.mu.Lock()
	l := c.leader
	c.leader = nil
	c.mu.Unlock()
	if l == nil {
		return
	}
	l.stop()
	c.log.Warn().Str("event", "broker_stopped").Uint64("term", l.term).Str("reason", reason).Send()
	c.announceLeader()
}

// sendToLeader hands a message to the leading host, if one is known.
func (c *Coordinator) sendToLeader(kind link.Kind, v any) {
	d := c.directory()
	if d.LeaderAddress == "" || d.LeaderAddress == c.self.PeerAddress {
		return
	}
	if conn := c.mesh.link(d.LeaderAddress).open(); conn != nil {
		_ = conn.Send(kind, v)
	}
}
