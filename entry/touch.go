package entry

import (
	"context"
	"sync"
	"time"
)

// The times of losing touch.
const (
	// relayAfter is how long no control host answers before other entries are
	// asked.
	relayAfter = 3 * time.Second
	// fenceAfter is how long an entry serves without an answer from any control
	// host or entry.
	fenceAfter = 5 * time.Second
	// startGrace is how long a starting entry waits for a control host before it
	// uses the copy on its disk.
	startGrace = 5 * time.Second
	// observePeriod is the time between looks at a change of touch.
	observePeriod = 250 * time.Millisecond
)

// touch knows how long ago this entry heard from others. An entry that hears
// from nobody is fenced. One that hears from other entries, cut off like
// itself, serves on, for at most maxAge if that is set.
type touch struct {
	maxAge    time.Duration
	hasRelays bool

	mu        sync.Mutex
	begun     time.Time
	controlAt time.Time
	reachedAt time.Time
	freshAt   time.Time
}

// begin starts the clocks.
func (t *touch) begin(now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.begun, t.controlAt, t.reachedAt = now, now, now
}

// control notes the answer of a control host whose proof has the given age.
func (t *touch) control(now time.Time, proofMilliseconds int64) {
	t.mu.Lock()
	t.controlAt = now
	t.mu.Unlock()
	t.relay(now, proofMilliseconds)
}

// relay notes the answer of any host whose proof has the given age.
func (t *touch) relay(now time.Time, proofMilliseconds int64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.reachedAt = now
	fresh := now.Add(-time.Duration(max(proofMilliseconds, 0)) * time.Millisecond)
	if fresh.After(t.freshAt) {
		t.freshAt = fresh
	}
}

// needsRelay reports whether no control host answered for a while.
func (t *touch) needsRelay(now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return now.Sub(t.controlAt) > relayAfter
}

// age returns the age of the proof that the version in force was the newest.
func (t *touch) age(now time.Time) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.freshAt.IsZero() {
		return now.Sub(t.begun)
	}
	return now.Sub(t.freshAt)
}

// fenced reports whether this entry must not take new requests. A sole entry
// cannot tell its own fault from that of the control hosts and serves on.
func (t *touch) fenced(now time.Time) bool {
	age := t.age(now)
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.begun.IsZero() {
		return false
	}
	alone := t.hasRelays && now.Sub(t.reachedAt) > fenceAfter
	return alone || t.maxAge > 0 && age > t.maxAge
}

// observe reports changes of touch, and starts from the disk if no control host
// answers, until ctx ends.
func (f *follower) observe(ctx context.Context) error {
	was := false
	for ctx.Err() == nil {
		now := time.Now()
		if fenced := f.touch.fenced(now); fenced != was {
			was = fenced
			f.log.Warn().Bool("fenced", fenced).Msg("touch with other hosts changed")
			f.cutOff(fenced)
		}
		if f.current() == nil && f.touch.age(now) > startGrace {
			f.startFromDisk()
		}
		pause(ctx, observePeriod)
	}
	return nil
}

// startFromDisk puts the last configuration that was in force here in force
// again.
func (f *follower) startFromDisk() {
	f.mu.Lock()
	defer f.mu.Unlock()
	last := f.store.last()
	if last == nil || !f.feed.Advance(last) {
		return
	}
	f.log.Warn().Uint64("version", last.Version).Msg("no control host answers: configuration in force from disk")
	f.applied(last)
}
