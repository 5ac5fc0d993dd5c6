package membership

import (
	"net/netip"

	"github.com/cockroachdb/errors"
)

// State is the state that a backend server announces.
type State string

// The states of a backend server.
const (
	// Cold means that the backend server has started and has little capacity
	// yet.
	Cold State = "cold"
	// Ready means that the backend server can use all of its slots.
	Ready State = "ready"
	// Leaving means that the backend server accepts no new requests; it is
	// final for a generation.
	Leaving State = "leaving"
)

// valid reports whether s is one of the states above.
func (s State) valid() bool { return s == Cold || s == Ready || s == Leaving }

// BackendServer is the record of one backend server.
type BackendServer struct {
	// Service is the service that the backend server belongs to.
	Service string `json:"service"`
	// Address is where the backend server serves requests over HTTP.
	Address netip.AddrPort `json:"address"`
	// AvailabilityZone is where the backend server is located.
	AvailabilityZone string `json:"availability_zone"`
	// Slots is how many requests the backend server processes at once.
	Slots int `json:"slots"`
	// Generation grows with every start of the backend server.
	Generation uint64 `json:"generation"`
	// State is cold, ready or leaving.
	State State `json:"state"`
	// Sequence orders announcements within a generation.
	Sequence uint64 `json:"sequence"`
}

// Check returns an error if the record is invalid. regionByZone maps each
// availability zone to its region.
func (b *BackendServer) Check(regionByZone map[string]string) error {
	switch {
	case b.Service == "":
		return errors.New("announcement names no service")
	case !b.Address.IsValid() || b.Address.Port() == 0 || b.Address.Addr().IsUnspecified():
		return errors.Newf("announcement of service %q has no IP address with a port", b.Service)
	case b.Slots < 1:
		return errors.Newf("backend server %s announces %d slots, at least 1 is needed", b.Address, b.Slots)
	case b.Generation == 0:
		return errors.Newf("backend server %s announces no generation", b.Address)
	case !b.State.valid():
		return errors.Newf("backend server %s announces unknown state %q", b.Address, b.State)
	}
	if _, ok := regionByZone[b.AvailabilityZone]; !ok {
		return errors.Newf("backend server %s announces unknown availability zone %q", b.Address, b.AvailabilityZone)
	}
	return nil
}

// equalExceptSequence reports whether a and b are equal apart from their
// sequence.
func equalExceptSequence(a, b BackendServer) bool {
	a.Sequence = b.Sequence
	return a == b
}

// ErrOldGeneration is returned for an announcement that a newer record
// overrides.
var ErrOldGeneration = errors.New("a newer record exists")
