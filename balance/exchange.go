package balance

import (
	"time"
)

// The exchange of counts between the entries of a region.
const (
	// ExchangePeriod is the least time between reports while counts change, and
	// quietPeriod that while less than quietShare of the region's slots is in use:
	// entries then seldom choose the same backend server.
	ExchangePeriod = 2 * time.Millisecond
	quietPeriod    = 8 * time.Millisecond
	quietShare     = 0.5
	// busyHeartbeat and idleHeartbeat are the longest times without a report,
	// with and without requests in progress.
	busyHeartbeat = 8 * time.Millisecond
	idleHeartbeat = time.Second
	// freshAge is the age of a report up to which its counts hold in full, and
	// staleAge that from which they hold no more.
	freshAge = 12 * time.Millisecond
	staleAge = 25 * time.Millisecond
	// cutAge is the age from which a teller with requests in progress is taken
	// to be out of reach, and idleCutAge that of a teller without.
	cutAge     = 250 * time.Millisecond
	idleCutAge = 2500 * time.Millisecond
	// idleTickPeriod is the time between ticks while nothing happens.
	idleTickPeriod = 50 * time.Millisecond
	// startGrace is how long an entry trusts a state that it did not see arise.
	startGrace = 2 * time.Second
)

// The weights of a peer's counts.
const (
	fullWeight = 2
	halfWeight = 1
)

// peerLoad is what one other entry reported, and what it was told.
type peerLoad struct {
	heard  time.Time
	weight int64
	counts map[Key]int64

	greeted  bool // it has our full report
	known    bool // we have its full report
	lastSent time.Time
	ackScan  uint64
	ackPhase uint64
}

// peer returns the record of another entry.
func (l *Loads) peer(name string) *peerLoad {
	p, ok := l.peers[name]
	if !ok {
		p = &peerLoad{counts: map[Key]int64{}, weight: fullWeight}
		l.peers[name] = p
	}
	return p
}

// touch makes the next tick due at once.
func (l *Loads) touch() {
	if l.dirty.Load() || !l.dirty.CompareAndSwap(false, true) {
		return
	}
	select {
	case l.woken <- struct{}{}:
	default:
	}
}

// TickRequested receives a value when something happened that the next tick must tell.
func (l *Loads) TickRequested() <-chan struct{} { return l.woken }

// UntilNextTick returns how long a tick can wait, at most 0 if it is due: at once after
// a request began or ended, after an [ExchangePeriod] while a backend server is
// cold, else at the pace of the heartbeats.
func (l *Loads) UntilNextTick(now time.Time) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	rest := idleTickPeriod
	switch {
	case l.dirty.Load():
		rest = 0
	case len(l.cold) > 0:
		rest = ExchangePeriod
	case l.busy:
		rest = busyHeartbeat
	}
	return rest - now.Sub(l.ticked)
}

// MinTickPeriod returns the least time between two ticks.
func (l *Loads) MinTickPeriod() time.Duration {
	if l.quiet.Load() {
		return quietPeriod
	}
	return ExchangePeriod
}

// Tick looks for changed counts, lets old ones fade and moves admissions on. It
// is called when [Loads.UntilNextTick] says so and at most once in a [Loads.MinTickPeriod],
// before the reports.
func (l *Loads) Tick(now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.dirty.Store(false)
	l.scan++
	l.ticked = now
	l.busy = false
	var used, slots int64
	for _, t := range l.servers {
		n := t.LocalInFlight()
		if !t.far {
			used += t.TotalInFlight()
			slots += int64(t.Record.Slots)
		}
		if n != t.reported {
			t.reported, t.changed = n, l.scan
		}
		l.busy = l.busy || n != 0
	}
	l.quiet.Store(float64(used) < quietShare*float64(slots))
	for _, p := range l.peers {
		l.fade(p, now)
	}
	live := l.live()
	cut := int64(0)
	for _, name := range live {
		if name == l.self {
			continue
		}
		p := l.peer(name)
		if now.Sub(p.heardOr(l.started)) > p.cutAge() {
			cut++
		}
	}
	entries := max(int64(len(live)), 1)
	l.entryNumber.Store(entries)
	l.knownShare.Store(1000 * (entries - cut) / entries)
	l.tickCold(now)
}

