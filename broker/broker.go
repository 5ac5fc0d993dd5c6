package broker

import (
	"math/rand/v2"
	"time"

	"tanagerbarrow/registry"
	"tanagerbarrow/route"
)

// Options configure a [Broker].
type Options struct {
	// Regions maps each availability zone to its region.
	Regions map[string]string
	// Zone is where the broker runs.
	Zone string
	// RetryRatio, RetryExtra and RetryWindow bound the retries of a service.
	RetryRatio  float64
	RetryExtra  int
	RetryWindow time.Duration
	// SilenceTimeout is the time without heartbeat or answer after which a server is
	// taken for dead; 0 for [DefaultSilenceTimeout].
	SilenceTimeout time.Duration
	// Random draws among equal servers.
	Random *rand.Rand
	// GrantIDBase is the number of the first grant; higher than those of earlier
	// brokers.
	GrantIDBase uint64
	// ColdGrantsFrom is when cold servers may get requests: before that, another
	// broker may have granted some.
	ColdGrantsFrom time.Time
	// ServersKnownFrom is when the broker has heard of the servers that are up. Before
	// that nothing is refused for want of room.
	ServersKnownFrom time.Time
}

// DefaultSilenceTimeout is three of the users' heartbeat intervals.
const DefaultSilenceTimeout = 4500 * time.Millisecond

// Broker decides for all services. It is not safe for concurrent use.
type Broker struct {
	options  Options
	index    *route.Index
	zonesOut map[string]bool
	pools    map[string]*pool
	servers  map[uint32]*Server
	byID     map[string]*Server
	entries  map[string]*entry
	grants   map[uint64]*grant
	poison   map[uint64]*suspect

	nextServer uint32
	nextGrant  uint64
	out        []Output
}

// entry is a process that asks.
type entry struct {
	name, zone, region string
	// gone is when its connection ended; zero while it is connected.
	gone time.Time
	// warm are the idle connections to servers.
	warm map[uint32]*warmth
	// asks maps open asks to their grants.
	asks map[uint64]uint64
}

// warmth counts the idle connections of an entry to a server.
type warmth struct {
	idle  int
	until time.Time
}

// grant is a request that may be running.
type grant struct {
	id, seq     uint64
	entry       *entry
	server      *Server
	fingerprint uint64
	at          time.Time
	// until is when the caller has stopped waiting.
	until time.Time
}

// New returns a broker without servers and entries.
func New(o Options) *Broker {
	if o.SilenceTimeout == 0 {
		o.SilenceTimeout = DefaultSilenceTimeout
	}
	return &Broker{
		options: o, zonesOut: map[string]bool{}, pools: map[string]*pool{},
		servers: map[uint32]*Server{}, byID: map[string]*Server{}, entries: map[string]*entry{},
		grants: map[uint64]*grant{}, poison: map[uint64]*suspect{}, nextGrant: o.GrantIDBase,
		index: route.NewIndex(&route.Configuration{}),
	}
}

// TakeOutputs returns the messages that were decided since the last call.
func (b *Broker) TakeOutputs() []Output {
	out := b.out
	b.out = nil
	return out
}

// Configure takes in the declared configuration and the zones that are out. The
// servers of a zone that comes back count as cold until they say otherwise.
func (b *Broker) Configure(x *route.Index, zonesOut map[string]bool, now time.Time) {
	for zone := range b.zonesOut {
		if !zonesOut[zone] {
			b.chill(zone, now)
		}
	}
	b.index, b.zonesOut = x, zonesOut
	b.serveAll(now)
}

// chill makes the servers of a zone cold.
func (b *Broker) chill(zone string, now time.Time) {
	for _, s := range b.servers {
		if s.Record.AvailabilityZone != zone {
			continue
		}
		if service := b.index.Service(s.Record.Service); service != nil {
			s.Record.ColdUntil = now.Add(service.ColdTime)
		}
	}
}

// Announce takes in a record that is new or has changed, and returns its
// server.
func (b *Broker) Announce(r registry.Record, now time.Time) *Server {
	s := b.byID[r.ID]
	if s != nil && s.Record.Started == r.Started && s.Record.Address == r.Address && s.Record.Service == r.Service {
		s.Record = r
		b.serve(r.Service, now)
		return s
	}
	if s != nil {
		b.drop(s)
	}
	b.nextServer++
	s = newServer(b.nextServer, r, b.options.Regions[r.AvailabilityZone], b.options.SilenceTimeout)
	b.servers[s.Number], b.byID[r.ID] = s, s
	p := b.pool(r.Service)
	p.servers = append(p.servers, s)
	b.serve(r.Service, now)
	return s
}

