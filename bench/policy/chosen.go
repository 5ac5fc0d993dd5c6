package policy

import (
	"fmt"
	"net/netip"
	"time"

	"tanagerbarrow/balance"
	"tanagerbarrow/limit"
	"tanagerbarrow/membership"
	"tanagerbarrow/state"
)

// The service that all fake servers serve, and the capacity of each entry's queue.
const (
	serviceName   = "service"
	queueCapacity = 256
)

// daemonPolicy runs the balancing code of the daemon for every entry.
type daemonPolicy struct {
	sim             *Simulation
	regions         map[string]string
	entries         []*daemonEntry
	serverByAddress map[netip.AddrPort]int
	start           time.Time

	hedgeDelay        time.Duration // 0 sends no hedges
	hedgeableRequests int
	hedges            int
}

// daemonEntry is the state of one entry.
type daemonEntry struct {
	loads         *balance.Loads
	choices       *balance.Choices
	queue         *limit.Queue[*request]
	started       map[*request]balance.StartedRequest
	awaitingReply map[int]bool // entries that have not answered the last report
}

// DaemonPolicy returns the policy of the daemon.
func DaemonPolicy() Policy { return &daemonPolicy{} }

// entryName returns the name of an entry.
func entryName(e int) string { return fmt.Sprintf("entry-%d", e) }

// zoneName returns the name of an availability zone.
func zoneName(z int) string { return fmt.Sprintf("zone-%d", z) }

// Start creates the entries and schedules their first ticks.
func (d *daemonPolicy) Start(sim *Simulation) {
	d.sim = sim
	d.start = time.Unix(1_000_000, 0)
	d.regions = map[string]string{}
	d.serverByAddress = map[netip.AddrPort]int{}
	for z := range sim.Layout.Zones {
		d.regions[zoneName(z)] = fmt.Sprintf("region-%d", z/2)
	}
	for i := range sim.servers {
		d.serverByAddress[d.announcement(i).Address] = i
	}
	for e := range sim.Layout.Entries {
		var live []string
		for other := range sim.Layout.Entries {
			if sim.zoneOf(other)/2 == sim.zoneOf(e)/2 {
				live = append(live, entryName(other))
			}
		}
		o := balance.Options{Self: entryName(e), Live: func() []string { return live }, LoanTimeout: callerTimeout}
		d.entries = append(d.entries, &daemonEntry{
			loads:   balance.NewLoads(o, d.start),
			queue:   limit.NewQueue[*request](queueCapacity),
			started: map[*request]balance.StartedRequest{}, awaitingReply: map[int]bool{},
		})
	}
	d.MembersChanged()
	for e := range d.entries {
		sim.after(time.Duration(sim.random.Int64N(int64(balance.ExchangePeriod))), func() { d.tick(e) })
	}
}

// now returns the virtual time as a time.Time.
func (d *daemonPolicy) now() time.Time { return d.start.Add(d.sim.now) }

// announcement returns the membership record that a server announces.
func (d *daemonPolicy) announcement(i int) membership.BackendServer {
	s := d.sim.servers[i]
	r := membership.BackendServer{
		Service:          serviceName,
		Address:          netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(i)}), 9000),
		AvailabilityZone: zoneName(d.sim.zoneOf(i)), Slots: d.sim.Layout.Slots,
		Generation: s.generation, State: membership.Ready,
	}
	if s.announcedCold {
		r.State = membership.Cold
	}
	return r
}

// MembersChanged builds new choices for every entry from the current members.
func (d *daemonPolicy) MembersChanged() {
	view := &membership.View{Services: map[string][]membership.BackendServer{}}
	for i := range d.sim.servers {
		if !d.sim.knownLeaving[i] {
			view.Services[serviceName] = append(view.Services[serviceName], d.announcement(i))
		}
	}
	roundTrips := balance.RoundTrips{Zone: 2 * d.sim.Layout.ZoneDelay, Region: 2 * betweenRegionsDelay}
	for e, entry := range d.entries {
		place := balance.Place{AvailabilityZone: zoneName(d.sim.zoneOf(e)), Regions: d.regions, RoundTrips: roundTrips}
		entry.choices = balance.NewChoices(entry.loads, view, state.NewConfiguration(), place, d.now())
	}
}

