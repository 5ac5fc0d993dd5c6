package state

import (
	"sync"

	"github.com/cockroachdb/errors"
)

// maxRecent bounds the older versions from which a feed gives deltas.
const maxRecent = 32

// Feed holds the newest configuration that a process knows, and some older
// ones. Its version never goes back. It is safe for concurrent use.
type Feed struct {
	mu      sync.RWMutex
	recent  []*Configuration
	changed chan struct{}
	// deltas lead from older versions to the newest one.
	deltas map[uint64]*Delta
}

// Update brings a configuration up to date: by a delta or in full. Both are nil
// if there is nothing newer.
type Update struct {
	// Full is the newer configuration.
	Full *Configuration `json:"full,omitempty"`
	// Delta leads from the asker's version to the newer one.
	Delta *Delta `json:"delta,omitempty"`
}

// NewFeed returns a feed without a configuration.
func NewFeed() *Feed { return &Feed{changed: make(chan struct{})} }

// Current returns the newest configuration, or nil before the first.
func (f *Feed) Current() *Configuration {
	f.mu.RLock()
	defer f.mu.RUnlock()
	if len(f.recent) == 0 {
		return nil
	}
	return f.recent[len(f.recent)-1]
}

// Version returns the newest version, or 0 before the first.
func (f *Feed) Version() uint64 {
	if c := f.Current(); c != nil {
		return c.Version
	}
	return 0
}

// Changed returns a channel that is closed at the next change.
func (f *Feed) Changed() <-chan struct{} {
	f.mu.RLock()
	defer f.mu.RUnlock()
	return f.changed
}

// Advance takes a configuration in unless one as new is held. It reports
// whether it did.
func (f *Feed) Advance(c *Configuration) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if n := len(f.recent); n > 0 && f.recent[n-1].Version >= c.Version {
		return false
	}
	if len(f.recent) == maxRecent {
		f.recent = append([]*Configuration(nil), f.recent[1:]...)
	}
	f.recent = append(f.recent, c)
	f.deltas = map[uint64]*Delta{}
	close(f.changed)
	f.changed = make(chan struct{})
	return true
}

// Since returns what brings a holder of version have up to date. known says
// whether the holder has a configuration at all.
func (f *Feed) Since(have uint64, known bool) Update {
	f.mu.Lock()
	defer f.mu.Unlock()
	if len(f.recent) == 0 {
		return Update{}
	}
	newest := f.recent[len(f.recent)-1]
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

// deltaFrom returns the delta from a recent version, or nil; every holder of
// that version gets the same one. The caller holds the lock.
func (f *Feed) deltaFrom(have uint64, newest *Configuration) *Delta {
	if d := f.deltas[have]; d != nil {
		return d
	}
	for _, c := range f.recent {
		if c.Version == have {
			f.deltas[have] = NewDelta(c, newest)
		}
	}
	return f.deltas[have]
}

// Resolve returns the configuration that an update leads to, or nil if it is
// not newer than the current one. It returns an error if a delta does not fit
// or the configuration lacks a part; the holder then needs a full one.
func (f *Feed) Resolve(u Update) (*Configuration, error) {
	current := f.Current()
	next := u.Full
	if u.Delta != nil {
		if current == nil {
			return nil, errors.Newf("delta from version %d came before a configuration", u.Delta.From)
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
