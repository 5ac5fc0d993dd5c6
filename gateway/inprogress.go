package gateway

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"tanagerbarrow/serving"
	"tanagerbarrow/verdict"
)

// errStopping is the cause for which a stopping entry ends a request.
var errStopping = errors.New("this entry is stopping")

// codeStopping is the code of requests that a stopping entry refuses or gives up.
const codeStopping = "stopping"

// requestsInProgress are the requests that an entry has taken and not answered yet. It is safe for concurrent use.
type requestsInProgress struct {
	// rate returns the bandwidth for bodies in bytes per second; 0 if it isn't known.
	rate func() float64

	mu  sync.Mutex
	all map[*progress]struct{}
	// end is when the last response of a stopping entry is due; zero while it isn't stopping.
	end time.Time
}

// newRequestsInProgress returns an empty set.
func newRequestsInProgress(rate func() float64) *requestsInProgress {
	return &requestsInProgress{rate: rate, all: map[*progress]struct{}{}}
}

// add takes a request in. The returned context ends with [errStopping] when a stopping entry refuses the request or
// gives it up. remove must be called at its end.
func (s *requestsInProgress) add(r *http.Request, p *progress) context.Context {
	ctx, cancel := context.WithCancelCause(r.Context())
	p.body, p.end, p.declared = r.Context(), cancel, r.ContentLength
	s.mu.Lock()
	defer s.mu.Unlock()
	s.all[p] = struct{}{}
	s.refuseUnanswerable()
	return ctx
}

// remove ends a request.
func (s *requestsInProgress) remove(p *progress) {
	s.mu.Lock()
	delete(s.all, p)
	s.mu.Unlock()
	p.end(nil)
}

// pass records that a request is about to be passed on. It returns false if the request was refused.
func (s *requestsInProgress) pass(p *progress) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.refuseUnanswerable()
	if p.refused {
		return false
	}
	p.passedOn = true
	p.sent.Store(0)
	p.sentAt.Store(time.Now().UnixNano())
	return true
}

// notRun records that the attempt to pass a request on has reached no backend server.
func (s *requestsInProgress) notRun(p *progress) {
	s.mu.Lock()
	defer s.mu.Unlock()
	p.passedOn = false
}

// answer records that the response to a request was received, with a body of the given length. It returns false if a
// stopping entry can't write it any more together with those that it writes already.
func (s *requestsInProgress) answer(p *progress, responseBytes int) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	bytes := pacedBytes(int64(responseBytes))
	if !s.end.IsZero() && bytes > 0 {
		now := time.Now()
		for other := range s.all {
			if other.answered {
				bytes += other.need(now).write
			}
		}
		if transferTime(bytes, s.rate()) > s.end.Sub(now) {
			return false
		}
	}
	p.responseBytes, p.answered = int64(responseBytes), true
	return true
}

// refuseUnanswerable refuses the requests that can't be answered before the end of a stop. The caller holds the lock.
func (s *requestsInProgress) refuseUnanswerable() {
	if s.end.IsZero() {
		return
	}
	now := time.Now()
	candidates := make([]*progress, 0, len(s.all))
	needs := make([]need, 0, len(s.all))
	for p := range s.all {
		if !p.refused {
			candidates, needs = append(candidates, p), append(needs, p.need(now))
			p.kept = true
		}
	}
	for _, i := range unanswerable(needs, s.end.Sub(now), s.rate()) {
		candidates[i].refuse()
	}
}

// refuse ends a request that was not passed on, and the reading of its body. The caller holds the lock.
func (p *progress) refuse() {
	p.refused = true
	p.end(errStopping)
	if p.declared != 0 && !p.receivedAll.Load() {
		serving.LimitBody(p.body, time.Unix(1, 0))
	}
}

// stop refuses the requests that can't be answered before end, and gives up those that are left later, at giveUp, when servers
// and links were slower than expected. It returns their number; 0 if ctx ends before.
func (s *requestsInProgress) stop(ctx context.Context, end, giveUp time.Time) (left int) {
	s.mu.Lock()
	s.end = end
	s.mu.Unlock()
	for ; time.Now().Before(giveUp); sleep(ctx, min(planPeriod, time.Until(giveUp))) {
		if ctx.Err() != nil {
			return 0
		}
		s.mu.Lock()
		s.refuseUnanswerable()
		s.mu.Unlock()
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for p := range s.all {
		if !p.refused && !p.answered {
			left++
			p.refuse()
		}
	}
	return left
}

// planPeriod is the time between two looks at the requests in progress while the process stops: bodies and
// servers may be slower than expected.
const planPeriod = 20 * time.Millisecond

// stoppingError returns the error of a request, whose context is given, as callers of a stopping entry get it:
// the verdict stays. It returns other errors as they are.
func stoppingError(ctx context.Context, err error) error {
	if err == nil || !errors.Is(context.Cause(ctx), errStopping) {
		return err
	}
	if verdict.Of(err) == verdict.NotRun {
		return verdict.Wrap(err, verdict.NotRun, http.StatusServiceUnavailable, codeStopping,
			"this entry is stopping and can't answer the request before it ends")
	}
	return verdict.Wrap(err, verdict.Of(err), http.StatusGatewayTimeout, codeStopping, "this entry has stopped before the response")
}
