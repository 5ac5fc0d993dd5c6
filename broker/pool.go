package broker

import (
	"slices"
	"time"
)

// Limits and weights of a service's queue.
const (
	// initialServiceTime is the assumed service time of a request until responses
	// have been measured.
	initialServiceTime = 200 * time.Millisecond
	// serviceTimeWeight is the weight of one more response in the mean service time
	// and in the mean response size.
	serviceTimeWeight = 0.03
	// meanPaceWeight is the weight of one more reported pace in the mean pace.
	meanPaceWeight = 0.01
	// objectiveWaitShare is the part of the remaining latency objective that a
	// request may wait: a longer wait makes all requests of an overload late.
	objectiveWaitShare = 0.25
	// deadlineWaitShare is the part of the remaining deadline that any request may
	// wait, also one that can no longer meet its objective.
	deadlineWaitShare = 0.05
	// waitedTimeWeight weighs the time that an ask has waited against the cost of
	// a server.
	waitedTimeWeight = 2
	// maxQueueLength bounds the asks that wait for one service.
	maxQueueLength = 4096
	// adoptedGrantLifetime bounds how long a grant of another broker stays in use.
	adoptedGrantLifetime = 5 * time.Second
	// disconnectedGrantLifetime is how long the grants of a disconnected entry
	// stay in use: within that time it reconnects, or its requests have ended with
	// it.
	disconnectedGrantLifetime = 1500 * time.Millisecond
	// maxExpectedDelay bounds the expected time until an ask is assigned; servers with a
	// request limit of zero would make it infinite.
	maxExpectedDelay = 10 * time.Second
	// retryBudgetShare is the part of the retry budget that the broker hands out.
	// The rest keeps requests that are in transit from exceeding the budget.
	retryBudgetShare = 0.7
)

// pool holds the servers and the queue of one service.
type pool struct {
	name    string
	servers []*Server
	queue   []*pendingAsk
	// serviceTime is the mean service time of a request.
	serviceTime time.Duration
	// meanResponseBytes is the mean size of a response, in bytes.
	meanResponseBytes float64
	// meanPace is the mean of the reported paces, in percent of the usual.
	meanPace float64
	// firstAttempts and grantedRetries count the asks for first attempts and the
	// retries that were granted within the window of the retry budget.
	firstAttempts, grantedRetries slidingWindow
}

// pendingAsk is an ask that has been neither granted nor refused.
type pendingAsk struct {
	ask     Ask
	details Details
	// meter keeps the client account within its limit; nil if nothing limits the request.
	meter     *accountMeter
	entry     *entry
	arrivedAt time.Time
	// waitUntil is the time at which the ask is refused.
	waitUntil time.Time
	// missesObjective says that the request can no longer receive its response
	// within its latency objective.
	missesObjective bool
	// canary says that a server of a new version is sought for the ask.
	canary bool
}

// slidingWindow counts the events of a recent span of time.
type slidingWindow struct{ times []time.Time }

// add records an event.
func (w *slidingWindow) add(now time.Time) { w.times = append(w.times, now) }

// count discards the events that are older than the span and returns the number
// of the others.
func (w *slidingWindow) count(now time.Time, span time.Duration) int {
	old := 0
	for old < len(w.times) && now.Sub(w.times[old]) > span {
		old++
	}
	w.times = w.times[old:]
	return len(w.times)
}

// removeAsks removes the waiting asks of an entry.
func (p *pool) removeAsks(e *entry) {
	p.queue = slices.DeleteFunc(p.queue, func(w *pendingAsk) bool { return w.entry == e })
}

// slotUsage returns the number of slots of the usable servers that are not cold
// and whose zone is in service, how many of these slots are in use, and how many
// requests these servers can run at a time.
func (p *pool) slotUsage(b *Broker, now time.Time) (all, busy int, capacity float64) {
	for _, s := range p.servers {
		if s.usable(now) && !b.zonesOut[s.Record.AvailabilityZone] && !s.cold(now) && b.versionServes(s) {
			all += s.Record.Slots
			busy += s.activeGrants
			capacity += s.capacity(p.serviceTime)
		}
	}
	if all == 0 {
		capacity = 1
	}
	return all, busy, capacity
}

