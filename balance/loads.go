package balance

import (
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"tanagerbarrow/limit"
	"tanagerbarrow/membership"
)

// Loads is what one entry knows of the load of all backend servers: its own
// requests in progress, and those that other entries of its region report. A
// choice reads it without a lock; Start and Finish take one only for cold
// backend servers.
type Loads struct {
	self    string
	live    func() []string
	started time.Time

	dirty       atomic.Bool   // something happened since the last tick
	woken       chan struct{} // capacity 1
	quiet       atomic.Bool   // few slots were in use at the last tick
	knownShare  atomic.Int64  // thousandths
	entryNumber atomic.Int64

	mu      sync.Mutex
	servers map[Key]*tracked
	newest  map[netip.AddrPort]uint64
	usuals  map[string]*serviceLoad
	peers   map[string]*peerLoad
	phases  map[Key]*phase
	scan    uint64
	ticked  time.Time
	busy    bool // requests were in progress at the last tick
	cold    map[Key]*Server
	owned   map[Key]*limit.Admission
	loans   map[Key][]heldLoan
	returns map[string][]LoanReturn
	loanEnd time.Duration
}

// tracked is a backend server with what was last reported of it.
type tracked struct {
	*Server

	reported int64
	changed  uint64
	seen     time.Time
	far      bool
}

// Options describe the loads of one entry.
type Options struct {
	// Self is the name of this entry's host.
	Self string
	// Live returns the names of the live entries of this region, with Self.
	Live func() []string
	// LoanTimeout is by when a request on a lent share has ended.
	LoanTimeout time.Duration
}

// NewLoads returns the loads of an entry that started now.
func NewLoads(o Options, now time.Time) *Loads {
	l := &Loads{
		self: o.Self, live: o.Live, started: now, woken: make(chan struct{}, 1), loanEnd: o.LoanTimeout,
		servers: map[Key]*tracked{}, newest: map[netip.AddrPort]uint64{},
		usuals: map[string]*serviceLoad{}, peers: map[string]*peerLoad{},
		phases: map[Key]*phase{}, cold: map[Key]*Server{},
		owned: map[Key]*limit.Admission{}, loans: map[Key][]heldLoan{},
		returns: map[string][]LoanReturn{},
	}
	l.knownShare.Store(1000)
	l.entryNumber.Store(1)
	return l
}

// known returns the share, in thousandths, of the region's entries whose counts
// are known, and the number of entries.
func (l *Loads) known() (share, entries int64) {
	return l.knownShare.Load(), l.entryNumber.Load()
}

// usual returns the moving average of a service's latency.
func (l *Loads) usual(service string) *serviceLoad {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.usualLocked(service)
}

func (l *Loads) usualLocked(service string) *serviceLoad {
	u, ok := l.usuals[service]
	if !ok {
		u = &serviceLoad{}
		l.usuals[service] = u
	}
	return u
}

// Server returns the load of a backend server. far means that it stands in
// another region. One that is new needs admission first, unless this entry is
// itself new and the backend server says that it is ready.
func (l *Loads) Server(record membership.BackendServer, far bool, now time.Time) *Server {
	l.mu.Lock()
	defer l.mu.Unlock()
	key := Key{Address: record.Address, Generation: record.Generation}
	if t, ok := l.servers[key]; ok {
		return t.Server
	}
	t := &tracked{Server: newServer(record, l.usualLocked(record.Service)), seen: now, far: far}
	l.servers[key] = t
	for _, p := range l.peers {
		t.remote.Add(p.counts[key] * p.weight)
	}
	older, restarted := l.newest[record.Address]
	l.newest[record.Address] = max(older, record.Generation)
	young := now.Sub(l.started) < startGrace
	cold := restarted || record.State == membership.Cold || !young
	if p, ok := l.phases[key]; ok {
		cold = p.cold
	}
	if cold {
		l.turnCold(key, t.Server)
	}
	return t.Server
}

// Prune forgets backend servers that keep does not name.
func (l *Loads) Prune(keep map[Key]bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for key, t := range l.servers {
		if keep[key] || t.LocalInFlight() != 0 {
			continue
		}
		delete(l.servers, key)
		delete(l.cold, key)
		delete(l.owned, key)
		delete(l.phases, key)
		delete(l.loans, key)
	}
}

// StartedRequest is a request in progress on a backend server.
type StartedRequest struct {
	// Server runs the request.
	Server *Server

	admission *limit.Admission
	loan      heldLoan
}

// Start counts a request on the backend server. ok is false if the room that a
// choice saw has gone.
func (l *Loads) Start(s *Server) (started StartedRequest, ok bool) {
	if s.cold.Load() {
		return l.startCold(s)
	}
	s.count(1)
	l.touch()
	share, entries := l.known()
	if !s.hasRoom(share, entries, 1) {
		s.count(-1)
		return StartedRequest{}, false
	}
	return StartedRequest{Server: s}, true
}

// Finish ends the count of a request and learns from how it went.
func (l *Loads) Finish(st StartedRequest, a Result, now time.Time) {
	o, suspect := st.Server.judge(a, now)
	st.Server.count(-1)
	l.touch()
	if st.admission == nil && st.loan.ID == 0 && !suspect {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	key := st.Server.Key()
	switch {
	case st.admission != nil:
		st.admission.Release(o)
		l.settle(key, st.Server, st.admission)
	case st.loan.ID != 0:
		owner := st.loan.owner
		l.returns[owner] = append(l.returns[owner], LoanReturn{Loan: st.loan.Loan, Outcome: o})
	case suspect:
		l.suspect(key, st.Server, now)
	}
}
