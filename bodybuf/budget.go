package bodybuf

import "sync"

// Budget limits the memory of all bodies that are held, in bytes. It is safe for
// concurrent use.
type Budget struct {
	mu          sync.Mutex
	total, free int64
}

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
