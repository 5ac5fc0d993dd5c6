package limit

import "sync/atomic"

// The parameters of the limit of a backend server.
const (
	// maxRequestsPerSlot bounds the limit, in requests for each slot of the server.
	// Two waiting requests per slot hide the delay of the counts that entries
	// exchange.
	maxRequestsPerSlot = 3
	// unitsPerRequest is the unit of the stored limit: thousandths of a request.
	unitsPerRequest = 1000
	// shrinkPerMille is the part of the limit, in thousandths, that remains
	// after a refusal.
	shrinkPerMille = 700
)

// Concurrency is an adaptive limit of the requests in progress on one backend
// server, summed over all entries. It grows with successful answers at the limit,
// shrinks with refusals, and never exceeds a multiple of the server's slots. It is
// lock-free and safe for concurrent use.
type Concurrency struct {
	slots int64
	limit atomic.Int64
}

// NewConcurrency returns a limit that starts at its maximum for a backend server
// with the given number of slots.
func NewConcurrency(slots int) *Concurrency {
	c := &Concurrency{slots: int64(slots)}
	c.limit.Store(c.maxUnits())
	return c
}

// maxUnits returns the upper bound of the limit, in thousandths of a request.
func (c *Concurrency) maxUnits() int64 { return c.slots * maxRequestsPerSlot * unitsPerRequest }

// Max returns the upper bound of the limit, in requests.
func (c *Concurrency) Max() int64 { return c.slots * maxRequestsPerSlot }

// Limit returns the current limit in requests, which is at least 1.
func (c *Concurrency) Limit() int64 { return c.limit.Load() / unitsPerRequest }

// Succeeded raises the limit after a successful answer if inFlight, the number of
// requests in progress, had reached it.
func (c *Concurrency) Succeeded(inFlight int64) {
	current := c.limit.Load()
	if current >= c.maxUnits() || inFlight < current/unitsPerRequest {
		return
	}
	grown := min(current+unitsPerRequest*unitsPerRequest/current, c.maxUnits())
	c.limit.CompareAndSwap(current, grown)
}

// Refused lowers the limit after the backend server refused a request for lack of
// capacity.
func (c *Concurrency) Refused() {
	current := c.limit.Load()
	c.limit.CompareAndSwap(current, max(current*shrinkPerMille/unitsPerRequest, unitsPerRequest))
}
