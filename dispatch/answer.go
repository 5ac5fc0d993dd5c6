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

// bufferedResponseBytes is how much of a response is buffered before its first
// byte is sent to the caller, in bytes. A response that is truncated within it
// becomes an error, so that an idempotent request can be sent again.
const bufferedResponseBytes = 64 << 10

// responseBuffers pools the buffers for long responses and those of unknown
// length.
var responseBuffers = sync.Pool{New: func() any { return new([bufferedResponseBytes]byte) }}

// bufferResponse buffers the beginning of a response and reports whether that
// is the complete response.
func bufferResponse(ctx context.Context, res *http.Response, to *membership.BackendServer) (whole bool, err error) {
	if res.Body == http.NoBody {
		return true, nil
	}
	buffered := &bufferedResponse{rest: res.Body}
	if res.ContentLength >= 0 && res.ContentLength < bufferedResponseBytes {
		buffered.data = make([]byte, res.ContentLength)
		_, err = io.ReadFull(res.Body, buffered.data)
		whole = true
	} else {
		whole, err = buffered.fill()
	}
	if err != nil {
		_ = res.Body.Close()
		buffered.release()
		return false, backend.ResponseReadError(ctx, err, to)
	}
	if whole {
		_ = res.Body.Close()
		res.ContentLength = int64(len(buffered.data))
	}
	res.Body = buffered
	return whole, nil
}

// bufferedResponse is the body of a response whose beginning is buffered.
type bufferedResponse struct {
	data   []byte
	read   int
	rest   io.ReadCloser
	buffer *[bufferedResponseBytes]byte
}

// fill reads into a pooled buffer until it is full or the response ends.
func (r *bufferedResponse) fill() (whole bool, err error) {
	r.buffer = responseBuffers.Get().(*[bufferedResponseBytes]byte)
	n := 0
	for n < bufferedResponseBytes && err == nil {
		var more int
		more, err = r.rest.Read(r.buffer[n:])
		n += more
	}
	r.data = r.buffer[:n]
	if errors.Is(err, io.EOF) {
		return true, nil
	}
	return false, err
}

// Read reads the buffered beginning and then the rest.
func (r *bufferedResponse) Read(p []byte) (int, error) {
	if r.read < len(r.data) {
		n := copy(p, r.data[r.read:])
		r.read += n
		return n, nil
	}
	return r.rest.Read(p)
}

// WriteTo writes the response without copying the buffered beginning.
func (r *bufferedResponse) WriteTo(w io.Writer) (int64, error) {
	n, err := io.Copy(w, bytes.NewReader(r.data[r.read:]))
	r.read += int(n)
	if err != nil {
		return n, err
	}
	m, err := io.Copy(w, r.rest)
	return n + m, err
}

// Close closes the response.
func (r *bufferedResponse) Close() error {
	r.release()
	return r.rest.Close()
}

// release returns the buffer to the pool.
func (r *bufferedResponse) release() {
	r.data = nil
	if r.buffer != nil {
		responseBuffers.Put(r.buffer)
		r.buffer = nil
	}
}
