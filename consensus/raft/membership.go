package raft

import (
	"slices"

	"github.com/cockroachdb/errors"
)

// Membership is the set of replicas of a group.
type Membership struct {
	// Voters form quorums, in the order in which they were added.
	Voters []Member `json:"voters"`
	// Learners receive the log but do not vote or count toward a quorum.
	Learners []Member `json:"learners,omitempty"`
}

// Quorum returns the number of voters that form a majority.
func (m Membership) Quorum() int { return len(m.Voters)/2 + 1 }

// IsVoter reports whether the replica is a voter.
func (m Membership) IsVoter(id ReplicaID) bool { return indexOf(m.Voters, id) >= 0 }

// IsLearner reports whether the replica is a learner.
func (m Membership) IsLearner(id ReplicaID) bool { return indexOf(m.Learners, id) >= 0 }

// Find returns the member with the given ID and whether there is one.
func (m Membership) Find(id ReplicaID) (Member, bool) {
	for _, member := range m.All() {
		if member.ID == id {
			return member, true
		}
	}
	return Member{}, false
}

// All returns the voters, followed by the learners.
func (m Membership) All() []Member { return slices.Concat(m.Voters, m.Learners) }

// AddLearner returns the membership with one more learner. It leaves out an
// existing learner of the same host, since that one has lost its disk.
func (m Membership) AddLearner(member Member) Membership {
	sameHost := func(other Member) bool { return other.Name == member.Name }
	return Membership{
		Voters:   m.Voters,
		Learners: append(slices.DeleteFunc(slices.Clone(m.Learners), sameHost), member),
	}
}

// Promote returns the membership in which a learner has become a voter, or the
// same membership if the replica is not a learner.
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
	isRemoved := func(member Member) bool { return member.ID == id }
	return Membership{
		Voters:   slices.DeleteFunc(slices.Clone(m.Voters), isRemoved),
		Learners: slices.DeleteFunc(slices.Clone(m.Learners), isRemoved),
	}
}

// indexOf returns the position of a replica in members, or -1.
func indexOf(members []Member, id ReplicaID) int {
	return slices.IndexFunc(members, func(m Member) bool { return m.ID == id })
}

// countVoterChanges returns the number of voters that only one of the memberships
// has.
func countVoterChanges(a, b Membership) int {
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

// Errors that [Core.ProposeMembership] returns. A rejected change is not
// appended.
var (
	// ErrNotLeader means that this replica does not lead or is transferring its
	// leadership.
	ErrNotLeader = errors.New("this replica does not lead")
	// ErrChangePending means that the last change, or an entry of the leader's
	// term, is not committed yet.
	ErrChangePending = errors.New("another membership change is in progress")
	// ErrNotCaughtUp means that a new voter has not caught up with the log.
	ErrNotCaughtUp = errors.New("the replica has not caught up with the log")
	// ErrTooManyChanges means that more than one voter would change.
	ErrTooManyChanges = errors.New("more than one voter would change")
	// ErrQuorumAtRisk means that fewer than a quorum of the voters of the new
	// membership answered recently.
	ErrQuorumAtRisk = errors.New("too few of the remaining voters answer")
)

// ProposeMembership appends a membership that differs from the current one by at
// most one voter, and returns its entry.
func (c *Core) ProposeMembership(m Membership) (EntryID, error) {
	if err := c.checkChange(m); err != nil {
		return EntryID{}, err
	}
	at := c.append(Entry{Type: EntryMembership, Membership: &m})
	c.broadcastAppend()
	return at, nil
}

// checkChange returns an error if the membership cannot be appended now.
func (c *Core) checkChange(m Membership) error {
	if c.role != Leader || c.transferee != 0 {
		return ErrNotLeader
	}
	if c.log.membershipIndex() > c.log.commit || !c.committedInTerm() {
		return ErrChangePending
	}
	if countVoterChanges(c.members(), m) > 1 {
		return ErrTooManyChanges
	}
	answering := 0
	for _, v := range m.Voters {
		if !c.members().IsVoter(v.ID) && !c.CaughtUp(v.ID) {
			return errors.Wrapf(ErrNotCaughtUp, "replica %d of host %q", v.ID, v.Name)
		}
		if v.ID == c.id || (c.answeredRecently(v.ID) && c.progress[v.ID].match > 0) {
			answering++
		}
	}
	if answering < m.Quorum() {
		return errors.Wrapf(ErrQuorumAtRisk, "%d of %d answer", answering, len(m.Voters))
	}
	return nil
}

// NextMembershipChange returns the membership to propose next and whether a
// change is due: a voter is removed once the replica that replaces it is a voter,
// and a learner that has caught up is promoted.
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

// CaughtUp reports whether a replica answered recently and has synced everything
// that was committed when the leader last checked its quorum. Before the leader's
// first check, that is the whole log at its election.
func (c *Core) CaughtUp(id ReplicaID) bool {
	p := c.progress[id]
	return p != nil && c.answeredRecently(id) && p.match > 0 && p.match >= c.checkedCommit
}

// answeredRecently reports whether another replica answered this leader within
// the shortest election timeout.
func (c *Core) answeredRecently(id ReplicaID) bool {
	p := c.progress[id]
	return p != nil && p.idleTicks < c.opts.ElectionTicks
}

// Answering returns the members that answered the leader within the shortest
// election timeout, and this replica itself.
func (c *Core) Answering() []ReplicaID {
	var ids []ReplicaID
	for _, m := range c.members().All() {
		if m.ID == c.id || c.answeredRecently(m.ID) {
			ids = append(ids, m.ID)
		}
	}
	return ids
}

// RemoveSurplusVoter returns the membership without the voter that has not
// answered for longest, and whether the change is due: there must be more voters
// than target, and one that has not answered within the shortest election
// timeout. This removes a host that was replaced under another name.
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
