package limit

import (
	"slices"
	"time"
)

// newestFirstWait is the waiting time beyond which a client account that fills its
// share of the queue is served newest request first. Its oldest requests are then
// the most likely to miss their deadlines.
const newestFirstWait = 50 * time.Millisecond

// Waiter is a request that waits for a backend server.
type Waiter[T any] struct {
	// ClientAccount is the client account whose share the request uses.
	ClientAccount string
	// ArrivedAt is when the request arrived at the queue.
	ArrivedAt time.Time
	// Deadline is when the caller stops waiting.
	Deadline time.Time
	// Value is data of the user of the queue.
	Value T
}

// Queue is a bounded queue of waiting requests. It serves client accounts
// round-robin and drops requests past their deadline. Under overload it serves the
// newest request first to accounts that fill their share. It is not safe for
// concurrent use.
type Queue[T any] struct {
	capacity int
	size     int
	turns    []*backlog[T]
	accounts map[string]*backlog[T]
}

// backlog holds the waiting requests of one client account, oldest first.
type backlog[T any] struct {
	account string
	waiters []*Waiter[T]
}

// NewQueue returns an empty queue for at most capacity requests.
func NewQueue[T any](capacity int) *Queue[T] {
	return &Queue[T]{capacity: capacity, accounts: map[string]*backlog[T]{}}
}

// Len returns the number of waiting requests.
func (q *Queue[T]) Len() int { return q.size }

// Push adds a request. If the queue was full, it removes and returns the request to
// shed: the oldest of the account with the most waiting requests.
func (q *Queue[T]) Push(w *Waiter[T]) (shed *Waiter[T]) {
	b, ok := q.accounts[w.ClientAccount]
	if !ok {
		b = &backlog[T]{account: w.ClientAccount}
		q.accounts[w.ClientAccount] = b
		q.turns = append(q.turns, b)
	}
	b.waiters = append(b.waiters, w)
	q.size++
	if q.size <= q.capacity {
		return nil
	}
	longest := slices.MaxFunc(q.turns, func(a, b *backlog[T]) int { return len(a.waiters) - len(b.waiters) })
	shed = longest.waiters[0]
	q.Remove(shed)
	return shed
}

// Peek returns the next request without removing it, or nil if the queue is empty.
// It removes and returns the requests that it finds past their deadline.
func (q *Queue[T]) Peek(now time.Time) (next *Waiter[T], expired []*Waiter[T]) {
	for q.size > 0 {
		waiters := q.turns[0].waiters
		w := waiters[0]
		beyondShare := len(waiters)*len(q.turns) >= q.size
		if beyondShare && now.Sub(w.ArrivedAt) > newestFirstWait {
			w = waiters[len(waiters)-1]
		}
		if now.Before(w.Deadline) {
			return w, expired
		}
		q.Remove(w)
		expired = append(expired, w)
	}
	return nil, expired
}

// Take removes a request that is to be served and moves its account to the end of
// the round-robin order.
func (q *Queue[T]) Take(w *Waiter[T]) {
	b := q.accounts[w.ClientAccount]
	if !q.Remove(w) || len(b.waiters) == 0 {
		return
	}
	q.turns = slices.DeleteFunc(q.turns, func(t *backlog[T]) bool { return t == b })
	q.turns = append(q.turns, b)
}

// Remove removes a request and reports whether it was in the queue.
func (q *Queue[T]) Remove(w *Waiter[T]) bool {
	b, ok := q.accounts[w.ClientAccount]
	if !ok {
		return false
	}
	position := slices.Index(b.waiters, w)
	if position < 0 {
		return false
	}
	b.waiters = slices.Delete(b.waiters, position, position+1)
	q.size--
	if len(b.waiters) == 0 {
		delete(q.accounts, w.ClientAccount)
		q.turns = slices.DeleteFunc(q.turns, func(t *backlog[T]) bool { return t == b })
	}
	return true
}
