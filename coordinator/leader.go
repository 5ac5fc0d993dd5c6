package coordinator

import (
	"math/rand/v2"
	"slices"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"tanagerbarrow/broker"
	"tanagerbarrow/declare"
	"tanagerbarrow/link"
	"tanagerbarrow/protocol"
	"tanagerbarrow/registry"
	"tanagerbarrow/route"
)

// The constants of the broker's duty.
const (
	// eventCapacity bounds the events that wait for the broker.
	eventCapacity = 8192
	// urgentCapacity bounds the changes of the state that wait.
	urgentCapacity = 64
	// brokerTick is how often waiting requests are looked at: a small part of
	// the shortest wait.
	brokerTick = 20 * time.Millisecond
	// checksTick is how often health checks are shared out.
	checksTick = 500 * time.Millisecond
	// documentPause collects configurations that come in quick succession into
	// one message; a small part of the time in which they must be in force.
	documentPause = 100 * time.Millisecond
	// coldPause keeps a new broker from granting cold servers what another one
	// may have granted within the second before.
	coldPause = 1300 * time.Millisecond
	// learnPause is how long a new broker takes to hear of its servers: the other
	// control hosts' records come in a round trip between regions, the heartbeats
	// that servers repeat after a loss of power within some more.
	learnPause = 250 * time.Millisecond
	// leaverRetryMillis is when a request whose server has just left may come
	// back: the broker knows the others then.
	leaverRetryMillis = 50
	// lostHeartbeats is how many heartbeats in a row a living server may lose.
	lostHeartbeats = 3
	// grantsPerTerm separates the numbers of grants of different terms.
	grantsPerTerm = 1 << 32
)

// leader is the broker's duty of one term, on one goroutine.
type leader struct {
	c      *Coordinator
	term   uint64
	until  atomic.Int64
	events chan func(time.Time)
	// urgent are the events that go before all others: changes of the declared
	// state, which must be in force soon however many requests come.
	urgent chan func(time.Time)
	done   chan struct{}
	log    zerolog.Logger

	broker   *broker.Broker
	sessions map[string]*watcher
	// sights are what the entry of each session knows of the servers.
	sights map[string]*sight
	state  declare.State
	index  *route.Index
	// sent is the configuration that all sessions hold or are being sent.
	sent       declare.Document
	documentAt time.Time
	checks     map[string][]uint32
	checkedAt  time.Time
}

// newLeader returns the duty of a term.
func newLeader(c *Coordinator, term uint64, until time.Duration) *leader {
	b := c.options.Settings.Bounds
	l := &leader{
		c: c, term: term, events: make(chan func(time.Time), eventCapacity),
		urgent: make(chan func(time.Time), urgentCapacity), done: make(chan struct{}),
		log: c.log, sessions: map[string]*watcher{}, sights: map[string]*sight{}, checks: map[string][]uint32{},
		index: route.NewIndex(&route.Configuration{}),
		broker: broker.New(broker.Options{
			Regions: c.options.Settings.Regions, Zone: c.self.AvailabilityZone, RetryRatio: b.RetryRatio, RetryExtra: b.RetryExtra,
			RetryWindow: b.RetryWindow, SilenceTimeout: lostHeartbeats * c.options.Settings.HeartbeatInterval, Random: rand.New(rand.NewPCG(rand.Uint64(), term)),
			GrantIDBase: term * grantsPerTerm, ColdGrantsFrom: time.Now().Add(coldPause),
			ServersKnownFrom: time.Now().Add(learnPause),
		}),
	}
	l.until.Store(int64(until))
	return l
}

// extend renews the lease.
func (l *leader) extend(until time.Duration) { l.until.Store(int64(until)) }

// leased reports whether the lease holds.
func (l *leader) leased() bool { return int64(bootTime()) < l.until.Load() }

// stop ends the duty.
func (l *leader) stop() { close(l.done) }

// post hands an event to the duty; it waits while the ring is full.
func (l *leader) post(event func(time.Time)) {
	select {
	case l.events <- event:
	case <-l.done:
	}
}

// postUrgent hands over an event that goes before the others.
func (l *leader) postUrgent(event func(time.Time)) {
	select {
	case l.urgent <- event:
	case <-l.done:
	}
}

