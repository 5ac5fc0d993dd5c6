package wal

import (
	"encoding/json"
	"fmt"
	"strings"

	"github.com/cockroachdb/errors"

	"tanagerbarrow/consensus/raft"
)

// replay rebuilds the log from its records. base is the entry before the first
// of entries.
type replay struct {
	base      raft.EntryID
	entries   []raft.Entry
	hardState raft.HardState
}

// loadLog reads all segments, cuts off a torn tail and opens the last segment.
func (s *Store) loadLog(names []string, recovered *Recovered) error {
	var segments []string
	for _, name := range names {
		if strings.HasPrefix(name, segmentPrefix) {
			segments = append(segments, name)
		}
	}
	r := &replay{}
	for i, name := range segments {
		if err := s.loadSegment(r, name, i == 0, i == len(segments)-1, recovered); err != nil {
			return err
		}
	}
	s.hardState, s.last = r.hardState, r.last()
	recovered.HardState = r.hardState
	if len(segments) == 0 {
		if recovered.Snapshot.Meta.Last.Index > 0 {
			return errors.Newf("folder %q contains a snapshot but no log", s.folder)
		}
		return s.startSegment()
	}
	if s.segmentBytes == 0 {
		if err := s.writeSegmentHeader(); err != nil {
			return err
		}
	}
	return s.alignWithSnapshot(r, recovered)
}

// loadSegment replays one segment; the last one may have a torn tail.
func (s *Store) loadSegment(r *replay, name string, first, last bool, recovered *Recovered) error {
	path := s.path(name)
	data, err := s.fs.ReadFile(path)
	if err != nil {
		return errors.Wrapf(err, "read log %q", path)
	}
	payloads, end, err := decodeRecords(path, data, last)
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
		return errors.Wrapf(err, "file name %q contains no segment number", path)
	}
	s.segments = append(s.segments, seg)
	if !last {
		return nil
	}
	recovered.CutBytes, s.segmentBytes = len(data)-end, end
	return s.openTail(path, end)
}

// openTail opens the last segment and truncates it after its last whole record.
func (s *Store) openTail(path string, end int) error {
	file, err := s.fs.OpenAppend(path)
	if err != nil {
		return errors.Wrapf(err, "open log %q", path)
	}
	s.file = file
	if err := file.Truncate(int64(end)); err != nil {
		return errors.Wrapf(err, "truncate log %q at offset %d", path, end)
	}
	return errors.Wrapf(file.Sync(), "sync log %q", path)
}

// apply replays a record. If the record is invalid it returns the reason,
// otherwise an empty string.
func (r *replay) apply(payload []byte, isHeader, isFirst bool) string {
	var rec record
	if err := json.Unmarshal(payload, &rec); err != nil {
		return err.Error()
	}
	if isHeader != (rec.PrecedingEntry != nil) {
		return "a segment header is missing or misplaced"
	}
	if isHeader && isFirst {
		r.base = *rec.PrecedingEntry
	}
	if isHeader && *rec.PrecedingEntry != r.last() {
		return fmt.Sprintf("the segment header names entry %v, but the previous segment ends with entry %v",
			*rec.PrecedingEntry, r.last())
	}
	if rec.HardState != nil {
		r.hardState = *rec.HardState
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

// last returns the ID of the last entry.
func (r *replay) last() raft.EntryID {
	if len(r.entries) == 0 {
		return r.base
	}
	e := r.entries[len(r.entries)-1]
	return raft.EntryID{Index: e.Index, Term: e.Term}
}

// after returns the entries after the given one; ok is false if the log does
// not contain that entry.
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

// alignWithSnapshot keeps the entries that follow the snapshot. A log that does
// not contain the snapshot's last entry is older than the snapshot and is
// reset.
func (s *Store) alignWithSnapshot(r *replay, recovered *Recovered) error {
	last := recovered.Snapshot.Meta.Last
	if entries, ok := r.after(last); ok {
		recovered.Entries = entries
		return nil
	}
	if r.base.Index > last.Index {
		return errors.Newf("folder %q contains a log that begins with entry %d and a snapshot up to entry %d",
			s.folder, r.base.Index+1, last.Index)
	}
	return s.write(record{Reset: &last})
}
