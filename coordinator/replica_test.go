package coordinator

import (
	"sync/atomic"
	"syscall"
	"testing"

	"tanagerbarrow/consensus/wal"
	"tanagerbarrow/registry"
)

// fullDisk is a disk that can be full: it then refuses every write.
type fullDisk struct {
	wal.OS
	full atomic.Bool
}

func (d *fullDisk) OpenAppend(path string) (wal.File, error) {
	f, err := d.OS.OpenAppend(path)
	return fullFile{f, d}, err
}

// fullFile is a file on a disk that can be full.
type fullFile struct {
	wal.File
	disk *fullDisk
}

func (f fullFile) Write(p []byte) (int, error) {
	if f.disk.full.Load() {
		return 0, syscall.ENOSPC
	}
	return f.File.Write(p)
}

// TestHostOutlivesAFullDisk fills the disk of the leader, then that of a follower: the others
// accept changes meanwhile, the host refuses heartbeats rather than keep them to itself, and once
// its disk has room it reads the newest configuration without having been started again.
func TestHostOutlivesAFullDisk(t *testing.T) {
	c := newTestCluster(t)
	disks := map[int]*fullDisk{}
	for n := range 5 {
		disks[n] = &fullDisk{}
		c.disks[n] = disks[n]
		c.start(n, true)
	}
	c.eventually("all hosts vote", func() bool { return len(c.voters(0)) == 5 })
	b := registry.BackendServer{
		ID: "i-1", Started: 1000, Sequence: 1, Service: "s", Address: "127.0.0.1:1", AvailabilityZone: "z0", Slots: 2,
	}
	version := uint64(1)
	c.declare(0, version)
	for _, leads := range []bool{true, false} {
		victim := -1
		c.eventually("a host to fill", func() bool {
			for n, r := range c.running {
				if (r.leading() != nil) == leads {
					victim = n
				}
			}
			return victim >= 0
		})
		disks[victim].full.Store(true)
		version++
		c.declare((victim+1)%5, version)
		c.eventually("the full disk is noticed", c.running[victim].node.failed)
		if err := c.running[victim].Announce(t.Context(), b); err == nil {
			t.Error("a host that doesn't know the leader acknowledged a heartbeat")
		}
		version++
		c.declare((victim+1)%5, version)
		disks[victim].full.Store(false)
		c.expectVersion(victim, version)
		c.eventually("the host votes again", func() bool { return len(c.voters(victim)) == 5 && !c.running[victim].node.failed() })
	}
}
