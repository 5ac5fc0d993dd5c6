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

// The times of a watch, which is a call for the next configuration.
const (
	// watchTimeout limits one watch. It is longer than [peer.MaxWatchWait], for
	// which a peer waits for a new configuration.
	watchTimeout = 3 * time.Second
	// watchRetryDelay is the delay before the next peer is tried after a failure.
	watchRetryDelay = 200 * time.Millisecond
)

// follower receives configurations from control hosts, or else from other entries,
// and applies the newest. It never applies an older version than before, not even
// after a restart of the process if the entry has a disk.
type follower struct {
	host     string
	controls []*peer.Client
	relays   []*peer.Client
	log      zerolog.Logger
	feed     *state.Feed
	contact  *contactTracker
	store    *configurationStore
	// beforeApply is called before a configuration takes effect, afterApply after.
	beforeApply, afterApply func(*state.Configuration)
	fenceChanged            func(bool)
	members                 func() *membership.View

	// mu serializes the application of updates.
	mu sync.Mutex
}

// newFollower returns a follower of the control hosts. The relays are the other
// entries; those of the entry's own region are tried first.
func newFollower(s *settings.Settings, controls, relays []*peer.Client, log zerolog.Logger) *follower {
	f := &follower{
		host: s.Host.Name, controls: rotateByHost(controls, s.Host.Name), log: log, feed: state.NewFeed(),
		beforeApply: func(*state.Configuration) {}, afterApply: func(*state.Configuration) {},
		contact: &contactTracker{maxAge: s.Entry.MaxConfigurationAge, hasRelays: len(relays) > 0},
	}
	var otherRegions []*peer.Client
	for _, r := range rotateByHost(relays, s.Host.Name) {
		if s.Regions[r.Peer().AvailabilityZone] == s.Region() {
			f.relays = append(f.relays, r)
		} else {
			otherRegions = append(otherRegions, r)
		}
	}
	f.relays = append(f.relays, otherRegions...)
	return f
}

// rotateByHost returns the peers in a rotated order that depends on the host's
// name, so that different hosts start at different peers.
func rotateByHost(peers []*peer.Client, host string) []*peer.Client {
	if len(peers) == 0 {
		return nil
	}
	offset := int(xxhash.Sum64String(host) % uint64(len(peers)))
	return append(append([]*peer.Client(nil), peers[offset:]...), peers[:offset]...)
}

// current returns the configuration in force, or nil if there is none yet.
func (f *follower) current() *state.Configuration { return f.feed.Current() }

// serving returns the configuration for new requests. It returns nil while this
// entry must not serve: before the first configuration and while it is fenced.
func (f *follower) serving() *state.Configuration {
	if f.contact.fenced(time.Now()) {
		return nil
	}
	return f.current()
}

// openStore opens the copy of the configuration in the data folder. An empty
// folder means that the entry has no disk.
func (f *follower) openStore(folder string) error {
	if folder == "" {
		return nil
	}
	var err error
	f.store, err = openStore(folder)
	return err
}

// registerMetrics exports the version in force and the time since it was known to
// be the newest.
func (f *follower) registerMetrics(set *metrics.Set) {
	set.NewGauge("tanagerbarrow_configuration_version", func() float64 { return float64(f.feed.Version()) })
	set.NewGauge("tanagerbarrow_configuration_age_seconds", func() float64 {
		return f.contact.configurationAge(time.Now()).Seconds()
	})
}

// run follows the configuration until ctx ends.
func (f *follower) run(ctx context.Context) error {
	var g errgroup.Group
	f.contact.start(time.Now())
	g.Go(func() error { return f.followControls(ctx) })
	g.Go(func() error { return f.followRelays(ctx) })
	g.Go(func() error { return f.monitorContact(ctx) })
	return g.Wait()
}

// followControls watches a control host until ctx ends, and changes to the next
// one after a failure.
func (f *follower) followControls(ctx context.Context) error {
	reports := &capacityReporter{members: f.members}
	for next := 0; ctx.Err() == nil && len(f.controls) > 0; {
		control := f.controls[next%len(f.controls)]
		response, err := f.watch(ctx, control, reports)
		if err == nil {
			f.contact.recordControlResponse(time.Now(), response.UpToDateMillisecondsAgo)
			continue
		}
		if ctx.Err() == nil {
			f.log.Warn().Err(err).Str("control", control.Peer().Name).Msg("watch failed")
			next++
			sleep(ctx, watchRetryDelay)
		}
	}
	return nil
}

