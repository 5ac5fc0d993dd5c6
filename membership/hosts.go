package membership

import (
	"cmp"
	"encoding/binary"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
)

// suspicionTimeout is how long a host stays suspect before it is declared dead,
// unless it refutes the suspicion.
const suspicionTimeout = 1500 * time.Millisecond

// Status is the known status of an entry host's process.
type Status uint8

// Within an incarnation, a later status in this list overrides an earlier one.
const (
	// Alive means that the host answers.
	Alive Status = iota
	// Suspect means that the host answered neither a direct nor an indirect
	// probe; it still counts as live.
	Suspect
	// Dead means that the host stayed suspect for the whole suspicion timeout.
	Dead
	// Left means that the host shut down as planned.
	Left
)

// HostState is the state of a host as entries report it to each other.
type HostState struct {
	// Host is the host's name.
	Host string `json:"host"`
	// Epoch grows with every start of the host's process.
	Epoch uint64 `json:"epoch,omitempty"`
	// Incarnation grows, within an epoch, whenever the host refutes that it
	// is suspect or dead.
	Incarnation uint64 `json:"incarnation,omitempty"`
	// Status is alive, suspect, dead or left.
	Status Status `json:"status,omitempty"`
	// AdminAddress is the address at which the host accepts announcements;
	// empty if unknown.
	AdminAddress string `json:"admin,omitempty"`
}

// overrides reports whether s replaces old.
func (s *HostState) overrides(old *HostState) bool {
	return cmp.Or(
		cmp.Compare(s.Epoch, old.Epoch),
		cmp.Compare(s.Incarnation, old.Incarnation),
		cmp.Compare(s.Status, old.Status)) > 0
}

// Host is an entry host with its location.
type Host struct {
	// Name identifies the host.
	Name string
	// AvailabilityZone and Region are where the host is located.
	AvailabilityZone, Region string
	// AdminAddress is the address at which the host accepts announcements;
	// empty while unknown.
	AdminAddress string
}

// hostRecord is the information that this process holds about one host.
type hostRecord struct {
	host        Host
	state       HostState
	statusSince time.Time
}

// Hosts tracks which entry hosts are alive. A host of which no state was
// received yet counts as live until a probe fails.
type Hosts struct {
	self string

	mu      sync.Mutex
	records map[string]*hostRecord
	live    atomic.Pointer[liveHosts]
}

// liveHosts is an immutable snapshot of the live hosts.
type liveHosts struct {
	hosts []Host
	// names lists the names of the live hosts by region.
	names map[string][]string
}

// NewHosts returns the state of the configured hosts. self is the state of this
// process.
func NewHosts(self HostState, configured []Host) *Hosts {
	h := &Hosts{self: self.Host, records: map[string]*hostRecord{}}
	for _, host := range configured {
		r := &hostRecord{host: host, state: HostState{Host: host.Name}}
		if host.Name == self.Host {
			r.state = self
			r.host.AdminAddress = self.AdminAddress
		}
		h.records[host.Name] = r
	}
	h.publish()
	return h
}

// Live returns the live hosts ordered by name. It takes no lock; callers must
// not modify the result.
func (h *Hosts) Live() []Host { return h.live.Load().hosts }

// LiveNames returns the names of the live hosts of a region in ascending order.
// It takes no lock; callers must not modify the result.
func (h *Hosts) LiveNames(region string) []string { return h.live.Load().names[region] }

// LiveIn returns the live hosts of an availability zone ordered by name.
func (h *Hosts) LiveIn(zone string) []Host {
	return h.filter(func(x *Host) bool { return x.AvailabilityZone == zone })
}

// LiveInRegion returns the live hosts of a region ordered by name.
func (h *Hosts) LiveInRegion(region string) []Host {
	return h.filter(func(x *Host) bool { return x.Region == region })
}

// filter returns the live hosts for which keep returns true.
func (h *Hosts) filter(keep func(*Host) bool) []Host {
	var found []Host
	for _, x := range h.Live() {
		if keep(&x) {
			found = append(found, x)
		}
	}
	return found
}

// publish rebuilds the snapshot of the live hosts; the caller holds the lock.
func (h *Hosts) publish() {
	live := &liveHosts{names: map[string][]string{}}
	for _, r := range h.records {
		if r.state.Status <= Suspect {
			live.hosts = append(live.hosts, r.host)
		}
	}
	slices.SortFunc(live.hosts, func(a, b Host) int { return strings.Compare(a.Name, b.Name) })
	for _, x := range live.hosts {
		live.names[x.Region] = append(live.names[x.Region], x.Name)
	}
	h.live.Store(live)
}

