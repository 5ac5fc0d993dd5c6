package balance

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"tanagerbarrow/limit"
)

// The times of admission.
const (
	// ownerSilence is how long an owner may be silent before the next entry in
	// rendezvous order takes its place.
	ownerSilence = idleCutAge
	// lostLoanTime is how long the loans of an entry count on after it has gone.
	lostLoanTime = 5 * time.Second
	// loanRest is how long a loan waits for a request before it goes back.
	loanRest = 20 * time.Millisecond
	// farColdTime is how long a restarted backend server of another region is
	// left alone; its admission is the matter of the entries there.
	farColdTime = 10 * time.Second
)

// phase is whether a backend server needs admission, by its owner's word.
type phase struct {
	epoch   uint64
	cold    bool
	changed uint64
	suspect bool // this entry waits for the owner's word
}

// heldLoan is a loan that no request uses yet.
type heldLoan struct {
	Loan

	owner string
	since time.Time
}

// owner returns the entry that owns a backend server's admission.
func (l *Loads) owner(key Key, now time.Time) string {
	best, bestScore := l.self, rendezvous(l.self, key)
	for _, name := range l.live() {
		if name == l.self || now.Sub(l.peer(name).heardOr(l.started)) > ownerSilence {
			continue
		}
		if score := rendezvous(name, key); score > bestScore {
			best, bestScore = name, score
		}
	}
	return best
}

// spills reports whether this entry is among those of its region that may send
// to a backend server of another region while their own works.
func (l *Loads) spills(key Key) bool {
	own := rendezvous(l.self, key)
	before := 0
	for _, name := range l.live() {
		if rendezvous(name, key) > own {
			before++
		}
	}
	return before < spillEntries
}

// rendezvous returns the score of an entry for a backend server.
func rendezvous(name string, key Key) uint64 {
	var b [64]byte
	text := append(b[:0], name...)
	text = append(text, 0)
	text = key.Address.AppendTo(text)
	for shift := 0; shift < 64; shift += 8 {
		text = append(text, byte(key.Generation>>shift))
	}
	return xxhash.Sum64(text)
}

// phaseOf returns the phase of a backend server.
func (l *Loads) phaseOf(key Key) *phase {
	p, ok := l.phases[key]
	if !ok {
		p = &phase{}
		l.phases[key] = p
	}
	return p
}

// turnCold stops new requests on a backend server until it is admitted.
func (l *Loads) turnCold(key Key, s *Server) {
	l.phaseOf(key).cold = true
	delete(l.loans, key)
	delete(l.owned, key)
	s.room.Store(0)
	s.cold.Store(true)
	l.cold[key] = s
}

// turnWarm lets every entry use a backend server within its limit.
func (l *Loads) turnWarm(key Key, s *Server) {
	l.phaseOf(key).cold = false
	delete(l.cold, key)
	delete(l.owned, key)
	delete(l.loans, key)
	s.slowInRow.Store(0)
	s.cold.Store(false)
}

// tickCold moves the admissions of cold backend servers on.
func (l *Loads) tickCold(now time.Time) {
	for key, s := range l.cold {
		if t := l.servers[key]; t != nil && t.far {
			if now.Sub(t.seen) > farColdTime {
				l.turnWarm(key, s)
			}
			continue
		}
		if l.owner(key, now) != l.self {
			delete(l.owned, key)
			l.restLoans(key, s, now)
			continue
		}
		a, ok := l.owned[key]
		if !ok {
			a = l.own(key, s)
		}
		a.Shorten(l.gone, now.Add(lostLoanTime))
		a.Expire(now)
		l.settle(key, s, a)
	}
}

// gone reports whether an entry is not among the live ones.
func (l *Loads) gone(entry string) bool { return !slices.Contains(l.live(), entry) }

// own starts an admission. Its epoch is new, so that loans of an earlier one
// cannot be taken for its own.
func (l *Loads) own(key Key, s *Server) *limit.Admission {
	a := limit.NewAdmission(s.Record.Slots)
	l.owned[key] = a
	p := l.phaseOf(key)
	p.epoch++
	p.suspect = false
	p.changed = l.scan
	return a
}

// settle publishes the room that an owned admission leaves.
func (l *Loads) settle(key Key, s *Server, a *limit.Admission) {
	if l.owned[key] != a {
		return
	}
	if a.Warm() {
		l.turnWarm(key, s)
		l.phaseOf(key).changed = l.scan + 1
		return
	}
	s.room.Store(max(a.Limit()-max(a.InUse(), s.TotalInFlight()), 0))
}

// startCold starts a request on a cold backend server, on this entry's own
// admission or on a loan.
func (l *Loads) startCold(s *Server) (StartedRequest, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	key := s.Key()
	if s.room.Load() <= 0 {
		return StartedRequest{}, false
	}
	if a, ok := l.owned[key]; ok {
		if !a.Acquire() {
			return StartedRequest{}, false
		}
		s.count(1)
		l.settle(key, s, a)
		return StartedRequest{Server: s, admission: a}, true
	}
	held := l.loans[key]
	if len(held) == 0 {
		s.room.Store(0)
		return StartedRequest{}, false
	}
	loan := held[0]
	l.setLoans(key, s, held[1:])
	s.count(1)
	return StartedRequest{Server: s, loan: loan}, true
}

// setLoans replaces the unused loans of a backend server.
func (l *Loads) setLoans(key Key, s *Server, held []heldLoan) {
	if len(held) == 0 {
		delete(l.loans, key)
	} else {
		l.loans[key] = held
	}
	s.room.Store(int64(len(held)))
}

