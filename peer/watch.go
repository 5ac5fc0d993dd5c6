package peer

import (
	"context"
	"time"

	"tanagerbarrow/state"
)

// MaxWatchWait is how long a watch waits for a newer configuration at most.
const MaxWatchWait = 2 * time.Second

// AwaitUpdate returns what brings the holder of a configuration up to date. It waits
// for a newer version, for at most the given time.
func AwaitUpdate(ctx context.Context, feed *state.Feed, w WatchRequest, limit time.Duration) (state.Update, error) {
	changed := feed.Changed()
	u := feed.Since(w.Version, w.HasConfiguration)
	if u.Full != nil || u.Delta != nil || limit <= 0 {
		return u, nil
	}
	timer := time.NewTimer(min(limit, MaxWatchWait))
	defer timer.Stop()
	select {
	case <-changed:
		return feed.Since(w.Version, w.HasConfiguration), nil
	case <-timer.C:
		return state.Update{}, nil
	case <-ctx.Done():
		return state.Update{}, ctx.Err()
	}
}
