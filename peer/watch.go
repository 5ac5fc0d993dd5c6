package peer

import (
	"context"
	"time"

	"tanagerbarrow/state"
)

// WatchHold is how long a watch waits for a newer configuration at most.
const WatchHold = 2 * time.Second

// Await returns what brings the holder of a configuration up to date. It waits
// for a newer version, for at most the given time.
func Await(ctx context.Context, feed *state.Feed, w Watch, limit time.Duration) (state.Update, error) {
	changed := feed.Changed()
	u := feed.Since(w.Have, w.Known)
	if u.Full != nil || u.Delta != nil || limit <= 0 {
		return u, nil
	}
	timer := time.NewTimer(min(limit, WatchHold))
	defer timer.Stop()
	select {
	case <-changed:
		return feed.Since(w.Have, w.Known), nil
	case <-timer.C:
		return state.Update{}, nil
	case <-ctx.Done():
		return state.Update{}, ctx.Err()
	}
}
