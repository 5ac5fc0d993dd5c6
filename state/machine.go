package state

import (
	"encoding/json"
	"fmt"
	"sync"

	"github.com/cockroachdb/errors"
)

// The bounds of what the machine remembers; the oldest is forgotten first.
const (
	// MaxPlans bounds the plans that wait for a confirmation.
	MaxPlans = 256
	// MaxRecords bounds the audit log and the answers to repeated commands.
	MaxRecords = 8192
)

// Machine applies commands in log order. It is safe for concurrent reads.
type Machine struct {
	feed *Feed

	mu      sync.RWMutex
	config  *Configuration
	plans   fifo[Plan]
	records fifo[AuditRecord]
}

// NewMachine returns a machine with an empty configuration.
func NewMachine() *Machine {
	m := &Machine{
		feed: NewFeed(), config: NewConfiguration(),
		plans: newFIFO[Plan](MaxPlans), records: newFIFO[AuditRecord](MaxRecords),
	}
	m.feed.Advance(m.config)
	return m
}

// Configuration returns the newest configuration.
func (m *Machine) Configuration() *Configuration {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return m.config
}

// Feed returns the feed of accepted configurations.
func (m *Machine) Feed() *Feed { return m.feed }

// Plan returns a kept plan.
func (m *Machine) Plan(id string) (Plan, bool) {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return m.plans.get(id)
}

// AuditRecord returns the audit record of a command.
func (m *Machine) AuditRecord(command string) (AuditRecord, bool) {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return m.records.get(command)
}

// History returns the newest records of the audit log, the oldest first, at
// most limit of them.
func (m *Machine) History(limit int) []AuditRecord {
	m.mu.RLock()
	defer m.mu.RUnlock()
	all := m.records.list()
	return all[max(0, len(all)-limit):]
}

// Apply carries out one logged command and returns its [Result] as JSON.
func (m *Machine) Apply(data []byte) ([]byte, error) {
	var c Command
	if err := json.Unmarshal(data, &c); err != nil {
		return nil, errors.Wrap(err, "decode command")
	}
	if err := c.check(); err != nil {
		return nil, err
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if c.Plan != nil {
		return json.Marshal(Result{Plan: m.keep(*c.Plan)})
	}
	a := m.answer(*c.Confirm)
	return json.Marshal(Result{Answer: &a})
}

// keep keeps a plan and returns it, or the first plan with its ID.
func (m *Machine) keep(p Plan) *Plan {
	if first, ok := m.plans.get(p.ID); ok {
		return &first
	}
	if p.Refusal == "" {
		m.plans.put(p.ID, p)
	}
	return &p
}

// answer carries out a confirmation, or returns its first answer.
func (m *Machine) answer(c Confirm) Answer {
	first, ok := m.records.get(c.ID)
	if ok && first.PlanID == c.Plan {
		return first.Answer
	}
	if ok {
		return Answer{
			CommandID: c.ID, PlanID: c.Plan, Version: m.config.Version,
			Reason: fmt.Sprintf("command %q confirmed plan %q before", c.ID, first.PlanID),
		}
	}
	r := m.decide(c)
	m.records.put(c.ID, r)
	return r.Answer
}

// decide carries out a confirmation that is seen for the first time.
func (m *Machine) decide(c Confirm) AuditRecord {
	r := AuditRecord{Operator: c.Operator, At: c.At}
	r.CommandID, r.PlanID, r.Version = c.ID, c.Plan, m.config.Version
	p, ok := m.plans.get(c.Plan)
	if !ok {
		r.Reason = fmt.Sprintf("plan %q does not exist, or newer plans took its place", c.Plan)
		return r
	}
	r.Intent = &p.Intent
	switch {
	case c.Digest != p.Digest:
		r.Reason = fmt.Sprintf("plan %q has digest %s, the confirmation names %s", p.ID, p.Digest, c.Digest)
	case p.BaseVersion != m.config.Version:
		r.Stale = true
		r.Reason = fmt.Sprintf("the plan rests on version %d, which %s has changed since", p.BaseVersion, m.config.LastOperator)
		r.ConflictingCommand, r.ConflictingOperator = m.config.LastCommand, m.config.LastOperator
	default:
		m.carryOut(p, c, &r)
	}
	return r
}

// carryOut makes the next version.
func (m *Machine) carryOut(p Plan, c Confirm, r *AuditRecord) {
	next := p.Intent.apply(m.config)
	next.LastCommand, next.LastOperator = c.ID, c.Operator
	r.Changes = describe(m.config, next)
	r.Accepted, r.Version = true, next.Version
	m.config = next
	m.feed.Advance(next)
}

// snapshot is the machine's whole state.
type snapshot struct {
	Config  *Configuration `json:"config"`
	Plans   []Plan         `json:"plans"`
	Records []AuditRecord  `json:"records"`
}

// Snapshot returns the machine's state.
func (m *Machine) Snapshot() ([]byte, error) {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return json.Marshal(snapshot{Config: m.config, Plans: m.plans.list(), Records: m.records.list()})
}

// Restore replaces the machine's state by a snapshot.
func (m *Machine) Restore(data []byte) error {
	s := snapshot{Config: NewConfiguration()}
	if err := json.Unmarshal(data, &s); err != nil {
		return errors.Wrap(err, "decode snapshot")
	}
	if err := s.Config.check(); err != nil {
		return errors.Wrap(err, "snapshot")
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.config = s.Config
	m.plans = newFIFO[Plan](MaxPlans)
	for _, p := range s.Plans {
		m.plans.put(p.ID, p)
	}
	m.records = newFIFO[AuditRecord](MaxRecords)
	for _, r := range s.Records {
		m.records.put(r.CommandID, r)
	}
	m.feed.Advance(m.config)
	return nil
}
