package bodybuf

import (
	"sync"
	"time"
)

// Budget limits the memory of all bodies that are held, in bytes. It is safe for
// concurrent use.
type Budget struct {
	// Reclaim, if set, is called when the budget is exhausted. It asks the holders of at least
	// the given number of bytes to release them soon, and reports whether any will. It must be
	// set before the first use.
	Reclaim func(bytes int64) bool

	mu          sync.Mutex
	total, free int64
}

// A reclaimed holder releases its memory once its goroutine has run. reclaimPolls and
// reclaimPoll bound the wait for that.
const (
	reclaimPolls = 20
	reclaimPoll  = 5 * time.Millisecond
)

// NewBudget returns a budget of the given number of bytes.
func NewBudget(total int64) *Budget { return &Budget{total: total, free: total} }

// Total returns the size of the budget, in bytes.
func (b *Budget) Total() int64 { return b.total }

// Free returns the number of bytes that no body uses.
func (b *Budget) Free() int64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.free
}

// Take takes n bytes if at least leave bytes remain free then, also after others have
// released some. It reports whether it took them. The caller returns them with [Budget.Release].
func (b *Budget) Take(n, leave int64) bool {
	if b.reserve(n, leave) {
		return true
	}
	if b.Reclaim == nil || n+leave > b.total || !b.Reclaim(n) {
		return false
	}
	for range reclaimPolls {
		time.Sleep(reclaimPoll)
		if b.reserve(n, leave) {
			return true
		}
	}
	return false
}

// TryTake takes n bytes if at least leave bytes remain free then, and asks no other holder to release any. It reports
// whether it took them.
func (b *Budget) TryTake(n, leave int64) bool { return b.reserve(n, leave) }

// Release returns bytes that were taken.
func (b *Budget) Release(n int64) { b.release(n) }

// reserve takes n bytes if at least leave bytes remain free then. It reports
// whether it took them.
func (b *Budget) reserve(n, leave int64) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.free-n < leave {
		return false
	}
	b.free -= n
	return true
}

// release returns n bytes to the budget.
func (b *Budget) release(n int64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.free += n
}
