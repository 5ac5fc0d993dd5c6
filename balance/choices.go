package balance

import (
	"net/netip"
	"slices"
	"time"

	"tanagerbarrow/membership"
	"tanagerbarrow/state"
)

// The parameters of a choice.
const (
	// maxSameRegionCompared and maxOtherRegionCompared are how many backend servers
	// of this region and of others a choice compares at most.
	maxSameRegionCompared  = 8
	maxOtherRegionCompared = 4
	// spilloverEntries is how many entries of a region may send to one backend
	// server of another region, one request each, while their own region has
	// usable backend servers. They are few because counts are not exchanged
	// between regions.
	spilloverEntries = 2
	// exploreInterval is the number of choices of which one, on average, ignores the
	// round trip to other zones, so that requests keep measuring every backend
	// server of the region.
	exploreInterval = 16
	// freeSlotCostDivisor divides the mean latency of the service, spread over the
	// slots, to give the cost of each request in progress on a backend server.
	freeSlotCostDivisor = 4
)

// RoundTrips are the network round-trip times that a choice weighs against
// waiting.
type RoundTrips struct {
	// Zone is the round trip to another availability zone of the region.
	Zone time.Duration
	// Region is the round trip to another region.
	Region time.Duration
}

// DefaultRoundTrips returns the round trips of the sites that the product serves.
func DefaultRoundTrips() RoundTrips {
	return RoundTrips{Zone: time.Millisecond, Region: 16 * time.Millisecond}
}

// Place is the location of an entry.
type Place struct {
	// AvailabilityZone is that of the entry.
	AvailabilityZone string
	// Regions maps each availability zone to its region.
	Regions map[string]string
	// RoundTrips are those from the entry.
	RoundTrips RoundTrips
	// ReturnedZones maps each availability zone that was out to the time of its
	// return.
	ReturnedZones map[string]time.Time
}

// Choices are the backend servers from which an entry chooses, for one view of
// the members and one configuration. It is immutable.
type Choices struct {
	loads    *Loads
	services map[string]*serviceCandidates
}

// serviceCandidates are the backend servers of one service.
type serviceCandidates struct {
	load                     *serviceLoad
	sameRegion, otherRegions []candidate
}

// candidate is a backend server with its location relative to the entry.
type candidate struct {
	server    *Server
	region    string
	roundTrip int64 // nanoseconds
	// returnedAt is when the zone returned, in nanoseconds of Unix time, or 0 if it
	// was never out.
	returnedAt   int64
	maySpillOver bool // even while this entry's own region has usable backend servers
}

// NewChoices returns the choices of an entry at the place. They exclude backend
// servers of availability zones that are out. It also removes from the loads the
// backend servers that the view no longer contains.
func NewChoices(l *Loads, v *membership.View, c *state.Configuration, at Place, now time.Time) *Choices {
	choices := &Choices{loads: l, services: make(map[string]*serviceCandidates, len(v.Services))}
	home := at.Regions[at.AvailabilityZone]
	keep := map[Key]bool{}
	for name, records := range v.Services {
		s := &serviceCandidates{load: l.serviceLoad(name)}
		for _, record := range records {
			b := l.Server(record, at.Regions[record.AvailabilityZone] != home, now)
			keep[b.Key()] = true
			if !c.ZonesOut[record.AvailabilityZone] {
				s.add(b, at, l.maySpillOver(b.Key()))
			}
		}
		s.load.limitShare.Store(s.entryShare(int64(len(l.liveEntries()))))
		choices.services[name] = s
	}
	l.Prune(keep)
	return choices
}

// entryShare returns one entry's equal share, at least 1, of the summed highest
// limits of the service's backend servers in the region.
func (s *serviceCandidates) entryShare(entries int64) int64 {
	sum := int64(0)
	for _, c := range s.sameRegion {
		sum += c.server.Limit.Max()
	}
	return max(sum/max(entries, 1), 1)
}

// add adds a backend server.
func (s *serviceCandidates) add(b *Server, at Place, maySpillOver bool) {
	zone := b.Record.AvailabilityZone
	c := candidate{server: b, region: at.Regions[zone], maySpillOver: maySpillOver}
	if since, ok := at.ReturnedZones[zone]; ok {
		c.returnedAt = since.UnixNano()
	}
	switch {
	case zone == at.AvailabilityZone:
		s.sameRegion = append(s.sameRegion, c)
	case c.region == at.Regions[at.AvailabilityZone]:
		c.roundTrip = int64(at.RoundTrips.Zone)
		s.sameRegion = append(s.sameRegion, c)
	default:
		c.roundTrip = int64(at.RoundTrips.Region)
		s.otherRegions = append(s.otherRegions, c)
	}
}

// Query holds the parameters of one choice.
type Query struct {
	// Now is in nanoseconds of Unix time.
	Now int64
	// Random is a uniformly distributed random number.
	Random uint64
	// Waiting is the number of requests that already wait at this entry.
	Waiting int
	// HomeRegions are the only regions to choose from; empty means any.
	HomeRegions []string
	// Excluded are the addresses of backend servers to exclude.
	Excluded []netip.AddrPort
	// ExcludedZone is an availability zone whose backend servers are excluded; empty for
	// none.
	ExcludedZone string
}

// allows reports whether the query permits a backend server.
func (q *Query) allows(c *candidate) bool {
	if len(q.HomeRegions) > 0 && !slices.Contains(q.HomeRegions, c.region) {
		return false
	}
	if q.ExcludedZone != "" && c.server.Record.AvailabilityZone == q.ExcludedZone {
		return false
	}
	return len(q.Excluded) == 0 || !slices.Contains(q.Excluded, c.server.Record.Address)
}