// followRelays watches other entries while no control host responds. It waits for
// a first configuration from a control host or from the disk, because a relay's
// could be older than the last one that was in force here. It changes to the next
// relay after a failure, and if the relay itself isn't up to date.
func (f *follower) followRelays(ctx context.Context) error {
	for next := 0; ctx.Err() == nil && len(f.relays) > 0; {
		if !f.contact.needsRelay(time.Now()) || f.current() == nil {
			sleep(ctx, watchRetryDelay)
			continue
		}
		response, err := f.watch(ctx, f.relays[next%len(f.relays)], nil)
		if err == nil {
			f.contact.recordResponse(time.Now(), response.UpToDateMillisecondsAgo)
		}
		if err != nil || response.UpToDateMillisecondsAgo > controlTimeout.Milliseconds() {
			next++
			sleep(ctx, watchRetryDelay)
		}
	}
	return nil
}

// watch sends one watch to one peer and applies a newer configuration. If the
// update doesn't apply, such as a delta to a different configuration, it requests
// the full configuration.
func (f *follower) watch(ctx context.Context, from *peer.Client, reports *capacityReporter) (peer.WatchResponse, error) {
	ctx, cancel := context.WithTimeout(ctx, watchTimeout)
	defer cancel()
	have := f.current()
	request := peer.WatchRequest{Host: f.host, Version: f.feed.Version(), HasConfiguration: have != nil, Report: reports.next(from)}
	var response peer.WatchResponse
	if err := from.Call(ctx, peer.MethodWatch, request, &response); err != nil {
		reports.forgetLast()
		return response, err
	}
	err := f.apply(response.Update)
	if err == nil {
		return response, nil
	}
	f.log.Warn().Err(err).Str("from", from.Peer().Name).Msg("requesting the full configuration")
	request.Full, request.Report = true, nil
	response = peer.WatchResponse{}
	if err := from.Call(ctx, peer.MethodWatch, request, &response); err != nil {
		return response, err
	}
	return response, errors.Wrapf(f.apply(response.Update), "configuration from host %q", from.Peer().Name)
}

// apply puts an update in force unless it is older. The configuration is saved to
// disk before it takes effect; a failure to save it is only logged.
func (f *follower) apply(u state.Update) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	next, err := f.feed.Resolve(u)
	if err != nil || next == nil {
		return err
	}
	if err := f.store.checkNotOlder(next.Version); err != nil {
		return err
	}
	if err := f.store.save(next); err != nil {
		f.log.Error().Err(err).Msg("failed to save the configuration to disk")
	}
	f.beforeApply(next)
	f.feed.Advance(next)
	f.log.Info().Uint64("version", next.Version).Msg("configuration applied")
	f.afterApply(next)
	return nil
}

// serveWatch responds to the watch of another entry that can't reach a control
// host. It responds at once, without waiting for a new configuration, if this
// entry has no response from a control host either.
func (f *follower) serveWatch(ctx context.Context, w peer.WatchRequest) (peer.WatchResponse, error) {
	current := f.current()
	if current == nil {
		return peer.WatchResponse{}, errors.Newf("host %q has no configuration yet", f.host)
	}
	if w.Full {
		return peer.WatchResponse{Update: state.Update{Full: current}}, nil
	}
	wait := peer.MaxWatchWait
	if f.contact.needsRelay(time.Now()) {
		wait = 0
	}
	u, err := peer.AwaitUpdate(ctx, f.feed, w, wait)
	return peer.WatchResponse{Update: u, UpToDateMillisecondsAgo: f.contact.configurationAge(time.Now()).Milliseconds()}, err
}

// configurationApplied updates readiness and the keep-alive of caller connections
// after a new configuration was applied.
func (e *Entry) configurationApplied(c *state.Configuration) {
	e.readiness.Set(reasonNoConfiguration, false)
	zoneOut := c.ZonesOut[e.settings.Host.AvailabilityZone]
	e.readiness.Set(reasonZoneOut, zoneOut)
	e.callers.DisableKeepAlives(zoneOut)
}

// fenceChanged updates readiness when this entry becomes fenced or is no longer
// fenced.
func (e *Entry) fenceChanged(fenced bool) { e.readiness.Set(reasonFenced, fenced) }

// sleep waits for d, or until ctx ends.
func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}
