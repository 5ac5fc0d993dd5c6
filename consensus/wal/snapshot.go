package wal

import (
	"encoding/json"
	"fmt"
	"strings"

	"github.com/cockroachdb/errors"

	"tanagerbarrow/consensus/raft"
)

// SaveSnapshot makes a snapshot durable and removes older ones.
func (s *Store) SaveSnapshot(snapshot raft.Snapshot) error {
	meta, err := encodeRecord(snapshot.Meta)
	if err != nil {
		return err
	}
	name := fmt.Sprintf("%s%016x", snapshotPrefix, snapshot.Meta.Last.Index)
	if err := s.writeFile(name, append(meta, encodePayload(snapshot.Data)...)); err != nil {
		return err
	}
	names, err := s.fs.ReadDir(s.folder)
	if err != nil {
		return errors.Wrapf(err, "list folder %q", s.folder)
	}
	for _, old := range names {
		finished := strings.HasPrefix(old, snapshotPrefix) && !strings.HasSuffix(old, temporarySuffix)
		if !finished || old >= name {
			continue
		}
		if err := s.fs.Remove(s.path(old)); err != nil {
			return errors.Wrapf(err, "remove snapshot %q", s.path(old))
		}
	}
	return nil
}

// Snapshot reads the newest snapshot. Its index is zero if there is none.
func (s *Store) Snapshot() (raft.Snapshot, error) {
	names, err := s.fs.ReadDir(s.folder)
	if err != nil {
		return raft.Snapshot{}, errors.Wrapf(err, "list folder %q", s.folder)
	}
	var recovered Recovered
	err = s.loadSnapshot(names, &recovered)
	return recovered.Snapshot, err
}

// loadSnapshot reads the newest of the named snapshots.
func (s *Store) loadSnapshot(names []string, recovered *Recovered) error {
	newest := ""
	for _, name := range names {
		if strings.HasPrefix(name, snapshotPrefix) && !strings.HasSuffix(name, temporarySuffix) {
			newest = name
		}
	}
	if newest == "" {
		return nil
	}
	path := s.path(newest)
	data, err := s.fs.ReadFile(path)
	if err != nil {
		return errors.Wrapf(err, "read snapshot %q", path)
	}
	parts, _, err := decodeRecords(path, data, false)
	if err != nil {
		return err
	}
	if len(parts) != 2 {
		return &CorruptError{File: path, Reason: fmt.Sprintf("the file contains %d records, want 2", len(parts))}
	}
	if err := json.Unmarshal(parts[0], &recovered.Snapshot.Meta); err != nil {
		return &CorruptError{File: path, Reason: err.Error()}
	}
	recovered.Snapshot.Data = parts[1]
	return nil
}