// RemoveServer ends a server's part: it gets no further request.
func (b *Broker) RemoveServer(id string) *Server {
	s := b.byID[id]
	if s != nil {
		b.drop(s)
	}
	return s
}

// drop forgets a server; grants in use still find it.
func (b *Broker) drop(s *Server) {
	s.left = true
	delete(b.servers, s.Number)
	if b.byID[s.Record.ID] == s {
		delete(b.byID, s.Record.ID)
	}
	p := b.pool(s.Record.Service)
	for i, other := range p.servers {
		if other == s {
			p.servers = append(p.servers[:i:i], p.servers[i+1:]...)
			break
		}
	}
}

// Servers returns the servers in no order.
func (b *Broker) Servers() map[uint32]*Server { return b.servers }

// pool returns the pool of a service.
func (b *Broker) pool(service string) *pool {
	p := b.pools[service]
	if p == nil {
		p = &pool{name: service, work: firstWork, pace: usualPace}
		b.pools[service] = p
	}
	return p
}

// Connect takes in an entry, which may hold grants of an earlier connection or
// of another broker.
func (b *Broker) Connect(name, zone string, held []HeldGrant, now time.Time) {
	before := b.entries[name]
	e := &entry{
		name: name, zone: zone, region: b.options.Regions[zone],
		warm: map[uint32]*warmth{}, asks: map[uint64]uint64{},
	}
	b.entries[name] = e
	for _, h := range held {
		b.adopt(e, h, now)
	}
	if before == nil {
		return
	}
	for id, g := range b.grants {
		if g.entry == before {
			b.free(g)
			delete(b.grants, id)
		}
	}
	b.serveAll(now)
}

// adopt takes over a grant that an entry holds.
func (b *Broker) adopt(e *entry, h HeldGrant, now time.Time) {
	if own := b.grants[h.ID]; own != nil {
		own.entry = e
		return
	}
	s := b.byID[h.ServerID]
	if s == nil {
		return
	}
	s.busy++
	b.grants[h.ID] = &grant{id: h.ID, entry: e, server: s, at: now, until: now.Add(adoptedHold)}
}

// Disconnect notes that an entry's connection ended. Its asks are forgotten;
// its grants stay in use for a time, since it may still be at work.
func (b *Broker) Disconnect(name string, now time.Time) {
	e := b.entries[name]
	if e == nil {
		return
	}
	e.gone = now
	for _, p := range b.pools {
		p.forget(e)
	}
}

// Tick refuses the asks that have waited too long and forgets what has expired.
func (b *Broker) Tick(now time.Time) {
	for id, g := range b.grants {
		lost := !g.entry.gone.IsZero() && now.Sub(g.entry.gone) > goneHold
		if lost || now.After(g.until) {
			b.free(g)
			delete(b.grants, id)
		}
	}
	for name, e := range b.entries {
		if !e.gone.IsZero() && now.Sub(e.gone) > 2*goneHold {
			delete(b.entries, name)
		}
	}
	for _, p := range b.pools {
		p.firsts.count(now, b.options.RetryWindow)
		p.retries.count(now, b.options.RetryWindow)
	}
	b.forgetPoison(now)
	b.serveAll(now)
}

// free gives a grant's slot back.
func (b *Broker) free(g *grant) {
	g.server.busy = max(0, g.server.busy-1)
	delete(g.entry.asks, g.seq)
}

// serveAll serves the queues of all services.
func (b *Broker) serveAll(now time.Time) {
	for name := range b.pools {
		b.serve(name, now)
	}
}

// RefreshServer takes in a heartbeat that changed times only. It reports whether the
// server is known.
func (b *Broker) RefreshServer(r registry.Record) bool {
	s := b.byID[r.ID]
	if s == nil {
		return false
	}
	s.Record = r
	return true
}

// Entries returns the connected entries with their availability zones.
func (b *Broker) Entries() map[string]string {
	zones := map[string]string{}
	for name, e := range b.entries {
		if e.gone.IsZero() {
			zones[name] = e.zone
		}
	}
	return zones
}
