package entry

import (
	"context"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"
	"github.com/rs/zerolog"
	"golang.org/x/sync/errgroup"

	"tanagerbarrow/membership"
	"tanagerbarrow/peer"
	"tanagerbarrow/settings"
	"tanagerbarrow/state"
)

// The times of following the configuration.
const (
	// watchTimeout bounds one watch; it is longer than a peer holds one.
	watchTimeout = 3 * time.Second
	// watchPause is the time before the next peer is tried after a failure.
	watchPause = 200 * time.Millisecond
)

// follower keeps the newest configuration in force. It never goes back, also
// over a restart of the process.
type follower struct {
	host     string
	controls []*peer.Client
	relays   []*peer.Client
	log      zerolog.Logger
	feed     *state.Feed
	touch    *touch
	store    *store
	// prepare runs before a configuration is in force, applied after it.
	prepare, applied func(*state.Configuration)
	cutOff           func(bool)
	members          func() *membership.View

	// mu orders the accepting of updates.
	mu sync.Mutex
}

// newFollower returns a follower of the control hosts. The relays are the
// other entries; those of the own region are asked first.
func newFollower(s *settings.Settings, controls, relays []*peer.Client, log zerolog.Logger) *follower {
	f := &follower{
		host: s.Host.Name, controls: startAt(controls, s.Host.Name), log: log, feed: state.NewFeed(),
		prepare: func(*state.Configuration) {}, applied: func(*state.Configuration) {},
		touch: &touch{maxAge: s.Entry.MaxConfigurationAge, hasRelays: len(relays) > 0},
	}
	var far []*peer.Client
	for _, r := range startAt(relays, s.Host.Name) {
		if s.Regions[r.Peer().AvailabilityZone] == s.Region() {
			f.relays = append(f.relays, r)
		} else {
			far = append(far, r)
		}
	}
	f.relays = append(f.relays, far...)
	return f
}

// startAt rotates the peers so that hosts spread over them.
func startAt(peers []*peer.Client, host string) []*peer.Client {
	if len(peers) == 0 {
		return nil
	}
	at := int(xxhash.Sum64String(host) % uint64(len(peers)))
	return append(append([]*peer.Client(nil), peers[at:]...), peers[:at]...)
}

// current returns the configuration in force, or nil before the first.
func (f *follower) current() *state.Configuration { return f.feed.Current() }

// serving returns the configuration for new requests, or nil while this entry
// must not serve: before the first one, and while it is fenced.
func (f *follower) serving() *state.Configuration {
	if f.touch.fenced(time.Now()) {
		return nil
	}
	return f.current()
}

// openStore opens the copy of the configuration on disk, if there is a disk.
func (f *follower) openStore(folder string) error {
	if folder == "" {
		return nil
	}
	var err error
	f.store, err = openStore(folder)
	return err
}

// measure exports the version in force and the age of its proof.
func (f *follower) measure(set *metrics.Set) {
	set.NewGauge("tanagerbarrow_configuration_version", func() float64 { return float64(f.feed.Version()) })
	set.NewGauge("tanagerbarrow_configuration_age_seconds", func() float64 {
		return f.touch.age(time.Now()).Seconds()
	})
}

// run follows until ctx ends.
func (f *follower) run(ctx context.Context) error {
	var g errgroup.Group
	f.touch.begin(time.Now())
	g.Go(func() error { return f.followControls(ctx) })
	g.Go(func() error { return f.followRelays(ctx) })
	g.Go(func() error { return f.observe(ctx) })
	return g.Wait()
}

// followControls watches one control host after another until ctx ends.
func (f *follower) followControls(ctx context.Context) error {
	reports := &reporter{members: f.members}
	for at := 0; ctx.Err() == nil && len(f.controls) > 0; {
		control := f.controls[at%len(f.controls)]
		answer, err := f.watch(ctx, control, reports)
		if err == nil {
			f.touch.control(time.Now(), answer.UpToDateMillisecondsAgo)
			continue
		}
		if ctx.Err() == nil {
			f.log.Warn().Err(err).Str("control", control.Peer().Name).Msg("watch failed")
			at++
			pause(ctx, watchPause)
		}
	}
	return nil
}

