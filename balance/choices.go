package balance

import (
	"net/netip"
	"slices"
	"time"

	"tanagerbarrow/membership"
	"tanagerbarrow/state"
)

// The bounds of one choice.
const (
	// nearLooked and farLooked are how many backend servers of this region and
	// of others a choice compares at most.
	nearLooked = 8
	farLooked  = 4
	// spillEntries is how many entries of a region may send to one backend
	// server of another region, one request each, while their own region works.
	// Counts are not exchanged between regions.
	spillEntries = 2
	// explorePicks is the number of choices of which one disregards the way to
	// other zones, so that requests keep showing how every backend server of
	// the region does.
	explorePicks = 16
	// idleShare is the part of the usual latency that one more request on a
	// backend server with free slots counts for.
	idleShare = 4
)

// RoundTrips are the round trips that a choice weighs against waiting.
type RoundTrips struct {
	// Zone is the round trip to another availability zone of the region.
	Zone time.Duration
	// Region is the round trip to another region.
	Region time.Duration
}

// DefaultRoundTrips are the round trips of the sites that the product serves today.
func DefaultRoundTrips() RoundTrips {
	return RoundTrips{Zone: time.Millisecond, Region: 16 * time.Millisecond}
}

// Place is where an entry stands.
type Place struct {
	// AvailabilityZone is the entry's own.
	AvailabilityZone string
	// Regions maps each availability zone to its region.
	Regions map[string]string
	// RoundTrips are the round trips from here.
	RoundTrips RoundTrips
	// ReturnedZones says when availability zones that were out came back.
	ReturnedZones map[string]time.Time
}

// Choices are the backend servers among which an entry chooses, for one view of
// the members and one configuration. It is immutable.
type Choices struct {
	loads    *Loads
	services map[string]*service
}

// service are the backend servers of one service, near ones in this region.
type service struct {
	usual     *serviceLoad
	near, far []candidate
}

// candidate is a backend server with the cost of the way to it.
type candidate struct {
	server *Server
	region string
	hop    int64 // nanoseconds
	// returned is when the zone came back, in nanoseconds of Unix time, or zero.
	returned int64
	spill    bool // this entry may use it while its own region still works
}

// NewChoices returns the choices of an entry at the place. Availability zones
// that are out offer none.
func NewChoices(l *Loads, v *membership.View, c *state.Configuration, at Place, now time.Time) *Choices {
	all := &Choices{loads: l, services: make(map[string]*service, len(v.Services))}
	home := at.Regions[at.AvailabilityZone]
	keep := map[Key]bool{}
	for name, records := range v.Services {
		s := &service{usual: l.usual(name)}
		for _, record := range records {
			b := l.Server(record, at.Regions[record.AvailabilityZone] != home, now)
			keep[b.Key()] = true
			if !c.ZonesOut[record.AvailabilityZone] {
				s.add(b, at, l.spills(b.Key()))
			}
		}
		s.usual.share.Store(s.shareOf(int64(len(l.live()))))
		all.services[name] = s
	}
	l.Prune(keep)
	return all
}

// shareOf returns the part of one of the region's entries in the limits of the
// service's backend servers in the region.
func (s *service) shareOf(entries int64) int64 {
	sum := int64(0)
	for _, c := range s.near {
		sum += c.server.Limit.Max()
	}
	return max(sum/max(entries, 1), 1)
}

// add adds a backend server.
func (s *service) add(b *Server, at Place, spill bool) {
	zone := b.Record.AvailabilityZone
	c := candidate{server: b, region: at.Regions[zone], spill: spill}
	if since, ok := at.ReturnedZones[zone]; ok {
		c.returned = since.UnixNano()
	}
	switch {
	case zone == at.AvailabilityZone:
		s.near = append(s.near, c)
	case c.region == at.Regions[at.AvailabilityZone]:
		c.hop = int64(at.RoundTrips.Zone)
		s.near = append(s.near, c)
	default:
		c.hop = int64(at.RoundTrips.Region)
		s.far = append(s.far, c)
	}
}

// Query is what one choice must respect.
type Query struct {
	// Now is in nanoseconds of Unix time.
	Now int64
	// Random is a random number.
	Random uint64
	// Waiting is the number of requests that wait at this entry.
	Waiting int
	// HomeRegions are the only regions to choose from; empty means any.
	HomeRegions []string
	// Tried are addresses to leave out.
	Tried []netip.AddrPort
}

