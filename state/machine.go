package state

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"sync"

	"github.com/cockroachdb/errors"
)

// maxAnswers bounds the remembered answers to commands; the oldest is
// forgotten first.
const maxAnswers = 4096

// Command is a confirmed plan on its way into the log.
type Command struct {
	// ID makes the command idempotent: a repeated ID gets its first answer.
	ID string `json:"id"`
	// Operator is who confirmed.
	Operator string `json:"operator"`
	// BaseVersion is the version that the plan rests on.
	BaseVersion uint64 `json:"base_version"`
	// Intent is what the plan does.
	Intent Intent `json:"intent"`
}

// Answer is what became of a command.
type Answer struct {
	// CommandID is the command that was answered.
	CommandID string `json:"command_id"`
	// Accepted says that the command took effect.
	Accepted bool `json:"accepted"`
	// Version is the version that the command made, or the current one if it
	// was refused.
	Version uint64 `json:"version"`
	// Reason says why the command was refused.
	Reason string `json:"reason,omitempty"`
	// Winner is the command that made the version this command lost to.
	Winner string `json:"winner,omitempty"`
	// WinnerOperator is who confirmed the winner.
	WinnerOperator string `json:"winner_operator,omitempty"`
}

// Plan says what an intent will do on a given version.
type Plan struct {
	// ID identifies the plan; it is also the ID of the command that confirms it.
	ID string `json:"id"`
	// Digest covers the intent and the base version.
	Digest string `json:"digest"`
	// BaseVersion is the version that the plan rests on.
	BaseVersion uint64 `json:"base_version"`
	// Intent is what the plan does.
	Intent Intent `json:"intent"`
	// Steps say what will happen.
	Steps []string `json:"steps"`
	// Refusal says why the plan cannot be confirmed; empty if it can.
	Refusal string `json:"refusal,omitempty"`
}

// Digest returns a hash over an intent and its base version.
func Digest(i Intent, base uint64) string {
	data, err := json.Marshal(Command{BaseVersion: base, Intent: i})
	if err != nil {
		panic(errors.Wrap(err, "marshal intent"))
	}
	sum := sha256.Sum256(data)
	return hex.EncodeToString(sum[:16])
}

// Machine applies commands in log order. It is safe for concurrent reads.
type Machine struct {
	places Places

	mu      sync.RWMutex
	config  *Configuration
	answers map[string]Answer
	order   []string
	changed chan struct{}
}

// NewMachine returns a machine with an empty configuration.
func NewMachine(p Places) *Machine {
	return &Machine{
		places:  p,
		config:  NewConfiguration(),
		answers: map[string]Answer{},
		changed: make(chan struct{}),
	}
}

// Configuration returns the newest configuration.
func (m *Machine) Configuration() *Configuration {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return m.config
}

// Changed returns a channel that is closed at the next change.
func (m *Machine) Changed() <-chan struct{} {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return m.changed
}

// Apply carries out one logged command and returns its [Answer] as JSON.
func (m *Machine) Apply(data []byte) ([]byte, error) {
	var c Command
	if err := json.Unmarshal(data, &c); err != nil {
		return nil, errors.Wrap(err, "decode command")
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if first, ok := m.answers[c.ID]; ok {
		return json.Marshal(first)
	}
	a := m.decide(c)
	m.remember(c, a)
	return json.Marshal(a)
}

// decide carries out a command that is seen for the first time.
func (m *Machine) decide(c Command) Answer {
	a := Answer{CommandID: c.ID, Version: m.config.Version}
	if c.BaseVersion != m.config.Version {
		a.Reason = "the configuration changed since the plan was made"
		a.Winner, a.WinnerOperator = m.config.winner()
		return a
	}
	if err := c.Intent.Check(m.config, m.places); err != nil {
		a.Reason = err.Error()
		return a
	}
	m.config = c.Intent.apply(m.config)
	m.config.LastCommand, m.config.LastOperator = c.ID, c.Operator
	close(m.changed)
	m.changed = make(chan struct{})
	a.Accepted, a.Version = true, m.config.Version
	return a
}

// remember keeps the answer for a repeated command.
func (m *Machine) remember(c Command, a Answer) {
	m.answers[c.ID] = a
	m.order = append(m.order, c.ID)
	if len(m.order) > maxAnswers {
		delete(m.answers, m.order[0])
		m.order = m.order[1:]
	}
}

// snapshot is the machine's whole state.
type snapshot struct {
	Config  *Configuration `json:"config"`
	Answers []Answer       `json:"answers"`
}

// Snapshot returns the machine's state.
func (m *Machine) Snapshot() ([]byte, error) {
	m.mu.RLock()
	defer m.mu.RUnlock()
	s := snapshot{Config: m.config}
	for _, id := range m.order {
		s.Answers = append(s.Answers, m.answers[id])
	}
	return json.Marshal(s)
}

// Restore replaces the machine's state by a snapshot.
func (m *Machine) Restore(data []byte) error {
	s := snapshot{Config: NewConfiguration()}
	if err := json.Unmarshal(data, &s); err != nil {
		return errors.Wrap(err, "decode snapshot")
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.config = s.Config
	m.answers = map[string]Answer{}
	m.order = nil
	for _, a := range s.Answers {
		m.answers[a.CommandID] = a
		m.order = append(m.order, a.CommandID)
	}
	close(m.changed)
	m.changed = make(chan struct{})
	return nil
}