// followRelays watches other entries while no control host answers. It starts
// only from a configuration that is known to be no older than the last one in
// force here.
func (f *follower) followRelays(ctx context.Context) error {
	for at := 0; ctx.Err() == nil && len(f.relays) > 0; {
		if !f.touch.needsRelay(time.Now()) || f.current() == nil {
			pause(ctx, watchPause)
			continue
		}
		answer, err := f.watch(ctx, f.relays[at%len(f.relays)], nil)
		if err == nil {
			f.touch.relay(time.Now(), answer.UpToDateMillisecondsAgo)
		}
		if err != nil || answer.UpToDateMillisecondsAgo > relayAfter.Milliseconds() {
			at++
			pause(ctx, watchPause)
		}
	}
	return nil
}

// watch asks one peer once and puts a newer configuration in force.
func (f *follower) watch(ctx context.Context, from *peer.Client, reports *reporter) (peer.WatchResponse, error) {
	ctx, cancel := context.WithTimeout(ctx, watchTimeout)
	defer cancel()
	have := f.current()
	ask := peer.WatchRequest{Host: f.host, Version: f.feed.Version(), HasConfiguration: have != nil, Report: reports.next(from)}
	var got peer.WatchResponse
	if err := from.Call(ctx, peer.MethodWatch, ask, &got); err != nil {
		reports.failed()
		return got, err
	}
	err := f.accept(got.Update)
	if err == nil {
		return got, nil
	}
	f.log.Warn().Err(err).Str("from", from.Peer().Name).Msg("asking for a whole configuration")
	ask.Full, ask.Report = true, nil
	got = peer.WatchResponse{}
	if err := from.Call(ctx, peer.MethodWatch, ask, &got); err != nil {
		return got, err
	}
	return got, errors.Wrapf(f.accept(got.Update), "configuration from host %q", from.Peer().Name)
}

// accept puts an update in force unless it is older. It is on disk before it is
// in force.
func (f *follower) accept(u state.Update) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	next, err := f.feed.Resolve(u)
	if err != nil || next == nil {
		return err
	}
	if err := f.store.floor(next.Version); err != nil {
		return err
	}
	if err := f.store.save(next); err != nil {
		f.log.Error().Err(err).Msg("the configuration in force is not on disk")
	}
	f.prepare(next)
	f.feed.Advance(next)
	f.log.Info().Uint64("version", next.Version).Msg("configuration in force")
	f.applied(next)
	return nil
}

// relay answers the watch of another entry that reaches no control host. It
// answers at once where this entry is out of touch too.
func (f *follower) relay(ctx context.Context, w peer.WatchRequest) (peer.WatchResponse, error) {
	current := f.current()
	if current == nil {
		return peer.WatchResponse{}, errors.Newf("host %q has no configuration yet", f.host)
	}
	if w.Full {
		return peer.WatchResponse{Update: state.Update{Full: current}}, nil
	}
	hold := peer.MaxWatchWait
	if f.touch.needsRelay(time.Now()) {
		hold = 0
	}
	u, err := peer.AwaitUpdate(ctx, f.feed, w, hold)
	return peer.WatchResponse{Update: u, UpToDateMillisecondsAgo: f.touch.age(time.Now()).Milliseconds()}, err
}

// configurationApplied updates readiness after a change.
func (e *Entry) configurationApplied(c *state.Configuration) {
	e.ready.Set(reasonNoConfiguration, false)
	out := c.ZonesOut[e.settings.Host.AvailabilityZone]
	e.ready.Set(reasonZoneOut, out)
	e.callers.DisableKeepAlives(out)
}

// cutOff updates readiness when this entry is cut off or back in touch.
func (e *Entry) cutOff(fenced bool) { e.ready.Set(reasonCutOff, fenced) }

// pause waits, or returns early when ctx ends.
func pause(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}
