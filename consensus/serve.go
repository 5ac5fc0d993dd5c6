package consensus

import (
	"context"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"tanagerbarrow/consensus/raft"
	"tanagerbarrow/verdict"
)

// transferTimeout bounds the handing over of leadership at a stop.
const transferTimeout = time.Second

// Receive takes in messages of another replica. It never blocks; where the
// replica cannot keep up they are dropped.
func (n *Node) Receive(e Envelope) {
	select {
	case n.inbox <- e:
	default:
	}
}

// Handle answers a call of another replica.
func (n *Node) Handle(ctx context.Context, r Request) Response {
	ctx, cancel := context.WithTimeout(ctx, defaultTimeout)
	defer cancel()
	out := Response{}
	var err error
	switch r.Kind {
	case RequestPropose:
		o := n.proposeHere(ctx, r.Command)
		out.Result, err = o.result, o.err
	case RequestRead:
		o := n.readHere(ctx)
		out.Index, err = o.index, o.err
	case RequestTouch:
		o := n.touchHere(ctx)
		out.Index, err = o.index, o.err
	case RequestIdentify:
		out.Self, out.Formed = n.self, len(n.Status().Members.All()) > 0
		out.Fresh = n.options.Discovery != nil && n.options.Discovery.FirstStart
	case RequestJoin:
		err = n.do(ctx, func() error { return n.readmit(r.Member) })
	case RequestChange:
		err = n.changeHere(ctx, r.Change)
	case RequestSnapshot:
		err = n.do(ctx, func() error { return n.receivePart(r.Part) })
	default:
		err = n.rejected(errors.Newf("request %q is unknown", r.Kind))
	}
	if err != nil {
		return failed(err)
	}
	return out
}

// NotServed answers a call for a group that the process has no replica of.
func NotServed(group string) Response {
	return failed(verdict.New(verdict.NotRun, http.StatusServiceUnavailable, codeNotServed,
		"this host has no replica of group %q", group))
}

// publish makes the replica's state readable for other goroutines.
func (n *Node) publish() {
	s := &Status{
		Group: n.options.Group, Regional: n.options.Regional, Host: n.self.Name, ReplicaID: n.self.ID,
		Role: n.core.Role().String(), Term: n.core.Term(),
		CommitIndex: n.core.CommitIndex(), AppliedIndex: n.applied,
		LeaderID: n.core.LeaderID(), Members: n.core.Members(),
	}
	if n.core.Role() == raft.Leader && n.leaving.Load() {
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

// Status describes the replica.
func (n *Node) Status() Status { return *n.status.Load() }

// Done is closed when the replica has stopped.
func (n *Node) Done() <-chan struct{} { return n.done }

// Err returns why the replica stopped by itself. It is valid after Done.
func (n *Node) Err() error { return n.failure }

// Close hands leadership over if it can, and stops the replica.
func (n *Node) Close() error {
	n.handOver()
	n.stop()
	<-n.done
	n.joined.Wait()
	return errors.CombineErrors(n.failure, n.store.Close())
}

// Kill stops the replica without handing leadership over.
func (n *Node) Kill() {
	n.stop()
	<-n.done
	n.joined.Wait()
}

// handOver makes another voter lead.
func (n *Node) handOver() {
	ctx, cancel := context.WithTimeout(context.Background(), transferTimeout)
	defer cancel()
	n.leaving.Store(true)
	for n.Status().Role == raft.Leader.String() {
		begun := false
		_ = n.do(ctx, func() error {
			begun = n.core.TransferLeadership(n.core.BestSuccessor())
			return nil
		})
		if alone := len(n.Status().Members.Voters) <= 1; alone && !begun {
			return
		}
		if !n.pause(ctx, leaderPause) {
			return
		}
	}
}
