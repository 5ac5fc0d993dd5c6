package declare

import (
	"time"

	"github.com/cockroachdb/errors"
)

// Errors of orders for roll-outs.
var (
	// ErrInvalidRollout means that the order can't be executed as it stands.
	ErrInvalidRollout = errors.New("the order for a roll-out is invalid")
	// ErrUnknownService means that the configuration in force doesn't have the service.
	ErrUnknownService = errors.New("the configuration doesn't have the service")
	// ErrRolloutInProgress means that the service is being moved to another version.
	ErrRolloutInProgress = errors.New("another roll-out of the service is in progress")
	// ErrNoRollout means that the service never had a roll-out.
	ErrNoRollout = errors.New("the service has had no roll-out")
)

// The limits of orders for roll-outs.
const (
	// maxRolloutNameBytes bounds the names of the service and of the version.
	maxRolloutNameBytes = 256
	// MinRolloutDuration is the least time in which a version can be compared with the one
	// before at all, and MaxRolloutDuration the longest that is not a mistake of units.
	MinRolloutDuration = time.Second
	MaxRolloutDuration = 7 * 24 * time.Hour
	// rolloutRepeatWindow is the time after its beginning in which a roll-out's order may
	// arrive again because its sender has got no answer. Operators resend orders for some
	// seconds.
	rolloutRepeatWindow = 15 * time.Second
	// maxRollouts bounds the services that may have had a roll-out.
	maxRollouts = 10_000
)

// Check returns [ErrInvalidRollout] for an order that lacks a name or whose duration is
// not within the limits.
func (o RolloutOrder) Check() error {
	least, most := MinRolloutDuration.Milliseconds(), MaxRolloutDuration.Milliseconds()
	switch {
	case o.Service == "" || len(o.Service) > maxRolloutNameBytes:
		return errors.Wrapf(ErrInvalidRollout, "the service has %d bytes, allowed are 1 to %d", len(o.Service), maxRolloutNameBytes)
	case o.TargetVersion == "" || len(o.TargetVersion) > maxRolloutNameBytes:
		return errors.Wrapf(ErrInvalidRollout, "the version has %d bytes, allowed are 1 to %d", len(o.TargetVersion), maxRolloutNameBytes)
	case o.DurationMillis < least || o.DurationMillis > most:
		return errors.Wrapf(ErrInvalidRollout, "the duration is %d ms, allowed are %d to %d", o.DurationMillis, least, most)
	}
	return nil
}

// CheckRollout tells whether an order that names a position of the log begins a roll-out now.
// Neither a roll-out nor an error means that what it asks for is in progress or done. It
// returns [ErrRolloutInProgress] for another version than the one in progress, and
// [ErrOutdatedOrder] if another order for the service may stand behind the position. The time is
// that of the caller's clock.
func (m *Machine) CheckRollout(o RolloutOrder, position uint64, now time.Time) (begins bool, err error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	last := m.state.Rollout(o.Service)
	lastPosition := m.restoredAt
	if last != nil {
		lastPosition = max(lastPosition, last.Position)
	}
	switch {
	case last != nil && !last.Stage.Ended() && last.TargetVersion != o.TargetVersion:
		return false, errors.Wrapf(ErrRolloutInProgress, "service %q is being moved to version %q", o.Service, last.TargetVersion)
	case last != nil && !last.Stage.Ended():
		return false, nil
	case last != nil && last.TargetVersion == o.TargetVersion && (last.Stage == RolloutCompleted || last.repeatedBy(o, now)):
		return false, nil
	case lastPosition > position:
		return false, errors.Wrapf(ErrOutdatedOrder, "the order names position %d, the last one stands at %d", position, lastPosition)
	case last == nil && len(m.state.Rollouts) >= maxRollouts:
		return false, errors.Wrapf(ErrInvalidRollout, "%d services have had a roll-out already", maxRollouts)
	default:
		return true, nil
	}
}

// repeatedBy reports whether an order is the one that began the roll-out, sent again.
func (r *Rollout) repeatedBy(o RolloutOrder, now time.Time) bool {
	age := now.Sub(time.UnixMilli(r.BeganAt))
	return r.DurationMillis == o.DurationMillis && age.Abs() < rolloutRepeatWindow
}
