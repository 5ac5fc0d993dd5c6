package state

import (
	"encoding/json"
	"fmt"
	"sync"

	"github.com/cockroachdb/errors"
)

// The limits of what the machine stores. The oldest entry is evicted first.
const (
	// MaxPlans is the maximum number of plans that are stored for confirmation.
	MaxPlans = 256
	// MaxRecords is the maximum number of audit records, which also hold the
	// answers to repeated commands.
	MaxRecords = 8192
)

// Machine is the state machine of the configuration. It applies commands in log
// order. Reads are safe for concurrent use.
type Machine struct {
	feed *Feed

	mu      sync.RWMutex
	config  *Configuration
	plans   fifo[Plan]
	records fifo[AuditRecord]
}

// NewMachine returns a machine with the empty configuration.
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

// Plan returns a stored plan and whether it exists.
func (m *Machine) Plan(id string) (Plan, bool) {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return m.plans.get(id)
}

// AuditRecord returns the audit record of a command and whether it exists.
func (m *Machine) AuditRecord(command string) (AuditRecord, bool) {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return m.records.get(command)
}

// History returns the newest records of the audit log, at most limit of them,
// oldest first.
func (m *Machine) History(limit int) []AuditRecord {
	m.mu.RLock()
	defer m.mu.RUnlock()
	all := m.records.list()
	return all[max(0, len(all)-limit):]
}

// Apply applies one command of the log and returns its [Result] as JSON. It
// returns an error if the command is invalid.
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
		return json.Marshal(Result{Plan: m.storePlan(*c.Plan)})
	}
	a := m.confirm(*c.Confirm)
	return json.Marshal(Result{Answer: &a})
}

// storePlan stores a plan unless it is refused, and returns it. If there is
// already a plan with its ID, it returns that one.
func (m *Machine) storePlan(p Plan) *Plan {
	if first, ok := m.plans.get(p.ID); ok {
		return &first
	}
	if p.Refusal == "" {
		m.plans.put(p.ID, p)
	}
	return &p
}

// confirm processes a confirmation and records the answer. If the command ID was
// processed before, it returns the first answer, or refuses the command if that
// one confirmed another plan.
func (m *Machine) confirm(c Confirm) Answer {
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
	r := m.evaluate(c)
	m.records.put(c.ID, r)
	return r.Answer
}

// evaluate processes a confirmation with a new command ID and returns its audit
// record.
func (m *Machine) evaluate(c Confirm) AuditRecord {
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
		m.applyPlan(p, c, &r)
	}
	return r
}

// applyPlan publishes the next version of the configuration and completes the
// audit record.
func (m *Machine) applyPlan(p Plan, c Confirm, r *AuditRecord) {
	next := p.Intent.apply(m.config)
	next.LastCommand, next.LastOperator = c.ID, c.Operator
	r.Changes = describe(m.config, next)
	r.Accepted, r.Version = true, next.Version
	m.config = next
	m.feed.Advance(next)
}

// snapshot is the state of a machine as it is stored.
type snapshot struct {
	Config  *Configuration `json:"config"`
	Plans   []Plan         `json:"plans"`
	Records []AuditRecord  `json:"records"`
}

// Snapshot returns the machine's state as JSON.
func (m *Machine) Snapshot() ([]byte, error) {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return json.Marshal(snapshot{Config: m.config, Plans: m.plans.list(), Records: m.records.list()})
}

// Restore replaces the machine's state by that of a snapshot. It returns an error
// if the snapshot is invalid; the state is then unchanged.
func (m *Machine) Restore(data []byte) error {
	s := snapshot{Config: NewConfiguration()}
	if err := json.Unmarshal(data, &s); err != nil {
		return errors.Wrap(err, "decode snapshot")
	}
	if err := s.Config.check(); err != nil {
		return errors.Wrap(err, "check snapshot")
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
