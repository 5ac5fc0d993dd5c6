package balance

import (
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"tanagerbarrow/limit"
	"tanagerbarrow/membership"
)

// Loads tracks the load of all backend servers as one entry sees it: its own
// requests in progress, and those that other entries of its region report. A
// choice reads it without a lock; Start and Finish take one only for backend
// servers that are cold or suspected to be.
type Loads struct {
	self        string
	liveEntries func() []string
	startedAt   time.Time

	tickPending   atomic.Bool   // something happened since the last tick
	tickRequested chan struct{} // capacity 1
	lowUse        atomic.Bool   // few slots were in use at the last tick
	knownShare    atomic.Int64  // of the region's entries whose counts are known, in thousandths
	entryCount    atomic.Int64

	mu                sync.Mutex
	servers           map[Key]*trackedServer
	newestGenerations map[netip.AddrPort]uint64
	serviceLoads      map[string]*serviceLoad
	peers             map[string]*peerLoad
	admissionRecords  map[Key]*admissionRecord
	tickCount         uint64 // numbers the ticks
	lastTick          time.Time
	hadRequests       bool // requests of this entry were in progress at the last tick
	coldServers       map[Key]*Server
	ownedAdmissions   map[Key]*limit.Admission
	unusedLoans       map[Key][]heldLoan
	loanReturns       map[string][]LoanReturn
	loanTimeout       time.Duration
}

// trackedServer is a backend server with the count that was last reported of it.
type trackedServer struct {
	*Server

	reportedInFlight int64
	changedTick      uint64 // tick that detected the last change of the count
	firstSeen        time.Time
	otherRegion      bool
}

// Options are the parameters of the loads of one entry.
type Options struct {
	// Self is the name of this entry's host.
	Self string
	// Live returns the names of the live entries of this region, including Self.
	Live func() []string
	// LoanTimeout is the time after which the request on a loan has ended.
	LoanTimeout time.Duration
}

// NewLoads returns the loads of an entry that starts now.
func NewLoads(o Options, now time.Time) *Loads {
	l := &Loads{
		self: o.Self, liveEntries: o.Live, startedAt: now, tickRequested: make(chan struct{}, 1), loanTimeout: o.LoanTimeout,
		servers: map[Key]*trackedServer{}, newestGenerations: map[netip.AddrPort]uint64{},
		serviceLoads: map[string]*serviceLoad{}, peers: map[string]*peerLoad{},
		admissionRecords: map[Key]*admissionRecord{}, coldServers: map[Key]*Server{},
		ownedAdmissions: map[Key]*limit.Admission{}, unusedLoans: map[Key][]heldLoan{},
		loanReturns: map[string][]LoanReturn{},
	}
	l.knownShare.Store(1000)
	l.entryCount.Store(1)
	return l
}

// knownEntries returns the share, in thousandths, of the region's entries whose
// counts are known, and the number of all of them.
func (l *Loads) knownEntries() (share, entries int64) {
	return l.knownShare.Load(), l.entryCount.Load()
}

// serviceLoad returns the load of a service. It creates one if there is none.
func (l *Loads) serviceLoad(service string) *serviceLoad {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.serviceLoadLocked(service)
}

// serviceLoadLocked is serviceLoad for callers that hold the lock.
func (l *Loads) serviceLoadLocked(service string) *serviceLoad {
	load, ok := l.serviceLoads[service]
	if !ok {
		load = &serviceLoad{}
		l.serviceLoads[service] = load
	}
	return load
}

// Server returns the load of a backend server and starts to track one that is new.
// otherRegion is true if it is located in another region. A new backend server
// needs admission, unless this entry started recently, the backend server has not
// restarted since and announces itself as ready. A state that its owner reported
// takes precedence.
func (l *Loads) Server(record membership.BackendServer, otherRegion bool, now time.Time) *Server {
	l.mu.Lock()
	defer l.mu.Unlock()
	key := Key{Address: record.Address, Generation: record.Generation}
	if t, ok := l.servers[key]; ok {
		return t.Server
	}
	t := &trackedServer{Server: newServer(record, l.serviceLoadLocked(record.Service)), firstSeen: now, otherRegion: otherRegion}
	l.servers[key] = t
	for _, p := range l.peers {
		t.remote.Add(p.counts[key] * p.weight)
	}
	newest, restarted := l.newestGenerations[record.Address]
	l.newestGenerations[record.Address] = max(newest, record.Generation)
	inGracePeriod := now.Sub(l.startedAt) < startGracePeriod
	cold := restarted || record.State == membership.Cold || !inGracePeriod
	if known, ok := l.admissionRecords[key]; ok {
		cold = known.cold
	}
	if cold {
		l.markCold(key, t.Server)
	}
	return t.Server
}

// Prune removes the backend servers that keep does not contain, except those with
// requests of this entry in progress.
func (l *Loads) Prune(keep map[Key]bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for key, t := range l.servers {
		if keep[key] || t.LocalInFlight() != 0 {
			continue
		}
		delete(l.servers, key)
		delete(l.coldServers, key)
		delete(l.ownedAdmissions, key)
		delete(l.admissionRecords, key)
		delete(l.unusedLoans, key)
	}
}

// StartedRequest is a request in progress on a backend server.
type StartedRequest struct {
	// Server runs the request.
	Server *Server

	admission *limit.Admission
	loan      heldLoan
}

// Start counts a request on the backend server. ok is false if the backend server
// has no room, for example because another request took it after the choice.
func (l *Loads) Start(s *Server) (started StartedRequest, ok bool) {
	if s.cold.Load() {
		return l.startCold(s)
	}
	s.addInFlight(1)
	l.requestTick()
	share, entries := l.knownEntries()
	if !s.hasRoom(share, entries, 1) {
		s.addInFlight(-1)
		return StartedRequest{}, false
	}
	return StartedRequest{Server: s}, true
}

// Finish ends the count of a request and updates limits, health and admission from
// its result.
func (l *Loads) Finish(started StartedRequest, r Result, now time.Time) {
	outcome, suspect := started.Server.recordResult(r, now)
	started.Server.addInFlight(-1)
	l.requestTick()
	if started.admission == nil && started.loan.ID == 0 && !suspect {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	key := started.Server.Key()
	switch {
	case started.admission != nil:
		started.admission.Release(outcome)
		l.updateRoom(key, started.Server, started.admission)
	case started.loan.ID != 0:
		owner := started.loan.owner
		l.loanReturns[owner] = append(l.loanReturns[owner], LoanReturn{Loan: started.loan.Loan, Outcome: outcome})
	case suspect:
		l.suspectCold(key, started.Server, now)
	}
}
