package broker

import (
	"math/rand/v2"
	"time"

	"tanagerbarrow/account"
	"tanagerbarrow/registry"
	"tanagerbarrow/rollout"
	"tanagerbarrow/route"
)

// Options configure a [Broker].
type Options struct {
	// Regions maps each availability zone to its region.
	Regions map[string]string
	// Zone is the availability zone in which the broker runs.
	Zone string
	// RetryRatio, RetryExtra and RetryWindow bound the retries of a service.
	RetryRatio  float64
	RetryExtra  int
	RetryWindow time.Duration
	// SilenceTimeout is the time without a heartbeat or a response after which a
	// server is considered dead; 0 means [DefaultSilenceTimeout].
	SilenceTimeout time.Duration
	// AccountBounds say by how much client accounts may exceed their limits.
	AccountBounds account.Bounds
	// PredecessorIsNew says that the broker before this one may have begun within the last window of the
	// accounts' limits.
	PredecessorIsNew bool
	// Random breaks ties between equal servers and spreads retry times.
	Random *rand.Rand
	// GrantIDBase is the number after which the identifiers of grants begin. It is
	// higher than every identifier of earlier brokers.
	GrantIDBase uint64
	// ColdGrantsFrom is the earliest time at which cold servers get requests:
	// before it, another broker may have granted some.
	ColdGrantsFrom time.Time
	// ServersKnownFrom is the time by which the broker has received the records of
	// all running servers. Before it, no ask is refused for lack of free slots.
	ServersKnownFrom time.Time
	// Exposure bounds the requests that reach a new version that turns out to be bad.
	Exposure rollout.Bounds
}

// DefaultSilenceTimeout is three of the users' heartbeat intervals.
const DefaultSilenceTimeout = 4500 * time.Millisecond

// Broker assigns the requests of all services to backend servers. It is not
// safe for concurrent use.
type Broker struct {
	options       Options
	index         *route.Index
	zonesOut      map[string]bool
	pools         map[string]*pool
	servers       map[uint32]*Server
	byID          map[string]*Server
	entries       map[string]*entry
	grants        map[uint64]*grant
	crashSuspects map[uint64]*crashSuspect
	delays        *delays
	// meanAccountRate is the mean request limit of the client accounts that have one, in
	// requests per second; 0 if there is none.
	meanAccountRate float64
	// adoptedLimits holds, by server identifier, the limits of servers without a record.
	adoptedLimits map[string]adoptedLimit
	// left holds the starts of servers that have left in this broker's term.
	left map[serverStart]bool
	// rollouts holds, by service, the roll-out in progress or else the last.
	rollouts map[string]*serviceRollout
	// accounts holds the meters of the client accounts with a limit, by name.
	accounts map[string]*accountMeter
	// retiredMeters holds those of accounts that had a limit less than a window ago.
	retiredMeters map[string]*accountMeter

	lastServerNumber uint32
	lastGrantID      uint64
	outputs          []Output
	ejections        []Ejection
}

// grant is a request that may be running on a server.
type grant struct {
	id, seq     uint64
	entry       *entry
	server      *Server
	fingerprint uint64
	grantedAt   time.Time
	// expiresAt is the time after which the caller no longer waits for a response.
	expiresAt time.Time
	// relay is the entry that relays the request, or nil.
	relay *entry
	// route is the name of the request's route, if its ask names it, and overdue says that its
	// response counts as slow already.
	route   string
	overdue bool
	// meter is the one that has counted the request, or nil.
	meter *accountMeter
	// adopted says that another broker issued the grant.
	adopted bool
}

// sender returns the entry that sends the request to the server.
func (g *grant) sender() *entry {
	if g.relay != nil {
		return g.relay
	}
	return g.entry
}

