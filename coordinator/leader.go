package coordinator

import (
	"math/rand/v2"
	"slices"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"tanagerbarrow/account"
	"tanagerbarrow/boottime"
	"tanagerbarrow/broker"
	"tanagerbarrow/declare"
	"tanagerbarrow/link"
	"tanagerbarrow/protocol"
	"tanagerbarrow/rollout"
	"tanagerbarrow/route"
	"tanagerbarrow/telemetry"
)

// Limits and timing of the broker.
const (
	// eventCapacity is how many events can wait for the broker.
	eventCapacity = 8192
	// urgentCapacity is how many changes of the declared state can wait.
	urgentCapacity = 64
	// brokerTickPeriod is how often the broker examines waiting requests: a
	// small part of the shortest wait.
	brokerTickPeriod = 20 * time.Millisecond
	// checkDistributionPeriod is how often health checks are distributed among
	// entries, and sessionCheckDelay the least time between two distributions because
	// of new sessions. When hundreds of entries connect at once, one distribution
	// covers many of them.
	checkDistributionPeriod = 500 * time.Millisecond
	sessionCheckDelay       = 60 * time.Millisecond
	// documentInterval is the minimum time between two broadcasts of a
	// configuration, which combines configurations declared in quick succession
	// into one message. It is a small part of the time within which they must be
	// in force.
	documentInterval = 100 * time.Millisecond
	// coldGrantDelay is how long a new broker issues no grants for cold servers,
	// because its predecessor may have issued some within the second before.
	coldGrantDelay = 1300 * time.Millisecond
	// serverDiscoveryDuration is how long a new broker needs to learn its
	// servers: the records of the other control hosts arrive within a round trip
	// between regions, and the heartbeats that servers repeat after a power loss
	// a few round trips later.
	serverDiscoveryDuration = 250 * time.Millisecond
	// deregisteredRetryMillis is the time in milliseconds after which a request
	// whose server has just been deregistered may be retried. By then the broker
	// knows the other servers.
	deregisteredRetryMillis = 50
	// maxLostHeartbeats is how many consecutive heartbeats of a live server may
	// be lost.
	maxLostHeartbeats = 3
	// maxEjectionLinesPerSecond bounds the log lines about ejected servers.
	maxEjectionLinesPerSecond = 20
	// grantsPerTerm is the size of the range of grant numbers of each term. It
	// keeps the numbers of different terms distinct.
	grantsPerTerm = 1 << 32
)

// capabilities are the further messages that this build's broker handles.
var capabilities = protocol.Capabilities{DetailedAsks: true, Results: true, Currency: true}

// leader runs the broker of one term in a single goroutine.
type leader struct {
	c    *Coordinator
	term uint64
	// leaseEnd is the end of the lease, in nanoseconds of [boottime.Now].
	leaseEnd atomic.Int64
	events   chan func(time.Time)
	// urgent holds the events that are handled before all others: changes of the
	// declared state, which must be in force soon at any request rate.
	urgent chan func(time.Time)
	done   chan struct{}
	log    zerolog.Logger
	// ejectionLog passes on a bounded number of lines a second.
	ejectionLog zerolog.Logger

	broker   *broker.Broker
	sessions map[string]*inboundLink
	// views holds, by entry name, which servers the entry of each session knows.
	views map[string]*entryView
	state declare.State
	index *route.Index
	// sentDocument is the configuration that all sessions hold or are being
	// sent.
	sentDocument   declare.Document
	documentSentAt time.Time
	// assignedChecks holds, by entry name, the numbers of the servers that the
	// entry checks.
	assignedChecks      map[string][]uint32
	checksDistributedAt time.Time
	// sentRelays holds, by entry name, the relays that the entry has been sent.
	sentRelays map[string][]protocol.Relay
	// relays are the entries that relayed requests when sentRelays was last brought up to
	// date.
	relays       map[string]broker.Relay
	relaysSentAt time.Time
	// sentEntryCount is the number of connected entries that all sessions know.
	sentEntryCount int
	// orders is held by the operator's order that is being executed. orderPending says that
	// the outcome of an earlier one is unknown; it is accessed by the holder.
	orders       chan struct{}
	orderPending bool
	rollouts     rolloutDriver
	// sharesSentAt is when the shares of client accounts were last planned.
	sharesSentAt time.Time
	// sessionsAdded is whether sessions were added since the last distribution.
	sessionsAdded bool
}

