package backend

import (
	"bufio"
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
)

// uploadBufferBytes is how much of a body is held on its way, in bytes, and
// pausedBufferBytes that of a body whose end is held back: what is in the buffer
// then waits too.
const (
	uploadBufferBytes = 64 << 10
	pausedBufferBytes = 4 << 10
)

// uploadSettleTime bounds the wait for the last write of a body to return after
// the whole answer came.
const uploadSettleTime = 10 * time.Millisecond

// uploadWriters and pausedWriters are the buffers of bodies on their way.
var (
	uploadWriters = sync.Pool{New: func() any { return bufio.NewWriterSize(nil, uploadBufferBytes) }}
	pausedWriters = sync.Pool{New: func() any { return bufio.NewWriterSize(nil, pausedBufferBytes) }}
)

// upload sends a request with its body in a goroutine of its own, because a
// backend server may answer before it has read the whole body.
type upload struct {
	source uploadSource
	// written is closed once the whole body was written.
	written chan struct{}
}

// startUpload begins to send the request on the connection.
func startUpload(c *conn, r *http.Request) *upload {
	u := &upload{source: uploadSource{in: r.Body}, written: make(chan struct{})}
	buffers := &uploadWriters
	if _, paused := r.Body.(*pausedBody); paused {
		buffers = &pausedWriters
	}
	r.Body = &u.source
	go u.run(c, r, buffers)
	return u
}

// run sends the request. A body that cannot be read to its end closes the
// connection, so that the backend server sees the body as cut.
func (u *upload) run(c *conn, r *http.Request, buffers *sync.Pool) {
	out := buffers.Get().(*bufio.Writer)
	out.Reset(c)
	err := r.Write(out)
	if err == nil {
		err = out.Flush()
	}
	out.Reset(nil)
	buffers.Put(out)
	if err == nil {
		close(u.written)
		return
	}
	if u.source.failed() == nil && r.ContentLength >= 0 {
		u.source.noteShort(r.ContentLength)
	}
	if u.source.failed() != nil {
		_ = c.Close()
	}
}

// complete reports whether the whole body was written. A backend server may
// answer before the last write has returned here, so complete waits for a
// moment.
func (u *upload) complete() bool {
	if u == nil {
		return true
	}
	select {
	case <-u.written:
		return true
	case <-time.After(uploadSettleTime):
		return false
	}
}

// failure returns why the body could not be read, or nil.
func (u *upload) failure() error {
	if u == nil {
		return nil
	}
	return u.source.failed()
}

// uploadSource is the body of an upload; it notes why its reading failed.
type uploadSource struct {
	in io.ReadCloser

	mu   sync.Mutex
	read int64
	eof  bool
	err  error
}

// Read reads from the caller.
func (s *uploadSource) Read(p []byte) (int, error) {
	n, err := s.in.Read(p)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.read += int64(n)
	switch {
	case errors.Is(err, io.EOF):
		s.eof = true
	case err != nil:
		s.err = err
	}
	return n, err
}

// Close closes the body.
func (s *uploadSource) Close() error { return s.in.Close() }

// noteShort notes that the body ended before its stated length.
func (s *uploadSource) noteShort(length int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.eof && s.read < length {
		s.err = io.ErrUnexpectedEOF
	}
}

// failed returns why the body could not be read, or nil.
func (s *uploadSource) failed() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.err
}
