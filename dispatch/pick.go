package dispatch

import (
	"math/rand/v2"
	"net/netip"
	"slices"
	"sync"
	"time"

	"tanagerbarrow/balance"
	"tanagerbarrow/membership"
	"tanagerbarrow/request"
)

// picker chooses backend servers and counts what is in progress on them.
type picker struct {
	ejector  balance.Ejector
	inFlight sync.Map // netip.AddrPort to *balance.InFlight
}

// pick chooses the next backend server. An ejected one is chosen only where no
// other is left.
func (d *Dispatcher) pick(r *request.Request, tried []netip.AddrPort) *membership.BackendServer {
	config := d.Configuration()
	servers := d.Members().Services[r.Service.Name]
	now := time.Now()
	allowed := func(b *membership.BackendServer) bool {
		return !config.ZonesOut[b.AvailabilityZone] && r.AllowedIn(d.Regions[b.AvailabilityZone]) &&
			!slices.Contains(tried, b.Address)
	}
	healthy := func(b *membership.BackendServer) bool {
		return allowed(b) && !d.picker.ejector.Ejected(b.Address, now)
	}
	random := rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	if to := balance.TwoChoices(servers, healthy, d.picker.load, random); to != nil {
		return to
	}
	return balance.TwoChoices(servers, allowed, d.picker.load, random)
}

// load returns this entry's requests in progress for each slot.
func (p *picker) load(b *membership.BackendServer) float64 {
	return float64(p.counter(b.Address).Load()) / float64(b.Slots)
}

// counter returns the count of requests in progress on an address.
func (p *picker) counter(address netip.AddrPort) *balance.InFlight {
	if c, ok := p.inFlight.Load(address); ok {
		return c.(*balance.InFlight)
	}
	c, _ := p.inFlight.LoadOrStore(address, &balance.InFlight{})
	return c.(*balance.InFlight)
}
