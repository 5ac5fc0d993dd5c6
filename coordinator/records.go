package coordinator

import (
	"context"
	"encoding/json"
	"io/fs"
	"os"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/rs/zerolog"

	"tanagerbarrow/protocol"
	"tanagerbarrow/registry"
)

// The constants of the kept records.
const (
	// recordsFile is the file's name in the data folder.
	recordsFile = "servers.json"
	// keepPause is the least time between two writes: a small part of the time
	// in which all backend servers announce themselves anyway.
	keepPause = 500 * time.Millisecond
	// expirePeriod is how often lost servers are forgotten, and lostSilence the
	// silence that makes a server lost: long after it gets no requests any more,
	// and long enough for one that was cut off to come back as the same.
	expirePeriod = 15 * time.Second
	lostSilence  = time.Minute
	// filePermission lets nobody else read the file.
	filePermission = 0o600
)

// recordStore keeps the records of backend servers on the disk, so that a
// deployment whose hosts all lost power serves again before every server has
// announced itself. The file is a hint: what it holds gets requests only once a
// heartbeat or a health check has confirmed it.
type recordStore struct {
	path string
	log  zerolog.Logger
}

// newRecordStore returns a store in a file.
func newRecordStore(path string, log zerolog.Logger) *recordStore {
	return &recordStore{path: path, log: log}
}

// load returns the kept records. A file that is missing, torn or unreadable
// holds none: heartbeats tell the same within seconds.
func (s *recordStore) load(now time.Time) []registry.Record {
	data, err := os.ReadFile(s.path)
	if errors.Is(err, fs.ErrNotExist) {
		return nil
	}
	var kept []protocol.Heartbeat
	if err == nil {
		err = json.Unmarshal(data, &kept)
	}
	if err != nil {
		s.log.Warn().Str("event", "records_unreadable").Err(err).Send()
		return nil
	}
	var records []registry.Record
	for _, h := range kept {
		b := fromWire(h)
		b.Sequence, b.ColdRemaining = 0, 0
		records = append(records, registry.Record{BackendServer: b, LastHeartbeat: now})
	}
	return records
}

// save replaces the kept records.
func (s *recordStore) save(records []protocol.Heartbeat) error {
	data, err := json.Marshal(records)
	if err != nil {
		return errors.Wrap(err, "encode records")
	}
	next := s.path + ".next"
	f, err := os.OpenFile(next, os.O_CREATE|os.O_WRONLY|os.O_TRUNC, filePermission)
	if err != nil {
		return errors.Wrap(err, "open records")
	}
	_, err = f.Write(data)
	err = errors.CombineErrors(err, f.Sync())
	err = errors.CombineErrors(err, f.Close())
	if err == nil {
		err = os.Rename(next, s.path)
	}
	return errors.Wrap(err, "write records")
}

// keepRecords writes the records when some have changed, until ctx ends.
func (c *Coordinator) keepRecords(ctx context.Context) {
	expire := time.NewTicker(expirePeriod)
	defer expire.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-expire.C:
			c.forgetLost()
			continue
		case <-c.recordsChanged:
		}
		if err := c.store.save(c.allRecords()); err != nil {
			c.log.Warn().Str("event", "records_not_kept").Err(err).Send()
		}
		select {
		case <-ctx.Done():
			return
		case <-time.After(keepPause):
		}
	}
}

// forgetLost forgets the servers that ended without a word.
func (c *Coordinator) forgetLost() {
	now := time.Now()
	c.mu.Lock()
	c.records.Expire(now, lostSilence)
	l := c.leader
	c.mu.Unlock()
	if l != nil {
		l.post(l.forgetLost)
	}
}

// noteRecordsChanged wakes the duty that keeps the records.
func (c *Coordinator) noteRecordsChanged() {
	select {
	case c.recordsChanged <- struct{}{}:
	default:
	}
}
