package dispatch

import (
	"context"
	"slices"
	"sync/atomic"

	"tanagerbarrow/balance"
	"tanagerbarrow/membership"
	"tanagerbarrow/request"
	"tanagerbarrow/state"
)

// RoundRobin chooses backend servers in turn and limits nothing. It is the
// baseline that the adaptive policy is compared with.
type RoundRobin struct {
	// Members returns the known backend servers.
	Members func() *membership.View
	// Configuration returns the configuration in force.
	Configuration func() *state.Configuration
	// Regions maps each availability zone to its region.
	Regions map[string]string

	next atomic.Uint64
}

// Reserve returns the next allowed backend server of the service.
func (b *RoundRobin) Reserve(_ context.Context, r *request.Request, x Exclusions) (balance.StartedRequest, error) {
	servers := b.Members().Services[r.Service.Name]
	out := b.Configuration().ZonesOut
	start := b.next.Add(1)
	var inExcludedZone *balance.Server
	for i := range servers {
		s := servers[(start+uint64(i))%uint64(len(servers))]
		zone := s.AvailabilityZone
		if out[zone] || !r.AllowedIn(b.Regions[zone]) || slices.Contains(x.Servers, s.Address) {
			continue
		}
		if zone != x.Zone {
			return balance.StartedRequest{Server: &balance.Server{Record: s}}, nil
		}
		inExcludedZone = &balance.Server{Record: s}
	}
	if inExcludedZone != nil {
		return balance.StartedRequest{Server: inExcludedZone}, nil
	}
	return balance.StartedRequest{}, errNoServer
}

// Release does nothing, because requests in progress are not counted.
func (b *RoundRobin) Release(balance.StartedRequest, balance.Result) {}
