package policy

// central is a lower bound for latency that no real policy can reach: one queue
// that sees the state of every server without delay. A request waits until a slot
// is free and is sent to the server that would complete it first.
type central struct {
	sim      *Simulation
	waiting  []*request
	assigned []int
}

// CentralQueue returns the policy of a central queue with complete and undelayed
// information.
func CentralQueue() Policy { return &central{} }

// Start implements Policy.
func (c *central) Start(sim *Simulation) {
	c.sim = sim
	c.assigned = make([]int, sim.Layout.Servers)
}

// MembersChanged starts waiting requests on the free slots of a new server.
func (c *central) MembersChanged() { c.startWaiting() }

// RequestArrived queues the request.
func (c *central) RequestArrived(r *request) {
	c.waiting = append(c.waiting, r)
	c.startWaiting()
}

// startWaiting starts waiting requests while slots are free.
func (c *central) startWaiting() {
	for len(c.waiting) > 0 {
		r := c.waiting[0]
		if c.sim.now > r.deadline {
			c.waiting = c.waiting[1:]
			c.sim.reject(r)
			continue
		}
		to := c.bestServer(r)
		if to < 0 {
			return
		}
		c.waiting = c.waiting[1:]
		c.assigned[to]++
		r.skippedDelay, r.server, r.sentAt = true, to, c.sim.now
		c.sim.result.RequestsSent[linkClassOf(c.sim.zoneOf(r.entry), c.sim.zoneOf(to))]++
		c.sim.servers[to].arrive(r)
	}
}

// bestServer returns the server with a free slot that would complete the request
// first, or -1 if no slot is free.
func (c *central) bestServer(r *request) int {
	best, bestEnd := -1, 0.0
	for i, s := range c.sim.servers {
		if s.stopped || s.failing || c.sim.knownLeaving[i] || c.assigned[i] >= c.capacity(s) {
			continue
		}
		end := float64(r.serviceTime)*s.slowdown() + float64(2*c.sim.oneWayDelay(c.sim.zoneOf(r.entry), c.sim.zoneOf(i)))
		if best < 0 || end < bestEnd {
			best, bestEnd = i, end
		}
	}
	return best
}

// capacity returns how many concurrent requests a server can serve without
// collapsing.
func (c *central) capacity(s *fakeServer) int {
	if s.cold {
		return min(1+s.coldAnswered/coldAnswersPerSlot, c.sim.Layout.Slots)
	}
	return c.sim.Layout.Slots
}

// slotFreed records that a slot became free. The server calls it without delay.
func (c *central) slotFreed(server int) {
	c.assigned[server]--
	c.startWaiting()
}

// RequestEnded does nothing because slotFreed has already counted the end of the
// request.
func (c *central) RequestEnded(*request, answer) {}
