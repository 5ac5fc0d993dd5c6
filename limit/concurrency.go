package limit

import "sync/atomic"

// The limits of a backend server, as multiples of its slots. Two waiting
// requests for each slot hide the delay of the counts that entries exchange.
const (
	maxPerSlot = 3
	// milli is the unit of the stored limit.
	milli = 1000
	// shrinkMilli multiplies the limit after a refusal.
	shrinkMilli = 700
)

// Concurrency is the limit of requests in progress on one backend server, over
// all entries together. It grows with answers that came at the limit and
// shrinks with refusals, and never exceeds what the slots bear. It takes no
// lock.
type Concurrency struct {
	slots int64
	limit atomic.Int64
}

// NewConcurrency returns the highest limit of a backend server with the slots.
func NewConcurrency(slots int) *Concurrency {
	c := &Concurrency{slots: int64(slots)}
	c.limit.Store(c.most())
	return c
}

// most returns the upper bound, in thousandths of a request.
func (c *Concurrency) most() int64 { return c.slots * maxPerSlot * milli }

// Max returns the highest limit in requests.
func (c *Concurrency) Max() int64 { return c.slots * maxPerSlot }

// Limit returns the limit in requests, at least 1.
func (c *Concurrency) Limit() int64 { return c.limit.Load() / milli }

// Answered notes a good answer while inFlight requests were in progress.
func (c *Concurrency) Answered(inFlight int64) {
	held := c.limit.Load()
	if held >= c.most() || inFlight < held/milli {
		return
	}
	grown := min(held+milli*milli/held, c.most())
	c.limit.CompareAndSwap(held, grown)
}

// Refused notes that the backend server had no room for a request.
func (c *Concurrency) Refused() {
	held := c.limit.Load()
	c.limit.CompareAndSwap(held, max(held*shrinkMilli/milli, milli))
}
