package rollout

import (
	"fmt"
	"time"

	"tanagerbarrow/declare"
)

// What a service needs before its old servers get nothing more.
const (
	// switchRoom is how many slots of new servers there are to be for each request in progress at
	// the peak, and leastSwitchRoom how many when the switch can't wait any longer.
	switchRoom      = 1.2
	leastSwitchRoom = 0.8
	// observedServiceTimes is how long the new version is observed after the switch, as a
	// multiple of the mean service time, and leastObserved the least time: a fault may show under
	// the full load only.
	observedServiceTimes = 3
	leastObserved        = 500 * time.Millisecond
	// lostVersionDelay is how long a switched service may be without a usable new server until
	// it is switched back.
	lostVersionDelay = 2 * time.Second
	// overdueAnswers is the number of responses with which a version is judged after twice the
	// time that the operator allowed, and overdueRequests the number of requests of the service
	// from which it should have got more.
	overdueAnswers  = 10
	overdueRequests = 200
	// overdueTerm is how long a broker must have counted requests until then: a new one has
	// neither evidence nor all servers at first.
	overdueTerm = 5 * time.Second
)

// Conditions are what the decision on the next stage depends on besides the evidence.
type Conditions struct {
	Stage declare.RolloutStage
	// NewServers and NewSlots are the numbers of usable servers of the new version and of their
	// slots; those of cold servers don't count.
	NewServers, NewSlots int
	// PeakLoad is the highest recent number of requests in progress.
	PeakLoad float64
	// ServiceTime is the mean service time of a request.
	ServiceTime time.Duration
	// SwitchedAt is when the service was switched, and LeftOnOld the number of requests that may
	// still run on old servers.
	SwitchedAt time.Time
	LeftOnOld  int
}

// Rollout is the roll-out of one service.
type Rollout struct {
	Plan     Plan
	Exposure *Exposure
	Evidence *Evidence
	// lostSince is since when a switched service has had no usable new server.
	lostSince time.Time
}

// Next returns the stage to which the roll-out is to move now and the reason; an empty stage and
// the reason why it waits if there is none.
func (r *Rollout) Next(c Conditions, now time.Time) (stage declare.RolloutStage, reason string) {
	r.Evidence.Judge(c.NewServers, now)
	if v := r.Evidence.Verdict(); v != nil {
		return declare.RolloutRolledBack, v.Reason
	}
	if c.Stage == declare.RolloutSwitching {
		return r.completion(c, now)
	}
	if now.Before(r.Plan.SwitchAt(c.ServiceTime)) {
		return "", "the canary gathers evidence"
	}
	if stage, reason := r.unfit(c, now); reason != "" {
		return stage, reason
	}
	return declare.RolloutSwitching, r.room(c)
}

// room returns the slots that a switch needs and finds, in words.
func (r *Rollout) room(c Conditions) string {
	return fmt.Sprintf("%d slots of new servers for %.0f requests at the peak", c.NewSlots, c.PeakLoad)
}

// unfit returns why the service can't be switched now, and the stage that follows if it won't be
// any more; no reason if it can be switched. A version that could break the bound isn't switched
// to unseen: it is completed late instead. After twice the time that the operator allowed, the
// roll-out ends either way.
func (r *Rollout) unfit(c Conditions, now time.Time) (stage declare.RolloutStage, reason string) {
	last := !now.Before(r.Plan.LatestSwitch(c.ServiceTime))
	longOverdue := now.Sub(r.Plan.Due) >= r.Plan.duration() && now.Sub(r.Exposure.since) >= overdueTerm
	if longOverdue {
		stage = declare.RolloutRolledBack
	}
	if n := r.Evidence.Answers(); n < EnoughAnswers && !r.Exposure.FitsBlindly(now) {
		all, _ := r.Exposure.Counts()
		if !longOverdue || n < overdueAnswers && all >= overdueRequests {
			return stage, fmt.Sprintf("%d of %d responses that a verdict needs", n, EnoughAnswers)
		}
	}
	if doubt, _ := r.Evidence.Doubtful(c.NewServers, now); doubt != "" {
		if last {
			return declare.RolloutRolledBack, "in doubt at the end: " + doubt
		}
		return "", "in doubt: " + doubt
	}
	wanted := switchRoom * c.PeakLoad
	if last {
		wanted = leastSwitchRoom * c.PeakLoad
	}
	if c.NewSlots == 0 || float64(c.NewSlots) < wanted {
		return stage, "the new servers have too little room: " + r.room(c)
	}
	return "", ""
}

// lost reports whether a switched service has had no usable new server for too long.
func (r *Rollout) lost(c Conditions, now time.Time) bool {
	switch {
	case c.NewServers > 0:
		r.lostSince = time.Time{}
	case r.lostSince.IsZero():
		r.lostSince = now
	default:
		return now.Sub(r.lostSince) >= lostVersionDelay
	}
	return false
}

// completion returns whether old servers have finished.
func (r *Rollout) completion(c Conditions, now time.Time) (stage declare.RolloutStage, reason string) {
	if r.lost(c, now) {
		return declare.RolloutRolledBack, "no usable server of the new version is left"
	}
	reason = fmt.Sprintf("%d requests left on old servers", c.LeftOnOld)
	observe := max(leastObserved, observedServiceTimes*c.ServiceTime)
	last := !now.Before(r.Plan.CompleteBy())
	switch doubt, strong := r.Evidence.Doubtful(c.NewServers, now); {
	case doubt != "" && (strong || last):
		return declare.RolloutRolledBack, "in doubt after the switch: " + doubt
	case doubt != "":
		return "", "in doubt: " + doubt
	case c.NewServers == 0 || !last && (c.LeftOnOld > 0 || now.Sub(c.SwitchedAt) < observe):
		return "", reason
	}
	return declare.RolloutCompleted, reason
}

// Figures returns the counts so far for operators.
func (r *Rollout) Figures() string {
	all, canary := r.Exposure.Counts()
	return fmt.Sprintf("%d of %d requests to new servers; %s", canary, all, r.Evidence.Summary())
}
