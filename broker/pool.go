package broker

import (
	"slices"
	"time"
)

// The constants of a service's queue.
const (
	// firstWork is taken for a service's time for a request until answers tell.
	firstWork = 200 * time.Millisecond
	// workWeight is the weight of one more answer in that time.
	workWeight = 0.03
	// paceWeight is the weight of one more told pace in their mean.
	paceWeight = 0.01
	// waitShare is the part of the latency objective that a request may wait:
	// more makes all requests of an overload late.
	waitShare = 0.25
	// lateWaitShare is the part of the deadline that a request may wait which
	// can't be within its objective any more.
	lateWaitShare = 0.05
	// waitedWeight weighs the time that an ask has waited against the nearness of
	// a server.
	waitedWeight = 2
	// maxQueue bounds the asks that wait for one service.
	maxQueue = 4096
	// adoptedHold bounds how long a grant of another broker stays in use.
	adoptedHold = 5 * time.Second
	// goneHold is how long the grants of an entry without a connection stay in
	// use: it reconnects within that time or its requests have ended with it.
	goneHold = 1500 * time.Millisecond
	// retryMargin is the part of the retry budget that is given out, so that the
	// requests on their way don't break it.
	retryMargin = 0.7
)

// pool is one service.
type pool struct {
	name    string
	servers []*Server
	queue   []*waiting
	// work is the usual time for a request.
	work time.Duration
	// answer is the mean size of an answer, in bytes.
	answer float64
	// pace is the mean of the told paces.
	pace float64
	// firsts and retries are the times of the last asks and granted retries.
	firsts, retries window
}

// waiting is an ask without an answer.
type waiting struct {
	ask   Ask
	entry *entry
	at    time.Time
	// until is when it is refused.
	until time.Time
	// late says that it can't be within its objective any more.
	late bool
}

// window counts events in the last seconds.
type window struct{ times []time.Time }

// add notes an event.
func (w *window) add(now time.Time) { w.times = append(w.times, now) }

// count returns the events within the span.
func (w *window) count(now time.Time, span time.Duration) int {
	old := 0
	for old < len(w.times) && now.Sub(w.times[old]) > span {
		old++
	}
	w.times = w.times[old:]
	return len(w.times)
}

// forget drops the asks of an entry.
func (p *pool) forget(e *entry) {
	p.queue = slices.DeleteFunc(p.queue, func(w *waiting) bool { return w.entry == e })
}

// slots returns the slots of usable servers and how many are in use.
func (p *pool) slots(b *Broker, now time.Time) (all, busy int) {
	for _, s := range p.servers {
		if s.usable(now) && !b.zonesOut[s.Record.AvailabilityZone] && !s.cold(now) {
			all += s.Record.Slots
			busy += s.busy
		}
	}
	return all, busy
}

// Ask takes in an ask. It is granted or refused at once, or waits.
func (b *Broker) Ask(name string, a Ask, now time.Time) {
	e := b.entries[name]
	if e == nil {
		return
	}
	p := b.pool(a.Service)
	if !a.Retry {
		p.firsts.add(now)
	}
	if b.poisoned(a) {
		b.refuse(p, e, a.Seq, ReasonPoison, now)
		return
	}
	if a.Retry && !b.retryRoom(p, now) {
		b.refuse(p, e, a.Seq, ReasonRetryBudget, now)
		return
	}
	w := newWaiting(p, e, a, now)
	if len(p.queue) == 0 && b.grant(p, b.open(p, now), w, now) {
		return
	}
	if reason, hopeless := b.hopeless(p, w, now); hopeless {
		b.refuse(p, e, a.Seq, reason, now)
		return
	}
	p.insert(w)
	b.serve(p.name, now)
}

// newWaiting works out how long an ask may wait.
func newWaiting(p *pool, e *entry, a Ask, now time.Time) *waiting {
	w := &waiting{ask: a, entry: e, at: now}
	objective := millis(a.ObjectiveMillis)
	w.late = objective < p.work
	wait := time.Duration(float64(objective) * waitShare)
	if late := time.Duration(float64(millis(a.DeadlineMillis)) * lateWaitShare); wait < late {
		wait = late
	}
	w.until = now.Add(wait)
	return w
}

// insert puts an ask behind those that go before it.
func (p *pool) insert(w *waiting) {
	at := len(p.queue)
	for at > 0 && w.before(p.queue[at-1]) {
		at--
	}
	p.queue = slices.Insert(p.queue, at, w)
}

// before orders by priority, within it those first that can be in time, and
// then by arrival.
func (w *waiting) before(other *waiting) bool {
	if w.ask.Priority != other.ask.Priority {
		return w.ask.Priority < other.ask.Priority
	}
	return !w.late && other.late
}

