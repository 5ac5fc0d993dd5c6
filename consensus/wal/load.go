package wal

import (
	"encoding/json"
	"fmt"
	"strings"

	"github.com/cockroachdb/errors"

	"tanagerbarrow/consensus/raft"
)

// replay rebuilds the log from its records.
type replay struct {
	base    raft.EntryID
	entries []raft.Entry
	hard    raft.HardState
}

// loadLog reads all segments, cuts a torn tail and opens the last one.
func (s *Store) loadLog(names []string, found *Found) error {
	var segments []string
	for _, name := range names {
		if strings.HasPrefix(name, segmentPrefix) {
			segments = append(segments, name)
		}
	}
	r := &replay{}
	for i, name := range segments {
		if err := s.loadSegment(r, name, i == 0, i == len(segments)-1, found); err != nil {
			return err
		}
	}
	s.hard, s.last = r.hard, r.last()
	found.HardState = r.hard
	if len(segments) == 0 {
		if found.Snapshot.Meta.Last.Index > 0 {
			return errors.Newf("folder %q has a snapshot and no log", s.folder)
		}
		return s.roll()
	}
	if s.size == 0 {
		if err := s.writeHead(); err != nil {
			return err
		}
	}
	return s.joinSnapshot(r, found)
}

// loadSegment replays one file; the last one may have a torn tail.
func (s *Store) loadSegment(r *replay, name string, first, last bool, found *Found) error {
	path := s.path(name)
	data, err := s.fs.ReadFile(path)
	if err != nil {
		return errors.Wrapf(err, "read log %q", path)
	}
	payloads, end, err := split(path, data, last)
	if err != nil {
		return err
	}
	offset := 0
	for i, payload := range payloads {
		if reason := r.apply(payload, i == 0, first); reason != "" {
			return &CorruptError{File: path, Offset: offset, Reason: reason}
		}
		offset += headerBytes + len(payload)
	}
	seg := segment{path: path, last: r.last().Index}
	if _, err := fmt.Sscanf(name, segmentPrefix+"%016x", &seg.number); err != nil {
		return errors.Wrapf(err, "file %q has no segment number", path)
	}
	s.segments = append(s.segments, seg)
	if !last {
		return nil
	}
	found.CutBytes, s.size = len(data)-end, end
	return s.openTail(path, end)
}

// openTail opens the last segment and cuts it to its whole records.
func (s *Store) openTail(path string, end int) error {
	file, err := s.fs.OpenAppend(path)
	if err != nil {
		return errors.Wrapf(err, "open log %q", path)
	}
	s.file = file
	if err := file.Truncate(int64(end)); err != nil {
		return errors.Wrapf(err, "cut log %q at offset %d", path, end)
	}
	return errors.Wrapf(file.Sync(), "sync log %q", path)
}

// apply replays a record and returns why it cannot be.
func (r *replay) apply(payload []byte, isHead, isFirst bool) string {
	var rec record
	if err := json.Unmarshal(payload, &rec); err != nil {
		return err.Error()
	}
	if isHead != (rec.Head != nil) {
		return "a head record is missing or misplaced"
	}
	if isHead && isFirst {
		r.base = *rec.Head
	}
	if isHead && *rec.Head != r.last() {
		return fmt.Sprintf("the segment follows entry %v, but the one before ends with %v", *rec.Head, r.last())
	}
	if rec.HardState != nil {
		r.hard = *rec.HardState
	}
	if rec.Reset != nil {
		r.base, r.entries = *rec.Reset, nil
	}
	if len(rec.Entries) == 0 {
		return ""
	}
	at := rec.Entries[0].Index
	if at <= r.base.Index || at > r.last().Index+1 {
		return fmt.Sprintf("entry %d does not follow entry %d", at, r.last().Index)
	}
	r.entries = append(r.entries[:at-r.base.Index-1], rec.Entries...)
	return ""
}

// last returns the last entry.
func (r *replay) last() raft.EntryID {
	if len(r.entries) == 0 {
		return r.base
	}
	e := r.entries[len(r.entries)-1]
	return raft.EntryID{Index: e.Index, Term: e.Term}
}

// after returns the entries after an entry; ok is false if the log does not
// hold that entry.
func (r *replay) after(id raft.EntryID) (entries []raft.Entry, ok bool) {
	if id == r.base {
		return r.entries, true
	}
	if id.Index <= r.base.Index || id.Index > r.last().Index {
		return nil, false
	}
	at := id.Index - r.base.Index - 1
	return r.entries[at+1:], r.entries[at].Term == id.Term
}

// joinSnapshot keeps the entries that follow the snapshot. A log that does not
// hold the snapshot's last entry is older than the snapshot and starts anew.
func (s *Store) joinSnapshot(r *replay, found *Found) error {
	last := found.Snapshot.Meta.Last
	if entries, ok := r.after(last); ok {
		found.Entries = entries
		return nil
	}
	if r.base.Index > last.Index {
		return errors.Newf("folder %q has a log from entry %d on and a snapshot up to entry %d",
			s.folder, r.base.Index+1, last.Index)
	}
	return s.write(record{Reset: &last})
}
