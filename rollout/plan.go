package rollout

import "time"

// Times of the stages of a roll-out.
const (
	// completionMarginShare is the part of the duration that is left when a roll-out ends, within
	// leastMargin and longestMargin: an operator reads the end some time after it was committed.
	completionMarginShare = 1.0 / 15
	leastMargin           = time.Second
	longestMargin         = 10 * time.Second
	// controlTime is the time for the two commits of a switch and for the entries to confirm it.
	controlTime = 500 * time.Millisecond
	// drainServiceTimes is the time, as a multiple of the mean service time, in which requests on
	// old servers usually end, and maxDrainShare bounds it as a part of the duration.
	drainServiceTimes = 4
	leastDrain        = time.Second
	maxDrainShare     = 0.2
	// maxReserveShare bounds the part of the duration after the switch, so that a short roll-out
	// has a canary too.
	maxReserveShare = 0.35
	// latestSwitchReserve is the part of the usual time after the switch that the latest one has.
	latestSwitchReserve = 0.6
)

// Plan is when the stages of a roll-out are due.
type Plan struct{ Began, Due time.Time }

// duration is the time that the operator allows.
func (p Plan) duration() time.Duration { return p.Due.Sub(p.Began) }

// progress is the part of the duration that has passed.
func (p Plan) progress(now time.Time) float64 {
	return float64(now.Sub(p.Began)) / float64(max(p.duration(), time.Millisecond))
}

// margin is the time between the end of a roll-out and its due time.
func (p Plan) margin() time.Duration {
	d := time.Duration(completionMarginShare * float64(p.duration()))
	return min(max(d, leastMargin), longestMargin, time.Duration(maxReserveShare/2*float64(p.duration())))
}

// reserve is the time between the switch and the due time, for a mean service time.
func (p Plan) reserve(serviceTime time.Duration) time.Duration {
	drain := max(leastDrain, drainServiceTimes*serviceTime)
	drain = min(drain, time.Duration(maxDrainShare*float64(p.duration())))
	return min(p.margin()+controlTime+drain, time.Duration(maxReserveShare*float64(p.duration())))
}

// SwitchAt is when the switch is due: late, so that a version that turns bad late is seen,
// and early enough for old servers to finish.
func (p Plan) SwitchAt(serviceTime time.Duration) time.Time {
	return p.Due.Add(-p.reserve(serviceTime))
}

// LatestSwitch is until when the switch can wait.
func (p Plan) LatestSwitch(serviceTime time.Duration) time.Time {
	return p.Due.Add(-time.Duration(latestSwitchReserve * float64(p.reserve(serviceTime))))
}

// CompleteBy is when old servers have had their time to finish.
func (p Plan) CompleteBy() time.Time { return p.Due.Add(-p.margin()) }