// allows reports whether the query lets a backend server be chosen at all.
func (q *Query) allows(c *candidate) bool {
	if len(q.HomeRegions) > 0 && !slices.Contains(q.HomeRegions, c.region) {
		return false
	}
	return len(q.Tried) == 0 || !slices.Contains(q.Tried, c.server.Record.Address)
}

// Pick returns the backend server with the lowest expected cost, or nil. full
// is true if there are allowed backend servers, all of them at their limits.
// It takes no lock and allocates nothing.
func (c *Choices) Pick(name string, q Query) (best *Server, full bool) {
	s, ok := c.services[name]
	if !ok {
		return nil, false
	}
	p := search{query: q, usual: int64(s.usual.mean()), healthy: true, fullCost: noCost}
	p.explore = q.Random>>exploreShift%explorePicks == 0
	p.known, p.entries = c.loads.known()
	p.look(s.near, nearLooked, 0)
	p.explore = false
	p.bound = p.best != nil || p.full
	if p.nearCost(s.usual.share.Load()) > s.farHop() {
		p.look(s.far, farLooked, unknownLoad)
	}
	if p.best == nil && p.ramping && !p.full {
		p.whole = true
		p.look(s.near, nearLooked, 0)
		p.look(s.far, farLooked, unknownLoad)
	}
	if p.best == nil && p.ejected && !p.full {
		p.healthy = false
		p.look(s.near, nearLooked, 0)
		p.look(s.far, farLooked, unknownLoad)
	}
	return p.best, p.best == nil && p.full
}

// noCost is more than any cost.
const noCost = 1 << 62

// farHop returns the cost of the way to other regions.
func (s *service) farHop() int64 {
	if len(s.far) == 0 {
		return noCost
	}
	return s.far[0].hop
}

// exploreShift takes other bits of the random number than the start of a search.
const exploreShift = 40

// unknownLoad is the load, for each slot, that a choice assumes on a backend
// server of another region, whose counts are not exchanged.
const unknownLoad = 1

// search is the state of one choice.
type search struct {
	query          Query
	usual          int64
	known, entries int64
	healthy        bool
	explore        bool
	bound          bool // this region works, so that others get only spills
	best           *Server
	cost           int64
	full, ejected  bool
	fullCost       int64 // the lowest cost of those at their limits
	// ramping says that the ramp of a returned zone kept backend servers out,
	// whole that it no longer does.
	ramping, whole bool
}

// nearCost returns the cost of the best choice so far. If it must be waited for,
// the requests that wait here before it count too.
func (p *search) nearCost(share int64) int64 {
	if p.best != nil {
		return p.cost
	}
	if p.fullCost == noCost {
		return noCost
	}
	return p.fullCost + int64(p.query.Waiting)*p.usual/max(share, 1)
}

// look compares up to most backend servers from a random start.
func (p *search) look(all []candidate, most int, assumed int64) {
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
		if !p.usable(c, assumed > 0) {
			continue
		}
		if cost := p.costOf(c, assumed); p.best == nil || cost < p.cost {
			p.best, p.cost = c.server, cost
		}
		if most--; most == 0 {
			return
		}
	}
}

// usable reports whether the backend server may be chosen now.
func (p *search) usable(c *candidate, far bool) bool {
	if !p.query.allows(c) {
		return false
	}
	if c.returned > 0 && !p.whole && !rampAdmits(p.query.Now-c.returned, p.query.Random) {
		p.ramping = true
		return false
	}
	s := c.server
	if p.healthy && s.Ejection.Ejected(p.query.Now) {
		p.ejected = true
		return false
	}
	if far && (s.cold.Load() || p.bound && (!c.spill || s.LocalInFlight() > 0)) {
		return false
	}
	if s.hasRoom(p.known, p.entries, 0) {
		return true
	}
	p.full = true
	p.fullCost = min(p.fullCost, p.costOf(c, 0))
	if s.cold.Load() && !s.wanted.Load() {
		s.wanted.Store(true)
	}
	return false
}

// costOf returns the expected time until an answer beyond the service time, in
// nanoseconds.
func (p *search) costOf(c *candidate, assumed int64) int64 {
	s := c.server
	slots := int64(s.Record.Slots)
	total := s.TotalInFlight() + assumed*slots
	cost := total * p.usual / (slots * idleShare)
	if !p.explore {
		cost += c.hop
	}
	if waiting := total + 1 - slots; waiting > 0 {
		cost += waiting * p.usual / slots
	}
	return cost
}
