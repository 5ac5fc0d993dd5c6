package limit

import (
	"testing"
	"time"
)

func TestQueueIsFairBoundedAndDropsExpired(t *testing.T) {
	now := time.Unix(100, 0)
	q := NewQueue[int](10)
	push := func(account string, n int, wait time.Duration) *Waiter[int] {
		return q.Push(&Waiter[int]{ClientAccount: account, ArrivedAt: now, Deadline: now.Add(wait), Value: n})
	}
	for i := range 9 {
		push("greedy", i, time.Minute)
	}
	push("modest", 100, time.Minute)
	if shed := push("modest", 101, time.Minute); shed == nil || shed.ClientAccount != "greedy" || shed.Value != 0 {
		t.Fatalf("shed %+v, want the greedy account's oldest request", shed)
	}
	var order []int
	for range 4 {
		w, expired := q.Peek(now)
		if len(expired) != 0 {
			t.Fatalf("expired too early: %+v", expired)
		}
		order = append(order, w.Value)
		q.Take(w)
	}
	if want := [4]int{1, 100, 2, 101}; [4]int(order) != want {
		t.Fatalf("served %v, want %v", order, want)
	}
	if w, _ := q.Peek(now.Add(newestFirstWait + 1)); w.Value != 8 {
		t.Fatalf("under overload served %d, want the newest", w.Value)
	}
	w, expired := q.Peek(now.Add(time.Minute))
	if w != nil || len(expired) != 6 || q.Len() != 0 {
		t.Fatalf("past all deadlines: next %v, %d expired, %d left", w, len(expired), q.Len())
	}
}

func TestConcurrencyStaysWithinBounds(t *testing.T) {
	c := NewConcurrency(2)
	maxLimit := c.Limit()
	for range 20 {
		c.Refused()
	}
	if c.Limit() != 1 {
		t.Fatalf("limit %d after refusals, want 1", c.Limit())
	}
	for range 100 {
		c.Succeeded(c.Limit() - 1)
	}
	if c.Limit() != 1 {
		t.Fatal("answers below the limit raise it")
	}
	for range 100 {
		c.Succeeded(c.Limit())
	}
	if c.Limit() != maxLimit {
		t.Fatalf("limit %d after good answers, want %d", c.Limit(), maxLimit)
	}
}
