package limit

import (
	"sync"
	"time"
)

// Budget bounds what an entry spends, in units for each second, with a burst of
// one second's budget at most. The budgets of several entries that are parts of
// one sum keep the sum.
type Budget struct {
	perSecond float64

	mu     sync.Mutex
	tokens float64
	last   time.Time
	used   uint64
	denied uint64
}

// NewBudget returns a budget that is one of equal parts of perSecond units, and
// is empty now.
func NewBudget(perSecond float64, parts int, now time.Time) *Budget {
	return &Budget{perSecond: perSecond / float64(max(parts, 1)), last: now}
}

// Spend takes units from the budget and reports whether it had them. Units that
// it had not are not taken.
func (b *Budget) Spend(units int, now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if passed := now.Sub(b.last); passed > 0 {
		b.tokens = min(b.tokens+passed.Seconds()*b.perSecond, b.perSecond)
		b.last = now
	}
	if b.tokens < float64(units) {
		b.denied++
		return false
	}
	b.tokens -= float64(units)
	b.used += uint64(units)
	return true
}

// Used returns the units spent so far and how often spending was denied.
func (b *Budget) Used() (units, denied uint64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.used, b.denied
}

// PerSecond returns the units that this part may spend in a second.
func (b *Budget) PerSecond() float64 { return b.perSecond }
