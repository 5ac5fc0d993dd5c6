package peer

import (
	"context"
	"time"

	"tanagerbarrow/state"
)

// MaxWatchWait is the longest time that a watch waits for a newer
// configuration.
const MaxWatchWait = 2 * time.Second

// AwaitUpdate returns the update from the configuration described by the
// request to the newest one of the feed. If there is none yet, it waits for the
// shorter of limit and MaxWatchWait, and then returns an empty update.
func AwaitUpdate(ctx context.Context, feed *state.Feed, w WatchRequest, limit time.Duration) (state.Update, error) {
	changed := feed.Changed()
	update := feed.Since(w.Version, w.HasConfiguration)
	if update.Full != nil || update.Delta != nil || limit <= 0 {
		return update, nil
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
