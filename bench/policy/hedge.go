package policy

import (
	"net/netip"
	"time"

	"tanagerbarrow/balance"
)

// maxHedgeShare is the maximum number of hedges as a fraction of all requests.
const maxHedgeShare = 0.05

// HedgedDaemon returns the daemon's policy with hedging: a request that is not
// answered within delay is also sent to a second server. The first answer cancels the
// other copy.
func HedgedDaemon(delay time.Duration) Policy { return &daemonPolicy{hedgeDelay: delay} }

// planHedge schedules a hedge for a request that was just sent.
func (d *daemonPolicy) planHedge(r *request) {
	if d.hedgeDelay == 0 || r.otherCopy != nil {
		return
	}
	d.hedgeableRequests++
	d.sim.after(d.hedgeDelay, func() { d.hedge(r) })
}

// hedge sends a copy of an unanswered request to another server if that server has
// a free slot.
func (d *daemonPolicy) hedge(r *request) {
	e := d.entries[r.entry]
	first, ok := e.started[r]
	if !ok || float64(d.hedges) >= maxHedgeShare*float64(d.hedgeableRequests) {
		return
	}
	s, _ := e.choices.Pick(serviceName, balance.Query{
		Now: d.now().UnixNano(), Random: d.sim.random.Uint64(),
		Excluded: []netip.AddrPort{first.Server.Record.Address},
	})
	if s == nil || s.Cold() || s.TotalInFlight() >= int64(s.Record.Slots) {
		return
	}
	started, ok := e.loads.Start(s)
	if !ok {
		return
	}
	d.hedges++
	copied := *r
	copied.otherCopy, r.otherCopy = r, &copied
	e.started[&copied] = started
	d.sim.send(&copied, d.serverByAddress[s.Record.Address])
}

// cancelOtherCopy cancels the other copy of an answered request. The cancellation
// reaches its server after the one-way delay.
func (d *daemonPolicy) cancelOtherCopy(r *request) {
	e := d.entries[r.entry]
	if r.otherCopy == nil {
		return
	}
	started, ok := e.started[r.otherCopy]
	if !ok {
		return
	}
	e.loads.Finish(started, balance.Result{Kind: balance.Cancelled}, d.now())
	delete(e.started, r.otherCopy)
	s := d.sim.servers[r.otherCopy.server]
	d.sim.after(d.sim.oneWayDelay(d.sim.zoneOf(r.entry), d.sim.zoneOf(s.index)), func() { s.cancel(r.otherCopy) })
}
