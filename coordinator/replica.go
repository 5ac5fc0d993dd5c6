package coordinator

import (
	"context"
	"path/filepath"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"tanagerbarrow/consensus"
	"tanagerbarrow/consensus/wal"
)

// diskProbeInterval is the time between two attempts to write to a disk that has failed: a small
// part of the seconds for which disks are full.
const diskProbeInterval = 250 * time.Millisecond

// diskProbeBytes is the size of such an attempt; a disk that takes it has room for the next
// entries of the log.
const diskProbeBytes = 256 << 10

// diskProbeFile is the name of the file of such an attempt in the data folder.
const diskProbeFile = "disk-probe"

// replica is this host's replica of the log. It is opened anew after its disk has failed, so
// that a full disk ends neither the process nor what it does for entries and backend servers.
type replica struct {
	current atomic.Pointer[consensus.Node]
	open    func() (*consensus.Node, error)
}

// openReplica opens the replica for the first time.
func openReplica(open func() (*consensus.Node, error)) (*replica, error) {
	r := &replica{open: open}
	return r, r.reopen()
}

// reopen opens the replica and reads its state from the disk.
func (r *replica) reopen() error {
	node, err := r.open()
	if err == nil {
		r.current.Store(node)
	}
	return err
}

// Propose, ProposeInTerm, ReadBarrier, ReadIndex, HeartbeatReadBarrier, Receive, Handle, Status,
// Done, Close and Kill are those of the [consensus.Node] that is open, or was last.
func (r *replica) Propose(ctx context.Context, command []byte) ([]byte, error) {
	return r.current.Load().Propose(ctx, command)
}

// ProposeInTerm is described at Propose.
func (r *replica) ProposeInTerm(ctx context.Context, term uint64, command []byte) ([]byte, error) {
	return r.current.Load().ProposeInTerm(ctx, term, command)
}

// ReadBarrier is described at Propose.
func (r *replica) ReadBarrier(ctx context.Context) error { return r.current.Load().ReadBarrier(ctx) }

// ReadIndex is described at Propose.
func (r *replica) ReadIndex(ctx context.Context) (uint64, error) {
	return r.current.Load().ReadIndex(ctx)
}

// HeartbeatReadBarrier is described at Propose.
func (r *replica) HeartbeatReadBarrier(ctx context.Context) error {
	return r.current.Load().HeartbeatReadBarrier(ctx)
}

// Receive is described at Propose.
func (r *replica) Receive(e consensus.Envelope) { r.current.Load().Receive(e) }

// Handle is described at Propose.
func (r *replica) Handle(ctx context.Context, request consensus.Request) consensus.Response {
	return r.current.Load().Handle(ctx, request)
}

// Status is described at Propose.
func (r *replica) Status() consensus.Status { return r.current.Load().Status() }

// Done is described at Propose.
func (r *replica) Done() <-chan struct{} { return r.current.Load().Done() }

// Close is described at Propose.
func (r *replica) Close() error { return r.current.Load().Close() }

// Kill is described at Propose.
func (r *replica) Kill() { r.current.Load().Kill() }

// errReplicaFailed means that this host's disk takes no writes.
var errReplicaFailed = errors.New("the disk of this host has failed")

// failed reports whether the replica has stopped and is not open again yet.
func (r *replica) failed() bool {
	select {
	case <-r.Done():
		return true
	default:
		return false
	}
}

// runReplica opens the replica anew each time its disk has failed, until ctx ends or the replica
// can't be opened although the disk takes writes.
func (c *Coordinator) runReplica(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return c.node.Close()
		case <-c.node.Done():
		}
		c.stopLeading("replica failed")
		// What the disk holds is unknown after a failed write; only reading it again tells.
		failure := c.node.Close()
		c.log.Error().Str("event", "replica_failed").Err(failure).Send()
		if !c.awaitDisk(ctx) {
			return nil
		}
		if err := c.machine.Reset(); err != nil {
			return err
		}
		if err := c.node.reopen(); err != nil {
			return errors.CombineErrors(err, failure)
		}
		c.log.Warn().Str("event", "replica_reopened").Send()
	}
}

// awaitDisk waits until the disk takes writes. It reports false if ctx ends before.
func (c *Coordinator) awaitDisk(ctx context.Context) bool {
	for {
		select {
		case <-ctx.Done():
			return false
		case <-time.After(diskProbeInterval):
		}
		if probeDisk(c.options.Disk, c.options.Settings.DataFolder) == nil {
			return true
		}
	}
}

// probeDisk writes, syncs and removes a file in a folder.
func probeDisk(disk wal.FS, folder string) error {
	path := filepath.Join(folder, diskProbeFile)
	f, err := disk.OpenAppend(path)
	if err != nil {
		return err
	}
	_, err = f.Write(make([]byte, diskProbeBytes))
	if err == nil {
		err = f.Sync()
	}
	err = errors.CombineErrors(err, f.Close())
	return errors.CombineErrors(err, disk.Remove(path))
}
