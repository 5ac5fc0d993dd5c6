// Package declare implements the replicated state machine of a deployment whose
// operator declares complete configurations. The state holds the newest
// configuration, the availability zones that are taken out of service, and the
// backend servers that have announced that they leave.
package declare

import (
	"encoding/json"
	"maps"
	"sync"

	"github.com/cockroachdb/errors"
)

// maxLeavingServers bounds the number of leaving servers in the state; the oldest
// is removed first. It is many times the number of backend servers in the largest
// deployment.
const maxLeavingServers = 20_000

// DeregisteredServer is a backend server that has announced that it leaves.
type DeregisteredServer struct {
	// ID is the backend server's identifier.
	ID string `json:"id"`
	// Started is the start time of the leaving process, in Unix milliseconds.
	// Processes with the same identifier and an earlier start have left as well;
	// one with a later start is a new server.
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
	// Deregister marks a backend server as leaving.
	Deregister *DeregisteredServer `json:"leave,omitempty"`
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
	// DeregisteredServers are the leaving backend servers, the oldest first.
	DeregisteredServers []DeregisteredServer `json:"leavers"`
}

// Machine is the state machine. It applies commands in the order of the log and
// is safe for concurrent use.
type Machine struct {
	mu    sync.Mutex
	state State
	// newestLeavingStart maps identifiers to the newest start that left.
	newestLeavingStart map[string]int64
	// changed is closed and replaced whenever the state changes.
	changed chan struct{}
}

// NewMachine returns a machine with an empty state.
func NewMachine() *Machine {
	return &Machine{
		state: State{ZonesOut: map[string]bool{}}, newestLeavingStart: map[string]int64{}, changed: make(chan struct{}),
	}
}

// State returns the state and a channel that is closed at its next change.
func (m *Machine) State() (State, <-chan struct{}) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.state, m.changed
}

// Apply applies one JSON-encoded [Command]. Its result is always nil.
func (m *Machine) Apply(data []byte) ([]byte, error) {
	var c Command
	if err := json.Unmarshal(data, &c); err != nil {
		return nil, errors.Wrap(err, "decode command")
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.applyLocked(c) {
		m.state.Revision++
		close(m.changed)
		m.changed = make(chan struct{})
	}
	return nil, nil
}

// applyLocked applies a command and reports whether it changed the state. A
// document that is not newer is ignored, even if its content differs. The caller
// holds mu.
func (m *Machine) applyLocked(c Command) bool {
	switch {
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
	case c.Deregister != nil && !m.leavingLocked(*c.Deregister):
		m.addLeaving(*c.Deregister)
	default:
		return false
	}
	return true
}

// addLeaving adds a leaving server to the state and removes the oldest one if the
// state is full.
func (m *Machine) addLeaving(l DeregisteredServer) {
	servers := m.state.DeregisteredServers
	if len(servers) >= maxLeavingServers {
		if oldest := servers[0]; m.newestLeavingStart[oldest.ID] == oldest.Started {
			delete(m.newestLeavingStart, oldest.ID)
		}
		servers = servers[1:]
	}
	m.newestLeavingStart[l.ID] = l.Started
	m.state.DeregisteredServers = append(servers[:len(servers):len(servers)], l)
}

// Deregistered reports whether a backend server, identified by its start as well, has
// announced that it leaves.
func (m *Machine) Deregistered(l DeregisteredServer) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.leavingLocked(l)
}

// leavingLocked is Leaving for callers that hold mu.
func (m *Machine) leavingLocked(l DeregisteredServer) bool {
	newest, known := m.newestLeavingStart[l.ID]
	return known && l.Started <= newest
}

// Snapshot returns the JSON-encoded state.
func (m *Machine) Snapshot() ([]byte, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return json.Marshal(m.state)
}

// Restore replaces the state with that of a snapshot.
func (m *Machine) Restore(data []byte) error {
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
	m.newestLeavingStart = map[string]int64{}
	for _, l := range s.DeregisteredServers {
		m.newestLeavingStart[l.ID] = max(l.Started, m.newestLeavingStart[l.ID])
	}
	close(m.changed)
	m.changed = make(chan struct{})
	return nil
}
