package broker

import (
	"fmt"
	"slices"
	"time"
)

// result counts the requests by their outcome for the callers.
type result struct {
	requests, inTime, late, refused, timedOut int
	urgent, urgentInTime                      int
	// lateRefusals counts the refusals of asks that have waited an eighth of the objective.
	lateRefusals int
	// byAccount, byPriority and abusers hold the requests of each account, of each priority, and
	// of those that wait as told and those that don't.
	byAccount  map[int]*tally
	byPriority map[int]*tally
	byBackoff  map[bool]*tally
	// slow counts the requests that began on a machine below its usual pace.
	slow int
	// crossed and crossedZone count the granted requests that left their region
	// and their zone.
	crossed, crossedZone int
	// times are the latencies of the requests that received a response.
	times []time.Duration
}

// tally counts requests, those that received a response and those that received it in time.
type tally struct{ requests, served, inTime int }

// servedShare is the part of the requests that received a response.
func (t *tally) servedShare() float64 { return float64(t.served) / float64(t.requests) }

// inTimeShare is the part of the requests that received a response in time.
func (t *tally) inTimeShare() float64 { return float64(t.inTime) / float64(t.requests) }

// tallies returns the tallies to which a request belongs.
func (r *result) tallies(c *simRequest) []*tally {
	if r.byAccount == nil {
		r.byAccount, r.byPriority, r.byBackoff = map[int]*tally{}, map[int]*tally{}, map[bool]*tally{}
	}
	return []*tally{tallyOf(r.byAccount, c.account), tallyOf(r.byPriority, c.priority), tallyOf(r.byBackoff, c.abusive)}
}

// tallyOf returns the tally of a key and creates it if there is none.
func tallyOf[K comparable](m map[K]*tally, key K) *tally {
	if m[key] == nil {
		m[key] = &tally{}
	}
	return m[key]
}

func (r result) quantile(q float64) time.Duration {
	slices.Sort(r.times)
	return r.times[int(q*float64(len(r.times)-1))]
}

// share is the part of the requests that received a response within the latency
// objective.
func (r result) share() float64 { return float64(r.inTime) / float64(r.requests) }

func (r result) String() string {
	return fmt.Sprintf("%d requests, %.3f in time, %.3f late, %.3f refused, %.3f timed out", r.requests, r.share(),
		float64(r.late)/float64(r.requests), float64(r.refused)/float64(r.requests), float64(r.timedOut)/float64(r.requests))
}
