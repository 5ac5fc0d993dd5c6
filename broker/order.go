package broker

import (
	"math"
	"slices"
	"time"
)

// The order of the asks that wait for a service.
const (
	// leastServedShare is the share of a priority's requests that are served, relative to that
	// of all requests of the service, below which its asks go before more urgent ones: while the
	// urgent ones alone exceed the slots, callers of the others would get nothing at all.
	leastServedShare = 0.5
	// servedHalfLife is the time in which the counts behind leastServedShare fall by half: callers
	// wait and return for a few seconds.
	servedHalfLife = 3 * time.Second
	// minDecisions is the number of decisions on asks of a priority below which its share says
	// nothing.
	minDecisions = 10
	// maxPriorities bounds the priorities whose shares are counted. Asks of further ones are never
	// starved.
	maxPriorities = 256
)

// decisions counts the asks that were granted, and all that were granted or refused.
type decisions struct{ granted, all float64 }

// servedCounts counts the decisions on asks by priority. Counts lose weight with time.
type servedCounts struct {
	byPriority map[int]*decisions
	total      decisions
	at         time.Time
}

// record counts a decision on an ask.
func (c *servedCounts) record(priority int, granted bool) {
	d := c.byPriority[priority]
	if d == nil {
		if len(c.byPriority) >= maxPriorities {
			return
		}
		if c.byPriority == nil {
			c.byPriority = map[int]*decisions{}
		}
		d = &decisions{}
		c.byPriority[priority] = d
	}
	d.all++
	c.total.all++
	if granted {
		d.granted++
		c.total.granted++
	}
}

// fade reduces the counts by the time that has passed.
func (c *servedCounts) fade(now time.Time) {
	factor := math.Exp2(-now.Sub(c.at).Seconds() / servedHalfLife.Seconds())
	c.at = now
	c.total = decisions{c.total.granted * factor, c.total.all * factor}
	for priority, d := range c.byPriority {
		d.granted, d.all = d.granted*factor, d.all*factor
		if d.all < 1 {
			delete(c.byPriority, priority)
		}
	}
}

// starved reports whether the asks of a priority are served less than leastServedShare times as
// often as all.
func (c *servedCounts) starved(priority int) bool {
	d := c.byPriority[priority]
	return d != nil && d.all >= minDecisions && d.granted*c.total.all < leastServedShare*c.total.granted*d.all
}

// OrderRule is the rule by which an ask goes before another one.
type OrderRule string

// The rules, in the order in which they decide.
const (
	// ByArrival: both have equal rank, and the earlier goes first.
	ByArrival OrderRule = "arrival"
	// ByLeastShare: its priority is served too rarely.
	ByLeastShare OrderRule = "least_share"
	// ByPriority: it is more urgent.
	ByPriority OrderRule = "priority"
	// ByObjective: it can still meet its objective.
	ByObjective OrderRule = "objective"
	// ByAccountShare: its client account has had less of its share.
	ByAccountShare OrderRule = "account_share"
	// ByReturn: its caller has come back at its retry time.
	ByReturn OrderRule = "return"
)

// compare returns whether an ask goes before another one, and the rule that decides: asks of a starved
// priority first, then by priority, then those that can meet their objective, then by the fair
// share of their client accounts, then those of callers that have come back at their retry times.
func (w *pendingAsk) compare(other *pendingAsk) (before bool, by OrderRule) {
	switch {
	case w.starved != other.starved:
		return w.starved, ByLeastShare
	case w.ask.Priority != other.ask.Priority:
		return w.ask.Priority < other.ask.Priority, ByPriority
	case w.missesObjective != other.missesObjective:
		return !w.missesObjective, ByObjective
	case w.startTag != other.startTag:
		return w.startTag < other.startTag, ByAccountShare
	case w.returning != other.returning:
		return w.returning, ByReturn
	default:
		return false, ByArrival
	}
}

// goesBefore reports whether an ask goes before one that arrived earlier.
func (w *pendingAsk) goesBefore(other *pendingAsk) bool {
	before, _ := w.compare(other)
	return before
}

// outranks is goesBefore without differences of less than one request between client accounts, and
// without regard to returns: a server goes to the ask of equal rank that it suits best.
func (w *pendingAsk) outranks(other *pendingAsk) bool {
	before, by := w.compare(other)
	switch by {
	case ByLeastShare, ByPriority, ByObjective:
		return before
	default:
		return w.startTag+1 <= other.startTag
	}
}

// enqueue inserts an ask behind those of higher or equal rank and returns its position.
func (p *pool) enqueue(w *pendingAsk) int {
	at := len(p.queue)
	for at > 0 && w.goesBefore(p.queue[at-1]) {
		at--
	}
	if at < len(p.queue) {
		_, w.aheadBy = w.compare(p.queue[at])
	}
	p.queue = slices.Insert(p.queue, at, w)
	p.shares.charge(w.details.ClientAccount, w.startTag, w.weight)
	w.charged = true
	return at
}

// discard gives back what a waiting ask was charged, as it leaves the queue without a grant.
func (p *pool) discard(w *pendingAsk) {
	if w.charged {
		p.shares.giveBack(w.details.ClientAccount, w.weight)
		w.charged = false
	}
}
