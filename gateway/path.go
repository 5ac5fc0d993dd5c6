package gateway

import (
	"cmp"
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/rs/zerolog"
)

// The constants of the path to the backend servers.
const (
	// checkSilence is how long a health check may stay without a response before its
	// server counts as silent; health checks respond at once.
	checkSilence = 400 * time.Millisecond
	// minFailedServers is the number of servers that must fail, with no response of any
	// server in between, before the entry probes its path. One alone is more likely to
	// be at fault itself.
	minFailedServers = 2
	// failureLifetime is how long a failed connection counts.
	failureLifetime = 2 * time.Second
	// probedServers is how many servers a probe asks, spread over availability zones. The
	// path is lost if none of them responds.
	probedServers = 4
	// probeTimeout bounds a probe. Bodies on a thin link delay other packets by hundreds of
	// milliseconds.
	probeTimeout = 600 * time.Millisecond
	// probePause is the least time between two probes. It doubles after each that found
	// the path in order, up to maxProbePause: while some servers can't be reached, each
	// probe costs new connections. alarmLifetime is the time without a probe after which
	// it is the shortest again.
	probePause    = 500 * time.Millisecond
	maxProbePause = 2 * time.Second
	alarmLifetime = 8 * time.Second
	// lostProbePause is the time between two probes while the path is lost, and
	// restoringProbes how many must succeed in a row before it is used again: links
	// that come and go would take requests with them.
	lostProbePause  = 250 * time.Millisecond
	restoringProbes = 2
	// requestSilence is how long a request may wait, with no response of any server
	// meanwhile, before the entry checks servers: an entry that checks none itself has
	// nothing else that shows a silent path soon.
	requestSilence = 700 * time.Millisecond
)

// errPathLost is the cause for ending attempts when the path to the servers is lost.
var errPathLost = errors.New("the path to the backend servers is lost")

// pathState decides whether this entry has lost its path to all backend servers, from
// the outcomes of its exchanges and probes. It reads no clock.
type pathState struct {
	lost bool
	// silent holds the numbers of the servers that were silent or lost a connection since
	// the last response of any server.
	silent map[uint32]bool
	// refused holds, by server number, when a new connection to the server last failed.
	refused map[uint32]time.Time
	// nextProbe is the earliest time of the next probe.
	nextProbe time.Time
	// falseAlarms counts the recent probes that found the path in order.
	falseAlarms int
	// restored counts the successful probes in a row while the path is lost.
	restored     int
	lastResponse time.Time
}

// newPathState returns the state of an entry whose path works.
func newPathState() pathState {
	return pathState{silent: map[uint32]bool{}, refused: map[uint32]time.Time{}}
}

// responded records a response of any server. It says nothing about new connections.
func (p *pathState) responded(now time.Time) {
	p.lastResponse = now
	clear(p.silent)
}

// failed records that a server was silent or lost a connection or, if newConnection is
// set, that a new connection to it failed.
func (p *pathState) failed(server uint32, newConnection bool, now time.Time) {
	if newConnection {
		p.refused[server] = now
		return
	}
	p.silent[server] = true
}

// probeDue reports whether the path must be probed now. known is the number of servers
// that the entry knows.
func (p *pathState) probeDue(known int, now time.Time) bool {
	if known == 0 || now.Before(p.nextProbe) {
		return false
	}
	for server, at := range p.refused {
		if now.Sub(at) > failureLifetime {
			delete(p.refused, server)
		}
	}
	needed := min(minFailedServers, known)
	return p.lost || len(p.silent) >= needed || len(p.refused) >= needed
}

