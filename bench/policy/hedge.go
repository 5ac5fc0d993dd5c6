package policy

import (
	"net/netip"
	"time"

	"tanagerbarrow/balance"
)

// hedgeShare bounds hedges to a share of requests.
const hedgeShare = 0.05

// Hedged is the daemon's policy with a second copy of a request that is not
// answered after a while. Whichever answers first ends the other.
func Hedged(after time.Duration) Policy { return &chosen{hedgeAfter: after} }

// sent plans a hedge for a request.
func (c *chosen) sent(r *request) {
	if c.hedgeAfter == 0 || r.twin != nil {
		return
	}
	c.requests++
	c.w.after(c.hedgeAfter, func() { c.hedge(r) })
}

// hedge sends a copy to another server if it has a free slot.
func (c *chosen) hedge(r *request) {
	e := c.entries[r.entry]
	first, ok := e.started[r]
	if !ok || float64(c.hedges) >= hedgeShare*float64(c.requests) {
		return
	}
	s, _ := e.choices.Pick(serviceName, balance.Query{
		Now: c.now().UnixNano(), Random: c.w.random.Uint64(),
		Excluded: []netip.AddrPort{first.Server.Record.Address},
	})
	if s == nil || s.Cold() || s.TotalInFlight() >= int64(s.Record.Slots) {
		return
	}
	started, ok := e.loads.Start(s)
	if !ok {
		return
	}
	c.hedges++
	copied := *r
	copied.twin, r.twin = r, &copied
	e.started[&copied] = started
	c.w.send(&copied, c.index[s.Record.Address])
}

// cancelTwin ends the other copy of an answered request.
func (c *chosen) cancelTwin(r *request) {
	e := c.entries[r.entry]
	if r.twin == nil {
		return
	}
	started, ok := e.started[r.twin]
	if !ok {
		return
	}
	e.loads.Finish(started, balance.Result{Kind: balance.Cancelled}, c.now())
	delete(e.started, r.twin)
	s := c.w.servers[r.twin.server]
	c.w.after(c.w.hop(c.w.zoneOf(r.entry), c.w.zoneOf(s.index)), func() { s.cancel(r.twin) })
}
