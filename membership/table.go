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

// Lifetimes and periods of the records in a table.
const (
	// tombstoneLifetime is how long a tombstone prevents older records of a
	// removed backend server from being accepted. It exceeds every delay of a
	// message and the longest lease.
	tombstoneLifetime = 30 * time.Minute
	// leaseMargin is how much longer than its lease a copy is kept once its
	// origin is lost.
	leaseMargin = time.Second
	// sweepPeriod is the time between scans of all addresses for expired
	// tombstones.
	sweepPeriod = 10 * time.Second
	// pauseThreshold is the gap between two calls of Tick above which the
	// process counts as having been paused.
	pauseThreshold = time.Second
)

// Limits for the length of leases: an entry accepts about
// maxAnnouncementsPerSecond announcements a second, and a backend server
// announces itself within a third of a lease.
const (
	maxAnnouncementsPerSecond = 3
	announcementsPerLease     = 3
	maxLeaseDoublings         = 8
	initialTableEntries       = 64
)

// View is an immutable snapshot of the backend servers, grouped by service.
type View struct {
	// Services lists the backend servers of each service that hold a lease and
	// are not leaving, ordered by address.
	Services map[string][]BackendServer
}

// Table holds the registers of all origins in one entry process.
type Table struct {
	self      Origin
	baseLease time.Duration

	mu      sync.Mutex
	version uint64
	// owned are the addresses of the backend servers whose leases this origin
	// owns.
	owned map[netip.AddrPort]bool
	// leaseDoublings is how often baseLease is doubled to give the granted
	// lease.
	leaseDoublings int
	// longestLease is the longest lease granted so far; it is replicated to the
	// other entries.
	longestLease time.Duration
	lastTick     time.Time
	// lastSweep is when all addresses were last scanned for expired registers.
	lastSweep time.Time
	servers   map[netip.AddrPort]*address
	// byOrigin indexes the same registers by origin.
	byOrigin map[Origin]map[netip.AddrPort]*storedRegister
	origins  map[Origin]*originState
	view     atomic.Pointer[View]
}

// address holds the registers of one address and the record that the view shows
// of it.
type address struct {
	registers registers
	published BackendServer
}

// originState is the replication state of another origin.
type originState struct {
	// version is the version up to which all changes were received.
	version uint64
	// lostSince is when the origin was found dead; it is zero while the origin
	// is alive.
	lostSince time.Time
	// longestLease is the longest lease that the origin grants.
	longestLease time.Duration
	// dropped is true if the copies were dropped, so that all registers must be
	// sent again if the origin returns.
	dropped bool
}

// NewTable returns an empty table of the origin. Leases last at least base.
func NewTable(self Origin, base time.Duration) *Table {
	t := &Table{self: self, baseLease: base}
	t.clear()
	return t
}

// clear removes everything; the caller holds the lock.
func (t *Table) clear() {
	t.servers = make(map[netip.AddrPort]*address, initialTableEntries)
	t.byOrigin = map[Origin]map[netip.AddrPort]*storedRegister{}
	t.origins = map[Origin]*originState{}
	t.owned = map[netip.AddrPort]bool{}
	t.leaseDoublings, t.longestLease = 0, 0
	t.view.Store(&View{Services: map[string][]BackendServer{}})
}

// View returns the current snapshot. It takes no lock.
func (t *Table) View() *View { return t.view.Load() }

// Self returns the origin that owns this table.
func (t *Table) Self() Origin {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.self
}

// nextLease returns the lease to grant. It doubles as the number of own backend
// servers grows, so that the rate of announcements stays bounded, and is halved
// again only once that number is far smaller.
func (t *Table) nextLease() time.Duration {
	perSecond := func(doublings int) float64 {
		return float64(len(t.owned)) * announcementsPerLease / (t.baseLease << doublings).Seconds()
	}
	for t.leaseDoublings < maxLeaseDoublings && perSecond(t.leaseDoublings) > maxAnnouncementsPerSecond {
		t.leaseDoublings++
	}
	for t.leaseDoublings > 0 && perSecond(t.leaseDoublings-1) < maxAnnouncementsPerSecond/2.0 {
		t.leaseDoublings--
	}
	lease := t.baseLease << t.leaseDoublings
	if lease > t.longestLease {
		t.longestLease = lease
		t.version++
	}
	return lease
}

