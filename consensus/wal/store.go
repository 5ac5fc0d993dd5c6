package wal

import (
	"encoding/json"
	"fmt"
	"path/filepath"
	"strings"

	"github.com/cockroachdb/errors"

	"tanagerbarrow/consensus/raft"
)

// maxSegmentBytes is the size at which a new segment begins.
const maxSegmentBytes = 8 << 20

// The names of files.
const (
	identityName   = "identity"
	snapshotPrefix = "snapshot-"
	segmentPrefix  = "log-"
	temporary      = ".tmp"
)

// Found is what a folder held when it was opened.
type Found struct {
	// ID is the replica's identity.
	ID raft.ReplicaID
	// Snapshot is the newest snapshot; its index is zero if there is none.
	Snapshot raft.Snapshot
	// HardState is the last one saved.
	HardState raft.HardState
	// Entries follow the snapshot.
	Entries []raft.Entry
	// CutBytes is the length of a torn tail that was cut.
	CutBytes int
}

// segment is one file of the log.
type segment struct {
	path   string
	number uint64
	// last is the highest index in the file.
	last uint64
}

// Store is one replica's folder. [Store.SaveSnapshot] may run beside the other
// methods; those must not run at the same time. After an error the Store must
// not be used further: what is durable is then unknown.
type Store struct {
	fs       FS
	folder   string
	file     File
	size     int
	segments []segment
	hard     raft.HardState
	last     raft.EntryID
}

// Open opens or makes the folder. newID draws the identity of an empty one.
func Open(fs FS, folder string, newID func() raft.ReplicaID) (*Store, *Found, error) {
	s := &Store{fs: fs, folder: folder}
	if err := fs.MkdirAll(folder); err != nil {
		return nil, nil, errors.Wrapf(err, "create folder %q", folder)
	}
	if err := fs.SyncDir(filepath.Dir(folder)); err != nil {
		return nil, nil, errors.Wrapf(err, "sync the folder of %q", folder)
	}
	names, err := s.clean()
	if err != nil {
		return nil, nil, err
	}
	found := &Found{}
	if found.ID, err = s.identity(names, newID); err != nil {
		return nil, nil, err
	}
	if err := s.loadSnapshot(names, found); err != nil {
		return nil, nil, err
	}
	if err := s.loadLog(names, found); err != nil {
		return nil, nil, err
	}
	return s, found, nil
}

// clean removes files that were never finished and returns the others.
func (s *Store) clean() ([]string, error) {
	names, err := s.fs.ReadDir(s.folder)
	if err != nil {
		return nil, errors.Wrapf(err, "list folder %q", s.folder)
	}
	var kept []string
	for _, name := range names {
		if !strings.HasSuffix(name, temporary) {
			kept = append(kept, name)
			continue
		}
		if err := s.fs.Remove(s.path(name)); err != nil {
			return nil, errors.Wrapf(err, "remove unfinished file %q", s.path(name))
		}
	}
	return kept, nil
}

// path returns the path of a name in the folder.
func (s *Store) path(name string) string { return filepath.Join(s.folder, name) }

// identity reads the identity, or draws one for an empty folder.
func (s *Store) identity(names []string, newID func() raft.ReplicaID) (raft.ReplicaID, error) {
	path := s.path(identityName)
	var id raft.ReplicaID
	if len(names) == 0 {
		id = newID()
		data, err := encode(id)
		if err != nil {
			return 0, err
		}
		return id, s.writeFile(identityName, data)
	}
	data, err := s.fs.ReadFile(path)
	if err != nil {
		return 0, errors.Wrapf(err, "read the identity of the replica in %q", s.folder)
	}
	payloads, _, err := split(path, data, false)
	if err != nil {
		return 0, err
	}
	if len(payloads) != 1 || json.Unmarshal(payloads[0], &id) != nil || id == 0 {
		return 0, &CorruptError{File: path, Reason: "there is no identity"}
	}
	return id, nil
}

// writeFile makes a file durable as a whole or not at all.
func (s *Store) writeFile(name string, data []byte) error {
	path := s.path(name)
	f, err := s.fs.OpenAppend(path + temporary)
	if err != nil {
		return errors.Wrapf(err, "create file %q", path)
	}
	if _, err = f.Write(data); err == nil {
		err = f.Sync()
	}
	if err = errors.CombineErrors(err, f.Close()); err != nil {
		return errors.Wrapf(err, "write file %q", path)
	}
	if err := s.fs.Rename(path+temporary, path); err != nil {
		return errors.Wrapf(err, "rename file %q", path)
	}
	return errors.Wrapf(s.fs.SyncDir(s.folder), "sync folder %q", s.folder)
}

// Save makes a Ready durable: its snapshot, then hard state and entries with
// one sync.
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
	if s.size >= maxSegmentBytes {
		if err := s.roll(); err != nil {
			return err
		}
	}
	return s.write(rec)
}

// write appends a record and syncs it.
func (s *Store) write(rec record) error {
	data, err := encode(rec)
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
	s.size += len(data)
	if rec.HardState != nil {
		s.hard = *rec.HardState
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

// roll begins a new segment.
func (s *Store) roll() error {
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
	s.file, s.size = file, 0
	s.segments = append(s.segments, segment{path: path, number: number})
	return s.writeHead()
}

// writeHead writes the first record of the last segment.
func (s *Store) writeHead() error {
	head, hard := s.last, s.hard
	if err := s.write(record{Head: &head, HardState: &hard}); err != nil {
		return err
	}
	return errors.Wrapf(s.fs.SyncDir(s.folder), "sync folder %q", s.folder)
}

// Trim removes the segments that a durable snapshot up to the index covers.
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
