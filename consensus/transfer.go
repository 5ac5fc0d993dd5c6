package consensus

import (
	"context"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"tanagerbarrow/consensus/raft"
	"tanagerbarrow/verdict"
)

// The bounds of snapshots.
const (
	// defaultSnapshotEntries is the number of entries between two snapshots.
	defaultSnapshotEntries = 10_000
	// snapshotLogBytes of commands also cause a snapshot.
	snapshotLogBytes = 16 << 20
	// keptEntries stay in memory behind a snapshot for slow replicas.
	keptEntries = 2_000
	// snapshotPartBytes is the size of a part on the wire, in bytes.
	snapshotPartBytes = 1 << 20
	// maxSnapshotBytes bounds an incoming snapshot, in bytes.
	maxSnapshotBytes = 1 << 30
	// snapshotTimeout bounds the sending of one snapshot.
	snapshotTimeout = 20 * time.Second
)

// snapshotter decides when to take snapshots.
type snapshotter struct {
	// last is the index of the newest snapshot, and bytes the size of the
	// commands applied since.
	last  uint64
	bytes int
	// busy says that a snapshot is being written.
	busy bool
	// failed is the error of the last write.
	failed error
}

// takeSnapshot takes a snapshot if one is due. It is written beside the log.
func (n *Node) takeSnapshot() error {
	if n.snapshots.failed != nil || n.snapshots.busy {
		return n.snapshots.failed
	}
	entries := n.options.SnapshotEntries
	if entries == 0 {
		entries = defaultSnapshotEntries
	}
	if n.applied < n.snapshots.last+entries && n.snapshots.bytes < snapshotLogBytes {
		return nil
	}
	data, err := n.options.Machine.Snapshot()
	if err != nil {
		return errors.Wrapf(err, "take a snapshot at index %d", n.applied)
	}
	s := raft.Snapshot{Meta: n.core.SnapshotMeta(n.applied), Data: data}
	n.snapshots.busy, n.snapshots.bytes = true, 0
	n.joined.Go(func() {
		err := n.store.SaveSnapshot(s)
		n.enqueue(func() { n.snapshotSaved(s.Meta, err) })
	})
	return nil
}

// snapshotSaved drops the log that a durable snapshot covers.
func (n *Node) snapshotSaved(meta raft.SnapshotMeta, err error) {
	n.snapshots.busy = false
	if err == nil && meta.Last.Index > n.snapshots.last {
		n.snapshots.last = meta.Last.Index
		n.core.Compact(meta, keptEntries)
		err = n.store.Trim(meta.Last.Index)
	}
	n.snapshots.failed = err
}

// enqueue hands a task to the run goroutine, unless it has ended.
func (n *Node) enqueue(task func()) {
	select {
	case n.tasks <- task:
	case <-n.done:
	}
}

// install replaces the state machine's state by the leader's snapshot.
func (n *Node) install(s raft.Snapshot) error {
	if err := n.options.Machine.Restore(s.Data); err != nil {
		return errors.Wrapf(err, "restore the leader's snapshot at index %d", s.Meta.Last.Index)
	}
	n.applied, n.snapshots.last, n.snapshots.bytes = s.Meta.Last.Index, s.Meta.Last.Index, 0
	for index, p := range n.waiting {
		if index <= n.applied {
			p.done <- outcome{err: verdict.New(verdict.MayHaveRun, http.StatusServiceUnavailable, codeUnknown,
				"entry %d of group %q is covered by a snapshot", index, n.options.Group)}
			delete(n.waiting, index)
		}
	}
	n.finishApplied()
	n.log.Info().Uint64("index", n.applied).Msg("snapshot installed")
	return nil
}

// sendSnapshot sends the newest snapshot in the background.
func (n *Node) sendSnapshot(m raft.Message) {
	to, ok := n.find(m.To)
	if !ok {
		return
	}
	n.joined.Go(func() {
		ctx, cancel := context.WithTimeout(n.life, snapshotTimeout)
		defer cancel()
		if err := n.sendParts(ctx, to, m); err != nil {
			n.log.Warn().Err(err).Str("host", to.Name).Msg("snapshot not sent")
			n.enqueue(func() { n.core.SnapshotFailed(m.To) })
		}
	})
}

// sendParts sends the newest snapshot in parts.
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

// assembly collects the parts of one snapshot.
type assembly struct {
	last raft.EntryID
	data []byte
}

// receivePart adds a part and hands the whole snapshot to the core.
func (n *Node) receivePart(p *SnapshotPart) error {
	if p == nil || p.Message.Snapshot == nil || p.Total > maxSnapshotBytes {
		return n.rejected(errors.New("the part of a snapshot is malformed"))
	}
	from, last := p.Message.From, p.Message.Snapshot.Meta.Last
	a := n.assemblies[from]
	if p.Offset == 0 {
		a = &assembly{last: last, data: make([]byte, 0, p.Total)}
		clear(n.assemblies)
		n.assemblies[from] = a
	}
	if a == nil || a.last != last || len(a.data) != p.Offset {
		return n.rejected(errors.Newf("a part of the snapshot before offset %d is missing", p.Offset))
	}
	a.data = append(a.data, p.Data...)
	if len(a.data) < p.Total {
		return nil
	}
	delete(n.assemblies, from)
	m := p.Message
	m.Snapshot = &raft.Snapshot{Meta: p.Message.Snapshot.Meta, Data: a.data}
	n.core.Step(m)
	return nil
}

// rejected returns the error of a request that was not carried out.
func (n *Node) rejected(err error) error {
	return verdict.Wrap(err, verdict.NotRun, http.StatusConflict, codeRejected, "group %q", n.options.Group)
}
