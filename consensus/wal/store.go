package wal

import (
	"encoding/json"
	"fmt"
	"path/filepath"
	"strings"

	"github.com/cockroachdb/errors"

	"tanagerbarrow/consensus/raft"
)

// maxSegmentBytes is the size at which a new segment is started, in bytes.
const maxSegmentBytes = 8 << 20

// The names, prefixes and suffixes of files.
const (
	identityName    = "identity"
	snapshotPrefix  = "snapshot-"
	segmentPrefix   = "log-"
	temporarySuffix = ".tmp"
)

// Recovered is the state that a folder contained when it was opened.
type Recovered struct {
	// ID is the replica's ID.
	ID raft.ReplicaID
	// Snapshot is the newest snapshot; its index is zero if there is none.
	Snapshot raft.Snapshot
	// HardState is the last saved hard state.
	HardState raft.HardState
	// Entries are the log entries after the snapshot.
	Entries []raft.Entry
	// CutBytes is the length of the torn tail that was cut off.
	CutBytes int
}

// segment is one file of the log.
type segment struct {
	path   string
	number uint64
	// last is the highest index in the file.
	last uint64
}

// Store is the folder of one replica. [Store.SaveSnapshot] may run concurrently
// with the other methods; those must not run concurrently with each other.
// After an error the Store must not be used any more, because it is unknown
// what is durable.
type Store struct {
	fs           FS
	folder       string
	file         File
	segmentBytes int
	segments     []segment
	hardState    raft.HardState
	last         raft.EntryID
}

// Open opens the folder, and creates it if it does not exist. newID generates
// the replica ID for an empty folder.
func Open(fs FS, folder string, newID func() raft.ReplicaID) (*Store, *Recovered, error) {
	s := &Store{fs: fs, folder: folder}
	if err := fs.MkdirAll(folder); err != nil {
		return nil, nil, errors.Wrapf(err, "create folder %q", folder)
	}
	if err := fs.SyncDir(filepath.Dir(folder)); err != nil {
		return nil, nil, errors.Wrapf(err, "sync the parent folder of %q", folder)
	}
	names, err := s.removeTemporaryFiles()
	if err != nil {
		return nil, nil, err
	}
	recovered := &Recovered{}
	if recovered.ID, err = s.identity(names, newID); err != nil {
		return nil, nil, err
	}
	if err := s.loadSnapshot(names, recovered); err != nil {
		return nil, nil, err
	}
	if err := s.loadLog(names, recovered); err != nil {
		return nil, nil, err
	}
	return s, recovered, nil
}

// removeTemporaryFiles removes files that were not written completely and
// returns the names of the others.
func (s *Store) removeTemporaryFiles() ([]string, error) {
	names, err := s.fs.ReadDir(s.folder)
	if err != nil {
		return nil, errors.Wrapf(err, "list folder %q", s.folder)
	}
	var kept []string
	for _, name := range names {
		if !strings.HasSuffix(name, temporarySuffix) {
			kept = append(kept, name)
			continue
		}
		if err := s.fs.Remove(s.path(name)); err != nil {
			return nil, errors.Wrapf(err, "remove incomplete file %q", s.path(name))
		}
	}
	return kept, nil
}

// path returns the path of a name in the folder.
func (s *Store) path(name string) string { return filepath.Join(s.folder, name) }

// identity reads the replica ID, or generates and stores one if the folder is
// empty.
func (s *Store) identity(names []string, newID func() raft.ReplicaID) (raft.ReplicaID, error) {
	path := s.path(identityName)
	var id raft.ReplicaID
	if len(names) == 0 {
		id = newID()
		data, err := encodeRecord(id)
		if err != nil {
			return 0, err
		}
		return id, s.writeFile(identityName, data)
	}
	data, err := s.fs.ReadFile(path)
	if err != nil {
		return 0, errors.Wrapf(err, "read the identity of the replica in %q", s.folder)
	}
	payloads, _, err := decodeRecords(path, data, false)
	if err != nil {
		return 0, err
	}
	if len(payloads) != 1 || json.Unmarshal(payloads[0], &id) != nil || id == 0 {
		return 0, &CorruptError{File: path, Reason: "the file contains no replica ID"}
	}
	return id, nil
}