// Ask processes an ask without details.
func (b *Broker) Ask(name string, a Ask, now time.Time) {
	b.AskInDetail(name, DetailedAsk{Ask: a}, now)
}

// AskInDetail processes an ask: it is granted at once, refused at once or queued.
func (b *Broker) AskInDetail(name string, d DetailedAsk, now time.Time) {
	a := d.Ask
	e := b.entries[name]
	if e == nil {
		return
	}
	p := b.pool(a.Service)
	if !a.Retry {
		p.firstAttempts.add(now)
	}
	if b.poisoned(a) {
		b.refuse(p, e, a.Seq, ReasonPoison, now)
		return
	}
	if a.Retry && !b.retryBudgetAllows(p, now) {
		b.refuse(p, e, a.Seq, ReasonRetryBudget, now)
		return
	}
	w := newPendingAsk(p, e, d, now)
	w.meter = b.meterOf(d)
	if !b.canBeSent(w, now) {
		b.refuse(p, e, a.Seq, ReasonNoRelay, now)
		return
	}
	if b.refuseForAccount(p, w, now) || b.refuseForBackoff(p, w, now) {
		return
	}
	if b.tryCanary(p, w, now) {
		return
	}
	if len(p.queue) == 0 && b.tryGrant(p, b.serversWithFreeSlot(p, now), w, now) {
		return
	}
	if reason, refused := b.cannotBeServed(p, w, now); refused {
		b.refuse(p, e, a.Seq, reason, now)
		return
	}
	p.enqueue(w)
	b.serveQueue(p.name, now)
}

// newPendingAsk calculates how long an ask may wait.
func newPendingAsk(p *pool, e *entry, d DetailedAsk, now time.Time) *pendingAsk {
	a := d.Ask
	w := &pendingAsk{ask: a, details: d.Details, entry: e, arrivedAt: now}
	objective := millis(a.ObjectiveMillis)
	w.missesObjective = objective < p.serviceTime
	wait := time.Duration(float64(objective) * objectiveWaitShare)
	if late := time.Duration(float64(millis(a.DeadlineMillis)) * deadlineWaitShare); wait < late {
		wait = late
	}
	w.waitUntil = now.Add(wait)
	return w
}

// enqueue inserts an ask behind those of higher or equal rank.
func (p *pool) enqueue(w *pendingAsk) {
	at := len(p.queue)
	for at > 0 && w.goesBefore(p.queue[at-1]) {
		at--
	}
	p.queue = slices.Insert(p.queue, at, w)
}

// goesBefore orders asks by priority and, within a priority, puts those first
// that can meet their objective. Asks of equal rank keep their order of
// arrival.
func (w *pendingAsk) goesBefore(other *pendingAsk) bool {
	if w.ask.Priority != other.ask.Priority {
		return w.ask.Priority < other.ask.Priority
	}
	return !w.missesObjective && other.missesObjective
}

// cannotBeServed reports whether an arriving ask can't be served in time,
// because the asks before it need longer than it may wait, and the reason for
// its refusal. Before ServersKnownFrom it reports so only if the queue is full:
// after a power loss, a new broker receives the records of its servers one after
// the other while the entries already forward all requests that they hold.
func (b *Broker) cannotBeServed(p *pool, w *pendingAsk, now time.Time) (Reason, bool) {
	if now.Before(b.options.ServersKnownFrom) {
		return ReasonOverload, len(p.queue) >= maxQueueLength
	}
	all, _, capacity := p.slotUsage(b, now)
	if all == 0 && !b.anyEligible(p, w, now) {
		return ReasonNoServer, true
	}
	ahead := 1
	for _, other := range p.queue {
		if !w.goesBefore(other) {
			ahead++
		}
	}
	return ReasonOverload, len(p.queue) >= maxQueueLength || p.expectedDelay(capacity, ahead) > w.waitUntil.Sub(now)
}

// expectedDelay is the expected time, at most maxExpectedDelay, until the given number
// of asks has been assigned to servers that can run the given number at a time.
func (p *pool) expectedDelay(capacity float64, ahead int) time.Duration {
	delay := p.serviceTime.Seconds() * float64(ahead) / capacity
	return time.Duration(min(delay, maxExpectedDelay.Seconds()) * float64(time.Second))
}

