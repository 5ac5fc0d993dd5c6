// Package declare implements the replicated state machine of a deployment whose
// operator declares complete configurations. The state holds the newest
// configuration, the availability zones that are taken out of service, and the
// deregistered backend servers.
package declare

import (
	"cmp"
	"encoding/json"
	"maps"
	"sync"

	"github.com/cockroachdb/errors"
)

// maxDeregisteredServers bounds the number of deregistered servers in the state;
// the oldest is removed first. It is many times the number of backend servers in
// the largest deployment.
const maxDeregisteredServers = 20_000

// DeregisteredServer is a backend server that receives no further requests,
// because it announced that it is draining or was deregistered by a call.
type DeregisteredServer struct {
	// ID is the backend server's identifier.
	ID string `json:"id"`
	// Started is the start time of the deregistered process, in Unix milliseconds.
	// Processes with the same identifier and an earlier start are deregistered as
	// well; one with a later start is a new server.
	Started int64 `json:"started"`
}

// Command is one change of the state. Exactly one field is set.
type Command struct {
	// Declare sets the configuration if its version is newer.
	Declare *Document `json:"declare,omitempty"`
	// ZoneOut names an availability zone that is taken out of service, and ZoneIn
	// one that is brought back.
	ZoneOut string `json:"zone_out,omitempty"`
	ZoneIn  string `json:"zone_in,omitempty"`
	// Deregister names a backend server to deregister.
	Deregister *DeregisteredServer `json:"leave,omitempty"`
	// StartRollout begins a roll-out, and MoveRollout moves one to its next stage.
	StartRollout *RolloutOrder `json:"start_rollout,omitempty"`
	MoveRollout  *RolloutMove  `json:"move_rollout,omitempty"`
}

// ErrOutdatedOrder means that another order on the same zone or service was accepted after the
// position that an order names.
var ErrOutdatedOrder = errors.New("another order on the same subject was accepted meanwhile")

// ZoneOrder is an operator's order on an availability zone.
type ZoneOrder struct {
	// Zone is the name of the zone.
	Zone string
	// Out says that the zone is taken out of service; otherwise it is brought back.
	Out bool
	// Position is the position of the log that the operator received before it sent the
	// order.
	Position uint64
}

// Command returns the command that executes the order.
func (o ZoneOrder) Command() Command {
	if o.Out {
		return Command{ZoneOut: o.Zone}
	}
	return Command{ZoneIn: o.Zone}
}

// Document is a declared configuration as its operator wrote it.
type Document struct {
	// Version orders documents; the highest is in force.
	Version uint64 `json:"version"`
	// Packed is the compressed text. It is validated before it is proposed.
	Packed []byte `json:"packed"`
}

// State is the replicated state. Its maps and slices are shared and must not be
// modified.
type State struct {
	// Revision counts the changes.
	Revision uint64 `json:"revision"`
	// Document is the newest configuration. Its version is 0 before the first.
	Document Document `json:"document"`
	// ZonesOut are the availability zones that are taken out of service.
	ZonesOut map[string]bool `json:"zones_out"`
	// DeregisteredServers are the deregistered backend servers, the oldest
	// first.
	DeregisteredServers []DeregisteredServer `json:"leavers"`
	// Rollouts holds, for each service that had one, the roll-out in progress or else the last.
	Rollouts []Rollout `json:"rollouts,omitempty"`
}

// Machine is the state machine. It applies commands in the order of the log and
// is safe for concurrent use.
type Machine struct {
	mu    sync.Mutex
	state State
	// newestDeregisteredStart maps identifiers to the newest deregistered start.
	newestDeregisteredStart map[string]int64
	// zoneOrders holds, by zone, the log index of the last command that takes it out or
	// brings it back, whether or not that changed the state. For zones without one it is
	// at most restoredAt, the last index that a restored snapshot covers.
	zoneOrders map[string]uint64
	restoredAt uint64
	// changed is closed and replaced whenever the state changes.
	changed chan struct{}
}

// NewMachine returns a machine with an empty state.
func NewMachine() *Machine {
	return &Machine{
		state: State{ZonesOut: map[string]bool{}}, newestDeregisteredStart: map[string]int64{},
		zoneOrders: map[string]uint64{}, changed: make(chan struct{}),
	}
}

// State returns the state and a channel that is closed at its next change.
func (m *Machine) State() (State, <-chan struct{}) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.state, m.changed
}

