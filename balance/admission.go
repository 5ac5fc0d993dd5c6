package balance

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"tanagerbarrow/limit"
)

// The timeouts of admission.
const (
	// ownerTimeout is the time without a report from the owner after which the
	// next entry in rendezvous order becomes the owner.
	ownerTimeout = idleUnreachableAge
	// goneEntryLoanTimeout is how long the loans of an entry still count as in use
	// after the entry has left the live entries.
	goneEntryLoanTimeout = 5 * time.Second
	// unusedLoanTimeout is how long a loan is kept without a request before it is
	// returned to its owner.
	unusedLoanTimeout = 20 * time.Millisecond
	// otherRegionColdTime is how long this entry sends no requests to a cold backend
	// server of another region; the entries of that region admit it.
	otherRegionColdTime = 10 * time.Second
)

// admissionRecord is whether a backend server needs admission, according to its
// owner.
type admissionRecord struct {
	epoch         uint64
	cold          bool
	changedTick   uint64 // first tick that reports the last change; 0 if this entry reports none
	awaitingOwner bool   // this entry waits for the owner's state
}

// heldLoan is a loan that this entry received from the owner of the admission.
type heldLoan struct {
	Loan

	owner      string
	receivedAt time.Time
}

// owner returns the entry that owns a backend server's admission: among this entry
// and the live ones that reported recently, the one with the highest score.
func (l *Loads) owner(key Key, now time.Time) string {
	best, bestScore := l.self, rendezvousScore(l.self, key)
	for _, name := range l.liveEntries() {
		if name == l.self || now.Sub(l.peer(name).lastReportOr(l.startedAt)) > ownerTimeout {
			continue
		}
		if score := rendezvousScore(name, key); score > bestScore {
			best, bestScore = name, score
		}
	}
	return best
}

// maySpillOver reports whether this entry is among those of its region that may
// send requests to a backend server of another region while their own region has
// usable backend servers.
func (l *Loads) maySpillOver(key Key) bool {
	ownScore := rendezvousScore(l.self, key)
	higher := 0
	for _, name := range l.liveEntries() {
		if rendezvousScore(name, key) > ownScore {
			higher++
		}
	}
	return higher < spilloverEntries
}

// rendezvousScore returns the rendezvous hashing score of an entry for a backend
// server.
func rendezvousScore(name string, key Key) uint64 {
	var b [64]byte
	text := append(b[:0], name...)
	text = append(text, 0)
	text = key.Address.AppendTo(text)
	for shift := 0; shift < 64; shift += 8 {
		text = append(text, byte(key.Generation>>shift))
	}
	return xxhash.Sum64(text)
}

// admissionRecordOf returns the admission record of a backend server. It creates
// one if there is none.
func (l *Loads) admissionRecordOf(key Key) *admissionRecord {
	record, ok := l.admissionRecords[key]
	if !ok {
		record = &admissionRecord{}
		l.admissionRecords[key] = record
	}
	return record
}

// markCold stops new requests on a backend server until its admission allows them.
func (l *Loads) markCold(key Key, s *Server) {
	l.admissionRecordOf(key).cold = true
	delete(l.unusedLoans, key)
	delete(l.ownedAdmissions, key)
	s.coldRoom.Store(0)
	s.cold.Store(true)
	l.coldServers[key] = s
}

// markWarm ends the admission of a backend server; only its concurrency limit
// bounds requests from then on.
func (l *Loads) markWarm(key Key, s *Server) {
	l.admissionRecordOf(key).cold = false
	delete(l.coldServers, key)
	delete(l.ownedAdmissions, key)
	delete(l.unusedLoans, key)
	s.consecutiveSlow.Store(0)
	s.cold.Store(false)
}

// tickAdmissions expires loans of owned admissions, returns unused loans of
// others, and ends the cold time of backend servers of other regions.
func (l *Loads) tickAdmissions(now time.Time) {
	for key, s := range l.coldServers {
		if t := l.servers[key]; t != nil && t.otherRegion {
			if now.Sub(t.firstSeen) > otherRegionColdTime {
				l.markWarm(key, s)
			}
			continue
		}
		if l.owner(key, now) != l.self {
			delete(l.ownedAdmissions, key)
			l.returnUnusedLoans(key, s, now)
			continue
		}
		a, ok := l.ownedAdmissions[key]
		if !ok {
			a = l.startAdmission(key, s)
		}
		a.Shorten(l.gone, now.Add(goneEntryLoanTimeout))
		a.Expire(now)
		l.updateRoom(key, s, a)
	}
}