// New returns a broker without servers and entries.
func New(o Options) *Broker {
	if o.SilenceTimeout == 0 {
		o.SilenceTimeout = DefaultSilenceTimeout
	}
	return &Broker{
		options: o, zonesOut: map[string]bool{}, pools: map[string]*pool{},
		servers: map[uint32]*Server{}, byID: map[string]*Server{}, entries: map[string]*entry{},
		grants: map[uint64]*grant{}, crashSuspects: map[uint64]*crashSuspect{}, lastGrantID: o.GrantIDBase,
		adoptedLimits: map[string]adoptedLimit{}, retiredMeters: map[string]*accountMeter{}, left: map[serverStart]bool{}, rollouts: map[string]*serviceRollout{},
		index: route.NewIndex(&route.Configuration{}), delays: newDelays(o.Regions, o.Zone),
	}
}

// TakeOutputs returns the replies that the broker has produced since the last
// call.
func (b *Broker) TakeOutputs() []Output {
	out := b.outputs
	b.outputs = nil
	return out
}

// Configure applies the declared configuration and the set of zones that are
// out of service. Servers of a zone that returns to service count as cold for
// their service's cold time, unless a health check reports otherwise.
func (b *Broker) Configure(x *route.Index, zonesOut map[string]bool, now time.Time) {
	for zone := range b.zonesOut {
		if !zonesOut[zone] {
			b.markZoneCold(zone, now)
		}
	}
	b.configureAccounts(x.Configuration().ClientAccounts, now)
	b.index, b.zonesOut = x, zonesOut
	b.meanAccountRate = meanRate(x.Configuration().ClientAccounts)
	b.serveQueues(now)
}

// markZoneCold marks all servers of a zone as cold.
func (b *Broker) markZoneCold(zone string, now time.Time) {
	for _, s := range b.servers {
		if s.Record.AvailabilityZone != zone {
			continue
		}
		if service := b.index.Service(s.Record.Service); service != nil {
			s.Record.ColdUntil = now.Add(service.ColdTime)
		}
	}
}

// Announce applies a new or changed record and returns its server. A record
// with another start time, address or service replaces the server of the same
// identifier by a new one.
func (b *Broker) Announce(r registry.Record, now time.Time) *Server {
	s := b.byID[r.ID]
	if s != nil && s.Record.Started == r.Started && s.Record.Address == r.Address && s.Record.Service == r.Service {
		s.Record = r
		b.serveQueue(r.Service, now)
		return s
	}
	if s != nil {
		b.remove(s)
	}
	b.lastServerNumber++
	s = newServer(b.lastServerNumber, r, b.options.Regions[r.AvailabilityZone], b.options.SilenceTimeout)
	b.servers[s.Number], b.byID[r.ID] = s, s
	b.applyAdoptedLimit(s, now)
	p := b.pool(r.Service)
	p.servers = append(p.servers, s)
	b.serveQueue(r.Service, now)
	return s
}

// RemoveServer removes a server, so that it gets no further requests, and
// returns it; nil if it is not known.
func (b *Broker) RemoveServer(id string) *Server {
	s := b.byID[id]
	if s != nil {
		b.remove(s)
	}
	return s
}

// remove takes a server out of the broker's tables. Its unfinished grants still
// refer to it.
func (b *Broker) remove(s *Server) {
	s.removed = true
	delete(b.servers, s.Number)
	if b.byID[s.Record.ID] == s {
		delete(b.byID, s.Record.ID)
	}
	for _, e := range b.entries {
		delete(e.avoided, s.Number)
		delete(e.failedRequests, s.Number)
		delete(e.backoffs, s.Record.ID)
	}
	p := b.pool(s.Record.Service)
	for i, other := range p.servers {
		if other == s {
			p.servers = append(p.servers[:i:i], p.servers[i+1:]...)
			break
		}
	}
}

// Servers returns the servers by their numbers.
func (b *Broker) Servers() map[uint32]*Server { return b.servers }

