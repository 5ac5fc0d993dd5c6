package coordinator

import (
	"context"
	"encoding/json"
	"io/fs"
	"os"
	"path/filepath"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/rs/zerolog"

	"tanagerbarrow/protocol"
	"tanagerbarrow/registry"
)

// Storage and expiry of the records of backend servers.
const (
	// recordsFile is the name of the records file in the data folder.
	recordsFile = "servers.json"
	// saveInterval is the minimum time between two writes: a small part of the
	// time in which all backend servers send a heartbeat anyway.
	saveInterval = 500 * time.Millisecond
	// expirePeriod is how often lost servers are removed, and lostServerTimeout
	// the silence after which a server counts as lost: long after it gets no
	// requests any more, and long enough for a server that was disconnected to
	// return under the same record.
	expirePeriod      = 15 * time.Second
	lostServerTimeout = time.Minute
	// filePermission makes the file accessible to its owner only.
	filePermission = 0o600
)

// recordStore stores the records of backend servers on disk, so that a
// deployment whose hosts have all lost power can serve before every server has
// sent a heartbeat. The file is a hint: a server loaded from it gets requests
// only once a heartbeat or a health check has confirmed it.
type recordStore struct {
	path, versionsPath string
	log                zerolog.Logger
}

// newRecordStore returns a store that uses the file at path, and one for versions beside it.
func newRecordStore(path string, log zerolog.Logger) *recordStore {
	return &recordStore{path: path, versionsPath: filepath.Join(filepath.Dir(path), versionsFile), log: log}
}

// load returns the stored records. A file that is missing, truncated or
// unreadable yields none, and an entry that can't be decoded or isn't valid is left out:
// heartbeats deliver the same records within seconds.
func (s *recordStore) load(now time.Time) []registry.Record {
	data, err := os.ReadFile(s.path)
	if errors.Is(err, fs.ErrNotExist) {
		return nil
	}
	var stored []json.RawMessage
	if err == nil {
		err = json.Unmarshal(data, &stored)
	}
	if err != nil {
		s.log.Warn().Str("event", "records_unreadable").Err(err).Send()
		return nil
	}
	var records []registry.Record
	for n, entry := range stored {
		var h protocol.Heartbeat
		err := json.Unmarshal(entry, &h)
		b := serverFromWire(h)
		if err == nil {
			err = b.Check()
		}
		if err != nil {
			s.log.Warn().Str("event", "record_refused").Int("entry", n).Err(err).Send()
			continue
		}
		b.Sequence, b.ColdRemaining = 0, 0
		records = append(records, registry.Record{BackendServer: b, LastHeartbeat: now})
	}
	return records
}

// save replaces the stored records.
func (s *recordStore) save(records []protocol.Heartbeat) error { return replaceFile(s.path, records) }

// replaceFile replaces the content of a file by a value in JSON.
func replaceFile(path string, v any) error {
	data, err := json.Marshal(v)
	if err != nil {
		return errors.Wrap(err, "encode records")
	}
	tempPath := path + ".next"
	f, err := os.OpenFile(tempPath, os.O_CREATE|os.O_WRONLY|os.O_TRUNC, filePermission)
	if err != nil {
		return errors.Wrap(err, "open records")
	}
	_, err = f.Write(data)
	err = errors.CombineErrors(err, f.Sync())
	err = errors.CombineErrors(err, f.Close())
	if err == nil {
		err = os.Rename(tempPath, path)
	}
	return errors.Wrap(err, "write records")
}

// saveChangedRecords saves the records after changes and removes lost servers
// periodically, until ctx ends.
func (c *Coordinator) saveChangedRecords(ctx context.Context) {
	expire := time.NewTicker(expirePeriod)
	defer expire.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-expire.C:
			c.removeLostServers()
			continue
		case <-c.recordsChanged:
		}
		if err := c.saveRecords(); err != nil {
			c.log.Warn().Str("event", "records_not_kept").Err(err).Send()
		}
		select {
		case <-ctx.Done():
			return
		case <-time.After(saveInterval):
		}
	}
}

// removeLostServers removes the servers that stopped without deregistration.
func (c *Coordinator) removeLostServers() {
	now := time.Now()
	c.mu.Lock()
	c.records.Expire(now, lostServerTimeout)
	l := c.leader
	c.mu.Unlock()
	if l != nil {
		l.post(l.removeLostServers)
	}
}

// signalRecordsChanged wakes saveChangedRecords.
func (c *Coordinator) signalRecordsChanged() {
	select {
	case c.recordsChanged <- struct{}{}:
	default:
	}
}