// newLeader returns the leader of a term. Its lease ends at leaseEnd, in
// [boottime.Now]. The leader before it may be new itself.
func newLeader(c *Coordinator, term uint64, leaseEnd time.Duration, predecessorIsNew bool) *leader {
	b := c.options.Settings.Bounds
	l := &leader{
		c: c, term: term, events: make(chan func(time.Time), eventCapacity),
		urgent: make(chan func(time.Time), urgentCapacity), done: make(chan struct{}),
		log: c.log, ejectionLog: telemetry.NewRateLimitedLogger(c.log, "ejections", maxEjectionLinesPerSecond), sessions: map[string]*inboundLink{}, views: map[string]*entryView{}, assignedChecks: map[string][]uint32{},
		sentRelays: map[string][]protocol.Relay{}, orders: make(chan struct{}, 1),
		index: route.NewIndex(&route.Configuration{}),
		broker: broker.New(broker.Options{
			Regions: c.options.Settings.Regions, Zone: c.self.AvailabilityZone, RetryRatio: b.RetryRatio, RetryExtra: b.RetryExtra,
			RetryWindow: b.RetryWindow, SilenceTimeout: maxLostHeartbeats * c.options.Settings.HeartbeatInterval, Random: rand.New(rand.NewPCG(rand.Uint64(), term)),
			GrantIDBase: term * grantsPerTerm, ColdGrantsFrom: time.Now().Add(coldGrantDelay),
			ServersKnownFrom: time.Now().Add(serverDiscoveryDuration),
			Exposure:         rollout.Bounds{Share: b.ExposureShare, Slack: b.ExposureSlack},
			PredecessorIsNew: predecessorIsNew,
			AccountBounds:    account.Bounds{Window: b.LimitWindow, Overshoot: b.LimitOvershoot, Slack: b.LimitSlack},
		}),
		rollouts: newRolloutDriver(time.Now()),
	}
	l.leaseEnd.Store(int64(leaseEnd))
	return l
}

// extendLease sets the end of the lease, in [boottime.Now].
func (l *leader) extendLease(leaseEnd time.Duration) { l.leaseEnd.Store(int64(leaseEnd)) }

// leaseValid reports whether the lease holds.
func (l *leader) leaseValid() bool { return int64(boottime.Now()) < l.leaseEnd.Load() }

// stop ends run.
func (l *leader) stop() { close(l.done) }

// stopped reports whether stop was called. Events that are queued then are dropped: an entry that
// subscribed would otherwise be welcomed by a broker that is gone.
func (l *leader) stopped() bool {
	select {
	case <-l.done:
		return true
	default:
		return false
	}
}

// post queues an event for run. It blocks while the queue is full, and drops the
// event after stop.
func (l *leader) post(event func(time.Time)) {
	select {
	case l.events <- event:
	case <-l.done:
	}
}

// postUrgent queues an event that is handled before those of post.
func (l *leader) postUrgent(event func(time.Time)) {
	select {
	case l.urgent <- event:
	case <-l.done:
	}
}

// run handles events until stop. It sends decisions only while the lease holds.
func (l *leader) run() {
	ticker := time.NewTicker(brokerTickPeriod)
	defer ticker.Stop()
	for !l.stopped() {
		select {
		case <-l.done:
			return
		case event := <-l.urgent:
			event(time.Now())
		case event := <-l.events:
			event(time.Now())
		case <-ticker.C:
			l.tick(time.Now())
		}
		select {
		case event := <-l.urgent:
			event(time.Now())
		default:
		}
		l.sendDecisions()
	}
}

// tick does the periodic work that is due.
func (l *leader) tick(now time.Time) {
	l.broker.Tick(now)
	l.driveRollouts(now)
	l.logEjections()
	l.sendAccountShares(now)
	if l.state.Document.Version > l.sentDocument.Version && now.Sub(l.documentSentAt) >= documentInterval {
		l.broadcastDocument(now)
	}
	period := checkDistributionPeriod
	if l.sessionsAdded {
		period = sessionCheckDelay
	}
	if now.Sub(l.checksDistributedAt) >= period {
		l.checksDistributedAt, l.sessionsAdded = now, false
		l.distributeChecks()
		l.sendLimits(now)
		l.sendRelays(now)
	}
}

// sendDecisions sends the broker's grants and refusals to the entries. It drops
// them if the lease has expired, because another host may lead already.
func (l *leader) sendDecisions() {
	out := l.broker.TakeOutputs()
	if len(out) == 0 || !l.leaseValid() {
		return
	}
	for _, o := range out {
		in := l.sessions[o.Entry]
		if in == nil {
			continue
		}
		if o.Grant != nil && l.c.isDeregistered(o.Server.Record.ID, o.Server.Record.Started) {
			// The deregistration is acknowledged already, but its event is still
			// queued.
			l.broker.Release(o.Entry, broker.Release{ID: o.Grant.ID, Outcome: broker.WrongServer}, time.Now())
			o.Refusal = &broker.Refusal{Seq: o.Grant.Seq, Reason: broker.ReasonNoServer, RetryMillis: deregisteredRetryMillis}
			o.Grant = nil
		}
		if o.Grant != nil {
			l.c.metrics.countGrant(o.AheadBy)
			l.sendGrantedServer(o.Entry, in, o.Server, time.Now())
			if relay := l.sessions[o.Relay]; relay != nil {
				l.sendGrantedServer(o.Relay, relay, o.Server, time.Now())
			}
			_ = in.conn.Send(protocol.KindGrant, o.Grant)
			continue
		}
		l.c.metrics.countRefusal(o.Refusal.Reason)
		_ = in.conn.Send(protocol.KindRefusal, o.Refusal)
	}
}

// ask passes an ask to the broker.
func (l *leader) ask(name string, a broker.Ask, now time.Time) { l.broker.Ask(name, a, now) }

