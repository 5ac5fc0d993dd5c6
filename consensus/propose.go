package consensus

import (
	"context"
	"net/http"
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"tanagerbarrow/consensus/raft"
	"tanagerbarrow/verdict"
)

// Times of proposals and reads.
const (
	// defaultTimeout bounds a call whose context has no deadline.
	defaultTimeout = 5 * time.Second
	// leaderPollInterval is the pause between two attempts to execute a request
	// on the leader or to hand leadership over.
	leaderPollInterval = 25 * time.Millisecond
)

// Machine-readable codes of failures.
const (
	codeNoLeader        = "no_leader"
	codeLogBusy         = "log_busy"
	codeEntryLost       = "log_entry_lost"
	codeCommitUnknown   = "commit_unknown"
	codeCommandTooLarge = "command_too_large"
	codeChangeRejected  = "change_rejected"
	codeGroupNotServed  = "group_not_served"
)

// outcome is the result of a proposal, a read or a task.
type outcome struct {
	result []byte
	index  uint64
	err    error
}

// proposal is a command that is waiting to be committed and applied.
type proposal struct {
	command []byte
	// term is the only term in which the command may be proposed; zero for any.
	term uint64
	id   raft.EntryID
	done chan outcome
}

// read is a linearizable read. Without an index it asks the leader to confirm
// one; with an index it waits until that is applied.
type read struct {
	index uint64
	// onHeartbeat says that the read waits for the next heartbeat instead of a
	// round of its own.
	onHeartbeat bool
	done        chan outcome
}

// Propose commits a command and returns the state machine's encoded result.
// While no leader is known it retries, at most until ctx ends.
func (n *Node) Propose(ctx context.Context, command []byte) ([]byte, error) {
	if len(command) > maxCommandBytes {
		return nil, verdict.New(verdict.NotRun, http.StatusRequestEntityTooLarge, codeCommandTooLarge,
			"command for group %q has %d bytes, at most %d are allowed", n.options.Group, len(command), maxCommandBytes)
	}
	out := n.onLeader(ctx, Request{Group: n.options.Group, Kind: RequestPropose, Command: command},
		func(ctx context.Context) outcome { return n.proposeLocally(ctx, command, 0) })
	return out.result, out.err
}

// ProposeInTerm commits a command only if this replica leads in the given term. It neither
// forwards nor repeats the command: what was decided about it by this replica's state holds
// for no other leader.
func (n *Node) ProposeInTerm(ctx context.Context, term uint64, command []byte) ([]byte, error) {
	out := n.proposeLocally(ctx, command, term)
	return out.result, out.err
}

// ReadBarrier returns once the state machine has applied every command that was
// committed before the call.
func (n *Node) ReadBarrier(ctx context.Context) error {
	index, err := n.ReadIndex(ctx)
	if err != nil {
		return err
	}
	return n.waitApplied(ctx, index)
}

// ReadIndex returns an index of the log that is not below that of any command that was
// committed before the call.
func (n *Node) ReadIndex(ctx context.Context) (uint64, error) {
	out := n.onLeader(ctx, Request{Group: n.options.Group, Kind: RequestRead}, n.readLocally)
	return out.index, out.err
}

// HeartbeatReadBarrier is a ReadBarrier that waits for the leader's next
// heartbeat, so that it costs no round of messages of its own. It is a cheap
// proof that the quorum is reachable.
func (n *Node) HeartbeatReadBarrier(ctx context.Context) error {
	out := n.onLeader(ctx, Request{Group: n.options.Group, Kind: RequestHeartbeatRead}, n.heartbeatReadLocally)
	if out.err != nil {
		return out.err
	}
	return n.waitApplied(ctx, out.index)
}

// onLeader executes a request on the leader: local is called if this replica
// leads, otherwise the request is forwarded to the leader's host. It retries as
// long as a retry cannot commit a command twice.
func (n *Node) onLeader(ctx context.Context, r Request, local func(context.Context) outcome) outcome {
	if _, ok := ctx.Deadline(); !ok {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, defaultTimeout)
		defer cancel()
	}
	out := outcome{err: n.noLeaderError()}
	for ctx.Err() == nil {
		out = n.tryLeader(ctx, r, local)
		if out.err == nil || !retryable(r, out.err) {
			return out
		}
		if !n.pause(ctx, leaderPollInterval) {
			return out
		}
	}
	return out
}

