package membership

import (
	"net/netip"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
)

// State is what a backend server says of itself.
type State string

// The states of a backend server.
const (
	// Cold means started, with little capacity as yet.
	Cold State = "cold"
	// Ready means able to use all slots.
	Ready State = "ready"
	// Leaving means that no new work may come; it is final for a generation.
	Leaving State = "leaving"
)

// stateOrder ranks the states within a generation; a later one wins.
var stateOrder = map[State]int{Cold: 1, Ready: 2, Leaving: 3}

// BackendServer is what the system knows of one backend server.
type BackendServer struct {
	// Service is the service that the backend server belongs to.
	Service string `json:"service"`
	// Address is where it serves requests over HTTP.
	Address netip.AddrPort `json:"address"`
	// AvailabilityZone is where it stands.
	AvailabilityZone string `json:"availability_zone"`
	// Slots is how many requests it works on at once.
	Slots int `json:"slots"`
	// Generation grows with every start of the backend server.
	Generation uint64 `json:"generation"`
	// State is cold, ready or leaving.
	State State `json:"state"`
	// Sequence orders announcements within a generation.
	Sequence uint64 `json:"sequence"`
}

// newer reports whether b replaces old.
func (b *BackendServer) newer(old *BackendServer) bool {
	if b.Generation != old.Generation {
		return b.Generation > old.Generation
	}
	if old.State == Leaving {
		return false
	}
	if b.State == Leaving {
		return true
	}
	return b.Sequence > old.Sequence
}

// Check returns an error if the record breaks a rule. regions maps each
// availability zone to its region.
func (b *BackendServer) Check(regions map[string]string) error {
	switch {
	case b.Service == "":
		return errors.New("announcement names no service")
	case !b.Address.IsValid() || b.Address.Port() == 0:
		return errors.Newf("announcement of service %q has no IP address with a port", b.Service)
	case b.Slots < 1:
		return errors.Newf("backend server %s announces %d slots, at least 1 is needed", b.Address, b.Slots)
	case b.Generation == 0:
		return errors.Newf("backend server %s announces no generation", b.Address)
	case stateOrder[b.State] == 0:
		return errors.Newf("backend server %s announces unknown state %q", b.Address, b.State)
	}
	if _, ok := regions[b.AvailabilityZone]; !ok {
		return errors.Newf("backend server %s announces unknown availability zone %q", b.Address, b.AvailabilityZone)
	}
	return nil
}

// ErrOldGeneration marks an announcement that a newer record overrides.
var ErrOldGeneration = errors.New("a newer record exists")

// record is a backend server with the end of its lease.
type record struct {
	server  BackendServer
	expires time.Time
}

// View is an immutable picture of the backend servers, grouped by service.
type View struct {
	// Services lists the backend servers of each service that hold a lease and
	// are not leaving, in order of address.
	Services map[string][]BackendServer
}

// Table holds the records of one entry process.
type Table struct {
	lease time.Duration

	mu      sync.Mutex
	records map[netip.AddrPort]record
	view    atomic.Pointer[View]
}

// NewTable returns an empty table that grants leases of the given length.
func NewTable(lease time.Duration) *Table {
	t := &Table{lease: lease, records: map[netip.AddrPort]record{}}
	t.view.Store(&View{Services: map[string][]BackendServer{}})
	return t
}

// View returns the current picture. It takes no lock.
func (t *Table) View() *View { return t.view.Load() }

// Lease returns how long a record lives without a new announcement.
func (t *Table) Lease() time.Duration { return t.lease }

// Put takes a record in and renews its lease. It returns [ErrOldGeneration]
// if the table holds a newer one.
func (t *Table) Put(b BackendServer, now time.Time) error {
	t.mu.Lock()
	defer t.mu.Unlock()
	old, ok := t.records[b.Address]
	if ok && !b.newer(&old.server) {
		return errors.Wrapf(ErrOldGeneration, "backend server %s generation %d", b.Address, b.Generation)
	}
	t.records[b.Address] = record{server: b, expires: now.Add(t.lease)}
	if !ok || old.server.Slots != b.Slots || old.server.State != b.State ||
		old.server.Generation != b.Generation || old.server.Service != b.Service ||
		old.server.AvailabilityZone != b.AvailabilityZone {
		t.publish(now)
	}
	return nil
}

// Expire drops backend servers whose lease has ended.
func (t *Table) Expire(now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	changed := false
	for address, r := range t.records {
		if now.After(r.expires) {
			delete(t.records, address)
			changed = true
		}
	}
	if changed {
		t.publish(now)
	}
}

// All returns every record.
func (t *Table) All() []BackendServer {
	t.mu.Lock()
	defer t.mu.Unlock()
	all := make([]BackendServer, 0, len(t.records))
	for _, r := range t.records {
		all = append(all, r.server)
	}
	slices.SortFunc(all, func(a, b BackendServer) int { return a.Address.Compare(b.Address) })
	return all
}

// publish makes a new view; the caller holds the lock.
func (t *Table) publish(now time.Time) {
	services := map[string][]BackendServer{}
	for _, r := range t.records {
		if r.server.State == Leaving || now.After(r.expires) {
			continue
		}
		services[r.server.Service] = append(services[r.server.Service], r.server)
	}
	for _, servers := range services {
		slices.SortFunc(servers, func(a, b BackendServer) int {
			return strings.Compare(a.Address.String(), b.Address.String())
		})
	}
	t.view.Store(&View{Services: services})
}
