package operator

import (
	"context"
	"encoding/json"

	"github.com/cockroachdb/errors"
	"github.com/google/uuid"

	"tanagerbarrow/state"
)

// newPlanSpace derives the ID of the plan that answers a stale confirmation
// from the confirmation's ID, so that a repeated one is offered the same plan.
var newPlanSpace = uuid.MustParse("5f7c3c0e-6f1b-4a43-9a5e-1d2c7c1b9f20")

// makePlan makes a plan on the newest configuration and keeps it in the
// replicated state, so that every control host can confirm it. A refused plan
// is not kept. The caller passed a read barrier.
func (a *API) makePlan(ctx context.Context, id string, i state.Intent) (state.Plan, error) {
	if first, ok := a.Machine.Plan(id); ok {
		return first, nil
	}
	p := state.NewPlan(id, i, a.Machine.Configuration(), a.Topology, a.report())
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

// report returns what the entries know of the backend servers.
func (a *API) report() state.CapacityReport {
	if a.Capacity == nil {
		return state.CapacityReport{}
	}
	return a.Capacity.Report()
}

// carryOut commits a confirmation. An answer to a stale one offers a new plan.
func (a *API) carryOut(ctx context.Context, c state.Confirm) (state.Answer, error) {
	result, err := a.propose(ctx, state.Command{Confirm: &c})
	if err != nil {
		return state.Answer{}, errors.Wrapf(err, "confirm plan %q", c.Plan)
	}
	if result.Answer == nil {
		return state.Answer{}, errors.Newf("confirm plan %q: the log answered without an answer", c.Plan)
	}
	answer := *result.Answer
	if answer.Stale {
		answer.NewPlan = a.offer(ctx, c.ID)
	}
	return answer, nil
}

// offer makes the plan of a stale confirmation again on the newest
// configuration. It returns nil if that fails: the answer stands without it.
func (a *API) offer(ctx context.Context, command string) *state.Plan {
	ctx, cancel := context.WithTimeout(ctx, commandTimeout)
	defer cancel()
	if err := a.Replicator.ReadBarrier(ctx); err != nil {
		return nil
	}
	record, ok := a.Machine.AuditRecord(command)
	if !ok || record.Intent == nil {
		return nil
	}
	p, err := a.makePlan(ctx, uuid.NewSHA1(newPlanSpace, []byte(command)).String(), *record.Intent)
	if err != nil {
		return nil
	}
	return &p
}

// propose commits a command.
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