// gone reports whether an entry is not among the live ones.
func (l *Loads) gone(entry string) bool { return !slices.Contains(l.liveEntries(), entry) }

// startAdmission starts an admission that this entry owns. It increments the
// epoch, so that loans of an earlier admission do not match.
func (l *Loads) startAdmission(key Key, s *Server) *limit.Admission {
	a := limit.NewAdmission(s.Record.Slots)
	l.ownedAdmissions[key] = a
	record := l.admissionRecordOf(key)
	record.epoch++
	record.awaitingOwner = false
	record.changedTick = l.tickCount
	return a
}

// updateRoom stores how many requests an owned admission still allows, or ends
// the admission if the backend server is warm.
func (l *Loads) updateRoom(key Key, s *Server, a *limit.Admission) {
	if l.ownedAdmissions[key] != a {
		return
	}
	if a.Warm() {
		l.markWarm(key, s)
		l.admissionRecordOf(key).changedTick = l.tickCount + 1
		return
	}
	s.coldRoom.Store(max(a.Limit()-max(a.InUse(), s.TotalInFlight()), 0))
}

// startCold starts a request on a cold backend server, within the admission if
// this entry owns it, or with a loan.
func (l *Loads) startCold(s *Server) (StartedRequest, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	key := s.Key()
	if s.coldRoom.Load() <= 0 {
		return StartedRequest{}, false
	}
	if a, ok := l.ownedAdmissions[key]; ok {
		if !a.Acquire() {
			return StartedRequest{}, false
		}
		s.addInFlight(1)
		l.updateRoom(key, s, a)
		return StartedRequest{Server: s, admission: a}, true
	}
	held := l.unusedLoans[key]
	if len(held) == 0 {
		s.coldRoom.Store(0)
		return StartedRequest{}, false
	}
	loan := held[0]
	l.setUnusedLoans(key, s, held[1:])
	s.addInFlight(1)
	return StartedRequest{Server: s, loan: loan}, true
}

// setUnusedLoans replaces the unused loans of a backend server.
func (l *Loads) setUnusedLoans(key Key, s *Server, held []heldLoan) {
	if len(held) == 0 {
		delete(l.unusedLoans, key)
	} else {
		l.unusedLoans[key] = held
	}
	s.coldRoom.Store(int64(len(held)))
}

// returnUnusedLoans queues for return the loans that no request has used within
// unusedLoanTimeout.
func (l *Loads) returnUnusedLoans(key Key, s *Server, now time.Time) {
	var kept []heldLoan
	for _, h := range l.unusedLoans[key] {
		if now.Sub(h.receivedAt) < unusedLoanTimeout {
			kept = append(kept, h)
			continue
		}
		l.loanReturns[h.owner] = append(l.loanReturns[h.owner], LoanReturn{Loan: h.Loan, Outcome: limit.Unused})
	}
	l.setUnusedLoans(key, s, kept)
}

// acceptLoans stores loans that an owner granted. Loans of a backend server that
// is unknown or not cold, or of another epoch, are queued for return.
func (l *Loads) acceptLoans(from string, loans []Loan, now time.Time) {
	for _, loan := range loans {
		t, ok := l.servers[loan.Key]
		if !ok || !t.cold.Load() || l.admissionRecordOf(loan.Key).epoch != loan.Epoch {
			l.loanReturns[from] = append(l.loanReturns[from], LoanReturn{Loan: loan, Outcome: limit.Unused})
			continue
		}
		l.setUnusedLoans(loan.Key, t.Server, append(l.unusedLoans[loan.Key], heldLoan{Loan: loan, owner: from, receivedAt: now}))
	}
}

// lend grants the entry a loan on each requested backend server that has room and
// whose admission this entry owns.
func (l *Loads) lend(to string, requests []AdmissionState, now time.Time) []Loan {
	var loans []Loan
	for _, request := range requests {
		key := request.Key
		l.syncAdmissionState(request)
		a, ok := l.ownedAdmissions[key]
		s := l.coldServers[key]
		if !ok || s == nil || s.coldRoom.Load() <= 0 {
			continue
		}
		if id, ok := a.Lend(to, now.Add(l.loanTimeout)); ok {
			loans = append(loans, Loan{Key: key, ID: id, Epoch: l.admissionRecordOf(key).epoch})
			l.updateRoom(key, s, a)
		}
	}
	return loans
}