// retryable reports whether a failed request can be sent again. A membership
// change always can, whatever its outcome: it names the wanted members, so a
// change that has already been made has no effect when it is repeated.
func retryable(r Request, err error) bool {
	return r.Kind == RequestChange || verdict.Of(err) == verdict.NotRun
}

// tryLeader executes a request once on the currently known leader.
func (n *Node) tryLeader(ctx context.Context, r Request, local func(context.Context) outcome) outcome {
	status := n.Status()
	if status.Leader == "" {
		return outcome{err: n.noLeaderError()}
	}
	if status.Role == raft.Leader.String() {
		return local(ctx)
	}
	for _, m := range status.Members.All() {
		if m.ID == status.LeaderID {
			return n.forward(ctx, n.withCurrentAddress(m), r)
		}
	}
	return outcome{err: n.noLeaderError()}
}

// forward sends a request to the leader. A call that was not sent, and a failed
// read, is [verdict.NotRun].
func (n *Node) forward(ctx context.Context, to raft.Member, r Request) outcome {
	response, err := n.options.Transport.Call(ctx, to, r)
	if err != nil {
		v := verdict.MayHaveRun
		if errors.Is(err, ErrNotConnected) || r.Kind == RequestRead || r.Kind == RequestHeartbeatRead {
			v = verdict.NotRun
		}
		return outcome{err: verdict.Wrap(err, v, http.StatusServiceUnavailable, codeCommitUnknown,
			"forward to the leader of group %q on host %q", n.options.Group, to.Name)}
	}
	return outcome{result: response.Result, index: response.Index, err: response.err()}
}

// pause waits for d. It reports false if ctx or the replica ended before.
func (n *Node) pause(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	case <-n.done:
		return false
	}
}

// noLeaderError returns the error for a group without a known leader.
func (n *Node) noLeaderError() error {
	return verdict.New(verdict.NotRun, http.StatusServiceUnavailable, codeNoLeader,
		"group %q has no known leader", n.options.Group)
}

// proposeLocally queues a command for the run goroutine and waits for its
// outcome. A term other than zero is the only one in which it may be proposed.
func (n *Node) proposeLocally(ctx context.Context, command []byte, term uint64) outcome {
	p := &proposal{command: command, term: term, done: make(chan outcome, 1)}
	select {
	case <-n.done:
		return outcome{err: n.stoppedError(verdict.NotRun)}
	default:
	}
	select {
	case n.proposals <- p:
	default:
		return outcome{err: verdict.New(verdict.NotRun, http.StatusServiceUnavailable, codeLogBusy,
			"group %q has %d commands waiting", n.options.Group, proposalCapacity)}
	}
	begin := time.Now()
	out := n.wait(ctx, p.done, verdict.MayHaveRun)
	if out.err == nil && n.options.CommitDuration != nil {
		n.options.CommitDuration.UpdateDuration(begin)
	}
	return out
}

// readLocally obtains a confirmed read index from the run goroutine.
func (n *Node) readLocally(ctx context.Context) outcome {
	return n.startRead(ctx, &read{done: make(chan outcome, 1)})
}

// heartbeatReadLocally obtains a read index that the next heartbeat confirms.
func (n *Node) heartbeatReadLocally(ctx context.Context) outcome {
	return n.startRead(ctx, &read{onHeartbeat: true, done: make(chan outcome, 1)})
}

// waitApplied returns once the index is applied on this replica.
func (n *Node) waitApplied(ctx context.Context, index uint64) error {
	return n.startRead(ctx, &read{index: index, done: make(chan outcome, 1)}).err
}

// startRead queues a read for the run goroutine and waits for its outcome.
func (n *Node) startRead(ctx context.Context, r *read) outcome {
	select {
	case n.reads <- r:
	default:
		return outcome{err: verdict.New(verdict.NotRun, http.StatusServiceUnavailable, codeLogBusy,
			"group %q has %d reads waiting", n.options.Group, readCapacity)}
	}
	return n.wait(ctx, r.done, verdict.NotRun)
}

// wait waits for an outcome. v is the verdict if ctx or the replica ends before
// there is one.
func (n *Node) wait(ctx context.Context, done <-chan outcome, v verdict.Verdict) outcome {
	select {
	case out := <-done:
		return out
	case <-ctx.Done():
		return outcome{err: verdict.Wrap(ctx.Err(), v, http.StatusGatewayTimeout, codeCommitUnknown,
			"wait for group %q", n.options.Group)}
	case <-n.done:
	}
	select {
	case out := <-done:
		return out
	default:
		return outcome{err: n.stoppedError(v)}
	}
}