// OriginAlive reports whether the origin is the current process of a live host.
func (h *Hosts) OriginAlive(o Origin) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	r := h.records[o.Host]
	return r != nil && r.state.Status <= Suspect && r.state.Epoch <= o.Epoch
}

// isAlive reports whether the host is neither suspect nor dead nor left.
func (h *Hosts) isAlive(name string) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	r := h.records[name]
	return r != nil && r.state.Status == Alive
}

// ownHost returns the host of this process.
func (h *Hosts) ownHost() Host {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.records[h.self].host
}

// Self returns the state of this process.
func (h *Hosts) Self() HostState {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.records[h.self].state
}

// SetEpoch sets the epoch of this process's own state and resets its
// incarnation.
func (h *Hosts) SetEpoch(epoch uint64) {
	h.mu.Lock()
	defer h.mu.Unlock()
	own := &h.records[h.self].state
	own.Epoch, own.Incarnation = epoch, 0
}

// SetLeft marks this process as shutting down as planned and returns its state.
func (h *Hosts) SetLeft() HostState {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.records[h.self].state.Status = Left
	h.publish()
	return h.records[h.self].state
}

// SetSuspect marks a host that did not answer as suspect. It returns the new
// state, and false if the state did not change.
func (h *Hosts) SetSuspect(name string, now time.Time) (HostState, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	r := h.records[name]
	if r == nil || r.state.Status != Alive || name == h.self {
		return HostState{}, false
	}
	r.state.Status = Suspect
	r.statusSince = now
	return r.state, true
}

// Tick declares the hosts dead that were suspect for the whole suspicion
// timeout, and returns their states.
func (h *Hosts) Tick(now time.Time) []HostState {
	h.mu.Lock()
	defer h.mu.Unlock()
	var dead []HostState
	for _, r := range h.records {
		if r.state.Status == Suspect && now.Sub(r.statusSince) >= suspicionTimeout {
			r.state.Status = Dead
			dead = append(dead, r.state)
		}
	}
	if len(dead) > 0 {
		h.publish()
	}
	return dead
}

// RestartSuspicions restarts the suspicion timeout of all suspect hosts after a
// pause of this process.
func (h *Hosts) RestartSuspicions(now time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, r := range h.records {
		if r.state.Status == Suspect {
			r.statusSince = now
		}
	}
}

// Update applies host states that another entry reported. It reports whether
// one of them overrode the state of this process, for example as suspect or
// dead, and was refuted; the caller must then send the new own state to the
// other entries.
func (h *Hosts) Update(states []HostState, now time.Time) (refuted bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	changed := false
	for _, s := range states {
		r := h.records[s.Host]
		if r == nil {
			continue
		}
		if s.Host == h.self {
			refuted = h.refute(r, &s) || refuted
			continue
		}
		if s.overrides(&r.state) {
			r.state, r.statusSince = s, now
			r.host.AdminAddress = cmp.Or(s.AdminAddress, r.host.AdminAddress)
			changed = true
		}
	}
	if changed {
		h.publish()
	}
	return refuted
}

// refute raises the own epoch or incarnation above that of s if s overrides the
// own state, and reports whether it did so.
func (h *Hosts) refute(own *hostRecord, s *HostState) bool {
	if own.state.Status == Left || !s.overrides(&own.state) {
		return false
	}
	if s.Epoch > own.state.Epoch {
		own.state.Epoch, own.state.Incarnation = s.Epoch+1, 0
		return true
	}
	own.state.Incarnation = s.Incarnation + 1
	return true
}

// States returns the states of all hosts of which any state is known, ordered
// by name.
func (h *Hosts) States() []HostState {
	h.mu.Lock()
	defer h.mu.Unlock()
	var all []HostState
	for _, r := range h.records {
		if r.state != (HostState{Host: r.state.Host}) {
			all = append(all, r.state)
		}
	}
	slices.SortFunc(all, func(a, b HostState) int { return strings.Compare(a.Host, b.Host) })
	return all
}

// Digest returns a hash over the states of all hosts.
func (h *Hosts) Digest() uint64 {
	d := xxhash.New()
	for _, s := range h.States() {
		_, _ = d.WriteString(s.Host)
		b := binary.BigEndian.AppendUint64([]byte{byte(s.Status)}, s.Epoch)
		_, _ = d.Write(binary.BigEndian.AppendUint64(b, s.Incarnation))
	}
	return d.Sum64()
}
