// Package declare is the replicated state of a deployment whose operator
// declares whole configurations: the newest one, the availability zones that
// are out, and the backend servers that have announced their leaving.
package declare

import (
	"encoding/json"
	"maps"
	"sync"

	"github.com/cockroachdb/errors"
)

// maxLeavers bounds the remembered leavers; the oldest is forgotten first. It
// is many times the backend servers of the largest deployment.
const maxLeavers = 20_000

// LeavingServer is a backend server that leaves.
type LeavingServer struct {
	// ID is the backend server's identifier.
	ID string `json:"id"`
	// Started is the newest start that leaves, in Unix milliseconds; older ones
	// have left as well. A later start under the same identifier may come.
	Started int64 `json:"started"`
}

// Command is one change of the state; one field is set.
type Command struct {
	// Declare offers a configuration.
	Declare *Document `json:"declare,omitempty"`
	// ZoneOut and ZoneIn name an availability zone that gets no more work, or
	// gets work again.
	ZoneOut string `json:"zone_out,omitempty"`
	ZoneIn  string `json:"zone_in,omitempty"`
	// Leave says that a backend server leaves.
	Leave *LeavingServer `json:"leave,omitempty"`
}

// Document is a declared configuration as its operator wrote it.
type Document struct {
	// Version orders documents.
	Version uint64 `json:"version"`
	// Packed is the compressed text; it has been checked before it is proposed.
	Packed []byte `json:"packed"`
}

// State is the whole state. Values are shared and must not be changed.
type State struct {
	// Revision counts the changes.
	Revision uint64 `json:"revision"`
	// Document is the newest configuration; version 0 for none.
	Document Document `json:"document"`
	// ZonesOut are the availability zones that get no work.
	ZonesOut map[string]bool `json:"zones_out"`
	// LeavingServers are the leaving backend servers, the oldest first.
	LeavingServers []LeavingServer `json:"leavers"`
}

// Machine applies commands in log order. It is safe for concurrent use.
type Machine struct {
	mu    sync.Mutex
	state State
	// leaving maps identifiers to the newest start that left.
	leaving map[string]int64
	// changed is closed and replaced at each change.
	changed chan struct{}
}

// NewMachine returns a machine with an empty state.
func NewMachine() *Machine {
	return &Machine{
		state: State{ZonesOut: map[string]bool{}}, leaving: map[string]int64{}, changed: make(chan struct{}),
	}
}

// State returns the state and a channel that is closed when it changes.
func (m *Machine) State() (State, <-chan struct{}) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.state, m.changed
}

// Apply carries out one command.
func (m *Machine) Apply(data []byte) ([]byte, error) {
	var c Command
	if err := json.Unmarshal(data, &c); err != nil {
		return nil, errors.Wrap(err, "decode command")
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.change(c) {
		m.state.Revision++
		close(m.changed)
		m.changed = make(chan struct{})
	}
	return nil, nil
}

// change carries out a command and reports whether it changed anything. A
// document that is not newer changes nothing, also with other content.
func (m *Machine) change(c Command) bool {
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
	case c.Leave != nil && !m.left(*c.Leave):
		m.leave(*c.Leave)
	default:
		return false
	}
	return true
}

// leave remembers a leaver.
func (m *Machine) leave(l LeavingServer) {
	leavers := m.state.LeavingServers
	if len(leavers) >= maxLeavers {
		if oldest := leavers[0]; m.leaving[oldest.ID] == oldest.Started {
			delete(m.leaving, oldest.ID)
		}
		leavers = leavers[1:]
	}
	m.leaving[l.ID] = l.Started
	m.state.LeavingServers = append(leavers[:len(leavers):len(leavers)], l)
}

// Leaving reports whether a start of a backend server has announced its leaving.
func (m *Machine) Leaving(l LeavingServer) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.left(l)
}

// left is Leaving; the lock is held.
func (m *Machine) left(l LeavingServer) bool {
	newest, known := m.leaving[l.ID]
	return known && l.Started <= newest
}

// Snapshot returns the state.
func (m *Machine) Snapshot() ([]byte, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return json.Marshal(m.state)
}

// Restore replaces the state by a snapshot.
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
	m.leaving = map[string]int64{}
	for _, l := range s.LeavingServers {
		m.leaving[l.ID] = max(l.Started, m.leaving[l.ID])
	}
	close(m.changed)
	m.changed = make(chan struct{})
	return nil
}
