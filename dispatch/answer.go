package dispatch

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"sync"

	"github.com/cockroachdb/errors"

	"tanagerbarrow/backend"
	"tanagerbarrow/membership"
)

// heldAnswerBytes is how much of an answer is held before its first byte goes
// to the caller, in bytes: an answer cut within it becomes an error, and an
// idempotent request is sent again.
const heldAnswerBytes = 64 << 10

// answerBuffers hold the beginnings of answers of unknown length.
var answerBuffers = sync.Pool{New: func() any { return new([heldAnswerBytes]byte) }}

// holdAnswer reads the beginning of an answer and reports whether that is the
// whole answer.
func holdAnswer(ctx context.Context, res *http.Response, to *membership.BackendServer) (whole bool, err error) {
	if res.Body == http.NoBody {
		return true, nil
	}
	held := &heldAnswer{rest: res.Body}
	if res.ContentLength >= 0 && res.ContentLength < heldAnswerBytes {
		held.data = make([]byte, res.ContentLength)
		_, err = io.ReadFull(res.Body, held.data)
		whole = true
	} else {
		whole, err = held.fill()
	}
	if err != nil {
		_ = res.Body.Close()
		held.release()
		return false, backend.ResponseReadError(ctx, err, to)
	}
	if whole {
		_ = res.Body.Close()
		res.ContentLength = int64(len(held.data))
	}
	res.Body = held
	return whole, nil
}

// heldAnswer is an answer whose beginning is held.
type heldAnswer struct {
	data   []byte
	read   int
	rest   io.ReadCloser
	buffer *[heldAnswerBytes]byte
}

// fill reads into a shared buffer until it is full or the answer ends.
func (a *heldAnswer) fill() (whole bool, err error) {
	a.buffer = answerBuffers.Get().(*[heldAnswerBytes]byte)
	n := 0
	for n < heldAnswerBytes && err == nil {
		var more int
		more, err = a.rest.Read(a.buffer[n:])
		n += more
	}
	a.data = a.buffer[:n]
	if errors.Is(err, io.EOF) {
		return true, nil
	}
	return false, err
}

// Read reads what is held and then the rest.
func (a *heldAnswer) Read(p []byte) (int, error) {
	if a.read < len(a.data) {
		n := copy(p, a.data[a.read:])
		a.read += n
		return n, nil
	}
	return a.rest.Read(p)
}

// WriteTo writes the answer without copying what is held.
func (a *heldAnswer) WriteTo(w io.Writer) (int64, error) {
	n, err := io.Copy(w, bytes.NewReader(a.data[a.read:]))
	a.read += int(n)
	if err != nil {
		return n, err
	}
	m, err := io.Copy(w, a.rest)
	return n + m, err
}

// Close closes the answer.
func (a *heldAnswer) Close() error {
	a.release()
	return a.rest.Close()
}

// release gives the shared buffer back.
func (a *heldAnswer) release() {
	a.data = nil
	if a.buffer != nil {
		answerBuffers.Put(a.buffer)
		a.buffer = nil
	}
}
