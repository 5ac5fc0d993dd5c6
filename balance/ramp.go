package balance

import (
	"maps"
	"sync/atomic"
	"time"
)

// The ramp of an availability zone that returns to service.
const (
	// rampTime is the time over which the share of choices that may use a returned
	// zone grows to all of them.
	rampTime = 10 * time.Second
	// rampStartShare is the initial share and rampFullShare that of all choices, in
	// units of 1/65536.
	rampStartShare = rampFullShare / 20
	rampFullShare  = 1 << 16
	// rampShift selects bits of the random number that searches do not use.
	rampShift = 48
)

// ReturnedZones records when each availability zone that was out returned. The
// zero value is ready to use.
type ReturnedZones struct {
	zonesOut   map[string]bool
	returnedAt atomic.Pointer[map[string]time.Time]
}

// Apply records which zones are out in a configuration that takes effect now. Zones
// that are in service from the first configuration on count as never out. It must
// be called from one goroutine only.
func (r *ReturnedZones) Apply(out map[string]bool, now time.Time) {
	since := maps.Clone(r.Since())
	if since == nil {
		since = map[string]time.Time{}
	}
	for zone, was := range r.zonesOut {
		if was && !out[zone] {
			since[zone] = now
		}
	}
	for zone, is := range out {
		if is {
			delete(since, zone)
		}
	}
	r.zonesOut = maps.Clone(out)
	r.returnedAt.Store(&since)
}

// Since returns the time at which each zone that was out returned. The result must
// not be changed.
func (r *ReturnedZones) Since() map[string]time.Time {
	if since := r.returnedAt.Load(); since != nil {
		return *since
	}
	return nil
}

// rampAdmits reports whether a choice with the random number may use a zone that
// returned sinceReturn nanoseconds ago.
func rampAdmits(sinceReturn int64, random uint64) bool {
	if sinceReturn >= int64(rampTime) {
		return true
	}
	share := max(rampStartShare, rampFullShare*max(sinceReturn, 0)/int64(rampTime))
	return int64(random>>rampShift) < share
}