// pool returns the pool of a service and creates it if there is none.
func (b *Broker) pool(service string) *pool {
	p := b.pools[service]
	if p == nil {
		p = &pool{name: service, serviceTime: initialServiceTime, meanPace: usualPace}
		b.pools[service] = p
	}
	return p
}

// Connect registers an entry. It may hold grants of an earlier connection or of
// another broker.
func (b *Broker) Connect(name, zone string, held []HeldGrant, now time.Time) {
	before := b.entries[name]
	e := newEntry(name, zone, b.options.Regions[zone])
	b.entries[name] = e
	for _, h := range held {
		b.adoptGrant(e, h, now)
	}
	if before == nil {
		return
	}
	e.backoffs = before.backoffs
	for id, g := range b.grants {
		if g.entry == before {
			b.freeSlot(g)
			delete(b.grants, id)
		}
	}
	b.serveQueues(now)
}

// adoptGrant registers a grant that an entry holds as one in use.
func (b *Broker) adoptGrant(e *entry, h HeldGrant, now time.Time) {
	if own := b.grants[h.ID]; own != nil {
		own.entry = e
		return
	}
	s := b.byID[h.ServerID]
	if s == nil {
		return
	}
	s.activeGrants++
	b.grants[h.ID] = &grant{id: h.ID, entry: e, server: s, grantedAt: now, expiresAt: now.Add(adoptedGrantLifetime), adopted: true}
}

// Disconnect records that an entry's connection has ended. Its waiting asks are
// dropped at once. Its grants stay in use for disconnectedGrantLifetime,
// since their requests may still be running.
func (b *Broker) Disconnect(name string, now time.Time) {
	e := b.entries[name]
	if e == nil {
		return
	}
	e.disconnectedAt = now
	b.loseShares(name, now)
	for _, p := range b.pools {
		p.removeAsks(e)
	}
}

// Tick refuses the asks that have waited too long, and removes expired grants,
// entries and crash records.
func (b *Broker) Tick(now time.Time) {
	for id, g := range b.grants {
		lost := !g.entry.disconnectedAt.IsZero() && now.Sub(g.entry.disconnectedAt) > disconnectedGrantLifetime
		if lost || now.After(g.expiresAt) {
			b.freeSlot(g)
			delete(b.grants, id)
		}
	}
	for name, e := range b.entries {
		e.expireBackoffs(now)
		if !e.disconnectedAt.IsZero() && now.Sub(e.disconnectedAt) > 2*disconnectedGrantLifetime {
			delete(b.entries, name)
		}
	}
	for _, p := range b.pools {
		p.firstAttempts.count(now, b.options.RetryWindow)
		p.grantedRetries.count(now, b.options.RetryWindow)
		p.returns.expire(now)
		b.measureDrain(p, now)
		p.served.fade(now)
	}
	b.expireCrashSuspects(now)
	b.expireAdoptedLimits(now)
	b.updateRollouts(now)
	b.serveQueues(now)
}

// freeSlot releases the slot of a grant.
func (b *Broker) freeSlot(g *grant) {
	g.server.activeGrants = max(0, g.server.activeGrants-1)
	if g.relay != nil {
		g.relay.relayed = max(0, g.relay.relayed-1)
	}
	delete(g.entry.grantIDs, g.seq)
}

// serveQueues serves the queues of all services.
func (b *Broker) serveQueues(now time.Time) {
	for name := range b.pools {
		b.serveQueue(name, now)
	}
}

// RefreshServer applies a heartbeat that changed nothing but times. It reports
// whether the server is known.
func (b *Broker) RefreshServer(r registry.Record) bool {
	s := b.byID[r.ID]
	if s == nil {
		return false
	}
	s.Record = r
	return true
}

// Entries returns the connected entries that reach the backend servers, with their
// availability zones.
func (b *Broker) Entries() map[string]string {
	zones := map[string]string{}
	for name, e := range b.entries {
		if e.disconnectedAt.IsZero() && !e.pathLost {
			zones[name] = e.zone
		}
	}
	return zones
}
