package operator

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"net/http"

	"github.com/cockroachdb/errors"
	"github.com/labstack/echo/v4"

	"tanagerbarrow/consensus"
)

// The numbers of voters that a group may be given. A region may have fewer
// control hosts than a group over all regions must have.
const (
	minVoters         = 3
	minRegionalVoters = 1
	maxVoters         = 7
)

// ReplicaGroups are the replicated groups of a control process.
type ReplicaGroups interface {
	// Statuses describes the process's replica of each group.
	Statuses() []consensus.Status
	// Change begins a membership change of a group.
	Change(ctx context.Context, group string, c consensus.Change) error
}

// ReplicaIntent says which control replica an operator wants to change.
type ReplicaIntent struct {
	// Change is what is wanted.
	Change consensus.Change `json:"change"`
	// Digest is that of the plan that is confirmed; empty asks for the plan.
	Digest string `json:"digest,omitempty"`
	// Operator is who confirms.
	Operator string `json:"operator,omitempty"`
}

// ReplicaPlan says what an intent about control replicas will do.
type ReplicaPlan struct {
	// Digest covers the intent and the memberships that the plan rests on.
	Digest string `json:"digest"`
	// Groups are the steps, one for each group that changes.
	Groups []ReplicaStep `json:"groups"`
	// Refusal says why the plan cannot be confirmed; empty if it can.
	Refusal string `json:"refusal,omitempty"`
	// Accepted says that the changes have begun in every group.
	Accepted bool `json:"accepted"`
}

// ReplicaStep is the change of one group.
type ReplicaStep struct {
	// Group is the group's name.
	Group string `json:"group"`
	// VotersBefore and VotersAfter are the numbers of voters.
	VotersBefore int `json:"voters_before"`
	VotersAfter  int `json:"voters_after"`
	// ToleratedFailuresBefore and LossesAfter are the losses of voters that the group
	// survives.
	ToleratedFailuresBefore int `json:"losses_before"`
	ToleratedFailuresAfter  int `json:"losses_after"`
	// Description says what will happen.
	Description string `json:"text"`
}

// registerReplicas adds the routes about control replicas.
func (a *API) registerReplicas(g *echo.Group) {
	g.GET("/replicas", func(c echo.Context) error { return c.JSON(http.StatusOK, a.Replicas.Statuses()) })
	g.POST("/replicas", a.changeReplicas)
}

// changeReplicas answers an intent with a plan, or carries out a plan whose
// digest is confirmed.
func (a *API) changeReplicas(c echo.Context) error {
	var intent ReplicaIntent
	if err := c.Bind(&intent); err != nil {
		return c.JSON(http.StatusBadRequest, ErrorResponse{Message: "decode intent: " + err.Error()})
	}
	p := planReplicas(intent.Change, a.Replicas.Statuses())
	if intent.Digest == "" {
		return c.JSON(http.StatusOK, p)
	}
	if p.Refusal == "" && p.Digest != intent.Digest {
		p.Refusal = "the replicas changed since the plan was made"
	}
	if p.Refusal != "" {
		return c.JSON(http.StatusConflict, p)
	}
	err := a.carryOutReplicas(c.Request().Context(), intent.Change, p)
	a.Log.Info().Err(err).Str("operator", intent.Operator).Interface("replica_change", intent.Change).Msg("audit")
	if err != nil {
		return unavailable(c, err)
	}
	p.Accepted = true
	return c.JSON(http.StatusOK, p)
}

// carryOutReplicas begins the change in each group of the plan.
func (a *API) carryOutReplicas(ctx context.Context, change consensus.Change, p ReplicaPlan) error {
	ctx, cancel := context.WithTimeout(ctx, commandTimeout)
	defer cancel()
	for _, step := range p.Groups {
		if err := a.Replicas.Change(ctx, step.Group, change); err != nil {
			return errors.Wrapf(err, "%s replica %q in group %q", change.Kind, change.Name, step.Group)
		}
	}
	return nil
}

