package peer

import (
	"context"
	"time"

	"tanagerbarrow/state"
)

// watchHold is how long a watch waits for a newer configuration.
const watchHold = 2 * time.Second

// Await returns what brings the holder of a configuration up to date. It waits
// a while for a newer version, unless hold is false.
func Await(ctx context.Context, feed *state.Feed, w Watch, hold bool) (state.Update, error) {
	changed := feed.Changed()
	u := feed.Since(w.Have, w.Known)
	if u.Full != nil || u.Delta != nil || !hold {
		return u, nil
	}
	timer := time.NewTimer(watchHold)
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
