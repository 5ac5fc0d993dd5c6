package policy

// central is the limit: one queue that knows everything at once. A request waits
// until a slot is free and takes the one on which it would end first.
type central struct {
	w       *World
	waiting []*request
	booked  []int
}

// Central is an all-knowing queue without delay.
func Central() Policy { return &central{} }

// Start prepares the bookings.
func (c *central) Start(w *World) {
	c.w = w
	c.booked = make([]int, w.Layout.Servers)
}

// Members serves what a new server can take.
func (c *central) Members() { c.serve() }

// Arrive queues the request.
func (c *central) Arrive(r *request) {
	c.waiting = append(c.waiting, r)
	c.serve()
}

// serve starts waiting requests while slots are free.
func (c *central) serve() {
	for len(c.waiting) > 0 {
		r := c.waiting[0]
		if c.w.now > r.deadline {
			c.waiting = c.waiting[1:]
			c.w.reject(r)
			continue
		}
		to := c.best(r)
		if to < 0 {
			return
		}
		c.waiting = c.waiting[1:]
		c.booked[to]++
		r.instant, r.server, r.sent = true, to, c.w.now
		c.w.result.Sent[linkOf(c.w.zoneOf(r.entry), c.w.zoneOf(to))]++
		c.w.servers[to].arrive(r)
	}
}

// best returns the server on which the request would end first, or -1.
func (c *central) best(r *request) int {
	best, bestEnd := -1, 0.0
	for i, s := range c.w.servers {
		if s.gone || s.failing || c.w.left[i] || c.booked[i] >= c.bears(s) {
			continue
		}
		end := float64(r.work)*s.factor() + float64(2*c.w.hop(c.w.zoneOf(r.entry), c.w.zoneOf(i)))
		if best < 0 || end < bestEnd {
			best, bestEnd = i, end
		}
	}
	return best
}

// bears returns the requests that a server bears.
func (c *central) bears(s *server) int {
	if s.cold {
		return min(1+s.coldDone/coldAnswers, c.w.Layout.Slots)
	}
	return c.w.Layout.Slots
}

// freed takes note of a free slot at once.
func (c *central) freed(server int) {
	c.booked[server]--
	c.serve()
}

// Answered does nothing: the end of the request was noted before.
func (c *central) Answered(*request, answer) {}
