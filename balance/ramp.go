package balance

import (
	"maps"
	"sync/atomic"
	"time"
)

// The return of an availability zone.
const (
	// rampTime is how long the share of choices that may fall on a returned zone
	// grows until it is whole.
	rampTime = 10 * time.Second
	// rampStart is the first share, in 1/65536.
	rampStart = rampWhole / 20
	rampWhole = 1 << 16
	// rampShift takes other bits of the random number than the searches do.
	rampShift = 48
)

// ReturnedZones knows since when each availability zone is back. The zero value is
// ready to use.
type ReturnedZones struct {
	out   map[string]bool
	since atomic.Pointer[map[string]time.Time]
}

// Apply takes in which zones are out in a configuration that came into force
// now. Zones that are in from the first configuration on count as never out. It
// is called from one goroutine.
func (r *ReturnedZones) Apply(out map[string]bool, now time.Time) {
	since := maps.Clone(r.Since())
	if since == nil {
		since = map[string]time.Time{}
	}
	for zone, was := range r.out {
		if was && !out[zone] {
			since[zone] = now
		}
	}
	for zone, is := range out {
		if is {
			delete(since, zone)
		}
	}
	r.out = maps.Clone(out)
	r.since.Store(&since)
}

// Since returns when each zone that was out came back. The result must not be
// changed.
func (r *ReturnedZones) Since() map[string]time.Time {
	if since := r.since.Load(); since != nil {
		return *since
	}
	return nil
}

// rampAdmits reports whether a choice with the random number may fall on a zone
// that has been back for a time, in nanoseconds.
func rampAdmits(back int64, random uint64) bool {
	if back >= int64(rampTime) {
		return true
	}
	share := max(rampStart, rampWhole*max(back, 0)/int64(rampTime))
	return int64(random>>rampShift) < share
}
