package gateway

import (
	"context"
	"io"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
)

// progress is how far a request has come.
type progress struct {
	// body is the context with which the body is read, and end ends the request.
	body context.Context
	end  context.CancelCauseFunc
	// declared is the length of the body in bytes; negative if the caller declared none.
	declared int64
	deadline time.Time
	// received and sent are the bytes of the body so far, and receivedAll says that it has ended.
	received, sent atomic.Int64
	receivedAll    atomic.Bool
	// relayed says that a further entry sends the body on.
	relayed atomic.Bool
	// sentAt is when the last part of the body was sent, or the attempt began, in Unix nanoseconds.
	sentAt atomic.Int64
	// expected is what was expected of the request when it came.
	expected expectation
	// written are the bytes of the response's body that were written to the caller.
	written atomic.Int64

	// The fields below belong to the lock of requestsInProgress. passedOn says that a backend server may have a part
	// of the request, answered that its response was received, refused that it must not be passed on, and kept that the
	// plan of a stop has kept it. responseBytes is the length of the response that was received.
	passedOn, answered, refused, kept bool
	responseBytes                     int64
}

// need returns what the request still needs. The caller holds the lock.
func (p *progress) need(now time.Time) need {
	n := need{limit: p.deadline.Sub(now), passedOn: p.passedOn, kept: p.kept}
	if p.answered {
		n.write = max(0, pacedBytes(p.responseBytes)-p.written.Load())
		return n
	}
	n.openEnded, n.responseTime = p.declared < 0 && !p.receivedAll.Load(), p.expected.responseTime
	n.write = pacedBytes(p.expected.responseBytes)
	received, total := p.received.Load(), p.declared
	if total < 0 {
		total = received
		if n.openEnded {
			total = max(received, p.expected.bodyBytes)
		}
	}
	if total = pacedBytes(total); total == 0 {
		return n
	}
	n.receive, n.send = max(0, total-received), total
	if p.passedOn {
		n.send = max(0, total-p.sent.Load())
	}
	if p.relayed.Load() {
		n.send += total
	}
	return n
}

// pacedBytes returns how many bytes of a body wait for the link: none of a short one.
func pacedBytes(bytes int64) int64 {
	if bytes < minPacedBytes {
		return 0
	}
	return bytes
}

// read returns a reader of the body that records how much has arrived.
func (p *progress) read(body io.Reader) io.Reader { return &countedReader{in: body, progress: p} }

// countedReader counts the bytes of a body.
type countedReader struct {
	in       io.Reader
	progress *progress
}

// Read reads a part of the body.
func (r *countedReader) Read(b []byte) (int, error) {
	n, err := r.in.Read(b)
	r.progress.received.Add(int64(n))
	if errors.Is(err, io.EOF) {
		r.progress.receivedAll.Store(true)
	}
	return n, err
}

// pace returns a function that counts the bytes of the body that are sent and calls pace, which may be nil.
func (p *progress) pace(pace func(bytes int)) func(bytes int) {
	if pace == nil {
		return nil
	}
	return func(bytes int) {
		pace(bytes)
		p.sent.Add(int64(bytes))
		p.sentAt.Store(time.Now().UnixNano())
	}
}

// paceResponse is [progress.pace] for the response.
func (p *progress) paceResponse(pace func(bytes int)) func(bytes int) {
	if pace == nil {
		return nil
	}
	return func(bytes int) {
		pace(bytes)
		p.written.Add(int64(bytes))
	}
}

// seen returns what the request has turned out to be once its response was received.
func (p *progress) seen(bodyBytes, responseBytes int) expectation {
	return expectation{
		responseTime: time.Since(time.Unix(0, p.sentAt.Load())), bodyBytes: int64(bodyBytes), responseBytes: int64(responseBytes),
	}
}
