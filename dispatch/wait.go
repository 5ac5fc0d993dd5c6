package dispatch

import (
	"context"
	"net/http"
	"time"

	"tanagerbarrow/balance"
	"tanagerbarrow/limit"
	"tanagerbarrow/request"
	"tanagerbarrow/verdict"
)

// The limits of waiting for a backend server.
const (
	// queueCapacity is the maximum number of waiting requests of one service.
	queueCapacity = 256
	// maxQueueWait is the longest wait of one request.
	maxQueueWait = 2 * time.Second
)

// queuedRequest is a request in a queue.
type queuedRequest struct {
	request  *request.Request
	excluded Exclusions
	result   chan waitResult // capacity 1
}

// waitResult is the result of a wait: a reserved backend server or an error.
type waitResult struct {
	started balance.StartedRequest
	err     error
}

// Waiting returns the number of requests that wait for any service.
func (b *Balancer) Waiting() int64 { return b.waiting.Load() }

// waitingFor returns the number of requests that wait for the service.
func (b *Balancer) waitingFor(service string) int {
	if b.waiting.Load() == 0 {
		return 0
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if q, ok := b.queues[service]; ok {
		return q.Len()
	}
	return 0
}

// wait queues the request until a backend server has room for it.
func (b *Balancer) wait(ctx context.Context, r *request.Request, x Exclusions) (balance.StartedRequest, error) {
	now := time.Now()
	t := &queuedRequest{request: r, excluded: x, result: make(chan waitResult, 1)}
	w := &limit.Waiter[*queuedRequest]{ClientAccount: r.ClientAccount, ArrivedAt: now, Deadline: earlierTime(r.Deadline, now.Add(maxQueueWait)), Value: t}
	b.push(r.Service.Name, w)
	b.wake(r.Service.Name)
	select {
	case g := <-t.result:
		return g.started, g.err
	case <-ctx.Done():
	}
	if b.remove(r.Service.Name, w) {
		return balance.StartedRequest{}, queueTimeoutError(r)
	}
	g := <-t.result
	if g.err == nil {
		b.Release(g.started, balance.Result{Kind: balance.Cancelled})
	}
	return balance.StartedRequest{}, queueTimeoutError(r)
}

// earlierTime returns the earlier of two times.
func earlierTime(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

// push queues a request. If the queue was full, it sheds one request.
func (b *Balancer) push(service string, w *limit.Waiter[*queuedRequest]) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.queues == nil {
		b.queues = map[string]*limit.Queue[*queuedRequest]{}
	}
	q, ok := b.queues[service]
	if !ok {
		q = limit.NewQueue[*queuedRequest](queueCapacity)
		b.queues[service] = q
	}
	b.waiting.Add(1)
	if shed := q.Push(w); shed != nil {
		b.waiting.Add(-1)
		shed.Value.result <- waitResult{err: overloadedError(shed.Value.request)}
	}
}

// remove removes a request from the queue and reports whether it was queued.
func (b *Balancer) remove(service string, w *limit.Waiter[*queuedRequest]) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if !b.queues[service].Remove(w) {
		return false
	}
	b.waiting.Add(-1)
	return true
}

// WakeAll serves the waiting requests for which there is room now and reports
// whether any request still waits.
func (b *Balancer) WakeAll() (waiting bool) {
	if b.waiting.Load() == 0 {
		return false
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, q := range b.queues {
		b.serveQueue(q)
	}
	return b.waiting.Load() > 0
}

// wake serves the waiting requests of one service for which there is room now.
func (b *Balancer) wake(service string) {
	if b.waiting.Load() == 0 {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if q, ok := b.queues[service]; ok {
		b.serveQueue(q)
	}
}

// serveQueue assigns backend servers to waiting requests while there is room, and
// rejects those whose deadline has passed. The caller holds b.mu.
func (b *Balancer) serveQueue(q *limit.Queue[*queuedRequest]) {
	for {
		next, expired := q.Peek(time.Now())
		for _, w := range expired {
			b.waiting.Add(-1)
			w.Value.result <- waitResult{err: queueTimeoutError(w.Value.request)}
		}
		if next == nil {
			return
		}
		t := next.Value
		started, ok, full := b.start(t.request, t.excluded, q.Len())
		if !ok && full {
			return
		}
		q.Take(next)
		b.waiting.Add(-1)
		if !ok {
			t.result <- waitResult{err: errNoServer}
			continue
		}
		t.result <- waitResult{started: started}
	}
}

// queueTimeoutError returns the error of a request for which no backend server
// had room in time.
func queueTimeoutError(r *request.Request) error {
	return verdict.New(verdict.NotRun, http.StatusServiceUnavailable, "queue_timeout",
		"no backend server of service %q had room in time", r.Service.Name)
}

// overloadedError returns the error of a request that is shed from a full queue.
func overloadedError(r *request.Request) error {
	return verdict.New(verdict.NotRun, http.StatusTooManyRequests, "overloaded",
		"%d requests wait for service %q, most of them of client account %q", queueCapacity, r.Service.Name, r.ClientAccount)
}
