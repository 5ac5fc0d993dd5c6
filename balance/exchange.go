package balance

import (
	"time"
)

// The exchange of counts between the entries of a region.
const (
	// ExchangePeriod is the minimum time between reports while counts change.
	// lowUsePeriod applies instead while less than lowUseShare of the region's slots
	// is in use, when entries seldom choose the same backend server.
	ExchangePeriod = 2 * time.Millisecond
	lowUsePeriod   = 8 * time.Millisecond
	lowUseShare    = 0.5
	// busyHeartbeat and idleHeartbeat are the maximum times between reports, with
	// and without requests in progress.
	busyHeartbeat = 8 * time.Millisecond
	idleHeartbeat = time.Second
	// freshAge is the age up to which the counts of a report have full weight.
	// Beyond staleAge they have none, and half in between.
	freshAge = 12 * time.Millisecond
	staleAge = 25 * time.Millisecond
	// unreachableAge is the age of the last report beyond which a peer with requests
	// in progress is considered unreachable, and idleUnreachableAge that of a peer
	// without.
	unreachableAge     = 250 * time.Millisecond
	idleUnreachableAge = 2500 * time.Millisecond
	// idleTickPeriod is the time between ticks while nothing happens.
	idleTickPeriod = 50 * time.Millisecond
	// startGracePeriod is the time after its start during which an entry trusts the
	// state that a newly discovered backend server announces.
	startGracePeriod = 2 * time.Second
)

// The weights of a peer's counts, in units of 1/fullWeight.
const (
	fullWeight = 2
	halfWeight = 1
)

// peerLoad is what one other entry reported, and what was last sent to it.
type peerLoad struct {
	lastReport time.Time
	weight     int64
	counts     map[Key]int64

	fullReportAcked    bool // the peer has a full report of this entry
	fullReportReceived bool // this entry has a full report of the peer
	lastSent           time.Time
	ackedCountsTick    uint64 // tick of the last report whose counts the peer acknowledged
	ackedStatesTick    uint64 // the same for admission states
}

// peer returns the record of another entry. It creates one if there is none.
func (l *Loads) peer(name string) *peerLoad {
	p, ok := l.peers[name]
	if !ok {
		p = &peerLoad{counts: map[Key]int64{}, weight: fullWeight}
		l.peers[name] = p
	}
	return p
}

// requestTick makes the next tick due at once.
func (l *Loads) requestTick() {
	if l.tickPending.Load() || !l.tickPending.CompareAndSwap(false, true) {
		return
	}
	select {
	case l.tickRequested <- struct{}{}:
	default:
	}
}

// TickRequested returns a channel that receives a value when something happened
// that the next tick must report.
func (l *Loads) TickRequested() <-chan struct{} { return l.tickRequested }

// UntilNextTick returns the time until the next tick, at most 0 if it is due. A tick
// is due at once after a request began or ended, after an [ExchangePeriod] while a
// backend server is cold, after a heartbeat while requests are in progress, and
// after idleTickPeriod otherwise.
func (l *Loads) UntilNextTick(now time.Time) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	interval := idleTickPeriod
	switch {
	case l.tickPending.Load():
		interval = 0
	case len(l.coldServers) > 0:
		interval = ExchangePeriod
	case l.hadRequests:
		interval = busyHeartbeat
	}
	return interval - now.Sub(l.lastTick)
}

// MinTickPeriod returns the minimum time between two ticks.
func (l *Loads) MinTickPeriod() time.Duration {
	if l.lowUse.Load() {
		return lowUsePeriod
	}
	return ExchangePeriod
}

// Tick detects changed counts, lowers the weight of old ones, finds unreachable
// peers and updates admissions. It is called before the reports, when
// [Loads.UntilNextTick] is over, and at most once in a [Loads.MinTickPeriod].
func (l *Loads) Tick(now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.tickPending.Store(false)
	l.tickCount++
	l.lastTick = now
	l.hadRequests = false
	var used, slots int64
	for _, t := range l.servers {
		n := t.LocalInFlight()
		if !t.otherRegion {
			used += t.TotalInFlight()
			slots += int64(t.Record.Slots)
		}
		if n != t.reportedInFlight {
			t.reportedInFlight, t.changedTick = n, l.tickCount
		}
		l.hadRequests = l.hadRequests || n != 0
	}
	l.lowUse.Store(float64(used) < lowUseShare*float64(slots))
	for _, p := range l.peers {
		l.updateWeight(p, now)
	}
	live := l.liveEntries()
	unreachable := int64(0)
	for _, name := range live {
		if name == l.self {
			continue
		}
		p := l.peer(name)
		if now.Sub(p.lastReportOr(l.startedAt)) > p.unreachableAge() {
			unreachable++
		}
	}
	entries := max(int64(len(live)), 1)
	l.entryCount.Store(entries)
	l.knownShare.Store(1000 * (entries - unreachable) / entries)
	l.tickAdmissions(now)
}

