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
	// waitedTimeWeight weighs the time that an ask has waited against the cost of
	// a server.
	waitedTimeWeight = 2
	// adoptedGrantLifetime bounds how long a grant of another broker stays in use.
	adoptedGrantLifetime = 5 * time.Second
	// disconnectedGrantLifetime is how long the grants of a disconnected entry
	// stay in use: within that time it reconnects, or its requests have ended with
	// it.
	disconnectedGrantLifetime = 1500 * time.Millisecond
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
	// shares, served and returns decide which ask goes first.
	shares  fairShares
	served  servedCounts
	returns returns
	// lastReturn is the latest time that a refused caller was given as its retry time.
	lastReturn time.Time
	drain      drain
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
	// firstAt is when the caller's first attempt arrived, as far as the broker knows, and
	// objectiveAt when its response must arrive to meet the objective.
	firstAt, objectiveAt time.Time
	// returning says that the request was refused and has come back at its retry time, and
	// starved that those of its priority are served too rarely.
	returning, starved bool
	// aheadBy is the rule by which the ask went before another one when it arrived; empty for
	// none.
	aheadBy OrderRule
	// retryAt is the retry time of the caller, if it has come back
	// earlier; zero otherwise.
	retryAt time.Time
	// startTag and weight are the ask's place in the fair shares and its account's weight there,
	// and charged says that the account has been charged for it.
	startTag, weight float64
	charged          bool
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
	p.dropAsks(func(w *pendingAsk) bool { return w.entry == e })
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
	w := b.newPendingAsk(p, e, d, now)
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
	if b.refuseEarlyReturn(p, w, now) {
		return
	}
	if reason, refused := b.cannotBeServed(p, w, now); refused {
		b.refuseAsk(p, w, reason, now)
		return
	}
	at := p.enqueue(w)
	b.refuseDisplaced(p, at+1, now)
	b.serveQueue(p.name, now)
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
			p.discard(w)
			return true
		}
		if now.Before(w.waitUntil) {
			return false
		}
		b.refuseAsk(p, w, ReasonQueueTimeout, now)
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
		if best >= 0 && p.queue[best].outranks(w) {
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

// Cancel withdraws an ask, or releases its grant.
func (b *Broker) Cancel(name string, seq uint64, now time.Time) {
	e := b.entries[name]
	if e == nil {
		return
	}
	for _, p := range b.pools {
		p.dropAsks(func(w *pendingAsk) bool { return w.entry == e && w.ask.Seq == seq })
	}
	if id, granted := e.grantIDs[seq]; granted {
		b.Release(name, Release{ID: id, Outcome: Unused}, now)
	}
}
