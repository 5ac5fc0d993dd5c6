package broker

import (
	"slices"
	"time"
)

// Admission decides whether an ask may wait, for the load in which a service has fewer slots than
// requests: a request that can't run in time is refused at once, so that its caller can come back
// or go elsewhere, and with the time at which a slot is expected for it.

// The bounds of waiting.
const (
	// objectiveWaitShare is the part of the remaining latency objective that a
	// request may wait: a longer wait makes all requests of an overload late.
	objectiveWaitShare = 0.25
	// deadlineWaitShare is the part of the remaining deadline that any request may
	// wait, also one that can no longer meet its objective.
	deadlineWaitShare = 0.05
	// maxQueueLength bounds the asks that wait for one service.
	maxQueueLength = 4096
	// maxExpectedDelay bounds the expected time until an ask is assigned; servers with a
	// request limit of zero would make it infinite.
	maxExpectedDelay = 10 * time.Second
	// returnDeadlineShare is the part of a caller's remaining time that it waits before it comes
	// back. A slot that is free later is not kept for it.
	returnDeadlineShare = 1.0 / 3
)

// newPendingAsk calculates how long an ask may wait and what decides on its place. A request that
// has come back has what its first attempt left of the objective.
func (b *Broker) newPendingAsk(p *pool, e *entry, d DetailedAsk, now time.Time) *pendingAsk {
	a := d.Ask
	w := &pendingAsk{ask: a, details: d.Details, entry: e, arrivedAt: now, firstAt: now, weight: b.accountWeight(d.Details.ClientAccount)}
	objective := millis(a.ObjectiveMillis)
	w.startTag = p.shares.tag(d.Details.ClientAccount)
	if x := p.returns.take(w, now); x != nil {
		w.firstAt, objective = x.firstAt, min(objective, x.objective.Sub(now))
		w.returning = !now.Add(returnTolerance).Before(x.retryAt)
		if w.returning {
			w.startTag = min(w.startTag, x.startTag)
		} else {
			w.retryAt = x.retryAt
		}
	}
	w.objectiveAt = now.Add(objective)
	w.missesObjective = objective < p.serviceTime
	wait := time.Duration(float64(objective) * objectiveWaitShare)
	if late := time.Duration(float64(millis(a.DeadlineMillis)) * deadlineWaitShare); wait < late {
		wait = late
	}
	w.waitUntil = now.Add(wait)
	w.starved = p.served.starved(a.Priority)
	return w
}

// slotUsage returns the number of slots of the usable servers that are not cold
// and whose zone is in service, how many of these slots are in use, and how many
// requests these servers can run at a time.
func (p *pool) slotUsage(b *Broker, now time.Time) (all, busy int, capacity float64) {
	return p.slotUsageIn(b, nil, now)
}