// planReplicas says what a change will do in the groups that it concerns.
func planReplicas(change consensus.Change, groups []consensus.Status) ReplicaPlan {
	p := ReplicaPlan{Groups: []ReplicaStep{}}
	for _, s := range groups {
		step, refusal := planGroup(change, s)
		if refusal != "" {
			p.Refusal = fmt.Sprintf("group %q: %s", s.Group, refusal)
			return p
		}
		if step != nil {
			p.Groups = append(p.Groups, *step)
		}
	}
	if len(p.Groups) == 0 {
		p.Refusal = fmt.Sprintf("no group is left to change for host %q", change.Name)
		return p
	}
	p.Digest = replicaDigest(change, groups)
	return p
}

// replicaDigest covers a change and the memberships that it rests on.
func replicaDigest(change consensus.Change, groups []consensus.Status) string {
	h := sha256.New()
	out := json.NewEncoder(h)
	_ = out.Encode(change)
	for _, s := range groups {
		_ = out.Encode(s.Members)
	}
	return hex.EncodeToString(h.Sum(nil)[:16])
}

// planGroup plans a change of one group. It returns nothing for a group that
// the change does not concern.
func planGroup(change consensus.Change, s consensus.Status) (step *ReplicaStep, refusal string) {
	if s.Leader == "" && s.Regional {
		return nil, ""
	}
	if s.Leader == "" {
		return nil, "there is no known leader"
	}
	after, text := 0, ""
	switch change.Kind {
	case consensus.AddReplica:
		after, text, refusal = planAdd(change, s)
	case consensus.RemoveReplica:
		after, text, refusal = planRemove(change, s)
	case consensus.ReplaceReplica:
		after, text = planReplace(change, s)
	default:
		refusal = fmt.Sprintf("change %q is unknown", change.Kind)
	}
	if refusal != "" || text == "" {
		return nil, refusal
	}
	before := len(s.Voters)
	return &ReplicaStep{
		Group: s.Group, VotersBefore: before, VotersAfter: after,
		ToleratedFailuresBefore: losses(before), ToleratedFailuresAfter: losses(after), Description: text,
	}, ""
}

// planAdd returns the voters after a host was added and what will happen.
func planAdd(change consensus.Change, s consensus.Status) (after int, text, refusal string) {
	after = len(s.Voters) + 1
	if member, _ := isMember(s, change.Name); member || s.Regional {
		return 0, "", ""
	}
	if after > maxVoters {
		return 0, "", fmt.Sprintf("there would be %d voters, at most %d may be", after, maxVoters)
	}
	return after, fmt.Sprintf("host %q learns the log and votes once it has synced", change.Name), ""
}

// planRemove returns the voters after a host left and what will happen.
func planRemove(change consensus.Change, s consensus.Status) (after int, text, refusal string) {
	member, learner := isMember(s, change.Name)
	if !member {
		return 0, "", ""
	}
	after = len(s.Voters)
	if !learner {
		after--
	}
	least := minVoters
	if s.Regional {
		least = minRegionalVoters
	}
	if after < least {
		return 0, "", fmt.Sprintf("%d voters would be left, at least %d must be", after, least)
	}
	return after, fmt.Sprintf("host %q leaves", change.Name), ""
}

// planReplace returns the voters after a replacement and what will happen.
func planReplace(change consensus.Change, s consensus.Status) (after int, text string) {
	member, _ := isMember(s, change.Name)
	leaves, _ := isMember(s, change.Replaces)
	if member || !leaves {
		return 0, ""
	}
	return len(s.Voters), fmt.Sprintf("host %q learns the log and votes once it has synced; then host %q leaves",
		change.Name, change.Replaces)
}

// isMember reports whether a host is a member, and whether it only learns.
func isMember(s consensus.Status, name string) (member, learner bool) {
	for _, m := range s.Members.All() {
		if m.Name == name {
			return true, s.Members.IsLearner(m.ID)
		}
	}
	return false, false
}

// losses is the number of lost voters that a group survives.
func losses(voters int) int { return (voters - 1) / 2 }

// Replicas describes a control host's replicas.
func (c *Client) Replicas() ([]consensus.Status, error) {
	var all []consensus.Status
	return all, c.call(http.MethodGet, "/v1/replicas", nil, &all)
}

// ChangeReplicas asks for a plan, or confirms one by its digest. A refusal is
// an answer, not an error.
func (c *Client) ChangeReplicas(i ReplicaIntent) (ReplicaPlan, error) {
	var p ReplicaPlan
	return p, c.call(http.MethodPost, "/v1/replicas", i, &p)
}