// run carries out events until the duty ends. Without a lease it decides
// nothing.
func (l *leader) run() {
	ticker := time.NewTicker(brokerTick)
	defer ticker.Stop()
	for {
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
		l.deliver()
	}
}

// tick does what is due by time.
func (l *leader) tick(now time.Time) {
	l.broker.Tick(now)
	if l.state.Document.Version > l.sent.Version && now.Sub(l.documentAt) >= documentPause {
		l.sendDocument(now)
	}
	if now.Sub(l.checkedAt) >= checksTick {
		l.checkedAt = now
		l.shareChecks()
	}
}

// deliver sends what the broker has decided. An expired lease drops it: another
// host may lead already.
func (l *leader) deliver() {
	out := l.broker.TakeOutputs()
	if len(out) == 0 || !l.leased() {
		return
	}
	for _, o := range out {
		w := l.sessions[o.Entry]
		if w == nil {
			continue
		}
		if o.Grant != nil && l.c.left(o.Server.Record.ID, o.Server.Record.Started) {
			// The leaving is acknowledged already; its event is still on the way.
			l.broker.Release(o.Entry, broker.Release{ID: o.Grant.ID, Outcome: broker.WrongServer}, time.Now())
			o.Refusal = &broker.Refusal{Seq: o.Grant.Seq, Reason: broker.ReasonNoServer, RetryMillis: leaverRetryMillis}
			o.Grant = nil
		}
		if o.Grant != nil {
			l.c.meters.grants.Inc()
			l.tellGranted(o.Entry, w, o.Server, time.Now())
			_ = w.conn.Send(protocol.KindGrant, o.Grant)
			continue
		}
		l.c.meters.refused(o.Refusal.Reason)
		_ = w.conn.Send(protocol.KindRefusal, o.Refusal)
	}
}

// ask hands an ask to the broker.
func (l *leader) ask(name string, a broker.Ask, now time.Time) { l.broker.Ask(name, a, now) }

// release hands the end of a grant to the broker.
func (l *leader) release(name string, r broker.Release, now time.Time) {
	l.broker.Release(name, r, now)
}

// samples hands health checks to the broker.
func (l *leader) samples(samples []broker.Sample, now time.Time) {
	for _, s := range samples {
		l.broker.Sample(s, now)
	}
}

// subscribe makes an entry a session and sends it all that is known.
func (l *leader) subscribe(w *watcher, s protocol.Subscribe, now time.Time) {
	name := w.hello.Name
	l.sessions[name] = w
	l.broker.Connect(name, w.hello.AvailabilityZone, s.Held, now)
	l.log.Info().Str("event", "entry_connected").Str("entry", name).Int("held", len(s.Held)).
		Uint64("config_version", s.Version).Send()
	_ = w.conn.Send(protocol.KindWelcome, protocol.Welcome{Term: l.term})
	if l.sent.Version > s.Version {
		l.send(w, l.sent, declare.Document{})
	}
	l.tellAll(name, w, now)
	delete(l.checks, name)
	l.shareChecks()
}

// disconnect ends a session.
func (l *leader) disconnect(w *watcher, now time.Time) {
	name := w.hello.Name
	if l.sessions[name] != w {
		return
	}
	delete(l.sessions, name)
	delete(l.sights, name)
	delete(l.checks, name)
	l.broker.Disconnect(name, now)
	l.log.Warn().Str("event", "entry_lost").Str("entry", name).AnErr("reason", w.conn.Err()).Send()
}

// viewOf returns a server as entries see it.
func viewOf(s *broker.Server, now time.Time) protocol.Server {
	r := s.Record
	return protocol.Server{
		Number: s.Number, ID: r.ID, Service: r.Service, Address: r.Address,
		AvailabilityZone: r.AvailabilityZone, Slots: r.Slots,
		ColdMillis: int(max(0, r.ColdUntil.Sub(now).Milliseconds())),
	}
}

// zonesOut returns the availability zones that get no work.
func (l *leader) zonesOut() []string {
	var out []string
	for zone := range l.state.ZonesOut {
		out = append(out, zone)
	}
	slices.Sort(out)
	return out
}

