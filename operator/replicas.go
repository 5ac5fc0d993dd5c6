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

// Limits on the number of voters of a group. A regional group may have fewer
// voters than a group over all regions, because a region may have fewer control
// hosts.
const (
	minVoters         = 3
	minRegionalVoters = 1
	maxVoters         = 7
)

// ReplicaGroups gives access to the replicated groups of a control process.
type ReplicaGroups interface {
	// Statuses returns the status of the process's replica of each group.
	Statuses() []consensus.Status
	// Change begins a membership change of a group.
	Change(ctx context.Context, group string, c consensus.Change) error
}

// ReplicaIntent requests a change of a control replica.
type ReplicaIntent struct {
	// Change is the change that the operator wants.
	Change consensus.Change `json:"change"`
	// Digest is the digest of the plan to confirm. If it is empty, the plan is
	// returned and nothing changes.
	Digest string `json:"digest,omitempty"`
	// Operator is the name of the operator who confirms.
	Operator string `json:"operator,omitempty"`
}

// ReplicaPlan describes the effects of an intent on the control replicas.
type ReplicaPlan struct {
	// Digest covers the intent and the memberships that the plan is based on.
	Digest string `json:"digest"`
	// Groups are the steps, one for each group that changes.
	Groups []ReplicaStep `json:"groups"`
	// Refusal is the reason why the plan cannot be confirmed. It is empty if the
	// plan can be confirmed.
	Refusal string `json:"refusal,omitempty"`
	// Accepted reports whether the change has begun in every group.
	Accepted bool `json:"accepted"`
}

// ReplicaStep is the change of one group.
type ReplicaStep struct {
	// Group is the name of the group.
	Group string `json:"group"`
	// VotersBefore and VotersAfter are the numbers of voters.
	VotersBefore int `json:"voters_before"`
	VotersAfter  int `json:"voters_after"`
	// ToleratedFailuresBefore and ToleratedFailuresAfter are the numbers of
	// voters that the group can lose and still work.
	ToleratedFailuresBefore int `json:"losses_before"`
	ToleratedFailuresAfter  int `json:"losses_after"`
	// Description describes the change for the operator.
	Description string `json:"text"`
}

// registerReplicas adds the routes for control replicas.
func (a *API) registerReplicas(g *echo.Group) {
	g.GET("/replicas", func(c echo.Context) error { return c.JSON(http.StatusOK, a.Replicas.Statuses()) })
	g.POST("/replicas", a.changeReplicas)
}

// changeReplicas returns a plan for an intent, or executes the plan if its
// digest is confirmed.
func (a *API) changeReplicas(c echo.Context) error {
	var intent ReplicaIntent
	if err := c.Bind(&intent); err != nil {
		return c.JSON(http.StatusBadRequest, ErrorResponse{Message: "decode intent: " + err.Error()})
	}
	p := planReplicaChange(intent.Change, a.Replicas.Statuses())
	if intent.Digest == "" {
		return c.JSON(http.StatusOK, p)
	}
	if p.Refusal == "" && p.Digest != intent.Digest {
		p.Refusal = "the replicas changed since the plan was made"
	}
	if p.Refusal != "" {
		return c.JSON(http.StatusConflict, p)
	}
	err := a.beginReplicaChange(c.Request().Context(), intent.Change, p)
	a.Log.Info().Err(err).Str("operator", intent.Operator).Interface("replica_change", intent.Change).Msg("audit")
	if err != nil {
		return unavailable(c, err)
	}
	p.Accepted = true
	return c.JSON(http.StatusOK, p)
}

// beginReplicaChange begins the change in each group of the plan.
func (a *API) beginReplicaChange(ctx context.Context, change consensus.Change, p ReplicaPlan) error {
	ctx, cancel := context.WithTimeout(ctx, commandTimeout)
	defer cancel()
	for _, step := range p.Groups {
		if err := a.Replicas.Change(ctx, step.Group, change); err != nil {
			return errors.Wrapf(err, "%s replica %q in group %q", change.Kind, change.Name, step.Group)
		}
	}
	return nil
}

