package gateway

import (
	"context"
	"sync"
	"time"
)

// The constants of pauses. A process that was paused, with its host or alone, believes
// in servers, zones and configurations that may be gone since.
const (
	// pauseCheckInterval is the time between two checks of the clock.
	pauseCheckInterval = 100 * time.Millisecond
	// minPause is the gap between two checks from which the process counts as paused.
	// After a shorter one the broker still holds the connection, and all that it has
	// sent meanwhile arrives at once.
	minPause = 1500 * time.Millisecond
	// viewRenewalWait is how long a request waits for the view after a pause: a few
	// round trips to find the broker.
	viewRenewalWait = 400 * time.Millisecond
	// outdatedViewTimeout is how long after a pause the entry chooses no server itself
	// by the view from before it. Later, the broker is gone for other reasons, and the
	// entry serves without one like the others.
	outdatedViewTimeout = 2 * time.Second
)

// pauseDetector detects that the process was paused, and tells until when its view of
// the system may be out of date. It is safe for concurrent use.
type pauseDetector struct {
	// clock returns the time, including that of suspensions.
	clock   func() time.Duration
	onPause func(paused time.Duration)

	mu      sync.Mutex
	checked time.Duration
	// pausedAt is when the last pause was detected, and renewed is closed once the
	// view was renewed since; nil if it was, or without a pause.
	pausedAt time.Duration
	renewed  chan struct{}
}

// newPauseDetector returns a detector that calls onPause after each pause.
func newPauseDetector(clock func() time.Duration, onPause func(time.Duration)) *pauseDetector {
	return &pauseDetector{clock: clock, onPause: onPause, checked: clock()}
}

// run checks the clock until ctx ends.
func (d *pauseDetector) run(ctx context.Context) {
	ticker := time.NewTicker(pauseCheckInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			d.check(true)
		}
	}
}

// check detects a pause. Only run advances the time of the last check, so that a
// request that comes first after a pause detects it as well.
func (d *pauseDetector) check(advance bool) {
	d.mu.Lock()
	now := d.clock()
	gap := now - d.checked
	paused := gap >= minPause
	if paused || advance {
		d.checked = now
	}
	if paused {
		d.pausedAt = now
		if d.renewed == nil {
			d.renewed = make(chan struct{})
		}
	}
	d.mu.Unlock()
	if paused {
		d.onPause(gap)
	}
}

// viewRenewed records that the whole view was received.
func (d *pauseDetector) viewRenewed() {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.renewed != nil {
		close(d.renewed)
		d.renewed = nil
	}
}

// viewOutdated reports whether the view is from before a pause that has just ended.
func (d *pauseDetector) viewOutdated() bool {
	d.check(false)
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.renewed != nil && d.clock()-d.pausedAt < outdatedViewTimeout
}

// awaitView waits until the view is renewed after a pause, at most for
// viewRenewalWait.
func (d *pauseDetector) awaitView(ctx context.Context) {
	if !d.viewOutdated() {
		return
	}
	d.mu.Lock()
	renewed := d.renewed
	d.mu.Unlock()
	if renewed == nil {
		return
	}
	timeout := time.NewTimer(viewRenewalWait)
	defer timeout.Stop()
	select {
	case <-renewed:
	case <-timeout.C:
	case <-ctx.Done():
	}
}
