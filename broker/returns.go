package broker

import "time"

// The memory of refused requests.
const (
	// maxReturns bounds the contents of requests that the broker remembers for a service.
	maxReturns = 16_384
	// returnTolerance is how much before its retry time, and returnGrace how much after it, a caller
	// may come back and count as one that waited: callers' timers and new connections
	// take a few milliseconds, and their entries may have to find a broker.
	returnTolerance = 20 * time.Millisecond
	returnGrace     = time.Second
	// returnsExpiryPeriod is the time between two searches for contents to forget.
	returnsExpiryPeriod = 500 * time.Millisecond
)

// returns remembers the requests that were refused, to know them when their callers come back.
// A retry of a caller has another identifier and may reach another entry; only the fingerprint of
// its content is the same. A content that was asked for more often than refusals explain belongs to
// several requests: none of them counts as returned.
type returns struct {
	contents  map[uint64]*content
	expiredAt time.Time
}

// content is what is known of the requests with one fingerprint.
type content struct {
	// asks and refusals count the asks of first attempts and the refusals of such.
	asks, refusals int
	// refused is the last request that was refused and has not come back; nil for none.
	refused *refusedRequest
	// usefulUntil is when the content is forgotten.
	usefulUntil time.Time
}

// refusedRequest is a request that was refused and may come back.
type refusedRequest struct {
	account string
	// firstAt is when its first ask arrived, and retryAt the retry time of its caller.
	firstAt, retryAt time.Time
	// objective is when its response would have to arrive.
	objective time.Time
	// startTag is its place in the fair shares, which it keeps.
	startTag float64
}

// shared reports whether the content belongs to several requests. A caller sends a request again only
// when it was refused.
func (c *content) shared() bool { return c.asks > c.refusals+1 }

// take counts an ask and returns the refused request that it repeats; nil if there is none.
func (r *returns) take(w *pendingAsk, now time.Time) *refusedRequest {
	if w.ask.Fingerprint == 0 || w.ask.Retry {
		return nil
	}
	c := r.contents[w.ask.Fingerprint]
	if c == nil {
		if len(r.contents) >= maxReturns {
			return nil
		}
		if r.contents == nil {
			r.contents = map[uint64]*content{}
		}
		c = &content{}
		r.contents[w.ask.Fingerprint] = c
	}
	c.asks++
	c.usefulUntil = later(c.usefulUntil, now.Add(returnGrace))
	x := c.refused
	c.refused = nil
	if x == nil || c.shared() || x.account != w.details.ClientAccount || now.After(x.retryAt.Add(returnGrace)) {
		return nil
	}
	return x
}

// remember records a refusal that tells the caller to come back after wait.
func (r *returns) remember(w *pendingAsk, wait time.Duration, now time.Time) {
	c := r.contents[w.ask.Fingerprint]
	if c == nil || w.ask.Retry {
		return
	}
	c.refusals++
	c.refused = &refusedRequest{w.details.ClientAccount, w.firstAt, now.Add(wait), w.objectiveAt, w.startTag}
	c.usefulUntil = later(c.usefulUntil, now.Add(wait+returnGrace))
}

// expire forgets the contents whose callers have not come back.
func (r *returns) expire(now time.Time) {
	if now.Sub(r.expiredAt) < returnsExpiryPeriod {
		return
	}
	r.expiredAt = now
	for fingerprint, c := range r.contents {
		if now.After(c.usefulUntil) {
			delete(r.contents, fingerprint)
		}
	}
}

// later returns the later of two times.
func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