// Pick returns the backend server with the lowest expected cost, or nil. full
// is true if there are allowed backend servers, all of them at their limits.
// It takes no lock and allocates nothing.
func (c *Choices) Pick(name string, q Query) (best *Server, full bool) {
	s, ok := c.services[name]
	if !ok {
		return nil, false
	}
	p := search{query: q, meanLatency: int64(s.load.meanLatency()), skipEjected: true, lowestFullCost: infiniteCost}
	p.ignoreRoundTrip = q.Random>>exploreShift%exploreInterval == 0
	p.knownShare, p.entryCount = c.loads.knownEntries()
	p.compare(s.sameRegion, maxSameRegionCompared, 0)
	p.ignoreRoundTrip = false
	p.spilloverOnly = p.best != nil || p.sawFull
	if p.sameRegionCost(s.load.limitShare.Load()) > s.otherRegionRoundTrip() {
		p.compare(s.otherRegions, maxOtherRegionCompared, assumedLoadPerSlot)
	}
	if p.best == nil && p.sawRamping && !p.sawFull {
		p.ignoreRamp = true
		p.compare(s.sameRegion, maxSameRegionCompared, 0)
		p.compare(s.otherRegions, maxOtherRegionCompared, assumedLoadPerSlot)
	}
	if p.best == nil && p.sawEjected && !p.sawFull {
		p.skipEjected = false
		p.compare(s.sameRegion, maxSameRegionCompared, 0)
		p.compare(s.otherRegions, maxOtherRegionCompared, assumedLoadPerSlot)
	}
	return p.best, p.best == nil && p.sawFull
}

// infiniteCost is higher than any cost, in nanoseconds.
const infiniteCost = 1 << 62

// otherRegionRoundTrip returns the round trip to other regions in nanoseconds, or
// infiniteCost if they have no backend servers.
func (s *serviceCandidates) otherRegionRoundTrip() int64 {
	if len(s.otherRegions) == 0 {
		return infiniteCost
	}
	return s.otherRegions[0].roundTrip
}

// exploreShift selects bits of the random number for exploring, independent of
// those that set the start of a comparison.
const exploreShift = 40

// assumedLoadPerSlot is the number of requests in progress for each slot that a
// choice assumes on a backend server of another region, because counts are not
// exchanged between regions.
const assumedLoadPerSlot = 1

// search is the state of one choice.
type search struct {
	query                  Query
	meanLatency            int64
	knownShare, entryCount int64
	skipEjected            bool
	ignoreRoundTrip        bool
	spilloverOnly          bool // this region has usable backend servers, so others get only spillover
	best                   *Server
	bestCost               int64
	sawFull, sawEjected    bool
	lowestFullCost         int64 // the lowest cost among backend servers at their limits
	// sawRamping is true if the ramp of a returned zone excluded backend servers;
	// ignoreRamp includes them.
	sawRamping, ignoreRamp bool
}

// sameRegionCost returns the cost of the best choice so far. If all are at their
// limits, it is the lowest cost among them plus that of the requests that already
// wait at this entry.
func (p *search) sameRegionCost(share int64) int64 {
	if p.best != nil {
		return p.bestCost
	}
	if p.lowestFullCost == infiniteCost {
		return infiniteCost
	}
	return p.lowestFullCost + int64(p.query.Waiting)*p.meanLatency/max(share, 1)
}

// compare compares up to maxCompared usable backend servers, from a random start.
// assumedPerSlot is the number of requests in progress that it assumes for each
// slot in addition to the known ones; it is above 0 only for backend servers of
// other regions.
func (p *search) compare(all []candidate, maxCompared int, assumedPerSlot int64) {
	if len(all) == 0 {
		return
	}
	at := int(p.query.Random % uint64(len(all)))
	for range all {
		c := &all[at]
		at++
		if at == len(all) {
			at = 0
		}
		if !p.usable(c, assumedPerSlot > 0) {
			continue
		}
		if cost := p.costOf(c, assumedPerSlot); p.best == nil || cost < p.bestCost {
			p.best, p.bestCost = c.server, cost
		}
		if maxCompared--; maxCompared == 0 {
			return
		}
	}
}

// usable reports whether the backend server may be chosen now. If not, it records
// the reason in the search.
func (p *search) usable(c *candidate, otherRegion bool) bool {
	if !p.query.allows(c) {
		return false
	}
	if c.returnedAt > 0 && !p.ignoreRamp && !rampAdmits(p.query.Now-c.returnedAt, p.query.Random) {
		p.sawRamping = true
		return false
	}
	s := c.server
	if p.skipEjected && s.Ejection.Ejected(p.query.Now) {
		p.sawEjected = true
		return false
	}
	if otherRegion && (s.cold.Load() || p.spilloverOnly && (!c.maySpillOver || s.LocalInFlight() > 0)) {
		return false
	}
	if s.hasRoom(p.knownShare, p.entryCount, 0) {
		return true
	}
	p.sawFull = true
	p.lowestFullCost = min(p.lowestFullCost, p.costOf(c, 0))
	if s.cold.Load() && !s.loanWanted.Load() {
		s.loanWanted.Store(true)
	}
	return false
}

// costOf returns the expected time until a response in excess of the service
// time, in nanoseconds.
func (p *search) costOf(c *candidate, assumedPerSlot int64) int64 {
	s := c.server
	slots := int64(s.Record.Slots)
	total := s.TotalInFlight() + assumedPerSlot*slots
	cost := total * p.meanLatency / (slots * freeSlotCostDivisor)
	if !p.ignoreRoundTrip {
		cost += c.roundTrip
	}
	if waiting := total + 1 - slots; waiting > 0 {
		cost += waiting * p.meanLatency / slots
	}
	return cost
}
