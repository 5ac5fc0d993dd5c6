package state

import (
	"time"

	"github.com/cockroachdb/errors"
)

// Command is one entry of the replicated log. Exactly one field is set.
type Command struct {
	// Plan is a plan to store until it is confirmed.
	Plan *Plan `json:"plan,omitempty"`
	// Confirm confirms a stored plan, which applies its intent.
	Confirm *Confirm `json:"confirm,omitempty"`
}

// Confirm is the confirmation of a plan.
type Confirm struct {
	// ID makes the command idempotent: a repeated ID gets the answer of the
	// first command with it.
	ID string `json:"id"`
	// Plan is the ID of the plan.
	Plan string `json:"plan"`
	// Digest is the digest of the plan that was shown to the operator.
	Digest string `json:"digest"`
	// Operator is the operator who confirms the plan.
	Operator string `json:"operator"`
	// At is the time at which the control host received the command.
	At time.Time `json:"at"`
}

// Result is the result of a [Command]. One field is set.
type Result struct {
	// Plan is the stored plan.
	Plan *Plan `json:"plan,omitempty"`
	// Answer is the answer to a confirmation.
	Answer *Answer `json:"answer,omitempty"`
}

// Answer is the outcome of a confirmation.
type Answer struct {
	// CommandID is the ID of the answered command.
	CommandID string `json:"command_id"`
	// PlanID is the ID of the plan that the command names.
	PlanID string `json:"plan_id"`
	// Accepted reports whether the command took effect.
	Accepted bool `json:"accepted"`
	// Version is the version that the command created, or the current one if
	// the command was refused.
	Version uint64 `json:"version"`
	// Reason says why the command was refused.
	Reason string `json:"reason,omitempty"`
	// Stale reports whether the command was refused because the configuration
	// changed after the plan was made.
	Stale bool `json:"stale,omitempty"`
	// ConflictingCommand is the ID of the command that created the newer
	// version, if Stale is true.
	ConflictingCommand string `json:"winner,omitempty"`
	// ConflictingOperator is the operator who issued ConflictingCommand.
	ConflictingOperator string `json:"winner_operator,omitempty"`
	// NewPlan is a plan of the same intent for the newer version, if one could
	// be made.
	NewPlan *Plan `json:"new_plan,omitempty"`
}

// AuditRecord is one entry of the audit log.
type AuditRecord struct {
	Answer

	// Operator is the operator who confirmed the plan.
	Operator string `json:"operator"`
	// At is the time that the command contains.
	At time.Time `json:"at"`
	// Intent is the intent of the plan; nil if the plan does not exist.
	Intent *Intent `json:"intent,omitempty"`
	// Changes describe what the command changed, one line per value.
	Changes []string `json:"changes,omitempty"`
}

// check returns an error unless the command has exactly one field set and an ID
// of an allowed length.
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
