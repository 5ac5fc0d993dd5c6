package limit

import "sync"

// The retry budget: retries may be at most a tenth of requests, with a small
// reserve for quiet times.
const (
	retryRatio   = 0.1
	retryReserve = 10.0
)

// RetryBudget bounds retries to a share of requests. The zero value is empty;
// use [NewRetryBudget].
type RetryBudget struct {
	mu     sync.Mutex
	tokens float64
}

// NewRetryBudget returns a budget that starts with its full reserve.
func NewRetryBudget() *RetryBudget { return &RetryBudget{tokens: retryReserve} }

// RecordRequest earns a share of a retry.
func (b *RetryBudget) RecordRequest() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.tokens = min(b.tokens+retryRatio, retryReserve)
}

// TryRetry reports whether a retry may be sent and takes it from the budget.
func (b *RetryBudget) TryRetry() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}