// restLoans gives loans back that waited too long for a request.
func (l *Loads) restLoans(key Key, s *Server, now time.Time) {
	var kept []heldLoan
	for _, h := range l.loans[key] {
		if now.Sub(h.since) < loanRest {
			kept = append(kept, h)
			continue
		}
		l.returns[h.owner] = append(l.returns[h.owner], LoanReturn{Loan: h.Loan, Outcome: limit.Unused})
	}
	l.setLoans(key, s, kept)
}

// borrow takes loans of an owner in.
func (l *Loads) borrow(from string, loans []Loan, now time.Time) {
	for _, loan := range loans {
		t, ok := l.servers[loan.Key]
		if !ok || !t.cold.Load() || l.phaseOf(loan.Key).epoch != loan.Epoch {
			l.returns[from] = append(l.returns[from], LoanReturn{Loan: loan, Outcome: limit.Unused})
			continue
		}
		l.setLoans(loan.Key, t.Server, append(l.loans[loan.Key], heldLoan{Loan: loan, owner: from, since: now}))
	}
}

// lend lends the entry one share of each wanted backend server that has room.
func (l *Loads) lend(to string, wants []AdmissionState, now time.Time) []Loan {
	var loans []Loan
	for _, want := range wants {
		key := want.Key
		l.catchUp(want)
		a, ok := l.owned[key]
		s := l.cold[key]
		if !ok || s == nil || s.room.Load() <= 0 {
			continue
		}
		if id, ok := a.Lend(to, now.Add(l.loanEnd)); ok {
			loans = append(loans, Loan{Key: key, ID: id, Epoch: l.phaseOf(key).epoch})
			l.settle(key, s, a)
		}
	}
	return loans
}

// catchUp aligns this owner with an entry that takes a backend server for cold.
// Where the entry knows a later epoch, the owner believes it; otherwise the
// owner's word is sent again.
func (l *Loads) catchUp(want AdmissionState) {
	t, ok := l.servers[want.Key]
	if !ok {
		return
	}
	p := l.phaseOf(want.Key)
	switch {
	case want.Epoch > p.epoch:
		p.epoch = want.Epoch
		p.changed = l.scan + 1
		l.turnCold(want.Key, t.Server)
	case !p.cold:
		p.changed = l.scan + 1
	}
}

// acceptReturn ends a loan of this owner.
func (l *Loads) acceptReturn(back LoanReturn) {
	a, ok := l.owned[back.Key]
	if !ok || l.phaseOf(back.Key).epoch != back.Epoch {
		return
	}
	a.Return(back.ID, back.Outcome)
	if s := l.cold[back.Key]; s != nil {
		l.settle(back.Key, s, a)
	}
}

// dropReturns forgets returns that the owner has taken in.
func (l *Loads) dropReturns(owner string, n int) {
	l.returns[owner] = l.returns[owner][n:]
	if len(l.returns[owner]) == 0 {
		delete(l.returns, owner)
	}
}

// suspect stops this entry's requests on a backend server that may have turned
// cold, and asks its owner.
func (l *Loads) suspect(key Key, s *Server, now time.Time) {
	t, ok := l.servers[key]
	if !ok || t.far || s.cold.Load() {
		return
	}
	l.turnCold(key, s)
	p := l.phaseOf(key)
	p.suspect = l.owner(key, now) != l.self
}

// acceptSuspect hears another entry's suspicion. The owner starts an admission;
// another entry stops its own requests and waits for the owner's word too.
func (l *Loads) acceptSuspect(told AdmissionState, now time.Time) {
	p := l.phaseOf(told.Key)
	t, ok := l.servers[told.Key]
	if !ok {
		return
	}
	owner := l.owner(told.Key, now) == l.self
	if owner {
		p.changed = l.scan + 1
	}
	if p.cold || told.Epoch < p.epoch {
		return
	}
	p.epoch = told.Epoch
	p.suspect = !owner
	l.turnCold(told.Key, t.Server)
}

// acceptPhase hears the owner's word on a backend server.
func (l *Loads) acceptPhase(told AdmissionState) {
	p := l.phaseOf(told.Key)
	if told.Epoch < p.epoch || p.suspect && told.Epoch == p.epoch && !told.Cold {
		return
	}
	p.epoch, p.cold, p.suspect = told.Epoch, told.Cold, false
	t, ok := l.servers[told.Key]
	switch {
	case !ok || t.cold.Load() == told.Cold:
	case told.Cold:
		l.turnCold(told.Key, t.Server)
	default:
		l.turnWarm(told.Key, t.Server)
	}
}

// addPhases adds the owner's words that the peer has not heard.
func (l *Loads) addPhases(r *Report, p *peerLoad) {
	r.phased = l.scan
	for key, ph := range l.phases {
		if ph.changed > 0 && ph.changed <= l.scan && (r.Full || ph.changed > p.ackPhase) {
			r.AdmissionStates = append(r.AdmissionStates, AdmissionState{Key: key, Epoch: ph.epoch, Cold: ph.cold})
		}
	}
}

// addWants adds suspicions, which every entry of the region hears so that all
// stop at once, and the wishes for backend servers that the peer owns.
func (l *Loads) addWants(r *Report, to string, now time.Time) {
	for key, s := range l.cold {
		p := l.phaseOf(key)
		if !p.suspect && !s.wanted.Load() {
			continue
		}
		if t := l.servers[key]; t == nil || t.far {
			continue
		}
		if p.suspect {
			r.Suspects = append(r.Suspects, AdmissionState{Key: key, Epoch: p.epoch, Cold: true})
		} else if l.owner(key, now) == to && len(l.loans[key]) == 0 {
			s.wanted.Store(false)
			r.LoanRequests = append(r.LoanRequests, AdmissionState{Key: key, Epoch: p.epoch, Cold: true})
		}
	}
}
