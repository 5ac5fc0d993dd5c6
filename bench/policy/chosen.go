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

// The names that all fakes share.
const (
	serviceName   = "service"
	queueCapacity = 256
)

// chosen runs the product's own code for every entry.
type chosen struct {
	w       *World
	regions map[string]string
	entries []*chosenEntry
	index   map[netip.AddrPort]int
	start   time.Time

	hedgeAfter time.Duration // 0 sends no hedges
	requests   int
	hedges     int
}

// chosenEntry is one entry.
type chosenEntry struct {
	loads   *balance.Loads
	choices *balance.Choices
	queue   *limit.Queue[*request]
	started map[*request]balance.StartedRequest
	busy    map[int]bool // peers that have not answered the last report
}

// Chosen is the policy of the daemon.
func Chosen() Policy { return &chosen{} }

// name returns the name of an entry.
func name(e int) string { return fmt.Sprintf("entry-%d", e) }

// zone returns the name of a zone.
func zone(z int) string { return fmt.Sprintf("zone-%d", z) }

// Start makes the entries.
func (c *chosen) Start(w *World) {
	c.w = w
	c.start = time.Unix(1_000_000, 0)
	c.regions = map[string]string{}
	c.index = map[netip.AddrPort]int{}
	for z := range w.Layout.Zones {
		c.regions[zone(z)] = fmt.Sprintf("region-%d", z/2)
	}
	for i := range w.servers {
		c.index[c.record(i).Address] = i
	}
	for e := range w.Layout.Entries {
		var live []string
		for other := range w.Layout.Entries {
			if w.zoneOf(other)/2 == w.zoneOf(e)/2 {
				live = append(live, name(other))
			}
		}
		o := balance.Options{Self: name(e), Live: func() []string { return live }, LoanTimeout: callerWaits}
		c.entries = append(c.entries, &chosenEntry{
			loads:   balance.NewLoads(o, c.start),
			queue:   limit.NewQueue[*request](queueCapacity),
			started: map[*request]balance.StartedRequest{}, busy: map[int]bool{},
		})
	}
	c.Members()
	for e := range c.entries {
		w.after(time.Duration(w.random.Int64N(int64(balance.ExchangePeriod))), func() { c.tick(e) })
	}
}

// now returns the virtual time as a point in time.
func (c *chosen) now() time.Time { return c.start.Add(c.w.now) }

// record returns what a server announces.
func (c *chosen) record(i int) membership.BackendServer {
	s := c.w.servers[i]
	r := membership.BackendServer{
		Service:          serviceName,
		Address:          netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(i)}), 9000),
		AvailabilityZone: zone(c.w.zoneOf(i)), Slots: c.w.Layout.Slots,
		Generation: s.generation, State: membership.Ready,
	}
	if s.announcedCold {
		r.State = membership.Cold
	}
	return r
}

// Members makes new choices for every entry.
func (c *chosen) Members() {
	v := &membership.View{Services: map[string][]membership.BackendServer{}}
	for i := range c.w.servers {
		if !c.w.left[i] {
			v.Services[serviceName] = append(v.Services[serviceName], c.record(i))
		}
	}
	hops := balance.RoundTrips{Zone: 2 * c.w.Layout.ZoneHop, Region: 2 * regionHop}
	for e, entry := range c.entries {
		at := balance.Place{AvailabilityZone: zone(c.w.zoneOf(e)), Regions: c.regions, RoundTrips: hops}
		entry.choices = balance.NewChoices(entry.loads, v, state.NewConfiguration(), at, c.now())
	}
}

// Arrive sends the request or queues it.
func (c *chosen) Arrive(r *request) {
	e := c.entries[r.entry]
	if e.queue.Len() == 0 && c.try(r) {
		return
	}
	shed := e.queue.Push(&limit.Waiter[*request]{
		ClientAccount: fmt.Sprint(r.account), ArrivedAt: c.now(), Deadline: c.start.Add(r.deadline), Value: r,
	})
	if shed != nil {
		c.w.reject(shed.Value)
	}
	c.serve(e)
}

// try sends the request if a server has room.
func (c *chosen) try(r *request) bool {
	e := c.entries[r.entry]
	s, _ := e.choices.Pick(serviceName, balance.Query{Now: c.now().UnixNano(), Random: c.w.random.Uint64(), Waiting: e.queue.Len()})
	if s == nil {
		return false
	}
	started, ok := e.loads.Start(s)
	if ok {
		e.started[r] = started
		c.w.send(r, c.index[s.Record.Address])
		c.sent(r)
	}
	return ok
}

// serve sends waiting requests while there is room.
func (c *chosen) serve(e *chosenEntry) {
	for {
		next, expired := e.queue.Peek(c.now())
		for _, w := range expired {
			c.w.reject(w.Value)
		}
		if next == nil || !c.try(next.Value) {
			return
		}
		e.queue.Take(next)
	}
}

// Answered ends the count and learns from the answer.
func (c *chosen) Answered(r *request, a answer) {
	e := c.entries[r.entry]
	if _, ok := e.started[r]; !ok {
		return // cancelled before
	}
	c.cancelTwin(r)
	kinds := map[answerKind]balance.ResultKind{good: balance.Good, serverError: balance.ServerError, broken: balance.Broken}
	e.loads.Finish(e.started[r], balance.Result{Kind: kinds[a.kind], Latency: c.w.now - r.sent}, c.now())
	delete(e.started, r)
	c.serve(e)
}

// tick moves one entry on by a period.
func (c *chosen) tick(e int) {
	c.w.after(c.entries[e].loads.MinTickPeriod(), func() { c.tick(e) })
	entry := c.entries[e]
	entry.loads.Tick(c.now())
	c.serve(entry)
	for other := range c.entries {
		if other != e && c.w.zoneOf(other)/2 == c.w.zoneOf(e)/2 && !entry.busy[other] {
			c.tell(e, other)
		}
	}
}

// tell sends a report to a peer if there is something to tell.
func (c *chosen) tell(e, other int) {
	from, to := c.entries[e], c.entries[other]
	r, ok := from.loads.Report(name(other), c.now())
	if !ok {
		return
	}
	if c.w.cutNow() {
		from.loads.ReportLost(name(other))
		return
	}
	from.busy[other] = true
	items := len(r.Counts) + len(r.LoanRequests) + len(r.Suspects) + len(r.LoanReturns) + len(r.AdmissionStates)
	c.w.message(e, other, reportBytes+items*countBytes, func() {
		reply := to.loads.Accept(r, c.now())
		c.serve(to)
		c.w.message(other, e, reportBytes+len(reply.Loans)*countBytes, func() {
			from.busy[other] = false
			from.loads.Acknowledge(name(other), r, reply, c.now())
			c.serve(from)
		})
	})
}
