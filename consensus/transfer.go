package consensus

import (
	"context"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"tanagerbarrow/consensus/raft"
	"tanagerbarrow/verdict"
)

// Bounds of snapshots.
const (
	// defaultSnapshotEntries is the number of entries between two snapshots.
	defaultSnapshotEntries = 10_000
	// snapshotCommandBytes is the size of applied commands that also triggers a
	// snapshot, in bytes.
	snapshotCommandBytes = 16 << 20
	// retainedEntries is the number of entries before a snapshot that are kept
	// in memory for slow replicas.
	retainedEntries = 2_000
	// snapshotPartBytes is the size of a snapshot part on the wire, in bytes.
	snapshotPartBytes = 1 << 20
	// maxSnapshotBytes bounds an incoming snapshot, in bytes.
	maxSnapshotBytes = 1 << 30
	// snapshotTimeout bounds the transfer of one snapshot.
	snapshotTimeout = 20 * time.Second
)

// snapshotter tracks when the next snapshot is due.
type snapshotter struct {
	// lastIndex is the index of the newest snapshot, and commandBytes the size
	// of the commands applied since, in bytes.
	lastIndex    uint64
	commandBytes int
	// saving says that a snapshot is being written.
	saving bool
	// err is the error of the last write, or nil.
	err error
}

// takeSnapshot takes a snapshot if one is due. It is written in the background,
// so that the log can be written meanwhile.
func (n *Node) takeSnapshot() error {
	if n.snapshots.err != nil || n.snapshots.saving {
		return n.snapshots.err
	}
	entries := n.options.SnapshotEntries
	if entries == 0 {
		entries = defaultSnapshotEntries
	}
	if n.applied < n.snapshots.lastIndex+entries && n.snapshots.commandBytes < snapshotCommandBytes {
		return nil
	}
	data, err := n.options.Machine.Snapshot()
	if err != nil {
		return errors.Wrapf(err, "take a snapshot at index %d", n.applied)
	}
	s := raft.Snapshot{Meta: n.core.SnapshotMeta(n.applied), Data: data}
	n.snapshots.saving, n.snapshots.commandBytes = true, 0
	n.background.Go(func() {
		err := n.store.SaveSnapshot(s)
		n.enqueue(func() { n.snapshotSaved(s.Meta, err) })
	})
	return nil
}

// snapshotSaved removes the part of the log that a durable snapshot covers.
func (n *Node) snapshotSaved(meta raft.SnapshotMeta, err error) {
	n.snapshots.saving = false
	if err == nil && meta.Last.Index > n.snapshots.lastIndex {
		n.snapshots.lastIndex = meta.Last.Index
		n.core.Compact(meta, retainedEntries)
		err = n.store.Trim(meta.Last.Index)
	}
	n.snapshots.err = err
}

// enqueue queues a task for the run goroutine, unless that has ended.
func (n *Node) enqueue(task func()) {
	select {
	case n.tasks <- task:
	case <-n.done:
	}
}

// install replaces the state machine's state with the leader's snapshot.
func (n *Node) install(s raft.Snapshot) error {
	if err := restoreAt(n.options.Machine, s.Meta.Last.Index, s.Data); err != nil {
		return errors.Wrapf(err, "restore the leader's snapshot at index %d", s.Meta.Last.Index)
	}
	n.applied, n.snapshots.lastIndex, n.snapshots.commandBytes = s.Meta.Last.Index, s.Meta.Last.Index, 0
	for index, p := range n.pendingProposals {
		if index <= n.applied {
			p.done <- outcome{err: verdict.New(verdict.MayHaveRun, http.StatusServiceUnavailable, codeCommitUnknown,
				"entry %d of group %q is covered by a snapshot", index, n.options.Group)}
			delete(n.pendingProposals, index)
		}
	}
	n.finishApplied()
	n.log.Info().Uint64("index", n.applied).Msg("snapshot installed")
	return nil
}

// sendSnapshot sends the newest snapshot in the background.
func (n *Node) sendSnapshot(m raft.Message) {
	to, ok := n.findReplica(m.To)
	if !ok {
		return
	}
	n.background.Go(func() {
		ctx, cancel := context.WithTimeout(n.lifetime, snapshotTimeout)
		defer cancel()
		if err := n.sendParts(ctx, to, m); err != nil {
			n.log.Warn().Err(err).Str("host", to.Name).Msg("snapshot not sent")
			n.enqueue(func() { n.core.SnapshotFailed(m.To) })
		}
	})
}

// sendParts sends the newest snapshot in parts, one after the other.
func (n *Node) sendParts(ctx context.Context, to raft.Member, m raft.Message) error {
	s, err := n.store.Snapshot()
	if err != nil {
		return err
	}
	m.Snapshot = &raft.Snapshot{Meta: s.Meta}
	for offset := 0; offset == 0 || offset < len(s.Data); offset += snapshotPartBytes {
		part := &SnapshotPart{
			Message: m, Offset: offset, Total: len(s.Data),
			Data: s.Data[offset:min(offset+snapshotPartBytes, len(s.Data))],
		}
		r, err := n.options.Transport.Call(ctx, to, Request{Group: n.options.Group, Kind: RequestSnapshot, Part: part})
		if err := errors.CombineErrors(err, r.err()); err != nil {
			return err
		}
	}
	return nil
}

// incomingSnapshot collects the parts of a snapshot from one sender.
type incomingSnapshot struct {
	last raft.EntryID
	data []byte
}

// receivePart adds a part and, after the last one, passes the whole snapshot to
// the core.
func (n *Node) receivePart(p *SnapshotPart) error {
	if p == nil || p.Message.Snapshot == nil || p.Total > maxSnapshotBytes {
		return n.rejectedError(errors.New("the part of a snapshot is malformed"))
	}
	from, last := p.Message.From, p.Message.Snapshot.Meta.Last
	a := n.incomingSnapshots[from]
	if p.Offset == 0 {
		a = &incomingSnapshot{last: last, data: make([]byte, 0, p.Total)}
		clear(n.incomingSnapshots)
		n.incomingSnapshots[from] = a
	}
	if a == nil || a.last != last || len(a.data) != p.Offset {
		return n.rejectedError(errors.Newf("a part of the snapshot before offset %d is missing", p.Offset))
	}
	a.data = append(a.data, p.Data...)
	if len(a.data) < p.Total {
		return nil
	}
	delete(n.incomingSnapshots, from)
	m := p.Message
	m.Snapshot = &raft.Snapshot{Meta: p.Message.Snapshot.Meta, Data: a.data}
	n.core.Step(m)
	return nil
}

// rejectedError returns the error for a request that was not executed.
func (n *Node) rejectedError(err error) error {
	return verdict.Wrap(err, verdict.NotRun, http.StatusConflict, codeChangeRejected, "group %q", n.options.Group)
}
