package consensus

import (
	"context"

	"tanagerbarrow/consensus/raft"
)

// StateMachine applies committed commands in order. Apply must be
// deterministic.
type StateMachine interface {
	// Apply executes one command and returns its encoded result.
	Apply(command []byte) ([]byte, error)
	// Snapshot returns the encoded whole state.
	Snapshot() ([]byte, error)
	// Restore replaces the state with that of a snapshot.
	Restore(snapshot []byte) error
}

// IndexedStateMachine is a [StateMachine] that depends on the positions of its commands in
// the log. A [Node] calls its methods in place of Apply and Restore.
type IndexedStateMachine interface {
	StateMachine
	// ApplyAt executes the command at an index of the log.
	ApplyAt(index uint64, command []byte) ([]byte, error)
	// RestoreAt replaces the state with that of a snapshot that covers the log up to an
	// index.
	RestoreAt(index uint64, snapshot []byte) error
}

// applyAt applies a command to a state machine of either kind.
func applyAt(m StateMachine, index uint64, command []byte) ([]byte, error) {
	if indexed, ok := m.(IndexedStateMachine); ok {
		return indexed.ApplyAt(index, command)
	}
	return m.Apply(command)
}

// restoreAt restores a state machine of either kind.
func restoreAt(m StateMachine, index uint64, snapshot []byte) error {
	if indexed, ok := m.(IndexedStateMachine); ok {
		return indexed.RestoreAt(index, snapshot)
	}
	return m.Restore(snapshot)
}

// Replicator orders commands and applies them on every replica.
type Replicator interface {
	// Propose commits a command and returns the state machine's encoded result.
	// If another replica leads, the command is forwarded to it. After an error
	// other than [verdict.NotRun] the command may still be committed.
	Propose(ctx context.Context, command []byte) ([]byte, error)
	// ReadBarrier returns once the state machine has applied every command that
	// was committed before the call. A read after it is linearizable.
	ReadBarrier(ctx context.Context) error
	// Status returns the state of the replica.
	Status() Status
	// Close stops the replica.
	Close() error
}

// Status is the state of one replica.
type Status struct {
	// Group is the name of the replicated group.
	Group string `json:"group"`
	// Regional says that all members are located in one region.
	Regional bool `json:"regional,omitempty"`
	// Host is the name of the replica's host.
	Host string `json:"id"`
	// ReplicaID is the ID that is stored on the replica's disk.
	ReplicaID raft.ReplicaID `json:"identity"`
	// Role is the name of the replica's [raft.Role].
	Role string `json:"role"`
	// Leader is the host name of the known leader, or empty.
	Leader string `json:"leader"`
	// LeaderID is the replica ID of the known leader, or zero.
	LeaderID raft.ReplicaID `json:"leader_identity,omitempty"`
	// Term is the current term.
	Term uint64 `json:"term"`
	// CommitIndex is the last committed log index.
	CommitIndex uint64 `json:"commit_index"`
	// AppliedIndex is the last applied log index.
	AppliedIndex uint64 `json:"applied_index"`
	// Voters are the host names of the voting replicas.
	Voters []string `json:"voters"`
	// Members are the voters and learners with their replica IDs.
	Members raft.Membership `json:"members"`
	// Answering are the members whose replies the leader receives. It is empty
	// on replicas that do not lead.
	Answering []raft.ReplicaID `json:"answering,omitempty"`
}
