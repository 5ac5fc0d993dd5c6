package raft

import (
	"slices"

	"github.com/cockroachdb/errors"
)

// Membership is the replicas of a group.
type Membership struct {
	// Voters form quorums. They stand in the order in which they were added.
	Voters []Member `json:"voters"`
	// Learners receive the log and do not count.
	Learners []Member `json:"learners,omitempty"`
}

// Quorum is the number of voters that decide.
func (m Membership) Quorum() int { return len(m.Voters)/2 + 1 }

// IsVoter reports whether the replica votes.
func (m Membership) IsVoter(id ReplicaID) bool { return indexOf(m.Voters, id) >= 0 }

// IsLearner reports whether the replica learns.
func (m Membership) IsLearner(id ReplicaID) bool { return indexOf(m.Learners, id) >= 0 }

// Find returns the member with the identity.
func (m Membership) Find(id ReplicaID) (Member, bool) {
	for _, member := range m.All() {
		if member.ID == id {
			return member, true
		}
	}
	return Member{}, false
}

// All returns the voters and the learners.
func (m Membership) All() []Member { return slices.Concat(m.Voters, m.Learners) }

// AddLearner returns the membership with one more learner. Another learner of the
// same host has lost its disk and is left out.
func (m Membership) AddLearner(member Member) Membership {
	sameHost := func(other Member) bool { return other.Name == member.Name }
	return Membership{
		Voters:   m.Voters,
		Learners: append(slices.DeleteFunc(slices.Clone(m.Learners), sameHost), member),
	}
}

// Promote returns the membership in which a learner votes.
func (m Membership) Promote(id ReplicaID) Membership {
	at := indexOf(m.Learners, id)
	if at < 0 {
		return m
	}
	return Membership{
		Voters:   append(slices.Clone(m.Voters), m.Learners[at]),
		Learners: slices.Delete(slices.Clone(m.Learners), at, at+1),
	}
}

// Remove returns the membership without a replica.
func (m Membership) Remove(id ReplicaID) Membership {
	gone := func(member Member) bool { return member.ID == id }
	return Membership{
		Voters:   slices.DeleteFunc(slices.Clone(m.Voters), gone),
		Learners: slices.DeleteFunc(slices.Clone(m.Learners), gone),
	}
}

// indexOf returns the place of a replica, or -1.
func indexOf(members []Member, id ReplicaID) int {
	return slices.IndexFunc(members, func(m Member) bool { return m.ID == id })
}

// votersChanged counts the voters that only one of the memberships has.
func votersChanged(a, b Membership) int {
	changed := 0
	for _, m := range a.Voters {
		if !b.IsVoter(m.ID) {
			changed++
		}
	}
	for _, m := range b.Voters {
		if !a.IsVoter(m.ID) {
			changed++
		}
	}
	return changed
}

// The reasons against a membership change. A change that was refused was not
// appended.
var (
	// ErrNotLeader means that another replica leads, or none.
	ErrNotLeader = errors.New("this replica does not lead")
	// ErrChangePending means that the last change is not committed yet.
	ErrChangePending = errors.New("another membership change is in progress")
	// ErrNotCaughtUp means that the replica to promote has not caught up.
	ErrNotCaughtUp = errors.New("the replica has not caught up with the log")
	// ErrTooManyChanges means that more than one voter would change.
	ErrTooManyChanges = errors.New("more than one voter would change")
	// ErrQuorumAtRisk means that too few of the remaining voters answer.
	ErrQuorumAtRisk = errors.New("too few of the remaining voters answer")
)

// ProposeMembership appends a membership that differs by at most one voter.
func (c *Core) ProposeMembership(m Membership) (EntryID, error) {
	if err := c.checkChange(m); err != nil {
		return EntryID{}, err
	}
	at := c.append(Entry{Type: EntryMembership, Membership: &m})
	c.broadcastAppend()
	return at, nil
}

// checkChange returns why the membership cannot be appended now.
func (c *Core) checkChange(m Membership) error {
	if c.role != Leader || c.transferee != 0 {
		return ErrNotLeader
	}
	if c.log.membershipIndex() > c.log.commit || !c.committedInTerm() {
		return ErrChangePending
	}
	if votersChanged(c.members(), m) > 1 {
		return ErrTooManyChanges
	}
	answering := 0
	for _, v := range m.Voters {
		if !c.members().IsVoter(v.ID) && !c.CaughtUp(v.ID) {
			return errors.Wrapf(ErrNotCaughtUp, "replica %d of host %q", v.ID, v.Name)
		}
		if v.ID == c.id || (c.answers(v.ID) && c.progress[v.ID].match > 0) {
			answering++
		}
	}
	if answering < m.Quorum() {
		return errors.Wrapf(ErrQuorumAtRisk, "%d of %d answer", answering, len(m.Voters))
	}
	return nil
}

// NextMembershipChange returns the membership change that is due: a learner that has
// caught up votes, and a voter leaves once its successor votes.
func (c *Core) NextMembershipChange() (Membership, bool) {
	m := c.members()
	if c.role != Leader || !c.MembersCommitted() {
		return m, false
	}
	for i, v := range m.Voters {
		succeeds := func(later Member) bool { return later.Name == v.Name || later.Replaces == v.Name }
		if slices.ContainsFunc(m.Voters[i+1:], succeeds) {
			return m.Remove(v.ID), true
		}
	}
	for _, learner := range m.Learners {
		if c.CaughtUp(learner.ID) {
			return m.Promote(learner.ID), true
		}
	}
	return m, false
}

// CaughtUp reports whether a replica has synced all that was committed when
// the leader last checked its quorum.
func (c *Core) CaughtUp(id ReplicaID) bool {
	p := c.progress[id]
	return p != nil && c.answers(id) && p.match > 0 && p.match >= c.checkedCommit
}

// answers reports whether a replica answered within an election timeout.
func (c *Core) answers(id ReplicaID) bool {
	p := c.progress[id]
	return p != nil && p.idleTicks < c.opts.ElectionTicks
}

// Answering returns the members that the leader hears from, itself included.
func (c *Core) Answering() []ReplicaID {
	var ids []ReplicaID
	for _, m := range c.members().All() {
		if m.ID == c.id || c.answers(m.ID) {
			ids = append(ids, m.ID)
		}
	}
	return ids
}

// RemoveSurplusVoter returns the membership without the voter that has been silent
// longest, if there are more than the target and one is silent. A host that was
// replaced under another name leaves this way.
func (c *Core) RemoveSurplusVoter(target int) (Membership, bool) {
	m := c.members()
	if c.role != Leader || !c.MembersCommitted() || len(m.Voters) <= target {
		return m, false
	}
	longest, idle := ReplicaID(0), c.opts.ElectionTicks
	for _, v := range m.Voters {
		if p := c.progress[v.ID]; p != nil && p.idleTicks >= idle {
			longest, idle = v.ID, p.idleTicks
		}
	}
	if longest == 0 {
		return m, false
	}
	return m.Remove(longest), true
}