// retryBudgetAllows reports whether the service's retry budget allows one more
// retry.
func (b *Broker) retryBudgetAllows(p *pool, now time.Time) bool {
	o := b.options
	allowed := (o.RetryRatio*float64(p.firstAttempts.count(now, o.RetryWindow)) + float64(o.RetryExtra)) * retryBudgetShare
	return float64(p.grantedRetries.count(now, o.RetryWindow)+1) <= allowed
}

// serveQueue grants the waiting asks that can be served and refuses those that
// have waited too long.
func (b *Broker) serveQueue(service string, now time.Time) {
	p := b.pools[service]
	if p == nil || len(p.queue) == 0 {
		return
	}
	free := b.serversWithFreeSlot(p, now)
	usual := b.serversAtUsualPace(p, free, now)
	p.queue = slices.DeleteFunc(p.queue, func(w *pendingAsk) bool {
		candidates := usual
		if !now.Before(w.waitUntil) {
			candidates = free
		}
		if len(candidates) > 0 && b.tryGrant(p, candidates, w, now) {
			return true
		}
		if b.refuseForAccount(p, w, now) || b.refuseForBackoff(p, w, now) {
			return true
		}
		if now.Before(w.waitUntil) {
			return false
		}
		b.refuse(p, w.entry, w.ask.Seq, ReasonQueueTimeout, now)
		return true
	})
}

// offerServer grants a server whose state has changed to waiting asks, those of
// highest rank first. It considers no other server: with hundreds of servers
// that change several times a second, the broker has no time for more.
func (b *Broker) offerServer(s *Server, now time.Time) {
	p := b.pools[s.Record.Service]
	if p == nil || len(p.queue) == 0 || s.removed || !s.usable(now) {
		return
	}
	for {
		at := b.bestAskFor(p, s, now)
		if at < 0 {
			return
		}
		b.issueGrant(p, p.queue[at], s, now)
		p.queue = slices.Delete(p.queue, at, at+1)
	}
}

// bestAskFor returns the index of the ask that suits a server best, or -1. It
// considers only the first asks of equal rank that the server may run, and
// prefers an entry that is close to the server and has an idle connection to
// it. The time that an ask has waited reduces its cost, so that none is passed
// over for long.
func (b *Broker) bestAskFor(p *pool, s *Server, now time.Time) int {
	best, lowest := -1, time.Duration(0)
	for at, w := range p.queue {
		if best >= 0 && p.queue[best].goesBefore(w) {
			break
		}
		if !b.canRunNow(s, w, now) || b.shouldWait(p, s, w, now) {
			continue
		}
		cost := b.cost(p, s, w, now) - waitedTimeWeight*now.Sub(w.arrivedAt)
		if best < 0 || cost < lowest {
			best, lowest = at, cost
		}
	}
	return best
}

// refuse refuses an ask and sends the time at which a slot is expected to be free.
func (b *Broker) refuse(p *pool, e *entry, seq uint64, reason Reason, now time.Time) {
	all, _, capacity := p.slotUsage(b, now)
	wait := p.expectedDelay(capacity, len(p.queue)+1)
	if all == 0 {
		wait = p.serviceTime
	}
	b.refuseFor(p, e, seq, reason, wait, now)
}

// refuseFor refuses an ask and sends the time after which it may be repeated. That time has
// a random part, so that the callers don't return all at once.
func (b *Broker) refuseFor(p *pool, e *entry, seq uint64, reason Reason, wait time.Duration, now time.Time) {
	all, busy, _ := p.slotUsage(b, now)
	wait += time.Duration(b.options.Random.Float64() * float64(p.serviceTime))
	b.outputs = append(b.outputs, Output{Entry: e.name, Refusal: &Refusal{
		Seq: seq, RetryMillis: int(wait.Milliseconds()), Reason: reason,
		Waiting: len(p.queue), Busy: busy, Slots: all,
	}})
}

// Cancel withdraws an ask, or releases its grant.
func (b *Broker) Cancel(name string, seq uint64, now time.Time) {
	e := b.entries[name]
	if e == nil {
		return
	}
	for _, p := range b.pools {
		p.queue = slices.DeleteFunc(p.queue, func(w *pendingAsk) bool { return w.entry == e && w.ask.Seq == seq })
	}
	if id, granted := e.grantIDs[seq]; granted {
		b.Release(name, Release{ID: id, Outcome: Unused}, now)
	}
}
