package coordinator

import (
	"context"
	"time"

	"tanagerbarrow/boottime"
	"tanagerbarrow/consensus/raft"
	"tanagerbarrow/link"
	"tanagerbarrow/protocol"
)

// leaseRenewalInterval is the pause between two renewals of the lease.
const leaseRenewalInterval = 20 * time.Millisecond

// fetchRecordsTimeout bounds the call for another host's records.
const fetchRecordsTimeout = 700 * time.Millisecond

// maintainLease renews the lease until ctx ends, so that this host runs the
// broker while a quorum confirms that it leads.
func (c *Coordinator) maintainLease(ctx context.Context) {
	for ctx.Err() == nil {
		c.renewLease(ctx)
		select {
		case <-ctx.Done():
		case <-time.After(leaseRenewalInterval):
		}
	}
}

// renewLease asks the quorum for one confirmation. The lease counts from before
// the request is sent.
func (c *Coordinator) renewLease(ctx context.Context) {
	status := c.node.Status()
	l := c.leading()
	if status.Leader != "" {
		c.succession.observe(status.Term, boottime.Now())
	}
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
	requestedAt, queries := boottime.Now(), c.currency.take()
	ctx, cancel := context.WithTimeout(ctx, leaseDuration)
	defer cancel()
	confirm := c.node.HeartbeatReadBarrier
	if l == nil {
		// The first confirmation doesn't wait for a heartbeat.
		confirm = c.node.ReadBarrier
	}
	err := confirm(ctx)
	switch {
	case err != nil && l != nil && !l.leaseValid():
		c.stopLeading("lease expired")
	case err != nil:
	case l != nil:
		l.extendLease(requestedAt + leaseDuration)
		c.answerCurrency(queries)
	case c.node.Status().Term == status.Term:
		c.startLeading(status.Term, requestedAt+leaseDuration)
	}
}

// startLeading starts the broker of a term and fetches the records of the other
// control hosts.
func (c *Coordinator) startLeading(term uint64, leaseEnd time.Duration) {
	l := newLeader(c, term, leaseEnd, c.succession.startTerm(term, boottime.Now(), c.options.Settings.Bounds.LimitWindow))
	c.mu.Lock()
	c.leader = l
	c.mu.Unlock()
	c.log.Info().Str("event", "broker_started").Uint64("term", term).Send()
	go l.run()
	l.post(func(now time.Time) { l.announceOwnRecords(now) })
	l.postUrgent(l.applyState)
	for _, h := range c.mesh.knownHosts() {
		if h.Name != c.self.Name {
			go c.fetchRecords(h.PeerAddress)
		}
	}
	c.announceLeader()
}

// fetchRecords asks another control host for its records of backend servers.
func (c *Coordinator) fetchRecords(address string) {
	ctx, cancel := context.WithTimeout(context.Background(), fetchRecordsTimeout)
	defer cancel()
	versions := make(chan struct{})
	go func() {
		defer close(versions)
		c.fetchVersions(ctx, address)
	}()
	var records []protocol.Heartbeat
	if err := c.mesh.call(ctx, address, protocol.KindRecordsCall, struct{}{}, &records); err != nil {
		c.log.Warn().Str("event", "records_not_fetched").Str("address", address).Err(err).Send()
		return
	}
	now := time.Now()
	<-versions
	for _, r := range records {
		c.recordHeartbeat(serverFromWire(r), now.Add(-time.Duration(r.AgeMillis)*time.Millisecond))
	}
}

// stopLeading stops the broker and sends the directory to the entries, so that
// they find the next one.
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

// sendToLeader sends a message to the leading host and reports whether it did. It drops the
// message if no leader is known and connected, or if this host leads.
func (c *Coordinator) sendToLeader(kind link.Kind, v any) bool {
	address, _ := c.leaderAddress()
	if address == "" || address == c.self.PeerAddress {
		return false
	}
	conn := c.mesh.outboundTo(address).open()
	return conn != nil && conn.Send(kind, v) == nil
}
