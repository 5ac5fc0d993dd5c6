// Package rhythm learns when a value that is drawn anew at fixed intervals
// changes, from samples of it. A sample taken right after a draw holds until the
// next one, so that few samples tell the value at nearly all times.
//
// It answers a load pattern of shared machines: the pace of a backend server
// changes several times a second by a factor of five. Decisions are pure; times
// are given as durations from any fixed moment.
package rhythm

import (
	"math"
	"time"
)

// The constants of learning.
const (
	// LearnPeriod is the time between samples until the interval is known. It
	// must be a small part of the interval.
	LearnPeriod = 25 * time.Millisecond
	// PlainPeriod is the time between samples of a value without a rhythm.
	PlainPeriod = 100 * time.Millisecond
	// shortest and longest bound the intervals that are looked for.
	shortest = 60 * time.Millisecond
	longest  = 500 * time.Millisecond
	// coarse and fine are the steps of the search.
	coarse = time.Millisecond
	fine   = 50 * time.Microsecond
	// roundStep is the step of intervals that people set.
	roundStep = 50 * time.Millisecond
	// wanted is the number of changes that must agree: fewer agree by chance.
	wanted = 8
	// kept is the number of changes that are remembered.
	kept = 24
	// patience is how long samples are taken often without a change.
	patience = 12 * time.Second
	// rest is how long a value without a rhythm is sampled plainly.
	rest = 30 * time.Second
	// checkEvery is how many draws pass between two samples right before one,
	// which keep the phase exact; checkFirst holds for the first checkedDraws,
	// while the interval is known least exactly.
	checkEvery   = 4
	checkFirst   = 2
	checkedDraws = 60
	// guard is the time after the expected draw at which it has happened for
	// sure, and before it at which it has not.
	guard = 1500 * time.Microsecond
	// afterDoubt is the number of further changes that must agree after one came
	// out of time.
	afterDoubt = 3
)

// change is a span in which the value changed.
type change struct{ from, to time.Duration }

// Learner learns the rhythm of one value.
type Learner struct {
	changes []change
	begun   time.Duration
	started bool

	value    int
	at       time.Duration
	sampled  bool
	interval time.Duration
	// earliest and latest bound one draw; the others are whole intervals away.
	earliest, latest time.Duration
	draws            int
	// fresh counts the changes since the last doubt, and misfits those that no
	// interval explained together with the others.
	fresh, misfits int
	// trip is the longest time that a sample took lately.
	trip time.Duration
	// plainUntil is the end of a rest without learning.
	plainUntil time.Duration
}

// Known reports whether the rhythm is known.
func (l *Learner) Known() bool { return l.interval > 0 }

// Observe takes in a sample that was asked for and answered at the given times.
func (l *Learner) Observe(asked, answered time.Duration, value int) {
	if !l.started {
		l.started, l.begun = true, asked
	}
	l.trip = max(l.trip*9/10, answered-asked)
	if l.sampled && value != l.value {
		l.note(change{l.at, answered})
	}
	l.sampled, l.value, l.at = true, value, asked
	hopeless := l.misfits >= kept-1 || (len(l.changes) == 0 && answered-l.begun > patience)
	if !l.Known() && hopeless && answered > l.plainUntil {
		l.forget()
		l.plainUntil = answered + rest
		l.started, l.begun = true, l.plainUntil
	}
}

// note takes in a change. A wide span says nothing about the phase.
func (l *Learner) note(c change) {
	if l.Known() && !l.agrees(c) {
		l.doubt()
		return
	}
	limit := 2 * LearnPeriod
	if l.Known() {
		limit = l.interval / 3
	}
	if c.to-c.from > limit {
		return
	}
	l.changes = append(l.changes, c)
	if len(l.changes) > kept {
		l.changes = l.changes[1:]
	}
	l.fit()
}

// agrees reports whether a draw is expected within the span.
func (l *Learner) agrees(c change) bool {
	return l.after(l.earliest, c.from-guard) <= c.to
}

