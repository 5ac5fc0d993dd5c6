package broker

import (
	"time"

	"golang.org/x/time/rate"

	"tanagerbarrow/registry"
)

// Constants of what the broker estimates about one backend server.
const (
	// paceLifetime is how long a reported pace stays valid if its rhythm is not
	// known: the machines' pace changes about every 150 ms, so that an older value
	// says little.
	paceLifetime = 150 * time.Millisecond
	// sampledPaceLifetime is how long the pace of a sample without a known rhythm
	// stays valid. The entry then samples every few milliseconds, reports a change
	// at once and repeats an unchanged pace after [PaceRepeatInterval]; the rest
	// allows for the transport of the report.
	sampledPaceLifetime = PaceRepeatInterval + 150*time.Millisecond
	// usualPace is the pace of an undisturbed machine, in percent.
	usualPace = 100
	// failureHalfLife is the time in which the failure score falls by half: a
	// server that fails part of its requests is avoided for seconds and then receives
	// requests again.
	failureHalfLife = 3 * time.Second
	// firstEjection and longestEjection bound the time for which a server that
	// could not be reached gets no requests; it doubles with each failure in a
	// row.
	firstEjection   = 400 * time.Millisecond
	longestEjection = 5 * time.Second
	// slownessHalfLife is the time in which a server's deviation from the usual
	// service time falls by half.
	slownessHalfLife = 4 * time.Second
	// slownessWeight is the weight of one more request in a server's slowness.
	slownessWeight = 0.3
	// untrackedCountLifetime is how long a sample's count of requests without a
	// grant stays valid: two changes of the pace, each of which brings a new
	// sample.
	untrackedCountLifetime = 300 * time.Millisecond
	// coldRateWindow is the window over which the request rate of a cold server is
	// counted: one second, and some more because requests take different times to
	// arrive.
	coldRateWindow = 1200 * time.Millisecond
)

// PaceRepeatInterval is the time after which an entry reports an unchanged pace
// again if it does not know the pace's rhythm.
const PaceRepeatInterval = 250 * time.Millisecond

// Server is the broker's state of a backend server.
type Server struct {
	// Number identifies the server in messages.
	Number uint32
	// Record is the server's announcement.
	Record registry.Record
	Region string

	// activeGrants counts the grants in use.
	activeGrants int
	// untrackedRequests counts the requests on the server, at its last sample, in
	// excess of the grants in use then.
	untrackedRequests int
	untrackedAt       time.Time
	// removed says that the broker no longer uses the server, because it was
	// deregistered, lost or replaced, or another server has its address.
	removed bool

	pace   int
	paceAt time.Time
	// paceChangesAt is the time of the next change of the pace; zero if that is
	// not known.
	paceChangesAt time.Time
	// paceSampledUntil is the time until which the last reported pace counts as
	// current, because the entry that samples the server would have reported a
	// change.
	paceSampledUntil time.Time
	// sampledAt is the time of the last sample.
	sampledAt time.Time
	unhealthy bool
	// sampledBy is the entry that sent the last sample.
	sampledBy string
	// failureScore rises with failures and decays with time; 0 means no recent
	// failure.
	failureScore   float64
	failureScoreAt time.Time
	// slowness is the server's service time as a multiple of the service's mean.
	slowness             float64
	slownessAt           time.Time
	ejectedUntil         time.Time
	consecutiveEjections int
	// ejectedBy is the entry whose failed request caused the last ejection.
	ejectedBy string
	// lastHealthyAt is the time of the last complete response or good health check.
	lastHealthyAt time.Time
	// coldGrantTimes are the times of the last grants while the server was cold.
	coldGrantTimes []time.Time
	// crashSuspects are the requests that may have crashed the server and that no
	// later health check has cleared.
	crashSuspects []*crashSuspect
	// everGranted says that the server has been granted to a request before.
	everGranted bool
	// limit is the request limit that the server names, and limiter allows its requests
	// accordingly; nil without a limit. limitObserved says that a response has reported
	// the limit in this broker's term, and limitChanged that the entries don't know of
	// its last change.
	limit                       RequestLimit
	limiter                     *rate.Limiter
	limitObserved, limitChanged bool
	// silenceTimeout is the time without a heartbeat or a response after which the
	// server is considered dead.
	silenceTimeout time.Duration
}

// newServer returns a server that has a record but no measurements.
func newServer(number uint32, r registry.Record, region string, silence time.Duration) *Server {
	return &Server{Number: number, Record: r, Region: region, slowness: 1, silenceTimeout: silence}
}