// broadcast sends a message to all sessions.
func (l *leader) broadcast(kind link.Kind, v any) {
	body, err := link.Encode(v)
	if err != nil {
		l.log.Error().Str("event", "encode_failed").Err(err).Send()
		return
	}
	for _, w := range l.sessions {
		_ = w.conn.SendEncoded(kind, body)
	}
}

// applyState takes in the declared state.
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
	l.state = state
	l.broker.Configure(l.index, state.ZonesOut, now)
	var gone []uint32
	for _, s := range l.broker.Servers() {
		if l.c.left(s.Record.ID, s.Record.Started) {
			l.broker.RemoveServer(s.Record.ID)
			gone = append(gone, s.Number)
			l.log.Info().Str("event", "server_left").Str("server", s.Record.ID).Str("service", s.Record.Service).Send()
		}
	}
	if zones := !slices.Equal(before, l.zonesOut()); zones || len(gone) > 0 {
		l.tell(nil, gone, zones, now)
	}
	if state.Document.Version > l.sent.Version && now.Sub(l.documentAt) >= documentPause {
		l.sendDocument(now)
	}
}

// forgetLost drops the servers of which nothing is heard.
func (l *leader) forgetLost(now time.Time) {
	var gone []uint32
	for number, s := range l.broker.Servers() {
		if s.Lost(now, lostSilence) {
			l.broker.RemoveServer(s.Record.ID)
			gone = append(gone, number)
			l.log.Info().Str("event", "server_lost").Str("server", s.Record.ID).Str("service", s.Record.Service).Send()
		}
	}
	if len(gone) > 0 {
		l.tell(nil, gone, false, now)
	}
}

// decode reads a stored configuration.
func (l *leader) decode(d declare.Document) (*route.Configuration, error) {
	content, err := d.Content()
	if err != nil {
		return nil, err
	}
	return l.c.options.Decode(content)
}

// sendDocument sends the newest configuration to all sessions.
func (l *leader) sendDocument(now time.Time) {
	base := l.sent
	l.sent, l.documentAt = l.state.Document, now
	m, err := pack(l.sent, base)
	if err != nil {
		l.log.Error().Str("event", "encode_failed").Err(err).Send()
		return
	}
	l.broadcast(protocol.KindDocument, m)
}

// send sends a configuration to one session.
func (l *leader) send(w *watcher, d, base declare.Document) {
	m, err := pack(d, base)
	if err != nil {
		l.log.Error().Str("event", "encode_failed").Err(err).Send()
		return
	}
	_ = w.conn.Send(protocol.KindDocument, m)
}

// pack compresses a configuration against another one.
func pack(d, base declare.Document) (protocol.Document, error) {
	if base.Version == 0 {
		return protocol.Document{Version: d.Version, Packed: d.Packed}, nil
	}
	content, err := d.Content()
	if err != nil {
		return protocol.Document{}, err
	}
	before, err := base.Content()
	if err != nil {
		return protocol.Document{}, err
	}
	packed, err := declare.Pack(content, before)
	return protocol.Document{Version: d.Version, BaseVersion: base.Version, Packed: packed}, err
}

// takeOwnRecords takes over the records that this host holds.
func (l *leader) takeOwnRecords(now time.Time) {
	l.c.mu.Lock()
	records := l.c.records.All()
	copies := make([]registry.Record, 0, len(records))
	for _, r := range records {
		copies = append(copies, *r)
	}
	l.c.mu.Unlock()
	for _, r := range copies {
		l.announce(r, registry.Changed, nil, now)
	}
}

// announce takes in a record.
func (l *leader) announce(r registry.Record, o registry.Outcome, replaced *registry.Record, now time.Time) {
	if l.c.left(r.ID, r.Started) {
		return
	}
	var gone []uint32
	if replaced != nil {
		if s := l.broker.RemoveServer(replaced.ID); s != nil {
			gone = append(gone, s.Number)
		}
	}
	if o == registry.Refreshed && l.broker.RefreshServer(r) {
		return
	}
	s := l.broker.Announce(r, now)
	l.log.Info().Str("event", "server_announced").Str("server", r.ID).Int64("started", r.Started).
		Str("service", r.Service).Str("address", r.Address).Bool("cold", now.Before(r.ColdUntil)).Send()
	l.tell([]*broker.Server{s}, gone, false, now)
}