// cutAge returns the age of the last report from which the peer is taken to be
// out of reach.
func (p *peerLoad) cutAge() time.Duration {
	if p.known && len(p.counts) == 0 {
		return idleCutAge
	}
	return cutAge
}

// heardOr returns when the peer was last heard, at least the given time.
func (p *peerLoad) heardOr(least time.Time) time.Time {
	if p.heard.Before(least) {
		return least
	}
	return p.heard
}

// fade weighs the counts of a peer by the age of its last report.
func (l *Loads) fade(p *peerLoad, now time.Time) {
	weight := int64(0)
	switch age := now.Sub(p.heard); {
	case age <= freshAge:
		weight = fullWeight
	case age <= staleAge:
		weight = halfWeight
	}
	if weight == p.weight {
		return
	}
	for key, n := range p.counts {
		if t, ok := l.servers[key]; ok {
			t.remote.Add(n * (weight - p.weight))
		}
	}
	p.weight = weight
}

// Report returns what the peer must be told now. ok is false if there is
// nothing to tell.
func (l *Loads) Report(to string, now time.Time) (r Report, ok bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	p := l.peer(to)
	r = Report{From: l.self, Full: !p.greeted, scanned: l.scan}
	busy := false
	for key, t := range l.servers {
		if t.far {
			continue
		}
		busy = busy || t.reported != 0
		if t.changed > p.ackScan || r.Full && t.reported != 0 {
			r.Counts = append(r.Counts, Count{Key: key, InFlight: t.reported})
		}
	}
	l.addPhases(&r, p)
	l.addWants(&r, to, now)
	r.LoanReturns = l.returns[to]
	beat := idleHeartbeat
	if busy {
		beat = busyHeartbeat
	}
	due := now.Sub(p.lastSent) >= beat
	empty := len(r.Counts)+len(r.AdmissionStates)+len(r.LoanRequests)+len(r.Suspects)+len(r.LoanReturns) == 0
	if empty && !r.Full && !due {
		return Report{}, false
	}
	p.lastSent = now
	return r, true
}

// Accept takes a peer's report in and returns the answer to it.
func (l *Loads) Accept(r Report, now time.Time) Reply {
	l.mu.Lock()
	defer l.mu.Unlock()
	p := l.peer(r.From)
	p.heard = now
	if !r.Full && !p.known {
		return Reply{NeedsFull: true}
	}
	if len(r.AdmissionStates)+len(r.LoanRequests)+len(r.Suspects)+len(r.LoanReturns) > 0 {
		l.touch()
	}
	if r.Full {
		l.clear(p)
		p.known = true
	}
	for _, c := range r.Counts {
		l.setCount(p, c)
	}
	for _, ph := range r.AdmissionStates {
		l.acceptPhase(ph)
	}
	for _, s := range r.Suspects {
		l.acceptSuspect(s, now)
	}
	for _, back := range r.LoanReturns {
		l.acceptReturn(back)
	}
	return Reply{Loans: l.lend(r.From, r.LoanRequests, now)}
}

// setCount replaces one count of a peer.
func (l *Loads) setCount(p *peerLoad, c Count) {
	if t, ok := l.servers[c.Key]; ok {
		t.remote.Add((c.InFlight - p.counts[c.Key]) * p.weight)
	}
	if c.InFlight == 0 {
		delete(p.counts, c.Key)
		return
	}
	p.counts[c.Key] = c.InFlight
}

// clear drops every count of a peer.
func (l *Loads) clear(p *peerLoad) {
	for key := range p.counts {
		l.setCount(p, Count{Key: key})
	}
}

// Acknowledge takes the answer to a report in.
func (l *Loads) Acknowledge(from string, sent Report, got Reply, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	p := l.peer(from)
	if got.NeedsFull {
		p.greeted = false
		return
	}
	p.greeted = true
	if len(got.Loans) > 0 {
		l.touch()
	}
	p.ackScan = sent.scanned
	p.ackPhase = sent.phased
	l.dropReturns(from, len(sent.LoanReturns))
	l.borrow(from, got.Loans, now)
}

// ReportLost notes that a report got no answer. The next one will be full.
func (l *Loads) ReportLost(to string) {
	l.touch()
	l.mu.Lock()
	defer l.mu.Unlock()
	l.peer(to).greeted = false
}
