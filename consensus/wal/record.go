package wal

import (
	"encoding/binary"
	"encoding/json"
	"fmt"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"

	"tanagerbarrow/consensus/raft"
)

// The layout of a record: a header with the payload's length and a checksum of
// that length, 4 bytes each, and the payload's checksum, 8 bytes; then the
// payload.
const (
	lengthBytes = 4
	headerBytes = 16
	headerSalt  = 0x74627277
)

// CorruptError reports damage that a crash cannot have caused.
type CorruptError struct {
	// File is the damaged file's path.
	File string
	// Offset is the position of the damage in the file, in bytes.
	Offset int
	// Reason describes the damage.
	Reason string
}

// Error returns a message with the file, the offset and the reason.
func (e *CorruptError) Error() string {
	return fmt.Sprintf("file %q is corrupt at offset %d: %s", e.File, e.Offset, e.Reason)
}

// record is one change of the log.
type record struct {
	// PrecedingEntry is the entry before the segment. Only a segment's first
	// record, its header, has it.
	PrecedingEntry *raft.EntryID `json:"head,omitempty"`
	// Reset is set where the whole log is replaced: it is the entry before the
	// new log's first one.
	Reset *raft.EntryID `json:"reset,omitempty"`
	// HardState is the new hard state, or nil if it is unchanged.
	HardState *raft.HardState `json:"h,omitempty"`
	// Entries replace all entries of the log from their first index on.
	Entries []raft.Entry `json:"e,omitempty"`
}

// encodeRecord returns a record with the value as JSON payload.
func encodeRecord(value any) ([]byte, error) {
	payload, err := json.Marshal(value)
	if err != nil {
		return nil, errors.Wrap(err, "encode record")
	}
	return encodePayload(payload), nil
}

// encodePayload returns a record with the payload.
func encodePayload(payload []byte) []byte {
	out := make([]byte, headerBytes, headerBytes+len(payload))
	binary.LittleEndian.PutUint32(out, uint32(len(payload)))
	binary.LittleEndian.PutUint32(out[lengthBytes:], lengthChecksum(out[:lengthBytes]))
	binary.LittleEndian.PutUint64(out[2*lengthBytes:], xxhash.Sum64(payload))
	return append(out, payload...)
}

// lengthChecksum returns the checksum of a record's length field.
func lengthChecksum(length []byte) uint32 { return uint32(xxhash.Sum64(length)) ^ headerSalt }

// decodeRecord returns the payload of the record at the start of data, and
// false if there is no whole and valid record.
func decodeRecord(data []byte) ([]byte, bool) {
	if len(data) < headerBytes {
		return nil, false
	}
	if binary.LittleEndian.Uint32(data[lengthBytes:]) != lengthChecksum(data[:lengthBytes]) {
		return nil, false
	}
	size := int(binary.LittleEndian.Uint32(data))
	if size > len(data)-headerBytes {
		return nil, false
	}
	payload := data[headerBytes : headerBytes+size]
	return payload, xxhash.Sum64(payload) == binary.LittleEndian.Uint64(data[2*lengthBytes:])
}

// decodeRecords returns the payloads of all records and the end of the last
// one, as an offset in bytes. If mayBeTorn is false, all of data must consist
// of valid records.
func decodeRecords(path string, data []byte, mayBeTorn bool) (payloads [][]byte, end int, err error) {
	for end < len(data) {
		payload, ok := decodeRecord(data[end:])
		if !ok {
			return payloads, end, checkTornTail(path, data, end, mayBeTorn)
		}
		payloads = append(payloads, payload)
		end += headerBytes + len(payload)
	}
	return payloads, end, nil
}

// checkTornTail returns an error unless the damage at an offset can be a torn
// tail, which has no valid record after it.
func checkTornTail(path string, data []byte, at int, mayBeTorn bool) error {
	if !mayBeTorn {
		return &CorruptError{File: path, Offset: at, Reason: "the record is damaged or incomplete"}
	}
	for later := at + 1; later+headerBytes <= len(data); later++ {
		if _, ok := decodeRecord(data[later:]); ok {
			return &CorruptError{
				File: path, Offset: at,
				Reason: fmt.Sprintf("the record is damaged and a valid one follows at offset %d", later),
			}
		}
	}
	return nil
}
