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

// suspicionTimeout is how long a host is suspected before it counts as dead,
// unless it says otherwise.
const suspicionTimeout = 1500 * time.Millisecond

// Status is what is known of an entry host's process.
type Status uint8

// The statuses; within an incarnation a later one overrides an earlier one.
const (
	// Alive means that it answers.
	Alive Status = iota
	// Suspect means that it did not answer, directly or through others; it still
	// counts as live.
	Suspect
	// Dead means that it stayed silent.
	Dead
	// Left means that it stopped as planned.
	Left
)

// HostState is what one entry tells another of a host.
type HostState struct {
	// Host is the host's name.
	Host string `json:"host"`
	// Epoch grows with every start of the host's process.
	Epoch uint64 `json:"epoch,omitempty"`
	// Incarnation grows, within an epoch, whenever the host denies its death.
	Incarnation uint64 `json:"incarnation,omitempty"`
	// Status is alive, suspect, dead or left.
	Status Status `json:"status,omitempty"`
	// AdminAddress is where the host takes announcements; empty if not known.
	AdminAddress string `json:"admin,omitempty"`
}

// overrides reports whether s replaces old.
func (s *HostState) overrides(old *HostState) bool {
	return cmp.Or(
		cmp.Compare(s.Epoch, old.Epoch),
		cmp.Compare(s.Incarnation, old.Incarnation),
		cmp.Compare(s.Status, old.Status)) > 0
}

// Host is an entry host with its place.
type Host struct {
	// Name identifies the host.
	Name string
	// AvailabilityZone and Region are where it stands.
	AvailabilityZone, Region string
	// AdminAddress is where it takes announcements; empty if not known yet.
	AdminAddress string
}

// hostRecord is what one entry knows of a host.
type hostRecord struct {
	place Host
	state HostState
	since time.Time
}

// Hosts knows which entry hosts are alive. Hosts that were never heard of count
// as live until a probe fails.
type Hosts struct {
	self string

	mu   sync.Mutex
	all  map[string]*hostRecord
	live atomic.Pointer[liveHosts]
}

// liveHosts is an immutable picture of the live hosts.
type liveHosts struct {
	all []Host
	// names are the hosts' names by region.
	names map[string][]string
}

// NewHosts returns the hosts that the settings list. self is this process.
func NewHosts(self HostState, places []Host) *Hosts {
	h := &Hosts{self: self.Host, all: map[string]*hostRecord{}}
	for _, p := range places {
		r := &hostRecord{place: p, state: HostState{Host: p.Name}}
		if p.Name == self.Host {
			r.state = self
			r.place.AdminAddress = self.AdminAddress
		}
		h.all[p.Name] = r
	}
	h.publish()
	return h
}

// Live returns the live hosts in order of name. It takes no lock, and the
// result must not be changed.
func (h *Hosts) Live() []Host { return h.live.Load().all }

// LiveNames returns the names of the live hosts of a region in order. It takes
// no lock, and the result must not be changed.
func (h *Hosts) LiveNames(region string) []string { return h.live.Load().names[region] }

// LiveIn returns the live hosts of an availability zone in order of name.
func (h *Hosts) LiveIn(zone string) []Host {
	return h.filter(func(x *Host) bool { return x.AvailabilityZone == zone })
}

// LiveInRegion returns the live hosts of a region in order of name.
func (h *Hosts) LiveInRegion(region string) []Host {
	return h.filter(func(x *Host) bool { return x.Region == region })
}

// filter returns the live hosts that keep lets through.
func (h *Hosts) filter(keep func(*Host) bool) []Host {
	var found []Host
	for _, x := range h.Live() {
		if keep(&x) {
			found = append(found, x)
		}
	}
	return found
}

// publish makes the list of live hosts; the caller holds the lock.
func (h *Hosts) publish() {
	live := &liveHosts{names: map[string][]string{}}
	for _, r := range h.all {
		if r.state.Status <= Suspect {
			live.all = append(live.all, r.place)
		}
	}
	slices.SortFunc(live.all, func(a, b Host) int { return strings.Compare(a.Name, b.Name) })
	for _, x := range live.all {
		live.names[x.Region] = append(live.names[x.Region], x.Name)
	}
	h.live.Store(live)
}

// OriginAlive reports whether the origin is the current life of a live host.
func (h *Hosts) OriginAlive(o Origin) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	r := h.all[o.Host]
	return r != nil && r.state.Status <= Suspect && r.state.Epoch <= o.Epoch
}

// isAlive reports whether nothing speaks against the host.
func (h *Hosts) isAlive(name string) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	r := h.all[name]
	return r != nil && r.state.Status == Alive
}

// own returns this process's host.
func (h *Hosts) own() Host {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.all[h.self].place
}

// Self returns this process's own state.
func (h *Hosts) Self() HostState {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.all[h.self].state
}

// Renew changes this process's own state to a new epoch.
func (h *Hosts) Renew(epoch uint64) {
	h.mu.Lock()
	defer h.mu.Unlock()
	own := &h.all[h.self].state
	own.Epoch, own.Incarnation = epoch, 0
}

// SetLeft marks this process as stopping as planned and returns its state.
func (h *Hosts) SetLeft() HostState {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.all[h.self].state.Status = Left
	h.publish()
	return h.all[h.self].state
}

// Suspect notes that a host did not answer. It returns the new state, and false
// if that is no news.
func (h *Hosts) Suspect(name string, now time.Time) (HostState, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	r := h.all[name]
	if r == nil || r.state.Status != Alive || name == h.self {
		return HostState{}, false
	}
	r.state.Status = Suspect
	r.since = now
	return r.state, true
}

// Tick turns hosts that were suspected for long into dead ones and returns
// them.
func (h *Hosts) Tick(now time.Time) []HostState {
	h.mu.Lock()
	defer h.mu.Unlock()
	var died []HostState
	for _, r := range h.all {
		if r.state.Status == Suspect && now.Sub(r.since) >= suspicionTimeout {
			r.state.Status = Dead
			died = append(died, r.state)
		}
	}
	if len(died) > 0 {
		h.publish()
	}
	return died
}

// Resume starts all suspicions anew after a pause of this process.
func (h *Hosts) Resume(now time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, r := range h.all {
		if r.state.Status == Suspect {
			r.since = now
		}
	}
}

// Update takes in what another entry says of hosts. It reports whether this
// process itself was called suspect or dead and denied it; the others must then
// be told its new state.
func (h *Hosts) Update(states []HostState, now time.Time) (denied bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	changed := false
	for _, s := range states {
		r := h.all[s.Host]
		if r == nil {
			continue
		}
		if s.Host == h.self {
			denied = h.deny(r, &s) || denied
			continue
		}
		if s.overrides(&r.state) {
			r.state, r.since = s, now
			r.place.AdminAddress = cmp.Or(s.AdminAddress, r.place.AdminAddress)
			changed = true
		}
	}
	if changed {
		h.publish()
	}
	return denied
}

// deny raises the own incarnation if s calls this process anything but alive.
func (h *Hosts) deny(own *hostRecord, s *HostState) bool {
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

// States returns the states of all hosts that were heard of, in order of name.
func (h *Hosts) States() []HostState {
	h.mu.Lock()
	defer h.mu.Unlock()
	var all []HostState
	for _, r := range h.all {
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
