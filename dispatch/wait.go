package dispatch

import (
	"context"
	"net/http"
	"net/netip"
	"time"

	"tanagerbarrow/balance"
	"tanagerbarrow/limit"
	"tanagerbarrow/request"
	"tanagerbarrow/verdict"
)

// The bounds of waiting for a backend server.
const (
	// queueCapacity bounds the waiting requests of one service.
	queueCapacity = 256
	// maxQueueWait bounds the wait of one request.
	maxQueueWait = 2 * time.Second
)

// ticket is a waiting request.
type ticket struct {
	request *request.Request
	tried   []netip.AddrPort
	granted chan grant // capacity 1
}

// grant is the end of a wait.
type grant struct {
	started balance.StartedRequest
	err     error
}

// Waiting returns the number of requests that wait for any service.
func (b *Balancer) Waiting() int64 { return b.waiting.Load() }

// waitersOf returns the number of requests that wait for the service.
func (b *Balancer) waitersOf(service string) int {
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
func (b *Balancer) wait(ctx context.Context, r *request.Request, tried []netip.AddrPort) (balance.StartedRequest, error) {
	now := time.Now()
	t := &ticket{request: r, tried: tried, granted: make(chan grant, 1)}
	w := &limit.Waiter[*ticket]{Account: r.Account, ArrivedAt: now, Deadline: firstOf(r.Deadline, now.Add(maxQueueWait)), Value: t}
	b.push(r.Service.Name, w)
	b.wake(r.Service.Name)
	select {
	case g := <-t.granted:
		return g.started, g.err
	case <-ctx.Done():
	}
	if b.remove(r.Service.Name, w) {
		return balance.StartedRequest{}, lateError(r)
	}
	g := <-t.granted
	if g.err == nil {
		b.Release(g.started, balance.Result{Kind: balance.Cancelled})
	}
	return balance.StartedRequest{}, lateError(r)
}

// firstOf returns the earlier of two times.
func firstOf(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

// push queues a request and sheds another if the queue was full.
func (b *Balancer) push(service string, w *limit.Waiter[*ticket]) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.queues == nil {
		b.queues = map[string]*limit.Queue[*ticket]{}
	}
	q, ok := b.queues[service]
	if !ok {
		q = limit.NewQueue[*ticket](queueCapacity)
		b.queues[service] = q
	}
	b.waiting.Add(1)
	if shed := q.Push(w); shed != nil {
		b.waiting.Add(-1)
		shed.Value.granted <- grant{err: shedError(shed.Value.request)}
	}
}

// remove takes a request out of the queue and reports whether it waited.
func (b *Balancer) remove(service string, w *limit.Waiter[*ticket]) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if !b.queues[service].Remove(w) {
		return false
	}
	b.waiting.Add(-1)
	return true
}

// WakeAll serves waiting requests for which there is room now and reports
// whether any wait on.
func (b *Balancer) WakeAll() (waiting bool) {
	if b.waiting.Load() == 0 {
		return false
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, q := range b.queues {
		b.serve(q)
	}
	return b.waiting.Load() > 0
}

// wake serves waiting requests of one service.
func (b *Balancer) wake(service string) {
	if b.waiting.Load() == 0 {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if q, ok := b.queues[service]; ok {
		b.serve(q)
	}
}

// serve grants backend servers to waiting requests while there is room. The
// caller holds the lock.
func (b *Balancer) serve(q *limit.Queue[*ticket]) {
	for {
		next, expired := q.Peek(time.Now())
		for _, w := range expired {
			b.waiting.Add(-1)
			w.Value.granted <- grant{err: lateError(w.Value.request)}
		}
		if next == nil {
			return
		}
		t := next.Value
		started, ok, full := b.start(t.request, t.tried, q.Len())
		if !ok && full {
			return
		}
		q.Take(next)
		b.waiting.Add(-1)
		if !ok {
			t.granted <- grant{err: errNoServer}
			continue
		}
		t.granted <- grant{started: started}
	}
}

// lateError returns the error of a request that found no room in time.
func lateError(r *request.Request) error {
	return verdict.New(verdict.NotRun, http.StatusServiceUnavailable, "queue_timeout",
		"no backend server of service %q had room in time", r.Service.Name)
}

// shedError returns the error of a request that the full queue sheds.
func shedError(r *request.Request) error {
	return verdict.New(verdict.NotRun, http.StatusTooManyRequests, "overloaded",
		"%d requests wait for service %q, most of them of client account %q", queueCapacity, r.Service.Name, r.Account)
}
