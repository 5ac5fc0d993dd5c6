package gateway

import (
	"context"
	"sync"
	"time"

	"tanagerbarrow/boottime"
	"tanagerbarrow/protocol"
)

// The times of proofs that the configuration is the newest.
const (
	// currencyQueryPeriod is how often an entry asks the broker: several times in the life of a proof, so that
	// lost replies and a change of the broker don't end it.
	currencyQueryPeriod = time.Second
	// currencyTick is how often the entry looks whether a query is due.
	currencyTick = 100 * time.Millisecond
	// proofShare is the part of the bound on revocation for which a proof holds. A request that was sent after
	// the bound has passed then meets a check after the end of every older proof.
	proofShare = 0.8
	// proofWait is how long a request waits for a proof: a few round trips, after which another entry may
	// have one.
	proofWait = 300 * time.Millisecond
)

// reasonUnproven is the reason for not being ready while no request with a key may be served.
const reasonUnproven = "the configuration may not be the newest"

// currency is what an entry knows of the age of its configuration, by the clock that counts suspensions. Only
// the time at which a query was sent counts: a reply that is read late proves nothing of the present. It is
// safe for concurrent use.
type currency struct {
	clock func() time.Duration

	mu sync.Mutex
	// proven is the last time at which the configuration in force is known to have been the newest; 0 for none.
	proven time.Duration
	// next is a reply that names a version that is not in force yet.
	next protocol.Currency
	// renewed is closed with the next proof.
	renewed chan struct{}
}

// newCurrency returns one without a proof.
func newCurrency(clock func() time.Duration) *currency {
	return &currency{clock: clock, renewed: make(chan struct{})}
}

// record applies a reply of the broker; version is the one in force.
func (c *currency) record(m protocol.Currency, version uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if m.Stamp > c.clock() {
		return
	}
	c.next = m
	c.promote(version)
}

// configured applies that a version is in force.
func (c *currency) configured(version uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.promote(version)
}

// promote makes the last reply a proof if what it names is in force. The caller holds the lock.
func (c *currency) promote(version uint64) {
	if c.next.Stamp <= c.proven || c.next.Version > version {
		return
	}
	c.proven = c.next.Stamp
	close(c.renewed)
	c.renewed = make(chan struct{})
}

// within reports whether the configuration was the newest at some moment of the last span.
func (c *currency) within(span time.Duration) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.proven != 0 && c.clock()-c.proven < span
}

// await waits for the next proof, at most for proofWait, and reports whether there was one.
func (c *currency) await(ctx context.Context) bool {
	c.mu.Lock()
	renewed := c.renewed
	c.mu.Unlock()
	timeout := time.NewTimer(proofWait)
	defer timeout.Stop()
	select {
	case <-renewed:
		return true
	case <-timeout.C:
	case <-ctx.Done():
	}
	return false
}

// proofsNeeded reports whether requests with a key need a proof that the configuration is the newest.
func (g *Gateway) proofsNeeded() bool {
	x := g.view.configuration()
	return g.options.Settings.Bounds.StrictRevocation && x != nil && !x.Accounts().Empty()
}

// proofLifetime returns how long a proof holds.
func (g *Gateway) proofLifetime() time.Duration {
	return time.Duration(proofShare * float64(g.options.Settings.Bounds.Revocation))
}

// keysProven reports whether requests with a key may be served.
func (g *Gateway) keysProven() bool {
	return !g.proofsNeeded() || g.session.currency.within(g.proofLifetime())
}

// runCurrency asks each broker at once, and then periodically, whether the configuration is the newest, until
// ctx ends. An entry that can't serve requests with a key leaves the rotation.
func (g *Gateway) runCurrency(ctx context.Context) {
	if !g.options.Settings.Bounds.StrictRevocation {
		return
	}
	ticker := time.NewTicker(currencyTick)
	defer ticker.Stop()
	var queried time.Time
	for {
		select {
		case <-ctx.Done():
			return
		case <-g.session.brokerWelcomed:
			queried = time.Time{}
		case <-ticker.C:
		}
		if !g.proofsNeeded() {
			g.readiness.Set(reasonUnproven, false)
			continue
		}
		g.readiness.Set(reasonUnproven, !g.keysProven())
		if time.Since(queried) >= currencyQueryPeriod && g.session.queryCurrency() {
			queried = time.Now()
		}
	}
}

// queryCurrency asks the broker whether the configuration is the newest. It reports whether there is a broker
// that handles the query.
func (s *session) queryCurrency() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.conn == nil || !s.capabilities.Currency {
		return false
	}
	return s.conn.Send(protocol.KindCurrencyQuery, protocol.CurrencyQuery{Stamp: boottime.Now()}) == nil
}