// LastZoneOrder returns the log index of the last command on a zone, or a later index if a
// snapshot was restored that doesn't tell.
func (m *Machine) LastZoneOrder(zone string) uint64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	return max(m.zoneOrders[zone], m.restoredAt)
}

// Apply is [Machine.ApplyAt] for a command without a position in a log.
func (m *Machine) Apply(data []byte) ([]byte, error) { return m.ApplyAt(0, data) }

// ApplyAt applies the JSON-encoded [Command] at an index of the log. Its result is always
// nil.
func (m *Machine) ApplyAt(index uint64, data []byte) ([]byte, error) {
	var c Command
	if err := json.Unmarshal(data, &c); err != nil {
		return nil, errors.Wrap(err, "decode command")
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if zone := cmp.Or(c.ZoneOut, c.ZoneIn); zone != "" {
		m.zoneOrders[zone] = index
	}
	if m.applyLocked(index, c) {
		m.state.Revision++
		close(m.changed)
		m.changed = make(chan struct{})
	}
	return nil, nil
}

// applyLocked applies a command and reports whether it changed the state. A
// document that is not newer is ignored, even if its content differs. The caller
// holds mu.
func (m *Machine) applyLocked(index uint64, c Command) bool {
	switch {
	case c.StartRollout != nil:
		return m.startRollout(index, *c.StartRollout)
	case c.MoveRollout != nil:
		return m.moveRollout(*c.MoveRollout)
	case c.Declare != nil:
		if c.Declare.Version <= m.state.Document.Version {
			return false
		}
		m.state.Document = *c.Declare
	case c.ZoneOut != "" && !m.state.ZonesOut[c.ZoneOut]:
		m.state.ZonesOut = maps.Clone(m.state.ZonesOut)
		m.state.ZonesOut[c.ZoneOut] = true
	case c.ZoneIn != "" && m.state.ZonesOut[c.ZoneIn]:
		m.state.ZonesOut = maps.Clone(m.state.ZonesOut)
		delete(m.state.ZonesOut, c.ZoneIn)
	case c.Deregister != nil && !m.deregisteredLocked(*c.Deregister):
		m.addDeregistered(*c.Deregister)
	default:
		return false
	}
	return true
}

// addDeregistered adds a deregistered server to the state and removes the oldest
// one if the state is full.
func (m *Machine) addDeregistered(d DeregisteredServer) {
	servers := m.state.DeregisteredServers
	if len(servers) >= maxDeregisteredServers {
		if oldest := servers[0]; m.newestDeregisteredStart[oldest.ID] == oldest.Started {
			delete(m.newestDeregisteredStart, oldest.ID)
		}
		servers = servers[1:]
	}
	m.newestDeregisteredStart[d.ID] = d.Started
	m.state.DeregisteredServers = append(servers[:len(servers):len(servers)], d)
}

// Deregistered reports whether a backend server, identified by its start as well,
// is deregistered.
func (m *Machine) Deregistered(d DeregisteredServer) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.deregisteredLocked(d)
}

// deregisteredLocked is Deregistered for callers that hold mu.
func (m *Machine) deregisteredLocked(d DeregisteredServer) bool {
	newest, known := m.newestDeregisteredStart[d.ID]
	return known && d.Started <= newest
}

// Snapshot returns the JSON-encoded state.
func (m *Machine) Snapshot() ([]byte, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return json.Marshal(m.state)
}

// Restore is [Machine.RestoreAt] for a snapshot without a position in a log.
func (m *Machine) Restore(data []byte) error { return m.RestoreAt(0, data) }

// Reset returns to the empty state, as before the first command of a log.
func (m *Machine) Reset() error { return m.RestoreAt(0, []byte("{}")) }

// RestoreAt replaces the state with that of a snapshot that covers the log up to an index.
func (m *Machine) RestoreAt(index uint64, data []byte) error {
	s := State{}
	if err := json.Unmarshal(data, &s); err != nil {
		return errors.Wrap(err, "decode snapshot")
	}
	if s.ZonesOut == nil {
		s.ZonesOut = map[string]bool{}
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.state = s
	m.zoneOrders, m.restoredAt = map[string]uint64{}, index
	m.newestDeregisteredStart = map[string]int64{}
	for _, d := range s.DeregisteredServers {
		m.newestDeregisteredStart[d.ID] = max(d.Started, m.newestDeregisteredStart[d.ID])
	}
	close(m.changed)
	m.changed = make(chan struct{})
	return nil
}
