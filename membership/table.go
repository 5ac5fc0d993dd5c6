package membership

import (
	"maps"
	"net/netip"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
)

// The times of records.
const (
	// tombstoneLife is how long the record of a backend server that is gone
	// keeps older records out. It exceeds every delay of a message and the
	// longest lease.
	tombstoneLife = 30 * time.Minute
	// leaseMargin is how much longer than its lease a copy lives once its origin
	// is lost.
	leaseMargin = time.Second
	// sweepPeriod is the time between searches of all addresses for tombstones
	// that are too old.
	sweepPeriod = 10 * time.Second
	// pauseThreshold is the gap between two calls of Tick from which on the
	// process counts as having been paused.
	pauseThreshold = time.Second
)

// The growth of leases: an entry takes about maxAnnouncements announcements a
// second, and backend servers announce themselves within a third of a lease.
const (
	maxAnnouncements    = 3
	announcesPerLease   = 3
	maxLeaseDoublings   = 8
	initialTableEntries = 64
)

// View is an immutable picture of the backend servers, grouped by service.
type View struct {
	// Services lists the backend servers of each service that hold a lease and
	// are not leaving, in order of address.
	Services map[string][]BackendServer
}

// Table holds what all origins say, for one entry process.
type Table struct {
	self Origin
	base time.Duration

	mu      sync.Mutex
	version uint64
	// owned are the addresses that this origin vouches for.
	owned map[netip.AddrPort]bool
	// doublings is how often the granted lease was doubled.
	doublings int
	// longest is the longest lease granted so far; others learn it.
	longest  time.Duration
	lastTick time.Time
	// lastSweep is when all addresses were last searched for what has ended.
	lastSweep time.Time
	servers   map[netip.AddrPort]*address
	// byOrigin holds the same registers by origin.
	byOrigin map[Origin]map[netip.AddrPort]*heldRegister
	origins  map[Origin]*originState
	view     atomic.Pointer[View]
}

// address is what the table knows of one address.
type address struct {
	registers registers
	published BackendServer
}

// originState is what the table knows of another origin.
type originState struct {
	// version is the last change up to which all changes came in.
	version uint64
	// lost is when the origin was found dead; it is zero while it lives.
	lost time.Time
	// lease is the longest lease that the origin grants.
	lease time.Duration
	// dropped says that copies were given up, so that all must come in again
	// should the origin return.
	dropped bool
}

// NewTable returns an empty table of the origin. Leases last at least base.
func NewTable(self Origin, base time.Duration) *Table {
	t := &Table{self: self, base: base}
	t.clear()
	return t
}

// clear forgets everything; the caller holds the lock.
func (t *Table) clear() {
	t.servers = make(map[netip.AddrPort]*address, initialTableEntries)
	t.byOrigin = map[Origin]map[netip.AddrPort]*heldRegister{}
	t.origins = map[Origin]*originState{}
	t.owned = map[netip.AddrPort]bool{}
	t.doublings, t.longest = 0, 0
	t.view.Store(&View{Services: map[string][]BackendServer{}})
}

// View returns the current picture. It takes no lock.
func (t *Table) View() *View { return t.view.Load() }

// Self returns the origin whose table this is.
func (t *Table) Self() Origin {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.self
}

// lease returns the lease to grant. It doubles as the number of own backend
// servers grows, so that the rate of announcements stays bounded, and halves
// again only once that number is far smaller.
func (t *Table) lease() time.Duration {
	perSecond := func(doublings int) float64 {
		return float64(len(t.owned)) * announcesPerLease / (t.base << doublings).Seconds()
	}
	for t.doublings < maxLeaseDoublings && perSecond(t.doublings) > maxAnnouncements {
		t.doublings++
	}
	for t.doublings > 0 && perSecond(t.doublings-1) < maxAnnouncements/2.0 {
		t.doublings--
	}
	lease := t.base << t.doublings
	if lease > t.longest {
		t.longest = lease
		t.version++
	}
	return lease
}

// Check returns [ErrOldGeneration] if something newer than the announcement is
// known.
func (t *Table) Check(b BackendServer) error {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.check(b)
}

