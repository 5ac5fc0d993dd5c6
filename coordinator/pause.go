package coordinator

import (
	"context"
	"time"

	"tanagerbarrow/boottime"
)

// Detection of pauses of the process.
const (
	// pauseCheckInterval is the time between two checks of the clock.
	pauseCheckInterval = 100 * time.Millisecond
	// minPause is the gap between two checks from which the process counts as paused:
	// longer than the delay of a timer on a busy host, and shorter than a call's time.
	minPause = 500 * time.Millisecond
)

// watchPauses logs and counts the times in which the process did not run, until ctx ends.
// Calls that arrived meanwhile are read when it runs again.
func (c *Coordinator) watchPauses(ctx context.Context) {
	ticker := time.NewTicker(pauseCheckInterval)
	defer ticker.Stop()
	for checked := boottime.Now(); ; {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		now := boottime.Now()
		if gap := now - checked; gap >= minPause {
			c.metrics.pauses.Inc()
			c.log.Warn().Str("event", "paused").Dur("for_ms", gap).Send()
		}
		checked = now
	}
}
