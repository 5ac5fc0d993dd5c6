package state

import (
	"sync"

	"github.com/cockroachdb/errors"
)

// maxRetained is the maximum number of versions that a feed retains, the newest
// included. A holder of an older version gets a full configuration.
const maxRetained = 32

// Feed holds the newest configuration of a process and a few older ones, from
// which it creates deltas. Its version never decreases. It is safe for concurrent
// use.
type Feed struct {
	mu       sync.RWMutex
	retained []*Configuration
	changed  chan struct{}
	// deltas caches the deltas to the newest version, by the version they start
	// from.
	deltas map[uint64]*Delta
}

// Update updates the holder of a configuration, by a delta or by a full
// configuration. Both are nil if there is no newer version.
type Update struct {
	// Full is the newer configuration.
	Full *Configuration `json:"full,omitempty"`
	// Delta is the difference from the holder's version to the newer one.
	Delta *Delta `json:"delta,omitempty"`
}

// NewFeed returns a feed without a configuration.
func NewFeed() *Feed { return &Feed{changed: make(chan struct{})} }

// Current returns the newest configuration, or nil if there is none yet.
func (f *Feed) Current() *Configuration {
	f.mu.RLock()
	defer f.mu.RUnlock()
	if len(f.retained) == 0 {
		return nil
	}
	return f.retained[len(f.retained)-1]
}

// Version returns the newest version, or 0 if there is none yet.
func (f *Feed) Version() uint64 {
	if c := f.Current(); c != nil {
		return c.Version
	}
	return 0
}

// Changed returns a channel that is closed when the next version is added.
func (f *Feed) Changed() <-chan struct{} {
	f.mu.RLock()
	defer f.mu.RUnlock()
	return f.changed
}

// Advance adds a configuration if it is newer than the current one. It reports
// whether it was added.
func (f *Feed) Advance(c *Configuration) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if n := len(f.retained); n > 0 && f.retained[n-1].Version >= c.Version {
		return false
	}
	if len(f.retained) == maxRetained {
		f.retained = append([]*Configuration(nil), f.retained[1:]...)
	}
	f.retained = append(f.retained, c)
	f.deltas = map[uint64]*Delta{}
	close(f.changed)
	f.changed = make(chan struct{})
	return true
}

// Since returns the update for a holder of version have. known is false if the
// holder has no configuration yet.
func (f *Feed) Since(have uint64, known bool) Update {
	f.mu.Lock()
	defer f.mu.Unlock()
	if len(f.retained) == 0 {
		return Update{}
	}
	newest := f.retained[len(f.retained)-1]
	switch {
	case !known:
		return Update{Full: newest}
	case newest.Version <= have:
		return Update{}
	}
	if d := f.deltaFrom(have, newest); d != nil {
		return Update{Delta: d}
	}
	return Update{Full: newest}
}

// deltaFrom returns the delta from a retained version to newest, or nil if the
// version is no longer retained. The delta is cached, so that it is computed once
// for all holders of the version. The caller holds f.mu.
func (f *Feed) deltaFrom(have uint64, newest *Configuration) *Delta {
	if d := f.deltas[have]; d != nil {
		return d
	}
	for _, c := range f.retained {
		if c.Version == have {
			f.deltas[have] = NewDelta(c, newest)
		}
	}
	return f.deltas[have]
}

// Resolve returns the configuration that results from an update, or nil if it is
// not newer than the current one. It returns an error if the delta does not apply
// to the current configuration or the result has a missing map; the caller then
// has to request a full configuration.
func (f *Feed) Resolve(u Update) (*Configuration, error) {
	current := f.Current()
	next := u.Full
	if u.Delta != nil {
		if current == nil {
			return nil, errors.Newf("received a delta from version %d without having a configuration", u.Delta.From)
		}
		if current.Version >= u.Delta.To {
			return nil, nil
		}
		var err error
		if next, err = u.Delta.Apply(current); err != nil {
			return nil, err
		}
	}
	if next == nil || current != nil && current.Version >= next.Version {
		return nil, nil
	}
	return next, next.check()
}