// probed records the result of a probe and reports whether the path was lost or
// restored.
func (p *pathState) probed(anyResponse bool, now time.Time) (changed bool) {
	before := p.lost
	switch {
	case !anyResponse:
		p.lost, p.restored = true, 0
	case p.lost:
		p.restored++
		p.lost = p.restored < restoringProbes
	}
	pause := lostProbePause
	if p.lost {
		p.falseAlarms = 0
	} else {
		if now.Sub(p.nextProbe) > alarmLifetime {
			p.falseAlarms = 0
		}
		pause = min(probePause<<p.falseAlarms, maxProbePause)
		p.falseAlarms = min(p.falseAlarms+1, 8)
		p.restored = 0
		clear(p.silent)
		clear(p.refused)
	}
	p.nextProbe = now.Add(pause)
	return p.lost != before
}

// pathMonitor probes the path to the backend servers when exchanges fail, and tells
// whether it is lost. It is safe for concurrent use.
type pathMonitor struct {
	view *view
	zone string
	// probe returns an error if a server does not respond to a health check on a new
	// connection, and check checks a server on a kept one.
	probe func(context.Context, *server) error
	check func(context.Context, *server)
	// onChange is called after the path was lost or restored.
	onChange func(lost bool)
	log      zerolog.Logger
	// failures receives a value after a failure.
	failures chan struct{}
	isLost   atomic.Bool

	mu    sync.Mutex
	state pathState
	// usable ends when the path is lost, and delivering when it is lost in silence, so
	// that responses in transit don't arrive either.
	usable, delivering context.Context
	endUsable          context.CancelCauseFunc
	endDelivering      context.CancelCauseFunc
}

// newPathMonitor returns a monitor of a path that works.
func newPathMonitor(v *view, zone string, log zerolog.Logger) *pathMonitor {
	m := &pathMonitor{view: v, zone: zone, log: log, failures: make(chan struct{}, 1), state: newPathState()}
	m.renewContexts()
	return m
}

// renewContexts begins a time in which the path works. The caller holds the lock, or
// nobody else uses the monitor yet.
func (m *pathMonitor) renewContexts() {
	m.usable, m.endUsable = context.WithCancelCause(context.Background())
	m.delivering, m.endDelivering = context.WithCancelCause(context.Background())
}

// lost reports whether the path to all servers is lost.
func (m *pathMonitor) lost() bool { return m.isLost.Load() }

// contexts returns one that ends when the path is lost, and one that ends when it is
// lost in silence.
func (m *pathMonitor) contexts() (usable, delivering context.Context) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.usable, m.delivering
}

// responded records a response of a server.
func (m *pathMonitor) responded() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.state.responded(time.Now())
}

// failed records a failure as [pathState.failed] does, and probes the path if it is due.
func (m *pathMonitor) failed(s *server, newConnection bool) {
	m.mu.Lock()
	m.state.failed(s.Number, newConnection, time.Now())
	m.mu.Unlock()
	select {
	case m.failures <- struct{}{}:
	default:
	}
}

// watchCheck counts a server as silent if its health check gets no response in time. The
// returned function ends the watch.
func (m *pathMonitor) watchCheck(s *server) (end func() bool) {
	return time.AfterFunc(checkSilence, func() { m.failed(s, false) }).Stop
}

// run probes the path whenever that is due, until ctx ends.
func (m *pathMonitor) run(ctx context.Context) {
	timer := time.NewTimer(lostProbePause)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-m.failures:
		case <-timer.C:
		}
		m.step(ctx)
		timer.Reset(lostProbePause)
	}
}

// step probes the path if that is due.
func (m *pathMonitor) step(ctx context.Context) {
	known := m.view.serverCount()
	m.mu.Lock()
	due := m.state.probeDue(known, time.Now())
	m.mu.Unlock()
	if !due {
		return
	}
	if targets := m.view.probeTargets(time.Now()); len(targets) > 0 {
		m.recordProbe(m.probeAny(ctx, targets[:min(len(targets), probedServers)]))
	}
}