// RequestArrived sends the request if a server has room, otherwise queues it.
func (d *daemonPolicy) RequestArrived(r *request) {
	e := d.entries[r.entry]
	if e.queue.Len() == 0 && d.trySend(r) {
		return
	}
	shed := e.queue.Push(&limit.Waiter[*request]{
		ClientAccount: fmt.Sprint(r.account), ArrivedAt: d.now(), Deadline: d.start.Add(r.deadline), Value: r,
	})
	if shed != nil {
		d.sim.reject(shed.Value)
	}
	d.serveQueue(e)
}

// trySend sends the request if a server has room and reports whether it did.
func (d *daemonPolicy) trySend(r *request) bool {
	e := d.entries[r.entry]
	s, _ := e.choices.Pick(serviceName, balance.Query{Now: d.now().UnixNano(), Random: d.sim.random.Uint64(), Waiting: e.queue.Len()})
	if s == nil {
		return false
	}
	started, ok := e.loads.Start(s)
	if ok {
		e.started[r] = started
		d.sim.send(r, d.serverByAddress[s.Record.Address])
		d.planHedge(r)
	}
	return ok
}

// serveQueue sends waiting requests while servers have room, and rejects those whose
// deadline has passed.
func (d *daemonPolicy) serveQueue(e *daemonEntry) {
	for {
		next, expired := e.queue.Peek(d.now())
		for _, waiter := range expired {
			d.sim.reject(waiter.Value)
		}
		if next == nil || !d.trySend(next.Value) {
			return
		}
		e.queue.Take(next)
	}
}

// RequestEnded passes the result of the request to the load tracking of its entry.
func (d *daemonPolicy) RequestEnded(r *request, a answer) {
	e := d.entries[r.entry]
	if _, ok := e.started[r]; !ok {
		return // the copy was cancelled
	}
	d.cancelOtherCopy(r)
	resultKinds := map[answerKind]balance.ResultKind{good: balance.Good, serverError: balance.ServerError, broken: balance.Broken}
	e.loads.Finish(e.started[r], balance.Result{Kind: resultKinds[a.kind], Latency: d.sim.now - r.sentAt}, d.now())
	delete(e.started, r)
	d.serveQueue(e)
}

// tick runs the periodic work of one entry and sends reports to the other entries
// of its region.
func (d *daemonPolicy) tick(e int) {
	d.sim.after(d.entries[e].loads.MinTickPeriod(), func() { d.tick(e) })
	entry := d.entries[e]
	entry.loads.Tick(d.now())
	d.serveQueue(entry)
	for other := range d.entries {
		if other != e && d.sim.zoneOf(other)/2 == d.sim.zoneOf(e)/2 && !entry.awaitingReply[other] {
			d.sendReport(e, other)
		}
	}
}

// sendReport sends a load report to another entry if there is anything to report. A
// report that is sent while the exchange is cut is lost.
func (d *daemonPolicy) sendReport(e, other int) {
	from, to := d.entries[e], d.entries[other]
	r, ok := from.loads.Report(entryName(other), d.now())
	if !ok {
		return
	}
	if d.sim.exchangeIsCut() {
		from.loads.ReportLost(entryName(other))
		return
	}
	from.awaitingReply[other] = true
	items := len(r.Counts) + len(r.LoanRequests) + len(r.Suspects) + len(r.LoanReturns) + len(r.AdmissionStates)
	d.sim.message(e, other, reportHeaderBytes+items*reportItemBytes, func() {
		reply := to.loads.Accept(r, d.now())
		d.serveQueue(to)
		d.sim.message(other, e, reportHeaderBytes+len(reply.Loans)*reportItemBytes, func() {
			from.awaitingReply[other] = false
			from.loads.Acknowledge(entryName(other), r, reply, d.now())
			d.serveQueue(from)
		})
	})
}
