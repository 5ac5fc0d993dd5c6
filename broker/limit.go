package broker

import (
	"math"
	"time"

	"golang.org/x/time/rate"
)

// Limits of what the broker grants to servers that name a request limit.
const (
	// limitBurst is the time whose requests a server may get at once, if it got fewer
	// before: requests don't arrive evenly, and what its limit allows would be lost.
	limitBurst = time.Second
	// limitProbeRate is the least rate, in requests per second, at which a server gets
	// requests if its health checks don't name the limit: only the response to a request
	// shows that the limit has ended.
	limitProbeRate = 0.1
	// adoptedLimitLifetime is how long a limit that an entry knows is kept for a server
	// whose record has not arrived.
	adoptedLimitLifetime = 5 * time.Second
)

// LimitSource says which responses of a server named its request limit. Servers
// may name it in the responses to requests, in those to health checks, or in both.
type LimitSource uint8

// Sources of request limits.
const (
	// LimitFromRequests are the responses to callers' requests.
	LimitFromRequests LimitSource = 1 << iota
	// LimitFromChecks are the responses to health checks.
	LimitFromChecks
)

// String returns the name of a source in log lines.
func (s LimitSource) String() string {
	switch s {
	case LimitFromRequests:
		return "request"
	case LimitFromChecks:
		return "check"
	default:
		return "unknown"
	}
}

// LimitReport is what one response says about the rate of requests that its server
// takes.
type LimitReport struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // read by the codec

	// Source is the kind of the response.
	Source LimitSource
	// Named says that the response named a limit; without one the server takes
	// requests at any rate.
	Named bool
	// PerSecond is the limit, in requests per second of all entries together.
	PerSecond float64
}

// RequestLimit is the rate of requests that a server takes from all entries
// together, as far as its responses named it. The zero value is no limit.
type RequestLimit struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // read by the codec

	// PerSecond is the limit, in requests per second.
	PerSecond float64
	// Sources are the sources that named the limit; 0 without a limit.
	Sources LimitSource
}

// Limited reports whether there is a limit.
func (l RequestLimit) Limited() bool { return l.Sources != 0 }

// Update applies a report and reports whether the limit changed. A response without a
// limit withdraws it only if responses of its kind named it before.
func (l *RequestLimit) Update(r LimitReport) (changed bool) {
	switch {
	case r.Named:
		changed = !l.Limited() || l.PerSecond != r.PerSecond
		l.PerSecond = r.PerSecond
		l.Sources |= r.Source
	case l.Sources&r.Source != 0:
		*l = RequestLimit{}
		changed = true
	}
	return changed
}

// ServerLimit is a request limit that an entry knows.
type ServerLimit struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // read by the codec

	// ServerID is the identifier of the backend server.
	ServerID string
	// Limit is its limit.
	Limit RequestLimit
}

// adoptedLimit is a limit of a server that has no record yet.
type adoptedLimit struct {
	limit     RequestLimit
	adoptedAt time.Time
}

// Limit returns the server's request limit.
func (s *Server) Limit() RequestLimit { return s.limit }

// setLimit changes the server's limit and how often it may get requests. No request is
// allowed at once: the server may just have had some.
func (s *Server) setLimit(l RequestLimit, now time.Time) {
	s.limit, s.limitChanged = l, true
	if !l.Limited() {
		s.limiter = nil
		return
	}
	perSecond := l.PerSecond
	if l.Sources&LimitFromChecks == 0 {
		perSecond = max(perSecond, limitProbeRate)
	}
	burst := max(1, int(math.Ceil(perSecond*limitBurst.Seconds())))
	if s.limiter == nil {
		s.limiter = rate.NewLimiter(rate.Limit(perSecond), burst)
		s.limiter.AllowN(now, burst)
		return
	}
	s.limiter.SetLimitAt(now, rate.Limit(perSecond))
	s.limiter.SetBurstAt(now, burst)
}

// observeLimit applies what a response said about the server's limit; nil means
// nothing.
func (s *Server) observeLimit(r *LimitReport, now time.Time) {
	if r == nil {
		return
	}
	s.limitObserved = true
	if next := s.limit; next.Update(*r) {
		s.setLimit(next, now)
	}
}

// limitAllows reports whether the server's limit allows one more request now.
func (s *Server) limitAllows(now time.Time) bool {
	return s.limiter == nil || s.limiter.TokensAt(now) >= 1
}

// countRequest counts a request towards the server's limit.
func (s *Server) countRequest(now time.Time) {
	if s.limiter != nil {
		s.limiter.AllowN(now, 1)
	}
}

// capacity is how many requests the server can run at a time, which its limit may make
// less than its slots.
func (s *Server) capacity(serviceTime time.Duration) float64 {
	slots := float64(s.Record.Slots)
	if !s.limit.Limited() {
		return slots
	}
	return min(slots, float64(s.limiter.Limit())*serviceTime.Seconds())
}

// AdoptLimits applies limits that an entry knows from before this broker's term. What
// responses have said since is newer.
func (b *Broker) AdoptLimits(limits []ServerLimit, now time.Time) {
	for _, l := range limits {
		s := b.byID[l.ServerID]
		switch {
		case !l.Limit.Limited():
		case s == nil:
			b.adoptedLimits[l.ServerID] = adoptedLimit{l.Limit, now}
		case !s.limitObserved && s.limit != l.Limit:
			s.setLimit(l.Limit, now)
		}
	}
}

// applyAdoptedLimit applies the limit that an entry knows of a new server.
func (b *Broker) applyAdoptedLimit(s *Server, now time.Time) {
	if l, ok := b.adoptedLimits[s.Record.ID]; ok {
		delete(b.adoptedLimits, s.Record.ID)
		s.setLimit(l.limit, now)
	}
}

// expireAdoptedLimits removes the limits of servers whose record has not arrived.
func (b *Broker) expireAdoptedLimits(now time.Time) {
	for id, l := range b.adoptedLimits {
		if now.Sub(l.adoptedAt) > adoptedLimitLifetime {
			delete(b.adoptedLimits, id)
		}
	}
}

// TakeLimitChanges returns the servers whose limit has changed since the last call.
func (b *Broker) TakeLimitChanges() []*Server {
	var changed []*Server
	for _, s := range b.servers {
		if s.limitChanged {
			s.limitChanged = false
			changed = append(changed, s)
		}
	}
	return changed
}
