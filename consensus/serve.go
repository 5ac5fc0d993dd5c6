package consensus

import (
	"context"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"tanagerbarrow/consensus/raft"
	"tanagerbarrow/verdict"
)

// transferTimeout bounds the leadership transfer when the replica stops.
const transferTimeout = time.Second

// Receive queues messages of another replica. It never blocks; if the queue is
// full, the messages are dropped.
func (n *Node) Receive(e Envelope) {
	select {
	case n.inbox <- e:
	default:
	}
}

// Handle serves a call of another replica and returns its response.
func (n *Node) Handle(ctx context.Context, r Request) Response {
	ctx, cancel := context.WithTimeout(ctx, defaultTimeout)
	defer cancel()
	out := Response{}
	var err error
	switch r.Kind {
	case RequestPropose:
		o := n.proposeLocally(ctx, r.Command, 0)
		out.Result, err = o.result, o.err
	case RequestRead:
		o := n.readLocally(ctx)
		out.Index, err = o.index, o.err
	case RequestHeartbeatRead:
		o := n.heartbeatReadLocally(ctx)
		out.Index, err = o.index, o.err
	case RequestIdentify:
		out.Self, out.Initialized = n.self, len(n.Status().Members.All()) > 0
		out.FirstStart = n.options.Discovery != nil && n.options.Discovery.FirstStart
	case RequestJoin:
		err = n.runTask(ctx, func() error { return n.readmit(r.Member) })
	case RequestChange:
		err = n.changeLocally(ctx, r.Change)
	case RequestSnapshot:
		err = n.runTask(ctx, func() error { return n.receivePart(r.Part) })
	default:
		err = n.rejectedError(errors.Newf("request %q is unknown", r.Kind))
	}
	if err != nil {
		return failureResponse(err)
	}
	return out
}

// NotServed returns the response to a call for a group that has no replica in
// this process.
func NotServed(group string) Response {
	return failureResponse(verdict.New(verdict.NotRun, http.StatusServiceUnavailable, codeGroupNotServed,
		"this host has no replica of group %q", group))
}

// publish makes the replica's status readable for other goroutines and logs
// changes of the leader.
func (n *Node) publish() {
	s := &Status{
		Group: n.options.Group, Regional: n.options.Regional, Host: n.self.Name, ReplicaID: n.self.ID,
		Role: n.core.Role().String(), Term: n.core.Term(),
		CommitIndex: n.core.CommitIndex(), AppliedIndex: n.applied,
		LeaderID: n.core.LeaderID(), Members: n.core.Members(),
	}
	if n.core.Role() == raft.Leader && n.resigning.Load() {
		s.LeaderID = 0
	}
	if leader, ok := s.Members.Find(s.LeaderID); ok {
		s.Leader = leader.Name
	}
	for _, v := range s.Members.Voters {
		s.Voters = append(s.Voters, v.Name)
	}
	if n.core.Role() == raft.Leader {
		s.Answering = n.core.Answering()
	}
	if before := n.status.Swap(s); before != nil && before.LeaderID != s.LeaderID {
		n.log.Info().Str("leader", s.Leader).Uint64("term", s.Term).Msg("leader changed")
	}
}

// Status returns the replica's state.
func (n *Node) Status() Status { return *n.status.Load() }

// Done is closed when the replica has stopped.
func (n *Node) Done() <-chan struct{} { return n.done }

// Err returns the error that stopped the replica, or nil. It is valid after
// Done is closed.
func (n *Node) Err() error { return n.failure }

// Close transfers leadership to another voter if possible, and stops the
// replica.
func (n *Node) Close() error {
	n.handOverLeadership()
	n.stop()
	<-n.done
	n.background.Wait()
	return errors.CombineErrors(n.failure, n.store.Close())
}

// Kill stops the replica without transferring leadership.
func (n *Node) Kill() {
	n.stop()
	<-n.done
	n.background.Wait()
}

// handOverLeadership transfers leadership to another voter if this replica
// leads. It retries until transferTimeout.
func (n *Node) handOverLeadership() {
	ctx, cancel := context.WithTimeout(context.Background(), transferTimeout)
	defer cancel()
	n.resigning.Store(true)
	for n.Status().Role == raft.Leader.String() {
		started := false
		_ = n.runTask(ctx, func() error {
			started = n.core.TransferLeadership(n.core.BestSuccessor())
			return nil
		})
		if onlyVoter := len(n.Status().Members.Voters) <= 1; onlyVoter && !started {
			return
		}
		if !n.pause(ctx, leaderPollInterval) {
			return
		}
	}
}