// writeFile writes a file atomically and makes it durable.
func (s *Store) writeFile(name string, data []byte) error {
	path := s.path(name)
	f, err := s.fs.OpenAppend(path + temporarySuffix)
	if err != nil {
		return errors.Wrapf(err, "create file %q", path)
	}
	if _, err = f.Write(data); err == nil {
		err = f.Sync()
	}
	if err = errors.CombineErrors(err, f.Close()); err != nil {
		return errors.Wrapf(err, "write file %q", path)
	}
	if err := s.fs.Rename(path+temporarySuffix, path); err != nil {
		return errors.Wrapf(err, "rename file %q", path)
	}
	return errors.Wrapf(s.fs.SyncDir(s.folder), "sync folder %q", s.folder)
}

// Save makes a Ready durable: first its snapshot, then hard state and entries
// with one sync.
func (s *Store) Save(r raft.Ready) error {
	rec := record{HardState: r.HardState, Entries: r.Entries}
	if r.Snapshot != nil {
		if err := s.SaveSnapshot(*r.Snapshot); err != nil {
			return err
		}
		rec.Reset = &r.Snapshot.Meta.Last
	}
	if rec.Reset == nil && rec.HardState == nil && len(rec.Entries) == 0 {
		return nil
	}
	if s.segmentBytes >= maxSegmentBytes {
		if err := s.startSegment(); err != nil {
			return err
		}
	}
	return s.write(rec)
}

// write appends a record and syncs it.
func (s *Store) write(rec record) error {
	data, err := encodeRecord(rec)
	if err != nil {
		return err
	}
	current := &s.segments[len(s.segments)-1]
	if _, err := s.file.Write(data); err != nil {
		return errors.Wrapf(err, "append to log %q", current.path)
	}
	if err := s.file.Sync(); err != nil {
		return errors.Wrapf(err, "sync log %q", current.path)
	}
	s.segmentBytes += len(data)
	if rec.HardState != nil {
		s.hardState = *rec.HardState
	}
	if rec.Reset != nil {
		s.last = *rec.Reset
	}
	if n := len(rec.Entries); n > 0 {
		s.last = raft.EntryID{Index: rec.Entries[n-1].Index, Term: rec.Entries[n-1].Term}
	}
	current.last = max(current.last, s.last.Index)
	return nil
}

// startSegment closes the last segment and starts a new one.
func (s *Store) startSegment() error {
	number := uint64(1)
	if n := len(s.segments); n > 0 {
		number = s.segments[n-1].number + 1
	}
	if s.file != nil {
		if err := s.file.Close(); err != nil {
			return errors.Wrapf(err, "close a log segment in %q", s.folder)
		}
	}
	path := s.path(fmt.Sprintf("%s%016x", segmentPrefix, number))
	file, err := s.fs.OpenAppend(path)
	if err != nil {
		return errors.Wrapf(err, "create log %q", path)
	}
	s.file, s.segmentBytes = file, 0
	s.segments = append(s.segments, segment{path: path, number: number})
	return s.writeSegmentHeader()
}

// writeSegmentHeader writes the first record of the last segment.
func (s *Store) writeSegmentHeader() error {
	preceding, hardState := s.last, s.hardState
	if err := s.write(record{PrecedingEntry: &preceding, HardState: &hardState}); err != nil {
		return err
	}
	return errors.Wrapf(s.fs.SyncDir(s.folder), "sync folder %q", s.folder)
}

// Trim removes the segments that are covered by a durable snapshot up to the
// index. The last segment stays.
func (s *Store) Trim(index uint64) error {
	for len(s.segments) > 1 && s.segments[0].last <= index {
		if err := s.fs.Remove(s.segments[0].path); err != nil {
			return errors.Wrapf(err, "remove log %q", s.segments[0].path)
		}
		s.segments = s.segments[1:]
	}
	return errors.Wrapf(s.fs.SyncDir(s.folder), "sync folder %q", s.folder)
}

// Close closes the log.
func (s *Store) Close() error { return s.file.Close() }
