package coordinator

import (
	"path/filepath"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"tanagerbarrow/protocol"
	"tanagerbarrow/registry"
)

// versionedServer returns a heartbeat of a server of a version.
func versionedServer(version string, sequence uint64) registry.BackendServer {
	return registry.BackendServer{
		ID: "i-1", Started: 5, Sequence: sequence, Service: "s", Address: "10.0.0.9:80", AvailabilityZone: "z1", Slots: 4, Version: version,
	}
}

// versionAt returns the version of the test's server by the broker of the leader.
func (c *testCluster) versionAt(l *leader) string {
	versions := make(chan string, 1)
	l.post(func(time.Time) {
		version := ""
		for _, s := range l.broker.Servers() {
			if s.Record.ID == "i-1" {
				version = s.Record.Version
			}
		}
		versions <- version
	})
	select {
	case v := <-versions:
		return v
	case <-l.done:
		return ""
	}
}

// TestVersionsReachTheNextLeader sends heartbeats to a host that doesn't lead: the leader learns the
// server's version, also the next one and after a restart of all hosts.
func TestVersionsReachTheNextLeader(t *testing.T) {
	c := newTestCluster(t)
	c.startAll()
	c.orderRolloutNow(0, "s", "v2")
	c.eventually("every host knows the roll-out", func() bool {
		for _, r := range c.running {
			if !r.usesVersions() {
				return false
			}
		}
		return true
	})
	other, led := -1, -1
	for n, r := range c.running {
		if r.leading() == nil {
			other = n
		} else {
			led = n
		}
	}
	sequence := uint64(0)
	c.eventually("the leader knows the version", func() bool {
		sequence++
		_ = c.running[other].Announce(t.Context(), versionedServer("v1", sequence))
		l := c.leader()
		return l != nil && c.versionAt(l) == "v1"
	})
	c.kill(led)
	c.eventually("the next leader knows the version", func() bool { l := c.leader(); return l != nil && c.versionAt(l) == "v1" })
	stored := newRecordStore(filepath.Join(c.folders[other], recordsFile), zerolog.Nop())
	c.eventually("the version is stored", func() bool { return stored.loadVersions().of("i-1", 5) == "v1" })
	for n := range c.running {
		c.kill(n)
	}
	for n := range 5 {
		c.start(n, false)
	}
	c.eventually("the leader knows the version after the restart", func() bool { l := c.leader(); return l != nil && c.versionAt(l) == "v1" })
}

// TestVersionOfOtherBuilds checks heartbeats that hosts of earlier builds pass on without a version: they
// don't take away the known one, and one that arrives later completes the record.
func TestVersionOfOtherBuilds(t *testing.T) {
	c := newTestCluster(t)
	h := c.start(0, true)
	version := func() string {
		h.mu.Lock()
		defer h.mu.Unlock()
		return h.records.Get("i-1").Version
	}
	now := time.Now()
	h.recordHeartbeat(versionedServer("", 1), now)
	h.recordVersions([]protocol.ServerVersion{{ID: "i-1", Started: 4, Version: "v0"}})
	if got := version(); got != "" {
		t.Errorf("the version of another start is taken: %q", got)
	}
	h.recordVersions([]protocol.ServerVersion{{ID: "i-1", Started: 5, Version: "v1"}})
	for sequence := uint64(2); sequence < 6; sequence++ {
		if o := h.recordHeartbeat(versionedServer("", sequence), now); o != registry.Refreshed || version() != "v1" {
			t.Errorf("heartbeat %d without a version: outcome %v, version %q", sequence, o, version())
		}
	}
	if o := h.recordHeartbeat(versionedServer("v1", 6), now); o != registry.Refreshed {
		t.Errorf("the same version again: outcome %v", o)
	}
	ahead := versionedServer("", 1)
	ahead.ID, ahead.Address = "i-2", "10.0.0.10:80"
	h.recordVersions([]protocol.ServerVersion{{ID: "i-2", Started: 5, Version: "v2"}})
	h.recordHeartbeat(ahead, now)
	if got := h.records.Get("i-2").Version; got != "v2" {
		t.Errorf("a version that came ahead of its record is lost: %q", got)
	}
	if h.isDeregistered("i-1", 5) || h.usesVersions() {
		t.Error("a deployment without roll-outs uses versions")
	}
}
