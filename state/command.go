package state

import (
	"time"

	"github.com/cockroachdb/errors"
)

// Command is one entry of the replicated log. Exactly one part is set.
type Command struct {
	// Plan keeps a plan for its confirmation.
	Plan *Plan `json:"plan,omitempty"`
	// Confirm carries a plan out.
	Confirm *Confirm `json:"confirm,omitempty"`
}

// Confirm is the confirmation of a plan.
type Confirm struct {
	// ID makes the command idempotent: a repeated ID gets its first answer.
	ID string `json:"id"`
	// Plan is the ID of the plan.
	Plan string `json:"plan"`
	// Digest is the plan's digest as the operator saw it.
	Digest string `json:"digest"`
	// Operator is who confirms.
	Operator string `json:"operator"`
	// At is when the operator's control host took the command.
	At time.Time `json:"at"`
}

// Result is the result of a [Command]. One part is set.
type Result struct {
	// Plan is the plan that is kept.
	Plan *Plan `json:"plan,omitempty"`
	// Answer answers a confirmation.
	Answer *Answer `json:"answer,omitempty"`
}

// Answer is what became of a confirmation.
type Answer struct {
	// CommandID is the command that was answered.
	CommandID string `json:"command_id"`
	// PlanID is the plan that it confirmed.
	PlanID string `json:"plan_id"`
	// Accepted says that the command took effect.
	Accepted bool `json:"accepted"`
	// Version is the version that the command made, or the current one if it
	// was refused.
	Version uint64 `json:"version"`
	// Reason says why the command was refused.
	Reason string `json:"reason,omitempty"`
	// Stale says that the configuration changed since the plan was made.
	Stale bool `json:"stale,omitempty"`
	// ConflictingCommand is the command that made the newer version, if the
	// plan is stale.
	ConflictingCommand string `json:"winner,omitempty"`
	// ConflictingOperator is who confirmed ConflictingCommand.
	ConflictingOperator string `json:"winner_operator,omitempty"`
	// NewPlan is the same intent on the newer version, where one can be made.
	NewPlan *Plan `json:"new_plan,omitempty"`
}

// AuditRecord is one line of the audit log.
type AuditRecord struct {
	Answer

	// Operator is who confirmed.
	Operator string `json:"operator"`
	// At is the time that the command carried.
	At time.Time `json:"at"`
	// Intent is what the plan did; nil if the plan was not known.
	Intent *Intent `json:"intent,omitempty"`
	// Changes say what the command changed, one line a value.
	Changes []string `json:"changes,omitempty"`
}

// check returns an error if the command has not exactly one part or lacks an
// identifier.
func (c *Command) check() error {
	switch {
	case (c.Plan == nil) == (c.Confirm == nil):
		return errors.New("command has not exactly one of plan and confirm")
	case c.Plan != nil && (c.Plan.ID == "" || len(c.Plan.ID) > maxSubjectBytes):
		return errors.Newf("plan has an ID of %d bytes, allowed are 1 to %d", len(c.Plan.ID), maxSubjectBytes)
	case c.Confirm != nil && (c.Confirm.ID == "" || len(c.Confirm.ID) > maxSubjectBytes):
		return errors.Newf("command has an ID of %d bytes, allowed are 1 to %d", len(c.Confirm.ID), maxSubjectBytes)
	}
	return nil
}