// hopeless reports whether an ask can't be served in its time: the asks before
// it need longer than it may wait. A new broker after a loss of power, which
// hears of one server after the other while the entries pass on all that they
// hold, can't know that.
func (b *Broker) hopeless(p *pool, w *waiting, now time.Time) (Reason, bool) {
	if now.Before(b.options.ServersKnownFrom) {
		return ReasonOverload, len(p.queue) >= maxQueue
	}
	all, _ := p.slots(b, now)
	if all == 0 && !b.anyUsable(p, w, now) {
		return ReasonNoServer, true
	}
	ahead := 1
	for _, other := range p.queue {
		if !w.before(other) {
			ahead++
		}
	}
	return ReasonOverload, len(p.queue) >= maxQueue || p.delay(all, ahead) > w.until.Sub(now)
}

// delay is the time in which a number of slots come free.
func (p *pool) delay(slots, ahead int) time.Duration {
	return p.work * time.Duration(ahead) / time.Duration(max(1, slots))
}

// retryRoom reports whether the service's retry budget has room.
func (b *Broker) retryRoom(p *pool, now time.Time) bool {
	o := b.options
	allowed := (o.RetryRatio*float64(p.firsts.count(now, o.RetryWindow)) + float64(o.RetryExtra)) * retryMargin
	return float64(p.retries.count(now, o.RetryWindow)+1) <= allowed
}

// serve grants what can be granted and refuses what has waited too long.
func (b *Broker) serve(service string, now time.Time) {
	p := b.pools[service]
	if p == nil || len(p.queue) == 0 {
		return
	}
	open := b.open(p, now)
	steady := b.steady(p, open, now)
	p.queue = slices.DeleteFunc(p.queue, func(w *waiting) bool {
		candidates := steady
		if !now.Before(w.until) {
			candidates = open
		}
		if len(candidates) > 0 && b.grant(p, candidates, w, now) {
			return true
		}
		if now.Before(w.until) {
			return false
		}
		b.refuse(p, w.entry, w.ask.Seq, ReasonQueueTimeout, now)
		return true
	})
}

// offer hands a server that has changed to the asks that wait, the first of
// them first. It looks at no other server: with hundreds of servers that change
// several times a second, the broker has no time for more.
func (b *Broker) offer(s *Server, now time.Time) {
	p := b.pools[s.Record.Service]
	if p == nil || len(p.queue) == 0 || s.left || !s.usable(now) {
		return
	}
	for {
		at := b.nearest(p, s, now)
		if at < 0 {
			return
		}
		b.issue(p, p.queue[at], s, now)
		p.queue = slices.Delete(p.queue, at, at+1)
	}
}

// nearest returns the place of the ask that a server suits best among the first
// ones of equal rank, or -1: one whose entry stands near and has a connection
// open. What an ask has waited counts for it, so that none is passed over long.
func (b *Broker) nearest(p *pool, s *Server, now time.Time) int {
	best, lowest := -1, time.Duration(0)
	for at, w := range p.queue {
		if best >= 0 && p.queue[best].before(w) {
			break
		}
		if !b.mayRun(s, w, now) || b.worthWaiting(p, s, w, now) {
			continue
		}
		cost := b.cost(p, s, w, now) - waitedWeight*now.Sub(w.at)
		if best < 0 || cost < lowest {
			best, lowest = at, cost
		}
	}
	return best
}

// refuse answers an ask with the time at which room is expected. The time is
// spread so that returning callers don't come together.
func (b *Broker) refuse(p *pool, e *entry, seq uint64, reason Reason, now time.Time) {
	all, busy := p.slots(b, now)
	wait := p.delay(all, len(p.queue)+1)
	if all == 0 {
		wait = p.work
	}
	wait += time.Duration(b.options.Random.Float64() * float64(p.work))
	b.out = append(b.out, Output{Entry: e.name, Refusal: &Refusal{
		Seq: seq, RetryMillis: int(wait.Milliseconds()), Reason: reason,
		Waiting: len(p.queue), Busy: busy, Slots: all,
	}})
}

// Cancel withdraws an ask or its grant.
func (b *Broker) Cancel(name string, seq uint64, now time.Time) {
	e := b.entries[name]
	if e == nil {
		return
	}
	for _, p := range b.pools {
		p.queue = slices.DeleteFunc(p.queue, func(w *waiting) bool { return w.entry == e && w.ask.Seq == seq })
	}
	if id, granted := e.asks[seq]; granted {
		b.Release(name, Release{ID: id, Outcome: Unused}, now)
	}
}
