package coordinator

import (
	"context"
	"encoding/json"
	"io/fs"
	"os"
	"time"

	"github.com/cockroachdb/errors"

	"tanagerbarrow/link"
	"tanagerbarrow/protocol"
	"tanagerbarrow/registry"
)

// The messages and the file that carry records of backend servers have no place for the version
// of their software, and builds that know no other layout run beside this one. Versions therefore
// travel beside the records, always ahead of them, and each host keeps those that it has heard of.
// A host of an earlier build that passes on a heartbeat loses its version; the receiver then
// knows it from before, or learns it from the server's next heartbeat to a host of this build.

// versionsFile is the name of the file of versions in the data folder. Like the records file it
// is a hint.
const versionsFile = "versions.json"

// maxVersions bounds the number of versions in a table, which is cleared as a whole when it grows
// larger. It is many times the number of backend servers in the largest deployment.
const maxVersions = 40_000

// maxVersionBytes bounds the identifiers and versions of a table, in bytes.
const maxVersionBytes = 256

// fetchVersionsTimeout bounds the call for another host's versions, for which its records
// wait: several round trips between regions.
const fetchVersionsTimeout = 150 * time.Millisecond

// knownVersion is the version of a start of a backend server.
type knownVersion struct {
	started int64
	version string
	// sentInTerm is the term of the leader that they were sent to.
	sentInTerm uint64
}

// versionTable holds the versions of backend servers by their identifiers. It is not safe for
// concurrent use.
type versionTable map[string]knownVersion

// set records the version of a start and reports whether it wasn't known. It ignores versions that
// no valid record has.
func (t versionTable) set(v protocol.ServerVersion) bool {
	known, ok := t[v.ID]
	if v.ID == "" || v.Version == "" || max(len(v.ID), len(v.Version)) > maxVersionBytes || ok && (known.started > v.Started || known.started == v.Started && known.version == v.Version) {
		return false
	}
	if len(t) >= maxVersions {
		clear(t)
	}
	t[v.ID] = knownVersion{started: v.Started, version: v.Version}
	return true
}

// of returns the version of a start; empty if it is not known.
func (t versionTable) of(id string, started int64) string {
	if known, ok := t[id]; ok && known.started == started {
		return known.version
	}
	return ""
}

// usesVersions reports whether the deployment needs the versions of backend servers: its settings
// call for roll-outs, or an operator has ordered one.
func (c *Coordinator) usesVersions() bool {
	state, _ := c.machine.State()
	return c.options.Settings.Features.Rollouts || len(state.Rollouts) > 0
}

// completeVersion adds the version to a record that came without one, and otherwise remembers
// that of the record. The caller holds mu.
func (c *Coordinator) completeVersion(b *registry.BackendServer) {
	if b.Version == "" {
		b.Version = c.versions.of(b.ID, b.Started)
		return
	}
	c.versions.set(protocol.ServerVersion{ID: b.ID, Started: b.Started, Version: b.Version})
}

// forwardVersion tells the leader the version of a server, once for each start and term, ahead
// of its heartbeat.
func (c *Coordinator) forwardVersion(b registry.BackendServer) {
	if b.Version == "" || !c.usesVersions() {
		return
	}
	_, term := c.leaderAddress()
	c.mu.Lock()
	known := c.versions[b.ID]
	c.mu.Unlock()
	if known.started == b.Started && known.sentInTerm == term && term != 0 {
		return
	}
	if !c.sendToLeader(protocol.KindVersions, []protocol.ServerVersion{{ID: b.ID, Started: b.Started, Version: b.Version}}) {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if known, ok := c.versions[b.ID]; ok && known.started == b.Started {
		known.sentInTerm = term
		c.versions[b.ID] = known
	}
}

// receiveVersions handles versions that another host has heard of.
func (c *Coordinator) receiveVersions(body []byte) error {
	var versions []protocol.ServerVersion
	if err := link.Decode(body, &versions); err != nil {
		return err
	}
	c.recordVersions(versions)
	return nil
}

// recordVersions remembers versions, and completes the records that came without one.
func (c *Coordinator) recordVersions(versions []protocol.ServerVersion) {
	c.mu.Lock()
	var changed []registry.Record
	for _, v := range versions {
		if !c.versions.set(v) {
			continue
		}
		if r := c.records.SetVersion(v.ID, v.Started, v.Version); r != nil {
			changed = append(changed, *r)
		}
	}
	l := c.leader
	c.mu.Unlock()
	if len(changed) == 0 {
		return
	}
	c.signalRecordsChanged()
	if l != nil {
		l.post(func(now time.Time) {
			for _, r := range changed {
				l.announce(r, registry.Changed, nil, now)
			}
		})
	}
}

// allVersions returns the versions of the servers whose records this host holds.
func (c *Coordinator) allVersions() []protocol.ServerVersion {
	c.mu.Lock()
	defer c.mu.Unlock()
	var versions []protocol.ServerVersion
	for _, r := range c.records.All() {
		if r.Version != "" {
			versions = append(versions, protocol.ServerVersion{ID: r.ID, Started: r.Started, Version: r.Version})
		}
	}
	return versions
}

// fetchVersions asks another control host for its versions. Hosts that don't know the call
// reject it.
func (c *Coordinator) fetchVersions(ctx context.Context, address string) {
	if !c.usesVersions() {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, fetchVersionsTimeout)
	defer cancel()
	var versions []protocol.ServerVersion
	if err := c.mesh.call(ctx, address, protocol.KindVersions, struct{}{}, &versions); err != nil {
		c.log.Warn().Str("event", "versions_not_fetched").Str("address", address).Err(err).Send()
		return
	}
	c.recordVersions(versions)
}

// loadVersions returns the stored versions. A file that is missing or unreadable yields none.
func (s *recordStore) loadVersions() versionTable {
	t := versionTable{}
	data, err := os.ReadFile(s.versionsPath)
	if errors.Is(err, fs.ErrNotExist) {
		return t
	}
	var stored []protocol.ServerVersion
	if err == nil {
		err = json.Unmarshal(data, &stored)
	}
	if err != nil {
		s.log.Warn().Str("event", "versions_unreadable").Err(err).Send()
		return t
	}
	for _, v := range stored {
		t.set(v)
	}
	return t
}

// saveRecords stores the records and, where they are needed, the versions, which come first:
// no record is stored without its version.
func (c *Coordinator) saveRecords() error {
	if c.usesVersions() {
		if err := replaceFile(c.store.versionsPath, c.allVersions()); err != nil {
			return err
		}
	}
	return c.store.save(c.allRecords())
}