// release passes the end of a grant to the broker.
func (l *leader) release(name string, r broker.Release, now time.Time) {
	l.broker.Release(name, r, now)
}

// samples passes the results of an entry's health checks to the broker.
func (l *leader) samples(name string, samples []broker.Sample, now time.Time) {
	for _, s := range samples {
		l.broker.SampleBy(name, s, now)
	}
}

// subscribe adds the session of an entry and sends it the configuration, the
// servers and its health checks.
func (l *leader) subscribe(in *inboundLink, s protocol.Subscribe, now time.Time) {
	name := in.hello.Name
	l.sessions[name] = in
	l.broker.AdoptLimits(s.Limits, now)
	l.broker.Connect(name, in.hello.AvailabilityZone, s.Held, now)
	l.broker.SetRelayAddress(name, s.RelayAddress)
	l.setPath(name, s.Path, now)
	delete(l.sentRelays, name)
	l.forgetRolloutSession(name, false, now)
	l.log.Info().Str("event", "entry_connected").Str("entry", name).Int("held", len(s.Held)).
		Uint64("config_version", s.Version).Send()
	_ = in.conn.Send(protocol.KindWelcome, protocol.Welcome{Term: l.term})
	_ = in.conn.Send(protocol.KindCapabilities, capabilities)
	if l.sentDocument.Version > s.Version {
		l.sendDocumentTo(in, l.sentDocument, declare.Document{})
	}
	l.sendFullView(name, in, now)
	delete(l.assignedChecks, name)
	l.sessionsAdded = true
}

// disconnect removes the session of a closed connection, unless a newer
// connection of the same entry has replaced it.
func (l *leader) disconnect(in *inboundLink, now time.Time) {
	name := in.hello.Name
	if l.sessions[name] != in {
		return
	}
	delete(l.sessions, name)
	delete(l.views, name)
	delete(l.assignedChecks, name)
	delete(l.sentRelays, name)
	l.forgetRolloutSession(name, true, now)
	l.broker.Disconnect(name, now)
	l.log.Warn().Str("event", "entry_lost").Str("entry", name).AnErr("reason", in.conn.Err()).Send()
}

// serverToWire encodes a server for entries.
func serverToWire(s *broker.Server, now time.Time) protocol.Server {
	r := s.Record
	server := protocol.Server{
		Number: s.Number, ID: r.ID, Service: r.Service, Address: r.Address,
		AvailabilityZone: r.AvailabilityZone, Slots: r.Slots,
		ColdMillis: int(max(0, r.ColdUntil.Sub(now).Milliseconds())),
	}
	if limit := s.Limit(); limit.Limited() {
		server.Limit = &limit
	}
	return server
}

// broadcast sends a message to all sessions.
func (l *leader) broadcast(kind link.Kind, v any) {
	body, err := link.Encode(v)
	if err != nil {
		l.log.Error().Str("event", "encode_failed").Err(err).Send()
		return
	}
	for _, in := range l.sessions {
		_ = in.conn.SendEncoded(kind, body)
	}
}

// applyState applies the declared state to the broker and sends its changes to
// the sessions.
func (l *leader) applyState(now time.Time) {
	state, _ := l.c.machine.State()
	if state.Document.Version != l.state.Document.Version {
		config, err := l.decode(state.Document)
		if err != nil {
			l.log.Error().Str("event", "configuration_unreadable").Uint64("version", state.Document.Version).Err(err).Send()
			return
		}
		l.index = route.NewIndex(config)
		l.log.Info().Str("event", "configuration_applied").Uint64("version", config.Version).Send()
	}
	before := l.zonesOut()
	l.applyRollouts(state, now)
	l.state = state
	l.refreshRollouts()
	l.broker.Configure(l.index, state.ZonesOut, now)
	var gone []uint32
	for _, s := range l.broker.Servers() {
		if l.c.isDeregistered(s.Record.ID, s.Record.Started) {
			l.broker.RemoveServer(s.Record.ID)
			gone = append(gone, s.Number)
			l.log.Info().Str("event", "server_left").Str("server", s.Record.ID).Str("service", s.Record.Service).Send()
		}
	}
	zones := !slices.Equal(before, l.zonesOut())
	if zones {
		l.log.Info().Str("event", "zones_changed").Strs("out", l.zonesOut()).Uint64("revision", state.Revision).Send()
	}
	if zones || len(gone) > 0 {
		l.sendChanges(nil, gone, zones, now)
	}
	if state.Document.Version > l.sentDocument.Version && now.Sub(l.documentSentAt) >= documentInterval {
		l.broadcastDocument(now)
	}
}

// removeLostServers removes the servers that have been silent for
// lostServerTimeout.
func (l *leader) removeLostServers(now time.Time) {
	var gone []uint32
	for number, s := range l.broker.Servers() {
		if s.Lost(now, lostServerTimeout) {
			l.broker.RemoveServer(s.Record.ID)
			gone = append(gone, number)
			l.log.Info().Str("event", "server_lost").Str("server", s.Record.ID).Str("service", s.Record.Service).Send()
		}
	}
	if len(gone) > 0 {
		l.sendChanges(nil, gone, false, now)
	}
}
