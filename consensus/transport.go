package consensus

import (
	"context"

	"github.com/cockroachdb/errors"

	"tanagerbarrow/consensus/raft"
	"tanagerbarrow/verdict"
)

// ErrNotConnected is the error of a call that was not sent.
var ErrNotConnected = errors.New("the host was not reached")

// Transport sends messages and calls to the other replicas of a group.
type Transport interface {
	// Send sends messages without waiting for a reply. It never blocks and may
	// drop them.
	Send(to raft.Member, e Envelope)
	// Call executes one call and returns its response. An error that is
	// [ErrNotConnected] proves that the call was not sent.
	Call(ctx context.Context, to raft.Member, r Request) (Response, error)
}

// Envelope contains messages of one group from one replica to another.
type Envelope struct {
	// Group is the group's name.
	Group string `json:"g"`
	// From is the sender, so that a replica without a membership can reply. It
	// is omitted if all messages are heartbeats to a replica that has acknowledged
	// entries.
	From raft.Member `json:"f,omitzero"`
	// Messages are addressed to the same replica.
	Messages []raft.Message `json:"m"`
}

// RequestKind is the operation that a [Request] asks for.
type RequestKind string

// The kinds of requests.
const (
	// RequestPropose asks the leader to commit a command.
	RequestPropose RequestKind = "propose"
	// RequestRead asks the leader for a linearizable read index.
	RequestRead RequestKind = "read"
	// RequestHeartbeatRead asks for a read index that the leader's next
	// heartbeat confirms.
	RequestHeartbeatRead RequestKind = "touch"
	// RequestIdentify asks a replica for its replica ID.
	RequestIdentify RequestKind = "identify"
	// RequestJoin asks the leader to admit a replica whose disk is empty.
	RequestJoin RequestKind = "join"
	// RequestChange asks the leader for a membership change.
	RequestChange RequestKind = "change"
	// RequestSnapshot contains a part of a snapshot.
	RequestSnapshot RequestKind = "snapshot"
)

// Request is a call between replicas of a group.
type Request struct {
	// Group is the group's name.
	Group string `json:"group"`
	// Kind is the requested operation.
	Kind RequestKind `json:"kind"`
	// Command is the command of [RequestPropose].
	Command []byte `json:"command,omitempty"`
	// Member is the replica that [RequestJoin] adds.
	Member raft.Member `json:"member,omitzero"`
	// Change is the change of [RequestChange].
	Change *Change `json:"change,omitempty"`
	// Part is the snapshot part of [RequestSnapshot].
	Part *SnapshotPart `json:"part,omitempty"`
}

// SnapshotPart is a contiguous part of a snapshot's data.
type SnapshotPart struct {
	// Message is the [raft.InstallSnapshot] message that the snapshot belongs
	// to, without the data.
	Message raft.Message `json:"message"`
	// Offset is the position of Data in the snapshot's data, in bytes.
	Offset int `json:"offset"`
	// Total is the length of the snapshot's data, in bytes.
	Total int `json:"total"`
	// Data is the part's content.
	Data []byte `json:"data"`
}

// Response is the response to a [Request].
type Response struct {
	// Result is the state machine's encoded result of [RequestPropose].
	Result []byte `json:"result,omitempty"`
	// Index is the read index of [RequestRead] and [RequestHeartbeatRead].
	Index uint64 `json:"index,omitempty"`
	// Self is the replica that responds to [RequestIdentify].
	Self raft.Member `json:"self,omitzero"`
	// Initialized says that the replica has a part of the group's log.
	Initialized bool `json:"formed,omitempty"`
	// FirstStart says that the replica's host belongs to a system that starts
	// for the first time; see [Discovery].
	FirstStart bool `json:"fresh,omitempty"`
	// Failure is the error of a failed request, or nil.
	Failure *Failure `json:"failure,omitempty"`
}

// Failure is the encoding of an error between processes.
type Failure struct {
	// Verdict says whether the command may have been committed.
	Verdict verdict.Verdict `json:"verdict"`
	// Status is the HTTP status code for the caller.
	Status int `json:"status"`
	// Code is a short machine-readable reason.
	Code string `json:"code"`
	// Message says what failed and where.
	Message string `json:"message"`
}

// failureResponse returns a response that contains an error.
func failureResponse(err error) Response {
	e := verdict.As(err)
	return Response{Failure: &Failure{Verdict: e.Verdict, Status: e.Status, Code: e.Code, Message: e.Error()}}
}

// err returns the error of the response, or nil.
func (r Response) err() error {
	if r.Failure == nil {
		return nil
	}
	f := r.Failure
	return verdict.New(f.Verdict, f.Status, f.Code, "%s", f.Message)
}
