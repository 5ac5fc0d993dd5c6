package raft

// ReplicaID identifies one replica for the lifetime of its disk's content. Zero
// means none.
type ReplicaID uint64

// Member is one replica of a group.
type Member struct {
	// ID identifies the replica.
	ID ReplicaID `json:"id"`
	// Name is the host's name.
	Name string `json:"name"`
	// Address is the address on which the host accepts connections from its peers.
	Address string `json:"address,omitempty"`
	// Replaces is the name of another host whose voter is removed once this
	// replica is a voter; empty for none.
	Replaces string `json:"replaces,omitempty"`
}

// EntryType is the kind of content that an entry carries.
type EntryType uint8

// The types of entries.
const (
	// EntryCommand carries a command of the state machine.
	EntryCommand EntryType = iota
	// EntryEmpty carries nothing. A new leader appends it, since entries of earlier
	// terms are committed only by one of the current term.
	EntryEmpty
	// EntryMembership carries the complete membership that is in effect from this
	// entry on.
	EntryMembership
)

// Entry is one entry of the log.
type Entry struct {
	// Index is the entry's position in the log, starting at 1.
	Index uint64 `json:"i"`
	// Term is the term of the leader that appended the entry.
	Term uint64 `json:"t"`
	// Type is the kind of content that the entry carries.
	Type EntryType `json:"y,omitempty"`
	// Data is the command of an [EntryCommand].
	Data []byte `json:"d,omitempty"`
	// Membership is the membership of an [EntryMembership].
	Membership *Membership `json:"m,omitempty"`
}

// EntryID is the index and the term of an entry. It identifies the entry and all
// entries before it.
type EntryID struct {
	// Index is the entry's position in the log.
	Index uint64 `json:"i"`
	// Term is the entry's term.
	Term uint64 `json:"t"`
}

// HardState is the state that a replica syncs to disk before it sends messages
// that depend on it.
type HardState struct {
	// Term is the newest term that the replica has seen.
	Term uint64 `json:"t"`
	// Vote is the candidate that this replica voted for in Term, or zero.
	Vote ReplicaID `json:"v,omitempty"`
}

// SnapshotMeta describes a snapshot of the state machine.
type SnapshotMeta struct {
	// Last is the last entry that the snapshot covers.
	Last EntryID `json:"last"`
	// Membership is the membership in effect after Last.
	Membership Membership `json:"membership"`
}

// Snapshot is an encoded state of the state machine.
type Snapshot struct {
	// Meta describes the snapshot.
	Meta SnapshotMeta
	// Data is the encoded state.
	Data []byte
}

// MessageType is the kind of a message.
type MessageType uint8

// The types of messages.
const (
	// PreVoteRequest asks whether the receiver would grant its vote.
	PreVoteRequest MessageType = iota + 1
	// PreVoteReply answers PreVoteRequest.
	PreVoteReply
	// VoteRequest asks the receiver for its vote.
	VoteRequest
	// VoteReply answers VoteRequest.
	VoteReply
	// Append carries entries from the leader.
	Append
	// AppendReply answers Append and InstallSnapshot.
	AppendReply
	// Heartbeat keeps the receiver from starting an election and confirms reads.
	Heartbeat
	// HeartbeatReply answers Heartbeat.
	HeartbeatReply
	// InstallSnapshot carries a snapshot from the leader.
	InstallSnapshot
	// TimeoutNow makes the receiver start an election at once.
	TimeoutNow
)

// Message is a message from one replica to another. Messages may be lost,
// duplicated or reordered.
type Message struct {
	// Type is the kind of the message.
	Type MessageType `json:"y"`
	// From and To are the sender and the receiver.
	From ReplicaID `json:"f"`
	To   ReplicaID `json:"o"`
	// Term is the sender's term. In a PreVoteRequest, and in a PreVoteReply that
	// grants it, it is the term of the proposed election.
	Term uint64 `json:"t"`
	// Prev is the entry before Entries in an Append, the candidate's last entry in
	// a vote or pre-vote request, and the confirmed or rejected entry in an
	// AppendReply.
	Prev EntryID `json:"p,omitzero"`
	// Entries follow Prev.
	Entries []Entry `json:"e,omitempty"`
	// Commit is the leader's commit index. In a Heartbeat it is limited to the
	// entries that the receiver is known to have.
	Commit uint64 `json:"c,omitempty"`
	// Reject is set in a reply that rejects the request.
	Reject bool `json:"x,omitempty"`
	// Hint is, in an AppendReply with Reject, the last entry of the follower's log
	// that may match the leader's log.
	Hint EntryID `json:"h,omitzero"`
	// ReadSeq is the number of the last read round in a Heartbeat, and of the
	// confirmed one in its reply.
	ReadSeq uint64 `json:"r,omitempty"`
	// Transfer is set in the vote requests of an election that the leader
	// requested.
	Transfer bool `json:"a,omitempty"`
	// Snapshot is the snapshot of an InstallSnapshot. The core leaves its data
	// empty; the driver adds it when it sends the message.
	Snapshot *Snapshot `json:"s,omitempty"`
}

// Role is the role of a replica in the current term.
type Role uint8

// The roles of a replica.
const (
	// Follower accepts entries from a leader.
	Follower Role = iota
	// PreCandidate asks the voters whether it could win an election.
	PreCandidate
	// Candidate requests votes in an election.
	Candidate
	// Leader appends commands to the log and replicates it.
	Leader
)

// String returns the role's name.
func (r Role) String() string {
	return [...]string{"follower", "pre-candidate", "candidate", "leader"}[r]
}

// ReadResult is the result of a read that was started with [Core.Read] or
// [Core.ReadAtHeartbeat].
type ReadResult struct {
	// ID is the number that the caller gave the read.
	ID uint64
	// Index is the log index that must be applied before the state is read.
	Index uint64
	// Lost is set if the replica's leadership ended before the read was confirmed.
	Lost bool
}

// Ready is a batch of work for the driver.
type Ready struct {
	// Messages may be sent before anything is persisted. It is empty if HardState
	// is set.
	Messages []Message
	// HardState must be persisted, if not nil.
	HardState *HardState
	// Snapshot, if not nil, must be persisted and restored before Entries. It
	// replaces the whole log.
	Snapshot *Snapshot
	// Entries must be persisted. They replace the log from their first index on.
	Entries []Entry
	// MessagesAfterSync must be sent only once HardState, Snapshot and Entries are
	// persisted.
	MessagesAfterSync []Message
	// Committed are the entries to apply in order. They are persisted already.
	Committed []Entry
	// Reads are the results of reads that have ended.
	Reads []ReadResult
}

// Empty reports whether there is no work.
func (r *Ready) Empty() bool {
	return len(r.Messages)+len(r.Entries)+len(r.MessagesAfterSync)+len(r.Committed)+len(r.Reads) == 0 &&
		r.HardState == nil && r.Snapshot == nil
}