// check is Check; the caller holds the lock.
func (t *Table) check(b BackendServer) error {
	a := t.servers[b.Address]
	if a == nil {
		return nil
	}
	generation, sequence, left := a.registers.newest()
	switch {
	case b.Generation < generation:
		return errors.Wrapf(ErrOldGeneration, "backend server %s announces generation %d after %d",
			b.Address, b.Generation, generation)
	case b.Generation > generation || b.State == Leaving:
		return nil
	case left:
		return errors.Wrapf(ErrOldGeneration, "backend server %s left in generation %d", b.Address, generation)
	case b.Sequence <= sequence:
		return errors.Wrapf(ErrOldGeneration, "backend server %s announces sequence %d after %d in generation %d",
			b.Address, b.Sequence, sequence, generation)
	}
	return nil
}

// Put takes an announcement into the own registers and renews its lease. It
// returns the lease, or [ErrOldGeneration] if something newer is known.
func (t *Table) Put(b BackendServer, now time.Time) (time.Duration, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if err := t.check(b); err != nil {
		return 0, err
	}
	return t.vouch(b, now), nil
}

// Adopt takes a backend server over from an origin that stops. Its record is
// the last one that the origin got.
func (t *Table) Adopt(b BackendServer, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	a := t.servers[b.Address]
	if a != nil {
		generation, sequence, left := a.registers.newest()
		if left || b.Generation != generation || b.Sequence < sequence {
			return
		}
	}
	t.vouch(b, now)
}

// vouch writes the own register of a backend server; the caller holds the lock.
func (t *Table) vouch(b BackendServer, now time.Time) time.Duration {
	old := t.held(b.Address, t.self)
	lease := t.lease()
	if old == nil || old.Ended || !sameService(old.Server, b) {
		old = t.write(Register{Server: b}, now)
	}
	old.sequence = b.Sequence
	old.expires = now.Add(lease)
	return lease
}

// write stamps an own register with the next version; the caller holds the
// lock. The register starts with no lease left.
func (t *Table) write(r Register, now time.Time) *heldRegister {
	t.version++
	r.Version = t.version
	held := t.store(t.self, r, now)
	t.publish(r.Server.Address)
	return held
}

// store puts a register in place; the caller holds the lock.
func (t *Table) store(o Origin, r Register, now time.Time) *heldRegister {
	a := t.servers[r.Server.Address]
	if a == nil {
		a = &address{registers: registers{}}
		t.servers[r.Server.Address] = a
	}
	next := &heldRegister{Register: r, sequence: r.Server.Sequence, learned: now, expires: now}
	switch {
	case o != t.self:
	case next.live():
		t.owned[r.Server.Address] = true
	default:
		delete(t.owned, r.Server.Address)
	}
	a.registers[o] = next
	if t.byOrigin[o] == nil {
		t.byOrigin[o] = map[netip.AddrPort]*heldRegister{}
	}
	t.byOrigin[o][r.Server.Address] = next
	return next
}

// remove forgets a register; the caller holds the lock.
func (t *Table) remove(at netip.AddrPort, o Origin) {
	delete(t.servers[at].registers, o)
	delete(t.byOrigin[o], at)
	if len(t.byOrigin[o]) == 0 {
		delete(t.byOrigin, o)
	}
}

// held returns the register of the origin, or nil; the caller holds the lock.
func (t *Table) held(at netip.AddrPort, o Origin) *heldRegister {
	if a := t.servers[at]; a != nil {
		return a.registers[o]
	}
	return nil
}

// publish updates the view of one address; the caller holds the lock.
func (t *Table) publish(at netip.AddrPort) {
	a := t.servers[at]
	next, _ := a.registers.join()
	before := a.published
	if next == before {
		return
	}
	a.published = next
	services := maps.Clone(t.view.Load().Services)
	if before.Service != "" {
		removeServer(services, before)
	}
	if next.Service != "" {
		insertServer(services, next)
	}
	t.view.Store(&View{Services: services})
}

// compareAddress orders a backend server against an address.
func compareAddress(b BackendServer, at netip.AddrPort) int { return b.Address.Compare(at) }

// removeServer takes a backend server out of a copy of its service's list.
func removeServer(services map[string][]BackendServer, b BackendServer) {
	list := slices.Clone(services[b.Service])
	if i, ok := slices.BinarySearchFunc(list, b.Address, compareAddress); ok {
		list = slices.Delete(list, i, i+1)
	}
	if len(list) == 0 {
		delete(services, b.Service)
		return
	}
	services[b.Service] = list
}

// insertServer puts a backend server into a copy of its service's list.
func insertServer(services map[string][]BackendServer, b BackendServer) {
	list := services[b.Service]
	i, _ := slices.BinarySearchFunc(list, b.Address, compareAddress)
	services[b.Service] = slices.Insert(slices.Clone(list), i, b)
}
