package limit

import "sync"

// The retry budget: retries may be at most a tenth of the requests, plus a small
// reserve for times with few requests.
const (
	// retryRatio is the number of retries that one request adds to the budget.
	retryRatio = 0.1
	// retryBurst is the maximum number of retries in the budget.
	retryBurst = 10.0
)

// RetryBudget bounds the retries to a fraction of the requests. It is safe for
// concurrent use. The zero value is an empty budget; use [NewRetryBudget].
type RetryBudget struct {
	mu     sync.Mutex
	tokens float64
}

// NewRetryBudget returns a budget that starts with its maximum of retries.
func NewRetryBudget() *RetryBudget { return &RetryBudget{tokens: retryBurst} }

// RecordRequest adds the fraction of a retry that one request allows.
func (b *RetryBudget) RecordRequest() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.tokens = min(b.tokens+retryRatio, retryBurst)
}

// TryRetry takes one retry from the budget and reports whether it may be sent.
func (b *RetryBudget) TryRetry() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}