// unreachableAge returns the age of the last report beyond which the peer is
// considered unreachable.
func (p *peerLoad) unreachableAge() time.Duration {
	if p.fullReportReceived && len(p.counts) == 0 {
		return idleUnreachableAge
	}
	return unreachableAge
}

// lastReportOr returns the time of the peer's last report, or earliest if that
// is later.
func (p *peerLoad) lastReportOr(earliest time.Time) time.Time {
	if p.lastReport.Before(earliest) {
		return earliest
	}
	return p.lastReport
}

// updateWeight weighs the counts of a peer by the age of its last report.
func (l *Loads) updateWeight(p *peerLoad, now time.Time) {
	weight := int64(0)
	switch age := now.Sub(p.lastReport); {
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

// Report returns the report to send to the peer now. ok is false if there is none
// to send.
func (l *Loads) Report(to string, now time.Time) (r Report, ok bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	p := l.peer(to)
	r = Report{From: l.self, Full: !p.fullReportAcked, countsTick: l.tickCount}
	busy := false
	for key, t := range l.servers {
		if t.otherRegion {
			continue
		}
		busy = busy || t.reportedInFlight != 0
		if t.changedTick > p.ackedCountsTick || r.Full && t.reportedInFlight != 0 {
			r.Counts = append(r.Counts, Count{Key: key, InFlight: t.reportedInFlight})
		}
	}
	l.addAdmissionStates(&r, p)
	l.addSuspectsAndLoanRequests(&r, to, now)
	r.LoanReturns = l.loanReturns[to]
	heartbeat := idleHeartbeat
	if busy {
		heartbeat = busyHeartbeat
	}
	due := now.Sub(p.lastSent) >= heartbeat
	empty := len(r.Counts)+len(r.AdmissionStates)+len(r.LoanRequests)+len(r.Suspects)+len(r.LoanReturns) == 0
	if empty && !r.Full && !due {
		return Report{}, false
	}
	p.lastSent = now
	return r, true
}

// Accept applies a peer's report and returns the reply to it.
func (l *Loads) Accept(r Report, now time.Time) Reply {
	l.mu.Lock()
	defer l.mu.Unlock()
	p := l.peer(r.From)
	p.lastReport = now
	if !r.Full && !p.fullReportReceived {
		return Reply{NeedsFull: true}
	}
	if len(r.AdmissionStates)+len(r.LoanRequests)+len(r.Suspects)+len(r.LoanReturns) > 0 {
		l.requestTick()
	}
	if r.Full {
		l.clearCounts(p)
		p.fullReportReceived = true
	}
	for _, c := range r.Counts {
		l.setCount(p, c)
	}
	for _, state := range r.AdmissionStates {
		l.acceptAdmissionState(state)
	}
	for _, suspect := range r.Suspects {
		l.acceptSuspicion(suspect, now)
	}
	for _, returned := range r.LoanReturns {
		l.acceptLoanReturn(returned)
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

// clearCounts removes every count of a peer.
func (l *Loads) clearCounts(p *peerLoad) {
	for key := range p.counts {
		l.setCount(p, Count{Key: key})
	}
}

// Acknowledge applies the reply to a report.
func (l *Loads) Acknowledge(from string, sent Report, got Reply, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	p := l.peer(from)
	if got.NeedsFull {
		p.fullReportAcked = false
		return
	}
	p.fullReportAcked = true
	if len(got.Loans) > 0 {
		l.requestTick()
	}
	p.ackedCountsTick = sent.countsTick
	p.ackedStatesTick = sent.statesTick
	l.dropLoanReturns(from, len(sent.LoanReturns))
	l.acceptLoans(from, got.Loans, now)
}

// ReportLost records that a report received no reply. The next one will be full.
func (l *Loads) ReportLost(to string) {
	l.requestTick()
	l.mu.Lock()
	defer l.mu.Unlock()
	l.peer(to).fullReportAcked = false
}
