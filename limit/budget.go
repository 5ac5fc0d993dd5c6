package limit

import (
	"sync"
	"time"
)

// Budget is a token bucket that bounds what an entry spends, in units per second,
// with a burst of at most one second's budget. Several entries whose budgets are
// equal parts of a total never exceed the total. It is safe for concurrent use.
type Budget struct {
	perSecond float64

	mu         sync.Mutex
	tokens     float64
	lastRefill time.Time
	spent      uint64
	denied     uint64
}

// NewBudget returns a budget that is one of the given number of equal parts of
// perSecond units per second, and is empty now.
func NewBudget(perSecond float64, parts int, now time.Time) *Budget {
	return &Budget{perSecond: perSecond / float64(max(parts, 1)), lastRefill: now}
}

// Spend takes units from the budget. If there are fewer units left, it takes none
// and returns false.
func (b *Budget) Spend(units int, now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if elapsed := now.Sub(b.lastRefill); elapsed > 0 {
		b.tokens = min(b.tokens+elapsed.Seconds()*b.perSecond, b.perSecond)
		b.lastRefill = now
	}
	if b.tokens < float64(units) {
		b.denied++
		return false
	}
	b.tokens -= float64(units)
	b.spent += uint64(units)
	return true
}

// Used returns the number of units spent and the number of denied calls of Spend.
func (b *Budget) Used() (units, denied uint64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.spent, b.denied
}

// PerSecond returns the rate of this part, in units per second.
func (b *Budget) PerSecond() float64 { return b.perSecond }
