// Package rhythm estimates the interval and the phase at which a periodically
// updated value changes, from samples of the value. An update may leave the value
// as it was. A sample taken right after an update stays valid until the next
// update, so a few samples give the value at nearly all times.
//
// It exists for a load pattern of shared machines, on which the pace of a backend
// server changes several times a second by a factor of five. The package does no
// I/O and reads no clock; times are durations since an arbitrary fixed moment.
package rhythm

import (
	"math"
	"time"
)

// Parameters of the estimation.
const (
	// LearningSamplePeriod is the time between samples until the interval is
	// known. It must be a small part of the interval.
	LearningSamplePeriod = 25 * time.Millisecond
	// FallbackSamplePeriod is the time between samples of a value for which no
	// rhythm was found.
	FallbackSamplePeriod = 100 * time.Millisecond
	// minInterval and maxInterval bound the search for the update interval.
	minInterval = 60 * time.Millisecond
	maxInterval = 500 * time.Millisecond
	// coarseStep and fineStep are the step sizes of the search.
	coarseStep = time.Millisecond
	fineStep   = 50 * time.Microsecond
	// roundingStep is the granularity of intervals that people configure.
	roundingStep = 50 * time.Millisecond
	// minChanges is the number of changes that must fit one interval. Fewer
	// changes can fit by chance.
	minChanges = 8
	// maxChanges is the number of changes that are kept.
	maxChanges = 24
	// learningTimeout ends the sampling at LearningSamplePeriod if no change was
	// observed.
	learningTimeout = 12 * time.Second
	// fallbackDuration is how long a value without a rhythm is sampled at
	// FallbackSamplePeriod before learning restarts.
	fallbackDuration = 30 * time.Second
	// One sample in phaseCheckEvery is taken right before an update instead of
	// after it, which keeps the estimate of the phase exact. For the first
	// initialSamples samples it is one in initialPhaseCheckEvery, because the
	// interval is least exact then.
	phaseCheckEvery        = 4
	initialPhaseCheckEvery = 2
	initialSamples         = 60
	// guardTime is the margin around the expected time of an update: the update
	// has not happened yet before the margin and has happened after it.
	guardTime = 1500 * time.Microsecond
	// minChangesAfterReset is the number of further changes that must fit after a
	// change at an unexpected time discarded the interval.
	minChangesAfterReset = 3
)

// change is a time span within which the value changed: between two samples.
type change struct{ from, to time.Duration }

// Learner estimates the rhythm of one value. It is not safe for concurrent use.
type Learner struct {
	changes       []change
	learningSince time.Duration
	started       bool

	lastValue int
	lastAsked time.Duration
	hasSample bool
	interval  time.Duration
	// earliest and latest bound the time of one update. All other updates are
	// whole intervals away from it.
	earliest, latest    time.Duration
	synchronizedSamples int
	// changesSinceReset counts the changes since the interval was last discarded.
	// failedSearches counts the searches in which no interval fitted all changes.
	changesSinceReset, failedSearches int
	// roundTrip is the longest recent duration of a sample. It decays by a tenth
	// with each sample.
	roundTrip time.Duration
	// fallbackUntil is the end of the current period without learning.
	fallbackUntil time.Duration
}

// Known reports whether the interval and the phase are known.
func (l *Learner) Known() bool { return l.interval > 0 }

// Observe adds a sample that was requested and answered at the given times.
func (l *Learner) Observe(asked, answered time.Duration, value int) {
	if !l.started {
		l.started, l.learningSince = true, asked
	}
	l.roundTrip = max(l.roundTrip*9/10, answered-asked)
	if l.hasSample && value != l.lastValue {
		l.recordChange(change{l.lastAsked, answered})
	}
	l.hasSample, l.lastValue, l.lastAsked = true, value, asked
	giveUp := l.failedSearches >= maxChanges-1 || (len(l.changes) == 0 && answered-l.learningSince > learningTimeout)
	if !l.Known() && giveUp && answered > l.fallbackUntil {
		l.reset()
		l.fallbackUntil = answered + fallbackDuration
		l.started, l.learningSince = true, l.fallbackUntil
	}
}

// recordChange adds a change to the estimate. A change at an unexpected time
// discards the interval. A change with a wide span is ignored, because it says
// nothing about the phase.
func (l *Learner) recordChange(c change) {
	if l.Known() && !l.isExpected(c) {
		l.discardInterval()
		return
	}
	maxSpan := 2 * LearningSamplePeriod
	if l.Known() {
		maxSpan = l.interval / 3
	}
	if c.to-c.from > maxSpan {
		return
	}
	l.changes = append(l.changes, c)
	if len(l.changes) > maxChanges {
		l.changes = l.changes[1:]
	}
	l.fitInterval()
}