// stoppedError returns the error for a replica that has stopped.
func (n *Node) stoppedError(v verdict.Verdict) error {
	return verdict.New(v, http.StatusServiceUnavailable, codeCommitUnknown,
		"the replica of group %q stopped", n.options.Group)
}

// propose appends a command and the queued commands behind it to the log as one
// batch.
func (n *Node) propose(p *proposal) {
	batch := []*proposal{p}
	size := len(p.command)
	for len(batch) < maxBatchCommands && size < maxAppendBytes && len(n.proposals) > 0 {
		next := <-n.proposals
		batch = append(batch, next)
		size += len(next.command)
	}
	batch = slices.DeleteFunc(batch, func(one *proposal) bool {
		otherTerm := one.term != 0 && one.term != n.core.Term()
		if otherTerm {
			one.done <- outcome{err: n.noLeaderError()}
		}
		return otherTerm
	})
	if len(batch) == 0 {
		return
	}
	commands := make([][]byte, len(batch))
	for i, one := range batch {
		commands[i] = one.command
	}
	first, ok := n.core.Propose(commands...)
	for i, one := range batch {
		if !ok {
			one.done <- outcome{err: n.noLeaderError()}
			continue
		}
		one.id = raft.EntryID{Index: first.Index + uint64(i), Term: first.Term}
		if older := n.pendingProposals[one.id.Index]; older != nil {
			older.done <- outcome{err: n.overwrittenError(one.id.Index)}
		}
		n.pendingProposals[one.id.Index] = one
	}
}

// overwrittenError returns the error for a proposal whose entry was overwritten
// in this replica's log. Another replica may still hold the entry and commit
// it.
func (n *Node) overwrittenError(index uint64) error {
	return verdict.New(verdict.MayHaveRun, http.StatusServiceUnavailable, codeCommitUnknown,
		"entry %d of group %q was replaced on this replica", index, n.options.Group)
}

// read starts a read on the core. A read that already has an index waits until
// that is applied.
func (n *Node) read(r *read) {
	if r.index > 0 {
		n.finishOrQueue(r)
		return
	}
	n.lastReadID++
	start := n.core.Read
	if r.onHeartbeat {
		start = n.core.ReadAtHeartbeat
	}
	if !start(n.lastReadID) {
		r.done <- outcome{err: n.noLeaderError()}
		return
	}
	n.pendingReads[n.lastReadID] = r
}

// finishReads completes the reads that the core has confirmed or dropped.
func (n *Node) finishReads(results []raft.ReadResult) {
	for _, result := range results {
		r := n.pendingReads[result.ID]
		delete(n.pendingReads, result.ID)
		switch {
		case r == nil:
		case result.Lost:
			r.done <- outcome{err: n.noLeaderError()}
		default:
			r.done <- outcome{index: result.Index}
		}
	}
}

// finishOrQueue completes a read whose index is applied, and queues any other.
func (n *Node) finishOrQueue(r *read) {
	if r.index <= n.applied {
		r.done <- outcome{index: r.index}
		return
	}
	n.unappliedReads = append(n.unappliedReads, r)
}

// apply applies a committed entry and completes the proposal that waits for it.
func (n *Node) apply(e raft.Entry) {
	out := outcome{err: verdict.New(verdict.NotRun, http.StatusServiceUnavailable, codeEntryLost,
		"entry %d of group %q was committed by another leader", e.Index, n.options.Group)}
	var applied outcome
	if e.Type == raft.EntryCommand {
		applied.result, applied.err = applyAt(n.options.Machine, e.Index, e.Data)
	}
	n.snapshots.commandBytes += len(e.Data)
	n.applied = e.Index
	if p := n.pendingProposals[e.Index]; p != nil {
		delete(n.pendingProposals, e.Index)
		if p.id.Term == e.Term {
			out = applied
		}
		p.done <- out
	}
	n.finishApplied()
}

// finishApplied completes the queued reads whose index is now applied.
func (n *Node) finishApplied() {
	reads := n.unappliedReads
	n.unappliedReads = nil
	for _, r := range reads {
		n.finishOrQueue(r)
	}
}

// failPending completes all pending and queued proposals with an error when the
// replica stops.
func (n *Node) failPending() {
	for _, p := range n.pendingProposals {
		p.done <- outcome{err: n.stoppedError(verdict.MayHaveRun)}
	}
	for len(n.proposals) > 0 {
		(<-n.proposals).done <- outcome{err: n.stoppedError(verdict.NotRun)}
	}
}
