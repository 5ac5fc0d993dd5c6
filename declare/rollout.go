package declare

import "slices"

// RolloutStage is the stage of a roll-out.
type RolloutStage string

// The stages of roll-outs. A roll-out begins as a canary. It ends as completed or rolled back.
const (
	// RolloutCanary means that the new version gets a small share of the service's requests.
	RolloutCanary RolloutStage = "canary"
	// RolloutSwitching means that the old servers get no more requests and finish those that
	// they have.
	RolloutSwitching RolloutStage = "switching"
	// RolloutCompleted means that only servers of the new version are used.
	RolloutCompleted RolloutStage = "completed"
	// RolloutRolledBack means that servers of the new version are not used.
	RolloutRolledBack RolloutStage = "rolled_back"
)

// Ended reports whether a roll-out in this stage has ended.
func (s RolloutStage) Ended() bool { return s == RolloutCompleted || s == RolloutRolledBack }

// mayFollow reports whether a roll-out may move to this stage from another one.
func (s RolloutStage) mayFollow(before RolloutStage) bool {
	switch s {
	case RolloutSwitching:
		return before == RolloutCanary
	case RolloutCompleted:
		return before == RolloutSwitching
	case RolloutRolledBack:
		return !before.Ended()
	default:
		return false
	}
}

// RolloutOrder is an operator's order to move a service to a new version.
type RolloutOrder struct {
	// Service is the name of the service, and TargetVersion the version of its software.
	Service       string `json:"service"`
	TargetVersion string `json:"target_version"`
	// DurationMillis is the time within which the operator wants it done, in milliseconds.
	DurationMillis int64 `json:"duration_ms"`
	// BeganAt is when the order was accepted, in Unix milliseconds.
	BeganAt int64 `json:"began_at"`
}

// Rollout is the roll-out of a new version of a service: the one in progress, or else the last.
type Rollout struct {
	RolloutOrder
	// Position is the log index of the command that began it, and identifies it.
	Position uint64 `json:"position"`
	// Stage is the stage that it has reached.
	Stage RolloutStage `json:"stage"`
	// Reason tells operators which figures decided the last stage.
	Reason string `json:"reason,omitempty"`
}

// RolloutMove moves a roll-out to its next stage.
type RolloutMove struct {
	// Service and Position identify the roll-out.
	Service  string `json:"service"`
	Position uint64 `json:"position"`
	// Stage is the next stage, and Reason tells which figures decided it.
	Stage  RolloutStage `json:"stage"`
	Reason string       `json:"reason,omitempty"`
}

// Rollout returns the roll-out in progress of a service or else its last one; nil if there was
// none.
func (s *State) Rollout(service string) *Rollout {
	at := slices.IndexFunc(s.Rollouts, func(r Rollout) bool { return r.Service == service })
	if at < 0 {
		return nil
	}
	return &s.Rollouts[at]
}

// startRollout begins a roll-out and reports whether it did: a service has at most one in
// progress. The caller holds mu.
func (m *Machine) startRollout(position uint64, o RolloutOrder) bool {
	before := m.state.Rollout(o.Service)
	if before != nil && !before.Stage.Ended() {
		return false
	}
	rollouts := slices.DeleteFunc(slices.Clone(m.state.Rollouts), func(r Rollout) bool { return r.Service == o.Service })
	m.state.Rollouts = append(rollouts, Rollout{RolloutOrder: o, Position: position, Stage: RolloutCanary})
	return true
}

// moveRollout moves a roll-out to its next stage and reports whether it did. The caller holds
// mu.
func (m *Machine) moveRollout(move RolloutMove) bool {
	before := m.state.Rollout(move.Service)
	if before == nil || before.Position != move.Position || !move.Stage.mayFollow(before.Stage) {
		return false
	}
	m.state.Rollouts = slices.Clone(m.state.Rollouts)
	r := m.state.Rollout(move.Service)
	r.Stage, r.Reason = move.Stage, move.Reason
	return true
}
