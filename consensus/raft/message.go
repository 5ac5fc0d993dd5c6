package raft

// ReplicaID identifies one replica for the life of its disk. Zero is none.
type ReplicaID uint64

// Member is one replica of a group.
type Member struct {
	// ID is the replica's identity.
	ID ReplicaID `json:"id"`
	// Name is the host's name.
	Name string `json:"name"`
	// Address is the host's peer address.
	Address string `json:"address,omitempty"`
	// Replaces is the name of another host whose voter leaves once this replica
	// votes; empty for none.
	Replaces string `json:"replaces,omitempty"`
}

// EntryType says what an entry carries.
type EntryType uint8

// The types of entries.
const (
	// EntryCommand carries a command of the state machine.
	EntryCommand EntryType = iota
	// EntryEmpty is appended by a new leader to commit its term.
	EntryEmpty
	// EntryMembership carries the whole membership that holds from it on.
	EntryMembership
)

// Entry is one entry of the log.
type Entry struct {
	// Index is the entry's place in the log, from 1.
	Index uint64 `json:"i"`
	// Term is the term of the leader that appended the entry.
	Term uint64 `json:"t"`
	// Type says what the entry carries.
	Type EntryType `json:"y,omitempty"`
	// Data is the command of an [EntryCommand].
	Data []byte `json:"d,omitempty"`
	// Membership is that of an [EntryMembership].
	Membership *Membership `json:"m,omitempty"`
}

// EntryID is the place and the term of an entry; it identifies the entry and
// all entries before it.
type EntryID struct {
	// Index is the entry's place in the log.
	Index uint64 `json:"i"`
	// Term is the entry's term.
	Term uint64 `json:"t"`
}

// HardState is what a replica promises; it is synced before it is told.
type HardState struct {
	// Term is the newest term that the replica has seen.
	Term uint64 `json:"t"`
	// Vote is the candidate that got this replica's vote in Term, or zero.
	Vote ReplicaID `json:"v,omitempty"`
}

// SnapshotMeta describes a snapshot of the state machine.
type SnapshotMeta struct {
	// Last is the last entry that the snapshot covers.
	Last EntryID `json:"last"`
	// Membership is that after Last.
	Membership Membership `json:"membership"`
}

// Snapshot is a state of the state machine.
type Snapshot struct {
	// Meta describes the snapshot.
	Meta SnapshotMeta
	// Data is the encoded state.
	Data []byte
}

// MessageType says what a message is.
type MessageType uint8

// The types of messages.
const (
	// PreVoteRequest asks whether a vote would be granted.
	PreVoteRequest MessageType = iota + 1
	// PreVoteReply answers PreVote.
	PreVoteReply
	// VoteRequest asks for a vote.
	VoteRequest
	// VoteReply answers Vote.
	VoteReply
	// Append carries entries from the leader.
	Append
	// AppendReply answers Append and InstallSnapshot.
	AppendReply
	// Heartbeat shows that the leader lives.
	Heartbeat
	// HeartbeatReply answers Heartbeat.
	HeartbeatReply
	// InstallSnapshot carries a snapshot from the leader.
	InstallSnapshot
	// TimeoutNow makes the receiver campaign at once.
	TimeoutNow
)

// Message is sent from one replica to another. Any message may be lost,
// repeated or overtaken.
type Message struct {
	// Type says what the message is.
	Type MessageType `json:"y"`
	// From and To are the sender and the receiver.
	From ReplicaID `json:"f"`
	To   ReplicaID `json:"o"`
	// Term is the sender's term; that of the campaign in PreVote and in a
	// PreVoteReply that grants it.
	Term uint64 `json:"t"`
	// Prev is the entry before Entries, the candidate's last entry, or the
	// confirmed or refused entry in a reply.
	Prev EntryID `json:"p,omitzero"`
	// Entries follow Prev.
	Entries []Entry `json:"e,omitempty"`
	// Commit is the leader's commit index, as far as the receiver has it.
	Commit uint64 `json:"c,omitempty"`
	// Reject refuses what the message answers.
	Reject bool `json:"x,omitempty"`
	// Hint is where the receiver's log may match, in a refusal.
	Hint EntryID `json:"h,omitzero"`
	// ReadSeq numbers the rounds that confirm reads.
	ReadSeq uint64 `json:"r,omitempty"`
	// Transfer marks a campaign that the leader asked for.
	Transfer bool `json:"a,omitempty"`
	// Snapshot is that of an InstallSnapshot. The core leaves its data empty;
	// the driver adds it on the way out.
	Snapshot *Snapshot `json:"s,omitempty"`
}

// Role is what a replica does in the current term.
type Role uint8

// The roles of a replica.
const (
	// Follower accepts what a leader sends.
	Follower Role = iota
	// PreCandidate asks whether a campaign could succeed.
	PreCandidate
	// Candidate asks for votes.
	Candidate
	// Leader orders the commands.
	Leader
)

// String returns the role's name.
func (r Role) String() string {
	return [...]string{"follower", "pre-candidate", "candidate", "leader"}[r]
}

// ReadResult ends a read that was started with [Core.Read].
type ReadResult struct {
	// ID is the read's number.
	ID uint64
	// Index is the log index to apply before the read.
	Index uint64
	// Lost says that leadership ended before the read was confirmed.
	Lost bool
}

// Ready is what the driver has to do.
type Ready struct {
	// Messages may be sent before anything is persisted. There are none where
	// HardState changes.
	Messages []Message
	// HardState is to be persisted, if not nil.
	HardState *HardState
	// Snapshot is to be persisted and restored before Entries, if not nil. It
	// replaces the whole log.
	Snapshot *Snapshot
	// Entries are to be persisted. They replace whatever the log holds from
	// their first index on.
	Entries []Entry
	// MessagesAfterSync are to be sent once all that is persisted.
	MessagesAfterSync []Message
	// Committed are to be applied in order. They are persisted already.
	Committed []Entry
	// Reads have ended.
	Reads []ReadResult
}

// Empty reports whether there is nothing to do.
func (r *Ready) Empty() bool {
	return len(r.Messages)+len(r.Entries)+len(r.MessagesAfterSync)+len(r.Committed)+len(r.Reads) == 0 &&
		r.HardState == nil && r.Snapshot == nil
}