// doubt ends the rhythm and samples often again. The changes stay: if only the
// interval was inexact, a few more of them tell it better.
func (l *Learner) doubt() {
	l.interval, l.fresh = 0, 0
}

// forget begins anew.
func (l *Learner) forget() { *l = Learner{} }

// fit looks for the longest interval that explains all changes.
func (l *Learner) fit() {
	l.fresh++
	if len(l.changes) < wanted || (!l.Known() && l.fresh < afterDoubt) {
		return
	}
	if l.Known() {
		if l.refine(l.interval) {
			return
		}
		l.changes = l.changes[1:]
		return
	}
	for interval := longest; interval >= shortest; interval -= coarse {
		if l.refine(interval) {
			// The search meets the upper end first; look on both sides of it.
			l.refine(l.interval)
			l.misfits = 0
			return
		}
	}
	l.misfits++
	if l.fresh >= wanted {
		// What was seen before the last doubt contradicts what was seen since.
		l.changes = l.changes[len(l.changes)-wanted:]
	}
}

// refine takes the middle of the intervals near the given one that explain all
// changes.
func (l *Learner) refine(near time.Duration) bool {
	first, last := time.Duration(0), time.Duration(0)
	for interval := near - 2*coarse; interval <= near+2*coarse; interval += fine {
		if _, _, ok := l.phase(interval); !ok {
			continue
		}
		if first == 0 {
			first = interval
		}
		last = interval
	}
	if first == 0 {
		return false
	}
	middle := roundest(first, last)
	earliest, latest, ok := l.phase(middle)
	if !ok {
		middle = first
		earliest, latest, _ = l.phase(middle)
	}
	l.interval, l.earliest, l.latest = middle, earliest, latest
	return true
}

// roundest returns the roundest duration between two, since intervals are set by
// people; their middle if none is round.
func roundest(first, last time.Duration) time.Duration {
	middle := (first + last) / 2
	if round := middle.Round(roundStep); first <= round && round <= last {
		return round
	}
	return middle
}

// phase returns the bounds of a draw if the interval explains all changes. They
// are those near the newest change, so that an inexact interval adds up little.
func (l *Learner) phase(interval time.Duration) (earliest, latest time.Duration, ok bool) {
	newest := l.changes[len(l.changes)-1]
	earliest, latest = newest.from, newest.to
	for _, c := range l.changes[:len(l.changes)-1] {
		distance := float64((newest.from + newest.to - c.from - c.to) / 2)
		shift := time.Duration(math.Round(distance/float64(interval))) * interval
		earliest, latest = max(earliest, c.from+shift), min(latest, c.to+shift)
		if earliest > latest {
			return 0, 0, false
		}
	}
	return earliest, latest, true
}

// after returns the first moment after t that is whole intervals from a draw.
func (l *Learner) after(draw, t time.Duration) time.Duration {
	ahead := (t - draw) / l.interval
	next := draw + ahead*l.interval
	for next <= t {
		next += l.interval
	}
	return next
}

// NextSample returns when to sample next.
func (l *Learner) NextSample(now time.Duration) time.Duration {
	switch {
	case l.Known():
		return l.nextKnown(now)
	case now < l.plainUntil:
		return now + PlainPeriod
	default:
		return now + LearnPeriod
	}
}

// nextKnown returns the moment after the next draw, or now and then the one
// before it.
func (l *Learner) nextKnown(now time.Duration) time.Duration {
	after := l.after(l.latest+guard, now)
	l.draws++
	before := after - (l.latest - l.earliest) - 3*guard - l.trip
	every := checkEvery
	if l.draws < checkedDraws {
		every = checkFirst
	}
	if l.draws%every == 0 && before > now {
		return before
	}
	return after
}

// ValidFor returns how long a sample taken now holds; 0 if that is not known.
func (l *Learner) ValidFor(now time.Duration) time.Duration {
	if !l.Known() {
		return 0
	}
	return l.after(l.earliest, now) - now
}
