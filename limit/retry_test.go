package limit

import "testing"

func TestRetriesStayWithinTheirShare(t *testing.T) {
	b := NewRetryBudget()
	const requests = 1000
	retries := 0
	for range requests {
		b.RecordRequest()
		for b.TryRetry() {
			retries++
		}
	}
	if most := int(retryReserve) + requests/10; retries > most {
		t.Fatalf("%d retries for %d requests, at most %d are allowed", retries, requests, most)
	}
}
