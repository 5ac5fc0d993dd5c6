package broker

import (
	"time"

	"tanagerbarrow/registry"
)

// The constants of what is believed about one backend server.
const (
	// paceHold is how long a told pace holds if its rhythm is not known: the
	// machines' pace changes about every 150 ms, so a figure is worth little
	// after that.
	paceHold = 150 * time.Millisecond
	// watchHold is how long a sample without a rhythm holds: the entry samples
	// every few milliseconds then, tells a change at once and the same pace again
	// after [PaceRepeatInterval]; the rest is for the way.
	watchHold = PaceRepeatInterval + 150*time.Millisecond
	// usualPace is the pace of a machine at rest, in percent.
	usualPace = 100
	// failureHalfLife is the time in which half of the mistrust after failures
	// goes: a server that fails part of its requests is avoided for seconds and
	// tried again.
	failureHalfLife = 3 * time.Second
	// firstEjection and longestEjection bound the time without requests after
	// the server could not be reached; it doubles with each failure in a row.
	firstEjection   = 400 * time.Millisecond
	longestEjection = 5 * time.Second
	// slowMemory is the time in which a server's own slowness is forgotten by
	// half.
	slowMemory = 4 * time.Second
	// slowWeight is the weight of one more request in a server's slowness.
	slowWeight = 0.3
	// foreignHold is how long a sample's count of other requests holds: two draws
	// of the pace, each of which brings a sample.
	foreignHold = 300 * time.Millisecond
	// coldWindow is the window of the rate of cold servers, and a little for the
	// different ways that requests take.
	coldWindow = 1200 * time.Millisecond
)

// PaceRepeatInterval is the time after which an entry repeats an unchanged pace whose rhythm
// it does not know.
const PaceRepeatInterval = 250 * time.Millisecond

// Server is a backend server as the broker knows it.
type Server struct {
	// Number is the server's number in messages.
	Number uint32
	// Record is what the server announced.
	Record registry.Record
	// Region is the server's region.
	Region string

	// busy counts the grants that are in use.
	busy int
	// foreign counts the requests on the server, at its last sample, beyond the
	// grants in use then.
	foreign   int
	foreignAt time.Time
	// left says that the server leaves or has gone.
	left bool

	pace   int
	paceAt time.Time
	// paceUntil is when the pace is drawn anew; zero if that is not known.
	paceUntil time.Time
	// watchedTo is until when the pace counts as told because the entry that
	// samples it would have told a change.
	watchedTo time.Time
	// sampledAt is when the last sample came.
	sampledAt time.Time
	unhealthy bool
	// mistrust rises with failures and is 0 for a sound server.
	mistrust   float64
	mistrustAt time.Time
	// slowness is the server's time for a request in units of the service's.
	slowness   float64
	slownessAt time.Time
	ejectedTo  time.Time
	ejections  int
	// sound is when the server last answered anything.
	sound time.Time
	// coldGrants are the times of the last grants while it was cold.
	coldGrants []time.Time
	// suspects are the requests that may have crashed the server since it last
	// showed that it lives.
	suspects []*suspect
	// granted says that the server has had a request.
	granted bool
	// silence is the time without heartbeat or answer after which the server is
	// taken for dead.
	silence time.Duration
}

// newServer returns a server of which nothing but its record is known.
func newServer(number uint32, r registry.Record, region string, silence time.Duration) *Server {
	return &Server{Number: number, Record: r, Region: region, slowness: 1, silence: silence}
}

// usable reports whether the server may get requests at all.
func (s *Server) usable(now time.Time) bool {
	if s.left || s.Record.Unconfirmed || s.Record.Draining || now.Before(s.ejectedTo) {
		return false
	}
	heard := s.Record.LastHeartbeat
	if s.sound.After(heard) {
		heard = s.sound
	}
	return now.Sub(heard) < s.silence
}

// Lost reports whether nothing was heard of the server for a time.
func (s *Server) Lost(now time.Time, silence time.Duration) bool {
	return now.Sub(s.Record.LastHeartbeat) > silence && now.Sub(s.sound) > silence
}

// occupied returns the slots in use: by grants, and by requests that the server
// still runs though their grants have ended, or that nobody granted.
func (s *Server) occupied(now time.Time) int {
	if s.foreign > 0 && now.Sub(s.foreignAt) < foreignHold {
		return s.busy + s.foreign
	}
	return s.busy
}

// noteRunning takes in how many requests the server has. Fewer than the grants
// in use says nothing: some are on their way.
func (s *Server) noteRunning(running int, now time.Time) {
	if running >= 0 {
		s.foreign, s.foreignAt = max(0, running-s.busy), now
	}
}

// watched reports whether an entry samples the server.
func (s *Server) watched(now time.Time) bool { return now.Sub(s.sampledAt) < watchHold }

// cold reports whether the server is cold.
func (s *Server) cold(now time.Time) bool { return now.Before(s.Record.ColdUntil) }

// coldRoom reports whether a cold server may get one more request.
func (s *Server) coldRoom(now time.Time, rate float64) bool {
	kept := s.coldGrants[:0]
	for _, at := range s.coldGrants {
		if now.Sub(at) < coldWindow {
			kept = append(kept, at)
		}
	}
	s.coldGrants = kept
	return len(kept) < max(1, int(rate))
}

// decayed halves a value for each half-life that has passed.
func decayed(value float64, since time.Duration, halfLife time.Duration) float64 {
	for ; since >= halfLife && value > 0.001; since -= halfLife {
		value /= 2
	}
	return value * (1 - float64(min(since, halfLife))/float64(2*halfLife))
}

// distrust returns the mistrust now.
func (s *Server) distrust(now time.Time) float64 {
	return decayed(s.mistrust, now.Sub(s.mistrustAt), failureHalfLife)
}

// slow returns the slowness now; 1 is the service's usual.
func (s *Server) slow(now time.Time) float64 {
	return 1 + decayed(s.slowness-1, now.Sub(s.slownessAt), slowMemory)
}

// noteSuccess takes in a whole answer that took the given part of the usual.
func (s *Server) noteSuccess(now time.Time, relative float64) {
	s.sound, s.ejections = now, 0
	s.ejectedTo = time.Time{}
	s.mistrust, s.mistrustAt = s.distrust(now)*0.7, now
	s.slowness, s.slownessAt = s.slow(now)*(1-slowWeight)+relative*slowWeight, now
}

// noteFailure takes in a failure that speaks against the server.
func (s *Server) noteFailure(now time.Time) {
	s.mistrust, s.mistrustAt = s.distrust(now)+1, now
}

// eject keeps requests away for a time that doubles with each failure in a row.
func (s *Server) eject(now time.Time) {
	pause := min(firstEjection<<s.ejections, longestEjection)
	s.ejections = min(s.ejections+1, 8)
	s.ejectedTo = now.Add(pause)
}
