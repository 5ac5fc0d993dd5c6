package bodybuf

import (
	"io"
	"net"

	"github.com/cockroachdb/errors"
)

// The sizes of a buffer's chunks, in bytes. Each chunk is twice as large as the
// one before it.
const (
	firstChunkBytes = 4 << 10
	maxChunkBytes   = 256 << 10
)

// ErrTooLarge is returned for a body over its limit.
var ErrTooLarge = errors.New("the body exceeds its limit")

// ErrNoMemory is returned for a body for which too little of the budget is free.
var ErrNoMemory = errors.New("the memory for bodies is exhausted")

// UnknownLength is the declared length of a body that declares none.
const UnknownLength = -1

// Limits bound one body.
type Limits struct {
	// MaxBytes is the maximum length of the body.
	MaxBytes int64
	// LeaveFree is how many bytes of the budget the body leaves to others.
	LeaveFree int64
	// LeaveOwnSize makes the body leave at least as much of the budget free as it
	// uses itself. Many bodies that grow without end then share the budget, and
	// small ones still find room.
	LeaveOwnSize bool
	// ReserveDeclared takes the declared length from the budget before the first
	// byte is read, so that a body that does not fit is not read in vain.
	ReserveDeclared bool
}

// Buffer is a body in memory. It grows by whole chunks, so that no byte is copied
// and none is held twice. The zero value is an empty body.
type Buffer struct {
	budget   *Budget
	limits   Limits
	chunks   net.Buffers
	length   int64
	reserved int64
	// allocated is the capacity of the chunks, in bytes.
	allocated int64
}

// Read reads a body to its end. declared is the length that its sender has
// declared, or [UnknownLength]. The caller releases the buffer; after an error it
// is released already. Errors of r are returned unchanged.
func (b *Budget) Read(r io.Reader, declared int64, l Limits) (*Buffer, error) {
	body := &Buffer{budget: b, limits: l}
	err := body.readFrom(r, declared)
	if err != nil {
		body.Release()
		return nil, err
	}
	return body, nil
}

// readFrom reads the body to its end.
func (b *Buffer) readFrom(r io.Reader, declared int64) error {
	if declared > b.limits.MaxBytes {
		return ErrTooLarge
	}
	if declared > 0 && b.limits.ReserveDeclared && !b.reserve(declared) {
		return ErrNoMemory
	}
	for {
		free, err := b.freeSpace(declared)
		if err != nil {
			return err
		}
		if len(free) == 0 {
			return expectEnd(r)
		}
		n, err := r.Read(free)
		b.commit(n)
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
	}
}

// expectEnd returns an error unless r has ended.
func expectEnd(r io.Reader) error {
	var probe [1]byte
	_, err := io.ReadFull(r, probe[:])
	if errors.Is(err, io.EOF) {
		return nil
	}
	if err == nil {
		return ErrTooLarge
	}
	return err
}

// freeSpace returns the unused end of the last chunk, and adds a chunk if there is
// none. It returns an empty slice once the body has its declared or maximum length.
func (b *Buffer) freeSpace(declared int64) ([]byte, error) {
	if n := len(b.chunks); n > 0 {
		if last := b.chunks[n-1]; len(last) < cap(last) {
			return last[len(last):cap(last)], nil
		}
	}
	expected := b.limits.MaxBytes
	if declared >= 0 {
		expected = declared
	}
	size := min(b.nextChunkBytes(), expected-b.length)
	if size == 0 {
		return nil, nil
	}
	if !b.reserve(b.allocated + size - b.reserved) {
		return nil, ErrNoMemory
	}
	b.allocated += size
	chunk := make([]byte, 0, size)
	b.chunks = append(b.chunks, chunk)
	return chunk[:size], nil
}

// nextChunkBytes returns the size of the next chunk.
func (b *Buffer) nextChunkBytes() int64 {
	return min(int64(firstChunkBytes)<<min(len(b.chunks), 6), maxChunkBytes)
}

// commit adds n bytes, which were read into the free space, to the body.
func (b *Buffer) commit(n int) {
	last := &b.chunks[len(b.chunks)-1]
	*last = (*last)[:len(*last)+n]
	b.length += int64(n)
}

// reserve takes n more bytes from the budget, if its limits allow. A number of 0
// and below takes none.
func (b *Buffer) reserve(n int64) bool {
	if n <= 0 {
		return true
	}
	leave := b.limits.LeaveFree
	if b.limits.LeaveOwnSize {
		leave = max(leave, b.reserved+n)
	}
	if !b.budget.Take(n, leave) {
		return false
	}
	b.reserved += n
	return true
}

// Len returns the length of the body, in bytes.
func (b *Buffer) Len() int {
	if b == nil {
		return 0
	}
	return int(b.length)
}

// Chunks returns the body. It must not be changed, and must not be used after
// Release.
func (b *Buffer) Chunks() net.Buffers {
	if b == nil {
		return nil
	}
	return b.chunks
}

// Release returns the memory of the body to the budget.
func (b *Buffer) Release() {
	if b == nil || b.budget == nil {
		return
	}
	b.budget.release(b.reserved)
	b.chunks, b.length, b.reserved, b.allocated = nil, 0, 0, 0
}
