package balance

import (
	"net/netip"
	"sync/atomic"
	"time"

	"tanagerbarrow/limit"
	"tanagerbarrow/membership"
)

// The signs of a backend server that answers badly.
const (
	// slowFactor times the usual latency of the service makes an answer slow.
	slowFactor = 4
	// slowStreak slow answers in a row make a backend server suspect.
	slowStreak = 5
	// errorStreak answers of status 5xx in a row eject a backend server.
	errorStreak = 3
	// latencyShift is the weight of a new latency, 1/2^latencyShift.
	latencyShift = 6
)

// Key identifies one life of a backend server.
type Key struct {
	// Address is where the backend server serves.
	Address netip.AddrPort `json:"a"`
	// Generation grows with every start of the backend server.
	Generation uint64 `json:"g"`
}

// Server is the load of one backend server as one entry sees it. What a choice
// reads is atomic, so that choices take no lock.
type Server struct {
	// Record is what the backend server announced.
	Record membership.BackendServer
	// Limit bounds the requests in progress over all entries.
	Limit *limit.Concurrency
	// Ejection keeps a failing backend server out of the choice.
	Ejection Ejection

	usual      *serviceLoad
	local      atomic.Int64
	remote     atomic.Int64 // in units of 1/fullWeight request
	cold       atomic.Bool
	room       atomic.Int64 // requests that this entry may start while cold
	wanted     atomic.Bool
	slowInRow  atomic.Int32
	errorInRow atomic.Int32
}

// newServer returns a backend server without load.
func newServer(record membership.BackendServer, usual *serviceLoad) *Server {
	return &Server{Record: record, Limit: limit.NewConcurrency(record.Slots), usual: usual}
}

// Key returns the key of the backend server.
func (s *Server) Key() Key { return Key{Address: s.Record.Address, Generation: s.Record.Generation} }

// LocalInFlight returns this entry's requests in progress.
func (s *Server) LocalInFlight() int64 { return s.local.Load() }

// TotalInFlight returns the requests in progress of all entries, as far as known.
func (s *Server) TotalInFlight() int64 {
	return s.local.Load() + (s.remote.Load()+fullWeight-1)/fullWeight
}

// Cold reports whether the backend server needs admission.
func (s *Server) Cold() bool { return s.cold.Load() }

// beyondShare reports whether this entry has used its part of the region's
// limits. It then takes free slots but no place in the queue of a backend
// server, so that entries which answers reach first do not keep out the others.
func (l *serviceLoad) beyondShare(counted int64) bool {
	share := l.share.Load()
	return share > 0 && l.local.Load()-counted >= share
}

// hasRoom reports whether this entry may start a request, of which counted are
// counted already. known is the share, in thousandths, of the entries whose
// counts are known, and entries their number.
func (s *Server) hasRoom(known, entries, counted int64) bool {
	if s.cold.Load() {
		return s.room.Load() > 0
	}
	most := s.Limit.Limit()
	total := s.TotalInFlight() - counted
	if total >= int64(s.Record.Slots) && s.usual.beyondShare(counted) {
		return false
	}
	if total < most*known/1000 {
		return true
	}
	return known < 1000 && s.local.Load()-counted < max(most/entries, 1)
}

// count changes this entry's requests in progress.
func (s *Server) count(delta int64) {
	s.local.Add(delta)
	s.usual.local.Add(delta)
}

// judge returns the outcome of an answer and moves the health of the backend
// server. suspect is true if it may have turned cold.
func (s *Server) judge(a Result, now time.Time) (o limit.Outcome, suspect bool) {
	switch a.Kind {
	case Cancelled:
		return limit.Unused, false
	case Refused:
		s.Limit.Refused()
		return limit.Failed, false
	case Broken:
		s.Ejection.Failed(now)
		return limit.Failed, true
	case TimedOut:
		return limit.Failed, s.slowInRow.Add(1) >= slowStreak
	case ServerError:
		if s.errorInRow.Add(1) >= errorStreak {
			s.Ejection.Failed(now)
		}
		return limit.Failed, false
	}
	s.errorInRow.Store(0)
	s.Ejection.Succeeded()
	s.Limit.Answered(s.TotalInFlight())
	if usual := s.usual.mean(); usual > 0 && a.Latency > slowFactor*usual {
		s.usual.add(slowFactor * usual)
		return limit.Slow, s.slowInRow.Add(1) >= slowStreak
	}
	s.slowInRow.Store(0)
	s.usual.add(a.Latency)
	return limit.Fast, false
}

// ResultKind is how a request on a backend server ended.
type ResultKind uint8

// The kinds of ends.
const (
	// Good is a whole answer.
	Good ResultKind = iota
	// ServerError is an answer of status 5xx.
	ServerError
	// Refused is the backend server's own refusal.
	Refused
	// Broken is an exchange without an answer.
	Broken
	// TimedOut is a request whose deadline passed before its answer.
	TimedOut
	// Cancelled is a request whose caller stopped waiting.
	Cancelled
)

// Result is what one request showed of its backend server.
type Result struct {
	// Kind is how it ended.
	Kind ResultKind
	// Latency is the time until the answer's header.
	Latency time.Duration
}

// serviceLoad is what one entry knows of a service as a whole.
type serviceLoad struct {
	nanos atomic.Int64 // moving average of the latency
	local atomic.Int64 // this entry's requests in progress
	share atomic.Int64 // this entry's part of the region's limits, 0 if unknown
}

// mean returns the average, or 0 before the first sample.
func (l *serviceLoad) mean() time.Duration { return time.Duration(l.nanos.Load()) }

// add takes a sample in. A sample that races with another may be lost.
func (l *serviceLoad) add(sample time.Duration) {
	old := l.nanos.Load()
	if old == 0 {
		l.nanos.CompareAndSwap(0, int64(sample))
		return
	}
	l.nanos.CompareAndSwap(old, old+(int64(sample)-old)>>latencyShift)
}