// slotUsageIn is slotUsage of the servers in a request's home regions; of all if there are none.
func (p *pool) slotUsageIn(b *Broker, homes []string, now time.Time) (all, busy int, capacity float64) {
	for _, s := range p.servers {
		if len(homes) > 0 && !slices.Contains(homes, s.Region) {
			continue
		}
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

// cannotBeServed reports whether an arriving ask can't be served in time,
// because the asks before it need longer than it may wait, and the reason for
// its refusal. Before ServersKnownFrom it reports so only if the queue is full:
// after a power loss, a new broker receives the records of its servers one after
// the other while the entries already forward all requests that they hold.
func (b *Broker) cannotBeServed(p *pool, w *pendingAsk, now time.Time) (Reason, bool) {
	if now.Before(b.options.ServersKnownFrom) {
		return ReasonOverload, len(p.queue) >= maxQueueLength
	}
	all, _, capacity := p.slotUsageIn(b, w.ask.HomeRegions, now)
	if all == 0 && !b.anyEligible(p, w, now) {
		return ReasonNoServer, true
	}
	ahead := b.asksAhead(p, w, p.queue, capacity, now)
	return ReasonOverload, len(p.queue) >= maxQueueLength || p.expectedDelay(capacity, ahead+1) > w.waitUntil.Sub(now)
}

// asksAhead returns how many of the waiting asks go before an ask and take their slots from its
// servers, which can run capacity requests at a time. Those with other home regions take none, and
// those that may go anywhere a part in proportion.
func (b *Broker) asksAhead(p *pool, w *pendingAsk, waiting []*pendingAsk, capacity float64, now time.Time) float64 {
	homes, part := w.ask.HomeRegions, 1.0
	if len(homes) > 0 {
		_, _, all := p.slotUsage(b, now)
		part = min(capacity/all, 1)
	}
	ahead := 0.0
	for _, other := range waiting {
		others := other.ask.HomeRegions
		switch {
		case w.goesBefore(other):
		case len(homes) == 0 || slices.Equal(homes, others):
			ahead++
		case len(others) == 0:
			ahead += part
		case slices.ContainsFunc(others, func(region string) bool { return slices.Contains(homes, region) }):
			ahead++
		}
	}
	return ahead
}

// expectedDelay is the expected time, at most maxExpectedDelay, until the given number
// of asks has been assigned to servers that can run the given number at a time.
func (p *pool) expectedDelay(capacity, ahead float64) time.Duration {
	delay := p.serviceTime.Seconds() * ahead / (capacity * p.drain.factor())
	return time.Duration(min(delay, maxExpectedDelay.Seconds()) * float64(time.Second))
}

// refuseEarlyReturn refuses a request that has come back before its retry time, if no server
// is free for it now, with the same time, and reports whether it did. Otherwise a caller that
// repeats its request at once and often would draw a place in the queue each time.
func (b *Broker) refuseEarlyReturn(p *pool, w *pendingAsk, now time.Time) bool {
	wait := w.retryAt.Sub(now)
	if w.retryAt.IsZero() {
		return false
	}
	p.returns.remember(w, wait, now)
	b.sendRefusal(p, w.entry, w.ask.Seq, ReasonEarlyReturn, wait, now)
	return true
}

// refuseDisplaced refuses the asks at the end of the queue, from the given position on, that can
// no longer be served in time because an ask has gone before them:
// they would otherwise be refused only once they have waited.
func (b *Broker) refuseDisplaced(p *pool, from int, now time.Time) {
	if now.Before(b.options.ServersKnownFrom) {
		return
	}
	for last := len(p.queue) - 1; last >= from; last-- {
		w := p.queue[last]
		_, _, capacity := p.slotUsageIn(b, w.ask.HomeRegions, now)
		ahead := b.asksAhead(p, w, p.queue[:last], capacity, now)
		if p.expectedDelay(capacity, ahead+1) <= w.waitUntil.Sub(now) {
			return
		}
		p.queue = p.queue[:last]
		b.refuseAsk(p, w, ReasonDisplaced, now)
	}
}

// dropAsks removes the waiting asks for which drop returns true.
func (p *pool) dropAsks(drop func(*pendingAsk) bool) {
	p.queue = slices.DeleteFunc(p.queue, func(w *pendingAsk) bool {
		if !drop(w) {
			return false
		}
		p.discard(w)
		return true
	})
}

// refuseAsk refuses an ask that waits or would have to wait. Its caller is given the time at which a slot is
// expected to be free for it: behind the asks that wait now and the callers that were refused before.
func (b *Broker) refuseAsk(p *pool, w *pendingAsk, reason Reason, now time.Time) {
	p.discard(w)
	p.served.record(w.ask.Priority, false)
	all, _, capacity := p.slotUsageIn(b, w.ask.HomeRegions, now)
	if all == 0 {
		b.refuse(p, w.entry, w.ask.Seq, reason, now)
		return
	}
	wait := p.expectedDelay(capacity, float64(len(p.queue)+1))
	if next := p.lastReturn.Sub(now) + p.expectedDelay(capacity, 1); next > wait {
		wait = next
	}
	if wait <= time.Duration(returnDeadlineShare*float64(millis(w.ask.DeadlineMillis))) {
		p.lastReturn = now.Add(wait)
	}
	p.returns.remember(w, wait, now)
	b.sendRefusal(p, w.entry, w.ask.Seq, reason, wait, now)
}

// refuse refuses an ask that no slot would help, and sends the time at which a slot is expected to
// be free.
func (b *Broker) refuse(p *pool, e *entry, seq uint64, reason Reason, now time.Time) {
	all, _, capacity := p.slotUsage(b, now)
	wait := p.expectedDelay(capacity, float64(len(p.queue)+1))
	if all == 0 {
		wait = p.serviceTime
	}
	b.refuseFor(p, e, seq, reason, wait, now)
}

// refuseFor refuses an ask and sends the time after which it may be repeated. That time has
// a random part, so that the callers don't return all at once.
func (b *Broker) refuseFor(p *pool, e *entry, seq uint64, reason Reason, wait time.Duration, now time.Time) {
	wait += time.Duration(b.options.Random.Float64() * float64(p.serviceTime))
	b.sendRefusal(p, e, seq, reason, wait, now)
}

// sendRefusal sends a refusal.
func (b *Broker) sendRefusal(p *pool, e *entry, seq uint64, reason Reason, wait time.Duration, now time.Time) {
	all, busy, _ := p.slotUsage(b, now)
	b.outputs = append(b.outputs, Output{Entry: e.name, Refusal: &Refusal{
		Seq: seq, RetryMillis: int(wait.Milliseconds()), Reason: reason,
		Waiting: len(p.queue), Busy: busy, Slots: all,
	}})
}
