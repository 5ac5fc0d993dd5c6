package wal

import (
	"encoding/binary"
	"encoding/json"
	"fmt"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"

	"tanagerbarrow/consensus/raft"
)

// The layout of a record: the payload's length and a checksum of it, 4 bytes
// each, and the payload's checksum, 8 bytes; then the payload.
const (
	lengthBytes = 4
	headerBytes = 16
	headerSalt  = 0x74627277
)

// CorruptError is damage that a crash cannot have caused.
type CorruptError struct {
	// File is the damaged file's path.
	File string
	// Offset is where the damage begins, in bytes.
	Offset int
	// Reason says what is wrong.
	Reason string
}

// Error names the file and the offset.
func (e *CorruptError) Error() string {
	return fmt.Sprintf("file %q is corrupt at offset %d: %s", e.File, e.Offset, e.Reason)
}

// record is one step of the log.
type record struct {
	// Head is the entry before the segment, in a segment's first record.
	Head *raft.EntryID `json:"head,omitempty"`
	// Reset is the entry after which the log starts anew.
	Reset *raft.EntryID `json:"reset,omitempty"`
	// HardState is the newest one.
	HardState *raft.HardState `json:"h,omitempty"`
	// Entries replace the log from their first index on.
	Entries []raft.Entry `json:"e,omitempty"`
}

// encode returns a record with the value as JSON.
func encode(value any) ([]byte, error) {
	payload, err := json.Marshal(value)
	if err != nil {
		return nil, errors.Wrap(err, "encode record")
	}
	return frame(payload), nil
}

// frame returns a record with the payload.
func frame(payload []byte) []byte {
	out := make([]byte, headerBytes, headerBytes+len(payload))
	binary.LittleEndian.PutUint32(out, uint32(len(payload)))
	binary.LittleEndian.PutUint32(out[lengthBytes:], lengthSum(out[:lengthBytes]))
	binary.LittleEndian.PutUint64(out[2*lengthBytes:], xxhash.Sum64(payload))
	return append(out, payload...)
}

// lengthSum is the checksum of a record's length.
func lengthSum(length []byte) uint32 { return uint32(xxhash.Sum64(length)) ^ headerSalt }

// next returns the payload of the record at the start of data, and false if
// there is no whole record.
func next(data []byte) ([]byte, bool) {
	if len(data) < headerBytes {
		return nil, false
	}
	if binary.LittleEndian.Uint32(data[lengthBytes:]) != lengthSum(data[:lengthBytes]) {
		return nil, false
	}
	size := int(binary.LittleEndian.Uint32(data))
	if size > len(data)-headerBytes {
		return nil, false
	}
	payload := data[headerBytes : headerBytes+size]
	return payload, xxhash.Sum64(payload) == binary.LittleEndian.Uint64(data[2*lengthBytes:])
}

// split returns the payloads of all records and the end of the last one. If
// mayBeTorn is false, all data must be whole records.
func split(path string, data []byte, mayBeTorn bool) (payloads [][]byte, end int, err error) {
	for end < len(data) {
		payload, ok := next(data[end:])
		if !ok {
			return payloads, end, checkTorn(path, data, end, mayBeTorn)
		}
		payloads = append(payloads, payload)
		end += headerBytes + len(payload)
	}
	return payloads, end, nil
}

// checkTorn returns an error unless the damage at an offset can be a torn tail.
func checkTorn(path string, data []byte, at int, mayBeTorn bool) error {
	if !mayBeTorn {
		return &CorruptError{File: path, Offset: at, Reason: "the record is damaged or cut short"}
	}
	for later := at + 1; later+headerBytes <= len(data); later++ {
		if _, ok := next(data[later:]); ok {
			return &CorruptError{
				File: path, Offset: at,
				Reason: fmt.Sprintf("the record is damaged and a valid one follows at offset %d", later),
			}
		}
	}
	return nil
}