// syncAdmissionState reconciles the admission record with that of an entry that
// considers a backend server cold. A later epoch of the entry is adopted. If the
// backend server is not cold here, its state is reported again.
func (l *Loads) syncAdmissionState(request AdmissionState) {
	t, ok := l.servers[request.Key]
	if !ok {
		return
	}
	record := l.admissionRecordOf(request.Key)
	switch {
	case request.Epoch > record.epoch:
		record.epoch = request.Epoch
		record.changedTick = l.tickCount + 1
		l.markCold(request.Key, t.Server)
	case !record.cold:
		record.changedTick = l.tickCount + 1
	}
}

// acceptLoanReturn ends a loan that this entry granted.
func (l *Loads) acceptLoanReturn(returned LoanReturn) {
	a, ok := l.ownedAdmissions[returned.Key]
	if !ok || l.admissionRecordOf(returned.Key).epoch != returned.Epoch {
		return
	}
	a.Return(returned.ID, returned.Outcome)
	if s := l.coldServers[returned.Key]; s != nil {
		l.updateRoom(returned.Key, s, a)
	}
}

// dropLoanReturns removes the first n queued loan returns, which the owner has
// acknowledged.
func (l *Loads) dropLoanReturns(owner string, n int) {
	l.loanReturns[owner] = l.loanReturns[owner][n:]
	if len(l.loanReturns[owner]) == 0 {
		delete(l.loanReturns, owner)
	}
}

// suspectCold stops this entry's requests on a backend server that may have turned
// cold, until its owner reports the state.
func (l *Loads) suspectCold(key Key, s *Server, now time.Time) {
	t, ok := l.servers[key]
	if !ok || t.otherRegion || s.cold.Load() {
		return
	}
	l.markCold(key, s)
	record := l.admissionRecordOf(key)
	record.awaitingOwner = l.owner(key, now) != l.self
}

// acceptSuspicion handles a backend server that another entry suspects to be cold.
// The owner starts an admission; any other entry stops its own requests and waits
// for the owner's state too.
func (l *Loads) acceptSuspicion(reported AdmissionState, now time.Time) {
	record := l.admissionRecordOf(reported.Key)
	t, ok := l.servers[reported.Key]
	if !ok {
		return
	}
	owner := l.owner(reported.Key, now) == l.self
	if owner {
		record.changedTick = l.tickCount + 1
	}
	if record.cold || reported.Epoch < record.epoch {
		return
	}
	record.epoch = reported.Epoch
	record.awaitingOwner = !owner
	l.markCold(reported.Key, t.Server)
}

// acceptAdmissionState applies the state that the owner of a backend server
// reports. It ignores earlier epochs and, while this entry waits for the owner
// after a suspicion, a warm state of the same epoch.
func (l *Loads) acceptAdmissionState(reported AdmissionState) {
	record := l.admissionRecordOf(reported.Key)
	if reported.Epoch < record.epoch || record.awaitingOwner && reported.Epoch == record.epoch && !reported.Cold {
		return
	}
	record.epoch, record.cold, record.awaitingOwner = reported.Epoch, reported.Cold, false
	t, ok := l.servers[reported.Key]
	switch {
	case !ok || t.cold.Load() == reported.Cold:
	case reported.Cold:
		l.markCold(reported.Key, t.Server)
	default:
		l.markWarm(reported.Key, t.Server)
	}
}

// addAdmissionStates adds the admission states that the peer has not acknowledged.
func (l *Loads) addAdmissionStates(r *Report, p *peerLoad) {
	r.statesTick = l.tickCount
	for key, record := range l.admissionRecords {
		if record.changedTick > 0 && record.changedTick <= l.tickCount && (r.Full || record.changedTick > p.ackedStatesTick) {
			r.AdmissionStates = append(r.AdmissionStates, AdmissionState{Key: key, Epoch: record.epoch, Cold: record.cold})
		}
	}
}

// addSuspectsAndLoanRequests adds suspicions, which go to every entry of the region
// so that all stop at once, and loan requests for backend servers whose admission
// the peer owns.
func (l *Loads) addSuspectsAndLoanRequests(r *Report, to string, now time.Time) {
	for key, s := range l.coldServers {
		record := l.admissionRecordOf(key)
		if !record.awaitingOwner && !s.loanWanted.Load() {
			continue
		}
		if t := l.servers[key]; t == nil || t.otherRegion {
			continue
		}
		if record.awaitingOwner {
			r.Suspects = append(r.Suspects, AdmissionState{Key: key, Epoch: record.epoch, Cold: true})
		} else if l.owner(key, now) == to && len(l.unusedLoans[key]) == 0 {
			s.loanWanted.Store(false)
			r.LoanRequests = append(r.LoanRequests, AdmissionState{Key: key, Epoch: record.epoch, Cold: true})
		}
	}
}
