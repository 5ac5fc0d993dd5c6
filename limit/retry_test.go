package limit

import "testing"

func TestRetriesStayWithinBudget(t *testing.T) {
	b := NewRetryBudget()
	const requests = 1000
	retries := 0
	for range requests {
		b.RecordRequest()
		for b.TryRetry() {
			retries++
		}
	}
	if maxRetries := int(retryBurst) + requests/10; retries > maxRetries {
		t.Fatalf("%d retries for %d requests, at most %d are allowed", retries, requests, maxRetries)
	}
}
