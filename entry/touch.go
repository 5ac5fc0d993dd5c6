package entry

import (
	"context"
	"sync"
	"time"
)

// The times of the loss of contact with other hosts.
const (
	// controlTimeout is the time without a response from any control host after
	// which other entries are used as relays.
	controlTimeout = 3 * time.Second
	// fenceTimeout is the time without a response from any control host or entry
	// after which an entry is fenced.
	fenceTimeout = 5 * time.Second
	// diskFallbackDelay is how long a starting entry waits for a control host
	// before it uses the copy on its disk.
	diskFallbackDelay = 5 * time.Second
	// contactCheckPeriod is the time between checks for a change of contact.
	contactCheckPeriod = 250 * time.Millisecond
)

// contactTracker records when this entry last received responses from control hosts
// and other entries. An entry that receives none is fenced. An entry that receives
// responses only from other entries that are cut off too continues to serve, for at
// most maxAge if that is set.
type contactTracker struct {
	maxAge    time.Duration
	hasRelays bool

	mu                  sync.Mutex
	startedAt           time.Time
	lastControlResponse time.Time
	lastResponse        time.Time
	upToDateAt          time.Time
}

// start resets the times to now, when the process starts to follow.
func (t *contactTracker) start(now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.startedAt, t.lastControlResponse, t.lastResponse = now, now, now
}

// recordControlResponse records the response of a control host whose configuration
// was known to be the newest that many milliseconds ago.
func (t *contactTracker) recordControlResponse(now time.Time, ageMilliseconds int64) {
	t.mu.Lock()
	t.lastControlResponse = now
	t.mu.Unlock()
	t.recordResponse(now, ageMilliseconds)
}

// recordResponse records the response of any host whose configuration was known to
// be the newest that many milliseconds ago.
func (t *contactTracker) recordResponse(now time.Time, ageMilliseconds int64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.lastResponse = now
	wasUpToDateAt := now.Add(-time.Duration(max(ageMilliseconds, 0)) * time.Millisecond)
	if wasUpToDateAt.After(t.upToDateAt) {
		t.upToDateAt = wasUpToDateAt
	}
}

// needsRelay reports whether no control host has responded for controlTimeout.
func (t *contactTracker) needsRelay(now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return now.Sub(t.lastControlResponse) > controlTimeout
}

// configurationAge returns the time since the version in force was known to be the
// newest, or since the start if that was never known.
func (t *contactTracker) configurationAge(now time.Time) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.upToDateAt.IsZero() {
		return now.Sub(t.startedAt)
	}
	return now.Sub(t.upToDateAt)
}

// fenced reports whether this entry must not accept new requests. An entry without
// other entries can't tell its own failure from a failure of the control hosts and
// continues to serve.
func (t *contactTracker) fenced(now time.Time) bool {
	age := t.configurationAge(now)
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.startedAt.IsZero() {
		return false
	}
	noContact := t.hasRelays && now.Sub(t.lastResponse) > fenceTimeout
	return noContact || t.maxAge > 0 && age > t.maxAge
}

// monitorContact reports when the entry becomes fenced or is no longer fenced, and
// uses the configuration on disk if no control host responds. It returns when ctx
// ends.
func (f *follower) monitorContact(ctx context.Context) error {
	wasFenced := false
	for ctx.Err() == nil {
		now := time.Now()
		if fenced := f.contact.fenced(now); fenced != wasFenced {
			wasFenced = fenced
			f.log.Warn().Bool("fenced", fenced).Msg("contact with other hosts changed")
			f.fenceChanged(fenced)
		}
		if f.current() == nil && f.contact.configurationAge(now) > diskFallbackDelay {
			f.startFromDisk()
		}
		sleep(ctx, contactCheckPeriod)
	}
	return nil
}

// startFromDisk applies the last configuration that was in force on this entry
// before the restart.
func (f *follower) startFromDisk() {
	f.mu.Lock()
	defer f.mu.Unlock()
	last := f.store.last()
	if last == nil || !f.feed.Advance(last) {
		return
	}
	f.log.Warn().Uint64("version", last.Version).Msg("no control host responds; applied the configuration from disk")
	f.afterApply(last)
}
