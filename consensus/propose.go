package consensus

import (
	"context"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"tanagerbarrow/consensus/raft"
	"tanagerbarrow/verdict"
)

// The times of proposals and reads.
const (
	// defaultTimeout bounds a call whose context has no deadline.
	defaultTimeout = 5 * time.Second
	// leaderPause is the time between two looks for a leader.
	leaderPause = 25 * time.Millisecond
)

// The codes of failures.
const (
	codeNoLeader  = "no_leader"
	codeBusy      = "log_busy"
	codeLost      = "log_entry_lost"
	codeUnknown   = "commit_unknown"
	codeTooLarge  = "command_too_large"
	codeRejected  = "change_rejected"
	codeNotServed = "group_not_served"
)

// outcome is what became of a proposal or a read.
type outcome struct {
	result []byte
	index  uint64
	err    error
}

// proposal is a command on its way into the log.
type proposal struct {
	command []byte
	id      raft.EntryID
	done    chan outcome
}

// read is a linearizable read; index is set if the leader has confirmed it.
type read struct {
	index uint64
	// later says that the read may wait for a heartbeat.
	later bool
	done  chan outcome
}

// Propose commits a command and returns the state machine's encoded result.
// While no leader is known it waits, at most until ctx ends.
func (n *Node) Propose(ctx context.Context, command []byte) ([]byte, error) {
	if len(command) > maxCommandBytes {
		return nil, verdict.New(verdict.NotRun, http.StatusRequestEntityTooLarge, codeTooLarge,
			"command for group %q has %d bytes, at most %d are allowed", n.options.Group, len(command), maxCommandBytes)
	}
	out := n.onLeader(ctx, Request{Group: n.options.Group, Kind: RequestPropose, Command: command},
		func(ctx context.Context) outcome { return n.proposeHere(ctx, command) })
	return out.result, out.err
}

// ReadBarrier returns once the state machine holds every command that was
// committed before the call.
func (n *Node) ReadBarrier(ctx context.Context) error {
	out := n.onLeader(ctx, Request{Group: n.options.Group, Kind: RequestRead}, n.readHere)
	if out.err != nil {
		return out.err
	}
	return n.await(ctx, out.index)
}

// HeartbeatReadBarrier is a ReadBarrier that waits for the leader's next heartbeat and costs no
// round of its own: a cheap proof of being in touch with the quorum.
func (n *Node) HeartbeatReadBarrier(ctx context.Context) error {
	out := n.onLeader(ctx, Request{Group: n.options.Group, Kind: RequestTouch}, n.touchHere)
	if out.err != nil {
		return out.err
	}
	return n.await(ctx, out.index)
}

// onLeader carries out a request on the leader: here, or on the host that
// leads. It tries again while that cannot commit anything twice.
func (n *Node) onLeader(ctx context.Context, r Request, here func(context.Context) outcome) outcome {
	if _, ok := ctx.Deadline(); !ok {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, defaultTimeout)
		defer cancel()
	}
	out := outcome{err: n.noLeader()}
	for ctx.Err() == nil {
		out = n.tryLeader(ctx, r, here)
		if out.err == nil || !repeatable(r, out.err) {
			return out
		}
		if !n.pause(ctx, leaderPause) {
			return out
		}
	}
	return out
}

// repeatable reports whether a failed request can be sent again. A membership
// change can, whatever became of it: it names what shall hold, so one that has
// been carried out changes nothing when it comes again.
func repeatable(r Request, err error) bool {
	return r.Kind == RequestChange || verdict.Of(err) == verdict.NotRun
}

// tryLeader carries out a request on the leader that is known now.
func (n *Node) tryLeader(ctx context.Context, r Request, here func(context.Context) outcome) outcome {
	status := n.Status()
	if status.Leader == "" {
		return outcome{err: n.noLeader()}
	}
	if status.Role == raft.Leader.String() {
		return here(ctx)
	}
	for _, m := range status.Members.All() {
		if m.ID == status.LeaderID {
			return n.forward(ctx, n.listed(m), r)
		}
	}
	return outcome{err: n.noLeader()}
}

// forward sends a request to the leader.
func (n *Node) forward(ctx context.Context, to raft.Member, r Request) outcome {
	response, err := n.options.Transport.Call(ctx, to, r)
	if err != nil {
		v := verdict.MayHaveRun
		if errors.Is(err, ErrNotConnected) || r.Kind == RequestRead || r.Kind == RequestTouch {
			v = verdict.NotRun
		}
		return outcome{err: verdict.Wrap(err, v, http.StatusServiceUnavailable, codeUnknown,
			"forward to the leader of group %q on host %q", n.options.Group, to.Name)}
	}
	return outcome{result: response.Result, index: response.Index, err: response.err()}
}

// pause waits and reports false if ctx or the replica ended.
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

// noLeader returns the error for a group without a known leader.
func (n *Node) noLeader() error {
	return verdict.New(verdict.NotRun, http.StatusServiceUnavailable, codeNoLeader,
		"group %q has no known leader", n.options.Group)
}

// proposeHere hands a command to the run goroutine and waits.
func (n *Node) proposeHere(ctx context.Context, command []byte) outcome {
	p := &proposal{command: command, done: make(chan outcome, 1)}
	select {
	case n.proposals <- p:
	default:
		return outcome{err: verdict.New(verdict.NotRun, http.StatusServiceUnavailable, codeBusy,
			"group %q has %d commands waiting", n.options.Group, proposalCapacity)}
	}
	begin := time.Now()
	out := n.wait(ctx, p.done, verdict.MayHaveRun)
	if out.err == nil && n.options.CommitDuration != nil {
		n.options.CommitDuration.UpdateDuration(begin)
	}
	return out
}