// watchRequest checks servers if a request that this entry has just sent to a server waits
// for too long. The returned function ends the watch.
func (m *pathMonitor) watchRequest(ctx context.Context, s *server) (end func() bool) {
	started := time.Now()
	return time.AfterFunc(requestSilence, func() {
		m.mu.Lock()
		quiet := !m.state.lost && m.state.lastResponse.Before(started)
		m.mu.Unlock()
		if !quiet {
			return
		}
		for _, other := range m.view.nearestServers(m.zone, s, minFailedServers) {
			go m.check(ctx, other)
		}
	}).Stop
}

// recordProbe records the result of a probe and acts on a change of the path.
func (m *pathMonitor) recordProbe(r probeResult) {
	m.mu.Lock()
	changed := m.state.probed(r.responded > 0, time.Now())
	lost := m.state.lost
	if changed && lost {
		m.endUsable(errPathLost)
		if r.silent {
			m.endDelivering(errPathLost)
		}
	}
	if changed && !lost {
		m.renewContexts()
	}
	m.isLost.Store(lost)
	m.mu.Unlock()
	if !changed {
		return
	}
	if lost {
		m.log.Warn().Str("event", "path_lost").Int("probed", r.probed).Bool("silent", r.silent).Err(r.err).Send()
	} else {
		m.log.Info().Str("event", "path_restored").Int("probed", r.probed).Send()
	}
	m.onChange(lost)
}

// probeResult is the result of one probe.
type probeResult struct {
	probed, responded int
	// silent says that a server neither responded nor refused the connection.
	silent bool
	// err is the error of the last server that did not respond.
	err error
}

// probeAny probes servers at the same time and returns as soon as one has responded.
func (m *pathMonitor) probeAny(ctx context.Context, servers []*server) probeResult {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	responses := make(chan error, len(servers))
	for _, s := range servers {
		go func() { responses <- m.probe(ctx, s) }()
	}
	r := probeResult{probed: len(servers)}
	for range servers {
		if r.err = <-responses; r.err == nil {
			r.responded++
			return r
		}
	}
	r.silent = ctx.Err() != nil
	return r
}

// probeTargets returns the known servers in random order, those of different zones
// first. Servers that name a request limit come last, and those that want no health checks of
// this entry are left out.
func (v *view) probeTargets(now time.Time) []*server {
	v.mu.Lock()
	defer v.mu.Unlock()
	zones := map[string]int{}
	ranked := map[int][]*server{}
	highest := 0
	for _, s := range v.servers {
		if v.checkBackoffLocked(s, now) > 0 {
			continue
		}
		rank := zones[s.AvailabilityZone]
		if s.limit.Limited() {
			rank += len(v.servers)
		} else {
			zones[s.AvailabilityZone]++
		}
		ranked[rank] = append(ranked[rank], s)
		highest = max(highest, rank)
	}
	var targets []*server
	for rank := range highest + 1 {
		group := ranked[rank]
		rand.Shuffle(len(group), func(a, b int) { group[a], group[b] = group[b], group[a] })
		targets = append(targets, group...)
	}
	return targets
}

// nearestServers returns the given server and the nearest others of an availability zone,
// its region or elsewhere, as many as asked for. Those that name a request limit or want no health
// checks of this entry are spared.
func (v *view) nearestServers(zone string, first *server, count int) []*server {
	v.mu.Lock()
	defer v.mu.Unlock()
	distance := func(s *server) int {
		switch {
		case s.Number == first.Number:
			return 0
		case s.AvailabilityZone == zone:
			return 1
		case s.region == v.regions[zone]:
			return 2
		default:
			return 3
		}
	}
	var nearest []*server
	for _, s := range v.servers {
		if !s.limit.Limited() && v.checkBackoffLocked(s, time.Now()) == 0 {
			nearest = append(nearest, s)
		}
	}
	slices.SortFunc(nearest, func(a, b *server) int { return cmp.Compare(distance(a), distance(b)) })
	return nearest[:min(len(nearest), count)]
}

// serverCount returns the number of known servers.
func (v *view) serverCount() int {
	v.mu.Lock()
	defer v.mu.Unlock()
	return len(v.servers)
}