// planReplicaChange returns the plan of a change in all groups that it
// concerns.
func planReplicaChange(change consensus.Change, groups []consensus.Status) ReplicaPlan {
	p := ReplicaPlan{Groups: []ReplicaStep{}}
	for _, s := range groups {
		step, refusal := planGroupChange(change, s)
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

// replicaDigest returns a digest of a change and the memberships that its plan
// is based on.
func replicaDigest(change consensus.Change, groups []consensus.Status) string {
	h := sha256.New()
	out := json.NewEncoder(h)
	_ = out.Encode(change)
	for _, s := range groups {
		_ = out.Encode(s.Members)
	}
	return hex.EncodeToString(h.Sum(nil)[:16])
}

// planGroupChange plans a change of one group. It returns no step for a group
// that the change does not concern.
func planGroupChange(change consensus.Change, s consensus.Status) (step *ReplicaStep, refusal string) {
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
		ToleratedFailuresBefore: toleratedFailures(before), ToleratedFailuresAfter: toleratedFailures(after), Description: text,
	}, ""
}

// planAdd returns the number of voters after adding a host, and a description
// of the change.
func planAdd(change consensus.Change, s consensus.Status) (after int, text, refusal string) {
	after = len(s.Voters) + 1
	if member, _ := findMember(s, change.Name); member || s.Regional {
		return 0, "", ""
	}
	if after > maxVoters {
		return 0, "", fmt.Sprintf("there would be %d voters, at most %d may be", after, maxVoters)
	}
	return after, fmt.Sprintf("host %q learns the log and votes once it has synced", change.Name), ""
}

// planRemove returns the number of voters after removing a host, and a
// description of the change.
func planRemove(change consensus.Change, s consensus.Status) (after int, text, refusal string) {
	member, learner := findMember(s, change.Name)
	if !member {
		return 0, "", ""
	}
	after = len(s.Voters)
	if !learner {
		after--
	}
	minimum := minVoters
	if s.Regional {
		minimum = minRegionalVoters
	}
	if after < minimum {
		return 0, "", fmt.Sprintf("%d voters would be left, at least %d must be", after, minimum)
	}
	return after, fmt.Sprintf("host %q leaves", change.Name), ""
}

// planReplace returns the number of voters after replacing a host, and a
// description of the change.
func planReplace(change consensus.Change, s consensus.Status) (after int, text string) {
	member, _ := findMember(s, change.Name)
	replacedIsMember, _ := findMember(s, change.Replaces)
	if member || !replacedIsMember {
		return 0, ""
	}
	return len(s.Voters), fmt.Sprintf("host %q learns the log and votes once it has synced; then host %q leaves",
		change.Name, change.Replaces)
}

// findMember reports whether a host is a member, and whether it is a learner.
func findMember(s consensus.Status, name string) (member, learner bool) {
	for _, m := range s.Members.All() {
		if m.Name == name {
			return true, s.Members.IsLearner(m.ID)
		}
	}
	return false, false
}

// toleratedFailures returns the number of voters that a group can lose and
// still have a majority.
func toleratedFailures(voters int) int { return (voters - 1) / 2 }

// Replicas returns the status of the replicas of one control host.
func (c *Client) Replicas() ([]consensus.Status, error) {
	var all []consensus.Status
	return all, c.call(http.MethodGet, "/v1/replicas", nil, &all)
}

// ChangeReplicas requests a plan, or confirms one if the intent has a digest. A
// refusal is returned in the plan, not as an error.
func (c *Client) ChangeReplicas(i ReplicaIntent) (ReplicaPlan, error) {
	var p ReplicaPlan
	return p, c.call(http.MethodPost, "/v1/replicas", i, &p)
}