// readHere asks the run goroutine for a confirmed read index.
func (n *Node) readHere(ctx context.Context) outcome {
	return n.startRead(ctx, &read{done: make(chan outcome, 1)})
}

// touchHere asks the run goroutine for a read index that the next heartbeat
// confirms.
func (n *Node) touchHere(ctx context.Context) outcome {
	return n.startRead(ctx, &read{later: true, done: make(chan outcome, 1)})
}

// await returns once the index is applied here.
func (n *Node) await(ctx context.Context, index uint64) error {
	return n.startRead(ctx, &read{index: index, done: make(chan outcome, 1)}).err
}

// startRead hands a read to the run goroutine and waits.
func (n *Node) startRead(ctx context.Context, r *read) outcome {
	select {
	case n.reads <- r:
	default:
		return outcome{err: verdict.New(verdict.NotRun, http.StatusServiceUnavailable, codeBusy,
			"group %q has %d reads waiting", n.options.Group, readCapacity)}
	}
	return n.wait(ctx, r.done, verdict.NotRun)
}

// wait waits for an outcome. v is the verdict if there is none in time.
func (n *Node) wait(ctx context.Context, done <-chan outcome, v verdict.Verdict) outcome {
	select {
	case out := <-done:
		return out
	case <-ctx.Done():
		return outcome{err: verdict.Wrap(ctx.Err(), v, http.StatusGatewayTimeout, codeUnknown,
			"wait for group %q", n.options.Group)}
	case <-n.done:
	}
	select {
	case out := <-done:
		return out
	default:
		return outcome{err: n.stopped(v)}
	}
}

// stopped returns the error of a replica that ended.
func (n *Node) stopped(v verdict.Verdict) error {
	return verdict.New(v, http.StatusServiceUnavailable, codeUnknown, "the replica of group %q stopped", n.options.Group)
}

// propose appends a command and those that wait behind it as one batch.
func (n *Node) propose(p *proposal) {
	batch := []*proposal{p}
	size := len(p.command)
	for len(batch) < maxBatchCommands && size < maxAppendBytes && len(n.proposals) > 0 {
		next := <-n.proposals
		batch = append(batch, next)
		size += len(next.command)
	}
	commands := make([][]byte, len(batch))
	for i, one := range batch {
		commands[i] = one.command
	}
	first, ok := n.core.Propose(commands...)
	for i, one := range batch {
		if !ok {
			one.done <- outcome{err: n.noLeader()}
			continue
		}
		one.id = raft.EntryID{Index: first.Index + uint64(i), Term: first.Term}
		if older := n.waiting[one.id.Index]; older != nil {
			older.done <- outcome{err: n.overwritten(one.id.Index)}
		}
		n.waiting[one.id.Index] = one
	}
}

// overwritten returns the error of a proposal whose entry is no longer in this
// replica's log. Another replica may still hold and commit it.
func (n *Node) overwritten(index uint64) error {
	return verdict.New(verdict.MayHaveRun, http.StatusServiceUnavailable, codeUnknown,
		"entry %d of group %q was replaced on this replica", index, n.options.Group)
}

// read starts a read on the core, or waits for its index to be applied.
func (n *Node) read(r *read) {
	if r.index > 0 {
		n.finishOrKeep(r)
		return
	}
	n.nextRead++
	start := n.core.Read
	if r.later {
		start = n.core.ReadAtHeartbeat
	}
	if !start(n.nextRead) {
		r.done <- outcome{err: n.noLeader()}
		return
	}
	n.openReads[n.nextRead] = r
}

// finishReads answers the reads that the core has ended.
func (n *Node) finishReads(results []raft.ReadResult) {
	for _, result := range results {
		r := n.openReads[result.ID]
		delete(n.openReads, result.ID)
		switch {
		case r == nil:
		case result.Lost:
			r.done <- outcome{err: n.noLeader()}
		default:
			r.done <- outcome{index: result.Index}
		}
	}
}

// finishOrKeep answers a read whose index is applied.
func (n *Node) finishOrKeep(r *read) {
	if r.index <= n.applied {
		r.done <- outcome{index: r.index}
		return
	}
	n.appliedReads = append(n.appliedReads, r)
}

// apply applies a committed entry and answers its proposal.
func (n *Node) apply(e raft.Entry) {
	out := outcome{err: verdict.New(verdict.NotRun, http.StatusServiceUnavailable, codeLost,
		"entry %d of group %q was committed by another leader", e.Index, n.options.Group)}
	var applied outcome
	if e.Type == raft.EntryCommand {
		applied.result, applied.err = n.options.Machine.Apply(e.Data)
	}
	n.snapshots.bytes += len(e.Data)
	n.applied = e.Index
	if p := n.waiting[e.Index]; p != nil {
		delete(n.waiting, e.Index)
		if p.id.Term == e.Term {
			out = applied
		}
		p.done <- out
	}
	n.finishApplied()
}

// finishApplied answers the reads whose index is applied by now.
func (n *Node) finishApplied() {
	reads := n.appliedReads
	n.appliedReads = nil
	for _, r := range reads {
		n.finishOrKeep(r)
	}
}

// abandon answers all that waits when the replica stops.
func (n *Node) abandon() {
	for _, p := range n.waiting {
		p.done <- outcome{err: n.stopped(verdict.MayHaveRun)}
	}
	for len(n.proposals) > 0 {
		(<-n.proposals).done <- outcome{err: n.stopped(verdict.NotRun)}
	}
}
