package balance

import (
	"net/netip"
	"sync/atomic"
	"time"

	"tanagerbarrow/limit"
	"tanagerbarrow/membership"
)

// The thresholds that detect slow and failing backend servers.
const (
	// slowFactor is the multiple of the service's mean latency above which an answer
	// counts as slow.
	slowFactor = 4
	// slowStreak is the number of consecutive slow answers or timeouts after which a
	// backend server is suspected to be cold.
	slowStreak = 5
	// errorStreak is the number of consecutive answers of status 5xx that eject a
	// backend server.
	errorStreak = 3
	// latencyShift sets the weight of a new sample in the moving average of the
	// latency, 1/2^latencyShift.
	latencyShift = 6
)

// Key identifies one run of a backend server, from its start to its end.
type Key struct {
	// Address is the one at which the backend server accepts requests.
	Address netip.AddrPort `json:"a"`
	// Generation increases with every start of the backend server.
	Generation uint64 `json:"g"`
}

// Server is the load of one backend server as one entry sees it. The fields that a
// choice reads are atomic, so that choices take no lock.
type Server struct {
	// Record is what the backend server announced.
	Record membership.BackendServer
	// Limit bounds the requests in progress over all entries.
	Limit *limit.Concurrency
	// Ejection excludes a failing backend server from choices.
	Ejection Ejection

	service           *serviceLoad
	local             atomic.Int64
	remote            atomic.Int64 // in units of 1/fullWeight request
	cold              atomic.Bool
	coldRoom          atomic.Int64 // requests that this entry may start while cold
	loanWanted        atomic.Bool
	consecutiveSlow   atomic.Int32
	consecutiveErrors atomic.Int32
}

// newServer returns a backend server without requests in progress.
func newServer(record membership.BackendServer, service *serviceLoad) *Server {
	return &Server{Record: record, Limit: limit.NewConcurrency(record.Slots), service: service}
}

// Key returns the key of the backend server.
func (s *Server) Key() Key { return Key{Address: s.Record.Address, Generation: s.Record.Generation} }

// LocalInFlight returns the number of this entry's requests in progress.
func (s *Server) LocalInFlight() int64 { return s.local.Load() }

// TotalInFlight returns the number of requests of all entries in progress, as far as
// reported, weighed by the age of the reports.
func (s *Server) TotalInFlight() int64 {
	return s.local.Load() + (s.remote.Load()+fullWeight-1)/fullWeight
}

// Cold reports whether the backend server needs admission.
func (s *Server) Cold() bool { return s.cold.Load() }

// exceedsShare reports whether this entry has used its share of the region's
// limits; counted is the number of its requests to disregard. It may then use free slots
// but no place in the queue of a backend server, so that entries that receive
// answers first do not starve the others.
func (l *serviceLoad) exceedsShare(counted int64) bool {
	share := l.limitShare.Load()
	return share > 0 && l.local.Load()-counted >= share
}

// hasRoom reports whether this entry may start a request. counted is 1 if that
// request is already counted, else 0. known is the share, in thousandths, of the
// region's entries whose counts are known, and entries the number of all of them.
func (s *Server) hasRoom(known, entries, counted int64) bool {
	if s.cold.Load() {
		return s.coldRoom.Load() > 0
	}
	maxInFlight := s.Limit.Limit()
	total := s.TotalInFlight() - counted
	if total >= int64(s.Record.Slots) && s.service.exceedsShare(counted) {
		return false
	}
	if total < maxInFlight*known/1000 {
		return true
	}
	return known < 1000 && s.local.Load()-counted < max(maxInFlight/entries, 1)
}

// addInFlight changes the number of this entry's requests in progress.
func (s *Server) addInFlight(delta int64) {
	s.local.Add(delta)
	s.service.local.Add(delta)
}

// recordResult updates the health of the backend server from the result of a
// request and returns its outcome. suspect is true if the backend server may have
// turned cold.
func (s *Server) recordResult(r Result, now time.Time) (o limit.Outcome, suspect bool) {
	switch r.Kind {
	case Cancelled:
		return limit.Unused, false
	case Refused:
		s.Limit.Refused()
		return limit.Failed, false
	case Broken:
		s.Ejection.Failed(now)
		return limit.Failed, true
	case TimedOut:
		return limit.Failed, s.consecutiveSlow.Add(1) >= slowStreak
	case ServerError:
		if s.consecutiveErrors.Add(1) >= errorStreak {
			s.Ejection.Failed(now)
		}
		return limit.Failed, false
	}
	s.consecutiveErrors.Store(0)
	s.Ejection.Succeeded()
	s.Limit.Succeeded(s.TotalInFlight())
	if mean := s.service.meanLatency(); mean > 0 && r.Latency > slowFactor*mean {
		s.service.addLatency(slowFactor * mean)
		return limit.Slow, s.consecutiveSlow.Add(1) >= slowStreak
	}
	s.consecutiveSlow.Store(0)
	s.service.addLatency(r.Latency)
	return limit.Fast, false
}

// ResultKind is how a request on a backend server ended.
type ResultKind uint8

// The kinds of results.
const (
	// Good is a complete answer.
	Good ResultKind = iota
	// ServerError is an answer of status 5xx.
	ServerError
	// Refused is a refusal by the backend server itself.
	Refused
	// Broken is an exchange without an answer.
	Broken
	// TimedOut is a request whose deadline passed before its answer.
	TimedOut
	// Cancelled is a request whose caller stopped waiting.
	Cancelled
)

// Result is how one request on a backend server ended.
type Result struct {
	// Kind is the kind of the result.
	Kind ResultKind
	// Latency is the time until the header of the answer.
	Latency time.Duration
}

// serviceLoad is the load of a whole service as one entry sees it.
type serviceLoad struct {
	latencyNanos atomic.Int64 // moving average of the latency
	local        atomic.Int64 // this entry's requests in progress
	limitShare   atomic.Int64 // this entry's share of the region's limits, 0 if unknown
}

// meanLatency returns the moving average of the latency, or 0 before the first
// sample.
func (l *serviceLoad) meanLatency() time.Duration { return time.Duration(l.latencyNanos.Load()) }

// addLatency adds a sample to the moving average. A sample that races with another
// may be lost.
func (l *serviceLoad) addLatency(sample time.Duration) {
	old := l.latencyNanos.Load()
	if old == 0 {
		l.latencyNanos.CompareAndSwap(0, int64(sample))
		return
	}
	l.latencyNanos.CompareAndSwap(old, old+(int64(sample)-old)>>latencyShift)
}
