package membership

import (
	"github.com/cespare/xxhash/v2"
	"github.com/dgryski/go-rendezvous"
)

// Owner returns the live entry host that owns the lease of the backend server,
// by rendezvous hashing over the live hosts of its availability zone. If none
// is live there, the live hosts of its region are the candidates; if none is
// live there either, all live hosts.
func Owner(h *Hosts, b *BackendServer, regionByZone map[string]string) Host {
	candidates := h.LiveIn(b.AvailabilityZone)
	if len(candidates) == 0 {
		candidates = h.LiveInRegion(regionByZone[b.AvailabilityZone])
	}
	if len(candidates) == 0 {
		candidates = h.Live()
	}
	return pickOwner(candidates, b.Address.String())
}

// pickOwner returns the candidate with the highest rendezvous weight for the
// key, or the zero Host if there is none.
func pickOwner(candidates []Host, key string) Host {
	names := make([]string, len(candidates))
	byName := make(map[string]Host, len(candidates))
	for i, c := range candidates {
		names[i], byName[c.Name] = c.Name, c
	}
	return byName[rendezvous.New(names, xxhash.Sum64String).Lookup(key)]
}
