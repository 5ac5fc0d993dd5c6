package gateway

import (
	"maps"
	"net/netip"
	"slices"
	"sync"

	"github.com/cockroachdb/errors"

	"tanagerbarrow/protocol"
)

// maxDirectoryHosts bounds the control hosts that are known from directories. It is
// many times the number of control hosts of the largest deployment.
const maxDirectoryHosts = 64

// errOtherDeployment is the error of a control host that belongs to another deployment,
// or that can't be told from one.
var errOtherDeployment = errors.New("the control host belongs to another deployment")

// controlHosts are the control hosts at which an entry looks for the broker: the seeds in
// its settings file, and those that directories name. It is safe for concurrent use.
//
// Hosts are replaced while the entry runs. The directory of the broker is complete and
// therefore replaces the earlier ones, so that the addresses stay bounded. While there is
// no broker, addresses are only added.
type controlHosts struct {
	// regions maps the availability zones of the deployment to their regions.
	regions map[string]string

	mu    sync.Mutex
	seeds []string
	// named holds the hosts of directories by their addresses.
	named map[string]namedHost
	// directories counts the directories.
	directories uint64
}

// namedHost is a control host that a directory has named.
type namedHost struct {
	// name is empty for an address that was a seed earlier.
	name string
	// directory is the number of the last directory that named it.
	directory uint64
}

// newControlHosts returns the control hosts of a process that knows its seeds alone.
func newControlHosts(regions map[string]string, seeds []netip.AddrPort) *controlHosts {
	h := &controlHosts{regions: regions, named: map[string]namedHost{}}
	h.setSeeds(seeds)
	return h
}

// setSeeds replaces the seeds and reports whether they have changed. Earlier ones stay
// known until a broker sends its directory, because the new ones may not answer. An empty
// list changes nothing.
func (h *controlHosts) setSeeds(seeds []netip.AddrPort) bool {
	if len(seeds) == 0 {
		return false
	}
	var addresses []string
	for _, seed := range seeds[:min(len(seeds), maxDirectoryHosts)] {
		addresses = append(addresses, seed.String())
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	if slices.Equal(addresses, h.seeds) {
		return false
	}
	for _, earlier := range h.seeds {
		if _, ok := h.named[earlier]; !ok {
			h.add(earlier, namedHost{directory: h.directories})
		}
	}
	h.seeds = addresses
	return true
}

// addresses returns all known addresses in sorted order.
func (h *controlHosts) addresses() []string {
	h.mu.Lock()
	defer h.mu.Unlock()
	all := slices.AppendSeq(slices.Clone(h.seeds), maps.Keys(h.named))
	slices.Sort(all)
	return slices.Compact(all)
}

// names returns the names of the hosts that directories have named, by their addresses.
func (h *controlHosts) names() map[string]string {
	h.mu.Lock()
	defer h.mu.Unlock()
	all := map[string]string{}
	for address, host := range h.named {
		all[address] = host.name
	}
	return all
}

// verify checks the directory of the host at an address. It returns
// [errOtherDeployment] if the host is located in a zone that this deployment doesn't
// have, or if another host had the address and neither the settings nor another host's
// directory name the new one. The address is then forgotten. A directory may name several
// hosts at one address, of which only the last one still runs.
func (h *controlHosts) verify(address string, d protocol.Directory) error {
	h.mu.Lock()
	defer h.mu.Unlock()
	known := h.named[address].name
	anyName := known == "" || slices.Contains(h.seeds, address)
	var named []protocol.ControlHost
	for _, host := range d.Hosts {
		if host.PeerAddress == address {
			named = append(named, host)
		}
	}
	verified := func(host protocol.ControlHost) bool {
		return (anyName || host.Name == known) && h.inDeployment(host)
	}
	if len(named) == 0 || slices.ContainsFunc(named, verified) {
		return nil
	}
	delete(h.named, address)
	return errors.Wrapf(errOtherDeployment, "host %q in zone %q at %s, known as %q", named[0].Name, named[0].AvailabilityZone, address, known)
}

// learn adds the hosts of a directory and reports whether one of them is new.
func (h *controlHosts) learn(d protocol.Directory) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.learnLocked(d)
}

// replace replaces the hosts of earlier directories by those of the broker's and reports
// whether one of them is new.
func (h *controlHosts) replace(d protocol.Directory) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	added := h.learnLocked(d)
	maps.DeleteFunc(h.named, func(_ string, host namedHost) bool { return host.directory != h.directories })
	return added
}

// learnLocked is learn for callers that hold mu.
func (h *controlHosts) learnLocked(d protocol.Directory) bool {
	h.directories++
	added := false
	for _, host := range d.Hosts[:min(len(d.Hosts), maxDirectoryHosts)] {
		if _, err := netip.ParseAddrPort(host.PeerAddress); err != nil || !h.inDeployment(host) {
			continue
		}
		added = h.add(host.PeerAddress, namedHost{name: host.Name, directory: h.directories}) || added
	}
	if _, err := netip.ParseAddrPort(d.LeaderAddress); err == nil {
		if _, known := h.named[d.LeaderAddress]; !known {
			added = h.add(d.LeaderAddress, namedHost{directory: h.directories}) || added
		}
	}
	return added
}

// add stores a host and reports whether its address is new. If there are too many, it
// removes the one that was named the longest ago. The caller holds mu.
func (h *controlHosts) add(address string, host namedHost) bool {
	_, known := h.named[address]
	if !known && len(h.named) >= maxDirectoryHosts {
		oldest := slices.MinFunc(slices.Collect(maps.Keys(h.named)), func(a, b string) int {
			return int(h.named[a].directory) - int(h.named[b].directory)
		})
		delete(h.named, oldest)
	}
	h.named[address] = host
	return !known && !slices.Contains(h.seeds, address)
}

// inDeployment reports whether a host's zone is one of the deployment. The broker doesn't
// know the zone of a host that is down.
func (h *controlHosts) inDeployment(host protocol.ControlHost) bool {
	_, known := h.regions[host.AvailabilityZone]
	return known || host.AvailabilityZone == "" || len(h.regions) == 0
}
