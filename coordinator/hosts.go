package coordinator

import (
	"maps"
	"net/netip"
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"tanagerbarrow/consensus/raft"
	"tanagerbarrow/protocol"
)

// maxKnownHosts bounds the control hosts that are known by the directories of others.
const maxKnownHosts = 64

// forgetDelay is the time without contact after which a control host that isn't a member
// of the log is forgotten. It is many times the duration of a restart.
const forgetDelay = 30 * time.Second

// knownHost is a control host by its name.
type knownHost struct {
	protocol.ControlHost

	// met says that the host itself was in contact, and not only named by another one's
	// directory. Directories name only such hosts, so that no host is named for ever
	// after it was removed.
	met bool
	// contactAt is when the host was last in contact, or was first named.
	contactAt time.Time
}

// setSeeds replaces the peer addresses of the seeds. An empty list changes nothing.
func (m *mesh) setSeeds(seeds []netip.AddrPort) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if len(seeds) > 0 {
		m.seeds = seeds
	}
}

// meet adds or updates a control host that was in contact, and removes those that had its
// address. It returns an error if the host belongs to another deployment.
func (m *mesh) meet(h protocol.ControlHost) error {
	if err := m.check(h); err != nil {
		return err
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if known, ok := m.hosts[h.Name]; !ok || !known.met || known.ControlHost != h {
		m.c.log.Info().Str("event", "control_host_found").Str("peer_host", h.Name).Str("address", h.PeerAddress).Send()
	}
	maps.DeleteFunc(m.hosts, func(_ string, other *knownHost) bool { return other.PeerAddress == h.PeerAddress })
	m.hosts[h.Name] = &knownHost{ControlHost: h, met: true, contactAt: time.Now()}
	return nil
}

// suggest adds a control host that another one has named. It changes nothing about a host
// that was in contact, since the other one may know an older address, or the host that had
// its address before.
func (m *mesh) suggest(h protocol.ControlHost) {
	if m.check(h) != nil {
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	known, ok := m.hosts[h.Name]
	if ok && (known.met || known.ControlHost == h) || !ok && len(m.hosts) >= maxKnownHosts {
		return
	}
	for _, other := range m.hosts {
		if other.met && other.PeerAddress == h.PeerAddress {
			return
		}
	}
	m.hosts[h.Name] = &knownHost{ControlHost: h, contactAt: time.Now()}
}

// check returns an error for a host that can't belong to this deployment.
func (m *mesh) check(h protocol.ControlHost) error {
	regions := m.c.options.Settings.Regions
	if _, known := regions[h.AvailabilityZone]; !known && len(regions) > 0 {
		return errors.Newf("control host %q is located in zone %q of another deployment", h.Name, h.AvailabilityZone)
	}
	if h.Name == "" || h.Name == m.c.self.Name || h.PeerAddress == m.c.self.PeerAddress {
		return errors.Newf("another control host has the name %q and the address %s", h.Name, h.PeerAddress)
	}
	_, err := netip.ParseAddrPort(h.PeerAddress)
	return errors.Wrapf(err, "control host %q", h.Name)
}

// forgetHosts removes the hosts without contact for forgetDelay that are not members of
// the log.
func (m *mesh) forgetHosts(now time.Time, members []raft.Member) {
	keep := map[string]bool{m.c.self.Name: true}
	for _, member := range members {
		keep[member.Name] = true
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	for name, h := range m.hosts {
		if o := m.outbound[h.PeerAddress]; keep[name] || o != nil && o.openTo(name) {
			h.contactAt = now
		}
		if now.Sub(h.contactAt) > forgetDelay {
			m.c.log.Info().Str("event", "control_host_forgotten").Str("peer_host", name).Str("address", h.PeerAddress).Send()
			delete(m.hosts, name)
		}
	}
}

// knownHosts returns the control hosts that were in contact, including this one, in the
// order of their names.
func (m *mesh) knownHosts() []protocol.ControlHost {
	m.mu.Lock()
	defer m.mu.Unlock()
	var all []protocol.ControlHost
	for _, name := range slices.Sorted(maps.Keys(m.hosts)) {
		if h := m.hosts[name]; h.met {
			all = append(all, h.ControlHost)
		}
	}
	return all
}

// members returns all control hosts that are known or named as members of the group.
func (m *mesh) members() []raft.Member {
	m.mu.Lock()
	defer m.mu.Unlock()
	var all []raft.Member
	for _, h := range m.hosts {
		all = append(all, raft.Member{Name: h.Name, Address: h.PeerAddress})
	}
	return all
}
