package limit

import "time"

// The ramp of a cold backend server.
const (
	// rampScore is the score at which the limit grows by one request.
	rampScore = 16
	// fastScore and slowScore are what one answer adds to the score.
	fastScore = 4
	slowScore = 1
)

// Outcome is what one request showed of a backend server.
type Outcome uint8

// The outcomes of a request.
const (
	// Unused means that the request was never sent.
	Unused Outcome = iota
	// Fast means a good answer in the time that the service usually takes.
	Fast
	// Slow means a good answer that took much longer.
	Slow
	// Failed means an error, a refusal or a broken exchange.
	Failed
)

// Admission is the account that the one owner of a cold backend server keeps of
// all requests in progress on it: those of the owner and those that it lent to
// other entries, one request each. The sum never exceeds the limit, which grows
// by one after a few good answers and shrinks to one after a failure. It is not
// safe for concurrent use.
type Admission struct {
	slots int64
	limit int64
	score int
	used  int64
	lent  map[uint64]loan
	next  uint64
	warm  bool
}

// loan is room lent to another entry for one request.
type loan struct {
	to      string
	expires time.Time
}

// NewAdmission returns the admission of a cold backend server: one request.
func NewAdmission(slots int) *Admission {
	return &Admission{slots: int64(slots), limit: 1, lent: map[uint64]loan{}}
}

// Limit returns the bound on all requests in progress.
func (a *Admission) Limit() int64 { return a.limit }

// InUse returns the owner's requests in progress and the lent ones.
func (a *Admission) InUse() int64 { return a.used + int64(len(a.lent)) }

// Warm reports whether answers have shown that every slot may be used.
func (a *Admission) Warm() bool { return a.warm }

// Acquire takes room for a request of the owner.
func (a *Admission) Acquire() bool {
	if a.InUse() >= a.limit {
		return false
	}
	a.used++
	return true
}

// Release ends a request of the owner.
func (a *Admission) Release(o Outcome) {
	a.used--
	a.learn(o)
}

// Lend takes room for one request of the entry named to. The loan counts as in
// use until it is returned, or until expires, by when the request must have ended.
func (a *Admission) Lend(to string, expires time.Time) (id uint64, ok bool) {
	if a.InUse() >= a.limit {
		return 0, false
	}
	a.next++
	a.lent[a.next] = loan{to: to, expires: expires}
	return a.next, true
}

// Return ends a loan. A loan that is unknown or has expired is ignored.
func (a *Admission) Return(id uint64, o Outcome) {
	if _, ok := a.lent[id]; !ok {
		return
	}
	delete(a.lent, id)
	a.learn(o)
}

// Expire ends loans that were never returned.
func (a *Admission) Expire(now time.Time) {
	for id, l := range a.lent {
		if now.After(l.expires) {
			delete(a.lent, id)
		}
	}
}

// Shorten lets the loans of entries that are gone end at the given time, unless
// they end before.
func (a *Admission) Shorten(gone func(entry string) bool, end time.Time) {
	for id, l := range a.lent {
		if gone(l.to) && end.Before(l.expires) {
			a.lent[id] = loan{to: l.to, expires: end}
		}
	}
}

// learn moves the ramp by the outcome of one request.
func (a *Admission) learn(o Outcome) {
	switch o {
	case Fast:
		a.score += fastScore
	case Slow:
		a.score += slowScore
	case Failed:
		a.score, a.limit = 0, 1
	}
	if a.score < rampScore {
		return
	}
	a.score = 0
	if a.limit < a.slots {
		a.limit++
		return
	}
	a.warm = true
}
