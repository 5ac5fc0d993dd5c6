package entry

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"tanagerbarrow/peer"
	"tanagerbarrow/settings"
	"tanagerbarrow/state"
)

// The times of following the configuration.
const (
	watchTimeout = 3 * time.Second
	watchPause   = 200 * time.Millisecond
)

// follower keeps the newest configuration in force. It never goes back.
type follower struct {
	host     string
	controls []*peer.Client
	log      zerolog.Logger
	config   atomic.Pointer[state.Configuration]
	// prepare runs before a configuration is in force, applied after it.
	prepare, applied func(*state.Configuration)
}

// newFollower returns a follower of the control hosts.
func newFollower(s *settings.Settings, controls []*peer.Client, log zerolog.Logger) *follower {
	return &follower{host: s.Host.Name, controls: controls, log: log}
}

// current returns the configuration in force, or nil before the first.
func (f *follower) current() *state.Configuration { return f.config.Load() }

// run watches one control host after another until ctx ends.
func (f *follower) run(ctx context.Context) error {
	for at := 0; ctx.Err() == nil; {
		control := f.controls[at%len(f.controls)]
		if err := f.watch(ctx, control); err != nil && ctx.Err() == nil {
			f.log.Warn().Err(err).Str("control", control.Peer().Name).Msg("watch failed")
			at++
			pause(ctx, watchPause)
		}
	}
	return nil
}

// watch asks one control host once.
func (f *follower) watch(ctx context.Context, control *peer.Client) error {
	ctx, cancel := context.WithTimeout(ctx, watchTimeout)
	defer cancel()
	ask := peer.Watch{Host: f.host}
	if have := f.current(); have != nil {
		ask.Have = have.Version
	}
	var got peer.Watched
	if err := control.Call(ctx, peer.MethodWatch, ask, &got); err != nil {
		return err
	}
	if got.Configuration != nil {
		f.apply(got.Configuration)
	}
	return nil
}

// apply puts a configuration in force unless a newer one is.
func (f *follower) apply(c *state.Configuration) {
	have := f.current()
	if have != nil && have.Version >= c.Version {
		return
	}
	f.prepare(c)
	f.config.Store(c)
	f.log.Info().Uint64("version", c.Version).Msg("configuration in force")
	f.applied(c)
}

// configurationApplied updates readiness after a change.
func (e *Entry) configurationApplied(c *state.Configuration) {
	e.ready.Set(reasonNoConfiguration, false)
	out := c.ZonesOut[e.settings.Host.AvailabilityZone]
	e.ready.Set(reasonZoneOut, out)
	e.callers.CloseKeptAlive(out)
}

// pause waits, or returns early when ctx ends.
func pause(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}
