package consensus

import (
	"context"

	"tanagerbarrow/consensus/raft"
)

// StateMachine applies committed commands in order. Apply must be
// deterministic.
type StateMachine interface {
	// Apply carries out one command and returns its encoded result.
	Apply(command []byte) ([]byte, error)
	// Snapshot returns the whole state.
	Snapshot() ([]byte, error)
	// Restore replaces the state by a snapshot.
	Restore(snapshot []byte) error
}

// Replicator orders commands and applies them on every replica.
type Replicator interface {
	// Propose commits a command and returns the state machine's encoded result,
	// also where another replica leads. An
	// error without [verdict.NotRun] leaves open whether the command commits.
	Propose(ctx context.Context, command []byte) ([]byte, error)
	// ReadBarrier returns once the state machine holds every command that was
	// committed before the call: a linearizable read follows it.
	ReadBarrier(ctx context.Context) error
	// Status describes the replica.
	Status() Status
	// Close stops the replica.
	Close() error
}

// Status describes one replica.
type Status struct {
	// Group is the name of the replicated group.
	Group string `json:"group"`
	// Regional says that all members stand in one region.
	Regional bool `json:"regional,omitempty"`
	// Host is the replica's name.
	Host string `json:"id"`
	// ReplicaID is the identity of the replica's disk.
	ReplicaID raft.ReplicaID `json:"identity"`
	// Role is what the replica does.
	Role string `json:"role"`
	// Leader is the name of the known leader, or empty.
	Leader string `json:"leader"`
	// LeaderID is the identity of the known leader, or zero.
	LeaderID raft.ReplicaID `json:"leader_identity,omitempty"`
	// Term is the current term.
	Term uint64 `json:"term"`
	// CommitIndex is the last committed log index.
	CommitIndex uint64 `json:"commit_index"`
	// AppliedIndex is the last applied log index.
	AppliedIndex uint64 `json:"applied_index"`
	// Voters are the names of the voting replicas.
	Voters []string `json:"voters"`
	// Members are the voters and learners with their identities.
	Members raft.Membership `json:"members"`
	// Answering are the members that the leader hears from; other replicas
	// leave it empty.
	Answering []raft.ReplicaID `json:"answering,omitempty"`
}
