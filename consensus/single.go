package consensus

import (
	"bufio"
	"context"
	"encoding/binary"
	"io"
	"os"
	"path/filepath"
	"sync"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"
)

// maxCommandBytes bounds one command, in bytes.
const maxCommandBytes = 16 << 20

// recordHeaderBytes is the length and the checksum before each command.
const recordHeaderBytes = 12

// Single is a [Replicator] with one voter: this process. A command is synced
// to the log file before it is applied.
type Single struct {
	id      string
	machine StateMachine

	mu      sync.Mutex
	log     *os.File
	applied uint64
}

// OpenSingle opens the log "name.log" in the folder and replays it.
func OpenSingle(folder, name, id string, machine StateMachine) (*Single, error) {
	if err := os.MkdirAll(folder, 0o700); err != nil {
		return nil, errors.Wrapf(err, "create data folder %q", folder)
	}
	path := filepath.Join(folder, name+".log")
	log, err := os.OpenFile(path, os.O_RDWR|os.O_CREATE, 0o600)
	if err != nil {
		return nil, errors.Wrapf(err, "open log %q", path)
	}
	s := &Single{id: id, machine: machine, log: log}
	if err := s.replay(); err != nil {
		return nil, errors.Wrapf(err, "replay log %q", path)
	}
	return s, nil
}

// replay applies every whole record and cuts a torn tail.
func (s *Single) replay() error {
	in := bufio.NewReader(s.log)
	var offset int64
	for {
		command, err := readRecord(in)
		if errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) {
			break
		}
		if err != nil {
			return errors.Wrapf(err, "record at offset %d", offset)
		}
		if _, err := s.machine.Apply(command); err != nil {
			return errors.Wrapf(err, "apply record at offset %d", offset)
		}
		offset += int64(recordHeaderBytes + len(command))
		s.applied++
	}
	if err := s.log.Truncate(offset); err != nil {
		return errors.Wrapf(err, "cut torn tail at offset %d", offset)
	}
	_, err := s.log.Seek(offset, io.SeekStart)
	return errors.Wrapf(err, "seek to offset %d", offset)
}

// readRecord reads one command and checks it.
func readRecord(in io.Reader) ([]byte, error) {
	var header [recordHeaderBytes]byte
	if _, err := io.ReadFull(in, header[:]); err != nil {
		return nil, err
	}
	size := binary.LittleEndian.Uint32(header[:4])
	if size > maxCommandBytes {
		return nil, errors.Newf("record has %d bytes, at most %d are allowed", size, maxCommandBytes)
	}
	command := make([]byte, size)
	if _, err := io.ReadFull(in, command); err != nil {
		return nil, err
	}
	if xxhash.Sum64(command) != binary.LittleEndian.Uint64(header[4:]) {
		return nil, errors.New("checksum does not match")
	}
	return command, nil
}

// Propose appends the command, syncs the log and applies the command.
func (s *Single) Propose(_ context.Context, command []byte) ([]byte, error) {
	record := make([]byte, recordHeaderBytes, recordHeaderBytes+len(command))
	binary.LittleEndian.PutUint32(record[:4], uint32(len(command)))
	binary.LittleEndian.PutUint64(record[4:], xxhash.Sum64(command))
	record = append(record, command...)
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, err := s.log.Write(record); err != nil {
		return nil, errors.Wrapf(err, "append to log %q", s.log.Name())
	}
	if err := s.log.Sync(); err != nil {
		return nil, errors.Wrapf(err, "sync log %q", s.log.Name())
	}
	s.applied++
	return s.machine.Apply(command)
}

// ReadBarrier returns at once: the only voter holds every committed command.
func (s *Single) ReadBarrier(context.Context) error { return nil }

// Status describes the replica.
func (s *Single) Status() Status {
	s.mu.Lock()
	defer s.mu.Unlock()
	return Status{
		ID: s.id, Leader: s.id, Term: 1,
		CommitIndex: s.applied, AppliedIndex: s.applied, Voters: []string{s.id},
	}
}

// Close closes the log.
func (s *Single) Close() error { return s.log.Close() }
