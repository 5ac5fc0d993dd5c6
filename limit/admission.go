package limit

import "time"

// The parameters of the ramp-up of a cold backend server.
const (
	// scorePerStep is the score at which the limit grows by one request.
	scorePerStep = 16
	// fastScore and slowScore are added to the score by one fast or slow response.
	fastScore = 4
	slowScore = 1
)

// Outcome is the result of one request to a backend server.
type Outcome uint8

// The outcomes of a request.
const (
	// Unused means that the request was never sent.
	Unused Outcome = iota
	// Fast means a successful response within the usual response time of the
	// service.
	Fast
	// Slow means a successful response that took much longer.
	Slow
	// Failed means an error, a refusal or an interrupted exchange.
	Failed
)

// Admission limits the requests in progress on a cold backend server. Only the
// entry that owns the server has one; it counts the owner's requests and the
// loans to other entries, which allow one request each. The sum never exceeds
// the limit, which grows by one after a few successful responses and shrinks to
// one after a failure. It is not safe for concurrent use.
type Admission struct {
	slots      int64
	limit      int64
	score      int
	own        int64
	loans      map[uint64]loan
	lastLoanID uint64
	warm       bool
}

// loan permits another entry to send one request.
type loan struct {
	entry   string
	expires time.Time
}

// NewAdmission returns the admission of a cold backend server, with a limit of one
// request.
func NewAdmission(slots int) *Admission {
	return &Admission{slots: int64(slots), limit: 1, loans: map[uint64]loan{}}
}

// Limit returns the bound on all requests in progress.
func (a *Admission) Limit() int64 { return a.limit }

// InUse returns the number of the owner's requests in progress and of the loans.
func (a *Admission) InUse() int64 { return a.own + int64(len(a.loans)) }

// Warm reports whether the responses have completed the ramp-up, so that every
// slot may be used.
func (a *Admission) Warm() bool { return a.warm }

// Acquire reserves capacity for a request of the owner. It reports whether the
// limit allows the request.
func (a *Admission) Acquire() bool {
	if a.InUse() >= a.limit {
		return false
	}
	a.own++
	return true
}

// Release ends a request of the owner and applies its outcome to the ramp-up.
func (a *Admission) Release(o Outcome) {
	a.own--
	a.updateRamp(o)
}

// Lend reserves capacity for one request of another entry. The loan counts as in
// use until it is returned, or until expires, by when the request must have ended.
// Lend reports whether the limit allows the request.
func (a *Admission) Lend(entry string, expires time.Time) (id uint64, ok bool) {
	if a.InUse() >= a.limit {
		return 0, false
	}
	a.lastLoanID++
	a.loans[a.lastLoanID] = loan{entry: entry, expires: expires}
	return a.lastLoanID, true
}

// Return ends a loan and applies the outcome of its request to the ramp-up. A loan
// that is unknown or has expired is ignored.
func (a *Admission) Return(id uint64, o Outcome) {
	if _, ok := a.loans[id]; !ok {
		return
	}
	delete(a.loans, id)
	a.updateRamp(o)
}

// Expire ends the loans that were not returned before they expired.
func (a *Admission) Expire(now time.Time) {
	for id, l := range a.loans {
		if now.After(l.expires) {
			delete(a.loans, id)
		}
	}
}

// Shorten sets the expiry of the loans of entries that are gone to the given time,
// unless they expire earlier.
func (a *Admission) Shorten(gone func(entry string) bool, end time.Time) {
	for id, l := range a.loans {
		if gone(l.entry) && end.Before(l.expires) {
			a.loans[id] = loan{entry: l.entry, expires: end}
		}
	}
}

// updateRamp applies the outcome of one request to the ramp-up.
func (a *Admission) updateRamp(o Outcome) {
	switch o {
	case Fast:
		a.score += fastScore
	case Slow:
		a.score += slowScore
	case Failed:
		a.score, a.limit = 0, 1
	}
	if a.score < scorePerStep {
		return
	}
	a.score = 0
	if a.limit < a.slots {
		a.limit++
		return
	}
	a.warm = true
}