// isExpected reports whether an update is expected within the span of the change.
func (l *Learner) isExpected(c change) bool {
	return l.firstUpdateAfter(l.earliest, c.from-guardTime) <= c.to
}

// discardInterval returns to sampling at LearningSamplePeriod. It keeps the
// recorded changes: if the interval was merely inexact, a few more changes
// correct it.
func (l *Learner) discardInterval() {
	l.interval, l.changesSinceReset = 0, 0
}

// reset discards the whole state.
func (l *Learner) reset() { *l = Learner{} }

// fitInterval searches for the longest interval that fits all changes.
func (l *Learner) fitInterval() {
	l.changesSinceReset++
	if len(l.changes) < minChanges || (!l.Known() && l.changesSinceReset < minChangesAfterReset) {
		return
	}
	if l.Known() {
		if l.refineInterval(l.interval) {
			return
		}
		l.changes = l.changes[1:]
		return
	}
	for interval := maxInterval; interval >= minInterval; interval -= coarseStep {
		if l.refineInterval(interval) {
			// The search descends, so the first match is the upper end of the range
			// of fitting intervals. Search again on both sides of it.
			l.refineInterval(l.interval)
			l.failedSearches = 0
			return
		}
	}
	l.failedSearches++
	if l.changesSinceReset >= minChanges {
		// The changes before the last reset contradict those after it.
		l.changes = l.changes[len(l.changes)-minChanges:]
	}
}

// refineInterval sets the interval to the middle of those near the given one that
// fit all changes, or to a round value between them. It reports whether any fits.
func (l *Learner) refineInterval(near time.Duration) bool {
	first, last := time.Duration(0), time.Duration(0)
	for interval := near - 2*coarseStep; interval <= near+2*coarseStep; interval += fineStep {
		if _, _, ok := l.updateBounds(interval); !ok {
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
	middle := roundestBetween(first, last)
	earliest, latest, ok := l.updateBounds(middle)
	if !ok {
		middle = first
		earliest, latest, _ = l.updateBounds(middle)
	}
	l.interval, l.earliest, l.latest = middle, earliest, latest
	return true
}

// roundestBetween returns a multiple of roundingStep between the two durations,
// because people configure round intervals, or their middle if there is none.
func roundestBetween(first, last time.Duration) time.Duration {
	middle := (first + last) / 2
	if round := middle.Round(roundingStep); first <= round && round <= last {
		return round
	}
	return middle
}

// updateBounds returns the bounds of the time of one update if the interval fits
// all changes. It uses the update at the newest change, so that the error of an
// inexact interval accumulates over few intervals.
func (l *Learner) updateBounds(interval time.Duration) (earliest, latest time.Duration, ok bool) {
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

// firstUpdateAfter returns the first time after t that is a whole number of
// intervals away from the given update.
func (l *Learner) firstUpdateAfter(update, t time.Duration) time.Duration {
	whole := (t - update) / l.interval
	next := update + whole*l.interval
	for next <= t {
		next += l.interval
	}
	return next
}

// NextSample returns the time of the next sample.
func (l *Learner) NextSample(now time.Duration) time.Duration {
	switch {
	case l.Known():
		return l.nextSynchronized(now)
	case now < l.fallbackUntil:
		return now + FallbackSamplePeriod
	default:
		return now + LearningSamplePeriod
	}
}

// nextSynchronized returns the time right after the next update or, for phase
// checks, the time right before it.
func (l *Learner) nextSynchronized(now time.Duration) time.Duration {
	after := l.firstUpdateAfter(l.latest+guardTime, now)
	l.synchronizedSamples++
	before := after - (l.latest - l.earliest) - 3*guardTime - l.roundTrip
	every := phaseCheckEvery
	if l.synchronizedSamples < initialSamples {
		every = initialPhaseCheckEvery
	}
	if l.synchronizedSamples%every == 0 && before > now {
		return before
	}
	return after
}

// ValidFor returns how long a sample taken now stays valid, or 0 if the rhythm is
// not known.
func (l *Learner) ValidFor(now time.Duration) time.Duration {
	if !l.Known() {
		return 0
	}
	return l.firstUpdateAfter(l.earliest, now) - now
}
