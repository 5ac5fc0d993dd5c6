package consensus

import "context"

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
	// ID is the replica's name.
	ID string `json:"id"`
	// Leader is the name of the known leader, or empty.
	Leader string `json:"leader"`
	// Term is the current term.
	Term uint64 `json:"term"`
	// CommitIndex is the last committed log index.
	CommitIndex uint64 `json:"commit_index"`
	// AppliedIndex is the last applied log index.
	AppliedIndex uint64 `json:"applied_index"`
	// Voters are the names of the voting replicas.
	Voters []string `json:"voters"`
}