// Check returns [ErrOldGeneration] if a record newer than the announcement is
// known.
func (t *Table) Check(b BackendServer) error {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.check(b)
}

// check implements Check; the caller holds the lock.
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

// Put stores an announcement in the own registers and renews its lease. It
// returns the lease, or [ErrOldGeneration] if a newer record is known.
func (t *Table) Put(b BackendServer, now time.Time) (time.Duration, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if err := t.check(b); err != nil {
		return 0, err
	}
	return t.updateOwn(b, now), nil
}

// Adopt takes over the lease of a backend server from an origin that shuts
// down. b is the last record that the origin received. Adopt ignores b if
// another generation or a newer sequence is known, or if the backend server
// left.
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
	t.updateOwn(b, now)
}

// updateOwn writes the own register of a backend server if its record changed,
// renews its lease and returns the lease; the caller holds the lock.
func (t *Table) updateOwn(b BackendServer, now time.Time) time.Duration {
	old := t.lookup(b.Address, t.self)
	lease := t.nextLease()
	if old == nil || old.Ended || !equalExceptSequence(old.Server, b) {
		old = t.writeOwn(Register{Server: b}, now)
	}
	old.newestSequence = b.Sequence
	old.expiresAt = now.Add(lease)
	return lease
}

// writeOwn stores an own register under the next version; the caller holds the
// lock. The register has no lease yet: it expires at once unless the caller
// sets expiresAt.
func (t *Table) writeOwn(r Register, now time.Time) *storedRegister {
	t.version++
	r.Version = t.version
	held := t.store(t.self, r, now)
	t.publish(r.Server.Address)
	return held
}

// store replaces the origin's register of an address; the caller holds the
// lock.
func (t *Table) store(o Origin, r Register, now time.Time) *storedRegister {
	a := t.servers[r.Server.Address]
	if a == nil {
		a = &address{registers: registers{}}
		t.servers[r.Server.Address] = a
	}
	next := &storedRegister{Register: r, newestSequence: r.Server.Sequence, receivedAt: now, expiresAt: now}
	switch {
	case o != t.self:
	case next.holdsLease():
		t.owned[r.Server.Address] = true
	default:
		delete(t.owned, r.Server.Address)
	}
	a.registers[o] = next
	if t.byOrigin[o] == nil {
		t.byOrigin[o] = map[netip.AddrPort]*storedRegister{}
	}
	t.byOrigin[o][r.Server.Address] = next
	return next
}

// remove deletes a register; the caller holds the lock.
func (t *Table) remove(at netip.AddrPort, o Origin) {
	delete(t.servers[at].registers, o)
	delete(t.byOrigin[o], at)
	if len(t.byOrigin[o]) == 0 {
		delete(t.byOrigin, o)
	}
}

// lookup returns the origin's register of an address, or nil; the caller holds
// the lock.
func (t *Table) lookup(at netip.AddrPort, o Origin) *storedRegister {
	if a := t.servers[at]; a != nil {
		return a.registers[o]
	}
	return nil
}

// publish updates the view of one address; the caller holds the lock.
func (t *Table) publish(at netip.AddrPort) {
	a := t.servers[at]
	next, _ := a.registers.merge()
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

// compareAddress compares the address of a backend server with another address.
func compareAddress(b BackendServer, at netip.AddrPort) int { return b.Address.Compare(at) }

// removeServer removes a backend server from a copy of its service's list.
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

// insertServer inserts a backend server into a copy of its service's list.
func insertServer(services map[string][]BackendServer, b BackendServer) {
	list := services[b.Service]
	i, _ := slices.BinarySearchFunc(list, b.Address, compareAddress)
	services[b.Service] = slices.Insert(slices.Clone(list), i, b)
}
