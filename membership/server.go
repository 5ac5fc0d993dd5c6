package membership

import (
	"net/netip"

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

// known reports whether s is one of the states.
func (s State) known() bool { return s == Cold || s == Ready || s == Leaving }

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

// Check returns an error if the record breaks a rule. regions maps each
// availability zone to its region.
func (b *BackendServer) Check(regions map[string]string) error {
	switch {
	case b.Service == "":
		return errors.New("announcement names no service")
	case !b.Address.IsValid() || b.Address.Port() == 0 || b.Address.Addr().IsUnspecified():
		return errors.Newf("announcement of service %q has no IP address with a port", b.Service)
	case b.Slots < 1:
		return errors.Newf("backend server %s announces %d slots, at least 1 is needed", b.Address, b.Slots)
	case b.Generation == 0:
		return errors.Newf("backend server %s announces no generation", b.Address)
	case !b.State.known():
		return errors.Newf("backend server %s announces unknown state %q", b.Address, b.State)
	}
	if _, ok := regions[b.AvailabilityZone]; !ok {
		return errors.Newf("backend server %s announces unknown availability zone %q", b.Address, b.AvailabilityZone)
	}
	return nil
}

// sameService reports whether a and b differ in nothing but their sequence.
func sameService(a, b BackendServer) bool {
	a.Sequence = b.Sequence
	return a == b
}

// ErrOldGeneration marks an announcement that a newer record overrides.
var ErrOldGeneration = errors.New("a newer record exists")