// usable reports whether the server may get requests, regardless of its free
// slots.
func (s *Server) usable(now time.Time) bool { return s.alive(now) && !now.Before(s.ejectedUntil) }

// alive reports whether the server may get requests, regardless of its free slots and of
// failures.
func (s *Server) alive(now time.Time) bool {
	if s.removed || s.Record.Unconfirmed || s.Record.Draining {
		return false
	}
	heard := s.Record.LastHeartbeat
	if s.lastHealthyAt.After(heard) {
		heard = s.lastHealthyAt
	}
	return now.Sub(heard) < s.silenceTimeout
}

// Lost reports whether the server has sent no heartbeat and no response for
// longer than the given time.
func (s *Server) Lost(now time.Time, silence time.Duration) bool {
	return now.Sub(s.Record.LastHeartbeat) > silence && now.Sub(s.lastHealthyAt) > silence
}

// occupiedSlots returns the slots in use: by grants, and by requests that the
// server still runs although their grants have ended, or that no broker
// granted.
func (s *Server) occupiedSlots(now time.Time) int {
	if s.untrackedRequests > 0 && now.Sub(s.untrackedAt) < untrackedCountLifetime {
		return s.activeGrants + s.untrackedRequests
	}
	return s.activeGrants
}

// recordRunning records how many requests the server has. A number below that
// of the grants in use says nothing: some requests are still on their way.
func (s *Server) recordRunning(running int, now time.Time) {
	if running >= 0 {
		s.untrackedRequests, s.untrackedAt = max(0, running-s.activeGrants), now
	}
}

// paceKnown reports whether the server's pace was reported and is still meaningful.
// Servers with a request limit are checked too rarely for it to stay so.
func (s *Server) paceKnown(now time.Time) bool {
	return s.pace != 0 && (!s.limit.Limited() || s.isSampled(now))
}

// isSampled reports whether an entry currently samples the server.
func (s *Server) isSampled(now time.Time) bool { return now.Sub(s.sampledAt) < sampledPaceLifetime }

// cold reports whether the server still counts as cold.
func (s *Server) cold(now time.Time) bool { return now.Before(s.Record.ColdUntil) }

// coldRateAllows reports whether a cold server may get one more request at the
// given rate per second.
func (s *Server) coldRateAllows(now time.Time, rate float64) bool {
	kept := s.coldGrantTimes[:0]
	for _, at := range s.coldGrantTimes {
		if now.Sub(at) < coldRateWindow {
			kept = append(kept, at)
		}
	}
	s.coldGrantTimes = kept
	return len(kept) < max(1, int(rate))
}

// decay halves a value for each half-life that has passed, and interpolates
// linearly within a half-life.
func decay(value float64, since time.Duration, halfLife time.Duration) float64 {
	for ; since >= halfLife && value > 0.001; since -= halfLife {
		value /= 2
	}
	return value * (1 - float64(min(since, halfLife))/float64(2*halfLife))
}

// currentFailureScore returns the failure score after its decay until now.
func (s *Server) currentFailureScore(now time.Time) float64 {
	return decay(s.failureScore, now.Sub(s.failureScoreAt), failureHalfLife)
}

// currentSlowness returns the slowness after its decay until now; 1 is the
// service's mean.
func (s *Server) currentSlowness(now time.Time) float64 {
	return 1 + decay(s.slowness-1, now.Sub(s.slownessAt), slownessHalfLife)
}

// recordSuccess records a complete response that took the given multiple of the
// service's mean time.
func (s *Server) recordSuccess(now time.Time, relative float64) {
	s.lastHealthyAt, s.consecutiveEjections = now, 0
	s.ejectedUntil = time.Time{}
	s.failureScore, s.failureScoreAt = s.currentFailureScore(now)*0.7, now
	s.slowness, s.slownessAt = s.currentSlowness(now)*(1-slownessWeight)+relative*slownessWeight, now
}

// recordFailure records a failure that the server caused.
func (s *Server) recordFailure(now time.Time) {
	s.failureScore, s.failureScoreAt = s.currentFailureScore(now)+1, now
}

// eject keeps requests away from the server for a time that doubles with each
// failure in a row.
func (s *Server) eject(now time.Time) {
	pause := min(firstEjection<<s.consecutiveEjections, longestEjection)
	s.consecutiveEjections = min(s.consecutiveEjections+1, 8)
	s.ejectedUntil = now.Add(pause)
}
