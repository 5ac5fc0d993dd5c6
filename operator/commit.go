package operator

import (
	"context"
	"encoding/json"

	"github.com/cockroachdb/errors"
	"github.com/google/uuid"

	"tanagerbarrow/state"
)

// newPlanNamespace is the UUID namespace for the new plan that is offered after
// a stale confirmation. The plan's ID is derived from the ID of the
// confirmation, so that a repeated confirmation is offered the same plan.
var newPlanNamespace = uuid.MustParse("5f7c3c0e-6f1b-4a43-9a5e-1d2c7c1b9f20")

// makePlan makes a plan based on the newest configuration and stores it in the
// replicated state, so that every control host can confirm it. A refused plan
// is not stored. The caller must have passed a read barrier.
func (a *API) makePlan(ctx context.Context, id string, i state.Intent) (state.Plan, error) {
	if existing, ok := a.Machine.Plan(id); ok {
		return existing, nil
	}
	p := state.NewPlan(id, i, a.Machine.Configuration(), a.Topology, a.capacityReport())
	if p.Refusal != "" {
		return p, nil
	}
	result, err := a.propose(ctx, state.Command{Plan: &p})
	if err != nil {
		return p, errors.Wrapf(err, "keep plan %q", id)
	}
	if result.Plan == nil {
		return p, errors.Newf("keep plan %q: the log answered without a plan", id)
	}
	return *result.Plan, nil
}

// capacityReport returns the counts of backend servers that the entries
// reported.
func (a *API) capacityReport() state.CapacityReport {
	if a.Capacity == nil {
		return state.CapacityReport{}
	}
	return a.Capacity.Report()
}

// commitConfirmation commits a confirmation. The answer to a stale one offers a
// new plan.
func (a *API) commitConfirmation(ctx context.Context, c state.Confirm) (state.Answer, error) {
	result, err := a.propose(ctx, state.Command{Confirm: &c})
	if err != nil {
		return state.Answer{}, errors.Wrapf(err, "confirm plan %q", c.Plan)
	}
	if result.Answer == nil {
		return state.Answer{}, errors.Newf("confirm plan %q: the log answered without an answer", c.Plan)
	}
	answer := *result.Answer
	if answer.Stale {
		answer.NewPlan = a.replan(ctx, c.ID)
	}
	return answer, nil
}

// replan makes the plan of a stale confirmation again, based on the newest
// configuration. It returns nil if that fails; the answer is valid without a
// new plan.
func (a *API) replan(ctx context.Context, command string) *state.Plan {
	ctx, cancel := context.WithTimeout(ctx, commandTimeout)
	defer cancel()
	if err := a.Replicator.ReadBarrier(ctx); err != nil {
		return nil
	}
	record, ok := a.Machine.AuditRecord(command)
	if !ok || record.Intent == nil {
		return nil
	}
	p, err := a.makePlan(ctx, uuid.NewSHA1(newPlanNamespace, []byte(command)).String(), *record.Intent)
	if err != nil {
		return nil
	}
	return &p
}

// propose commits a command and returns its result.
func (a *API) propose(ctx context.Context, c state.Command) (state.Result, error) {
	ctx, cancel := context.WithTimeout(ctx, commandTimeout)
	defer cancel()
	var result state.Result
	data, err := json.Marshal(c)
	if err != nil {
		return result, errors.Wrap(err, "encode command")
	}
	answer, err := a.Replicator.Propose(ctx, data)
	if err != nil {
		return result, err
	}
	return result, errors.Wrap(json.Unmarshal(answer, &result), "decode result")
}
