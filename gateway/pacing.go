package gateway

import (
	"context"
	"io"
	"time"

	"golang.org/x/time/rate"
)

// The constants of pacing. Bodies that fill a host's link delay everything else on
// it: a thin link that is full of uploads keeps configurations from the entry for
// seconds. Bodies therefore get less than the whole link.
const (
	// bodyLinkShare is the part of the link's bandwidth, in each direction, that long
	// bodies get.
	bodyLinkShare = 0.94
	// pacedPartBytes is the size of the parts in which bodies are paced, in bytes.
	// It bounds how long the link is busy with one part.
	pacedPartBytes = 4 << 10
	// minPacedBytes is the size from which a body is paced, in bytes. Shorter ones are
	// not delayed by the long ones.
	minPacedBytes = 16 << 10
	// pacingBurst is how much unused bandwidth a body may catch up on.
	pacingBurst = 20 * time.Millisecond
	// receiveBufferTime is for how long the data of one full receive buffer occupies
	// the link. Data that is not read yet may be in transit up to that size.
	receiveBufferTime = 20 * time.Millisecond
	// minReceiveBuffer and maxReceiveBuffer bound the receive buffers, in bytes. Links
	// that would need larger ones keep those of the operating system.
	minReceiveBuffer = 8 << 10
	maxReceiveBuffer = 128 << 10
)

// linkPacer limits the bandwidth that bodies use of the host's link. A nil pacer
// limits nothing. It is safe for concurrent use.
type linkPacer struct{ in, out *rate.Limiter }

// newLinkPacer returns the pacer of a link with the given bandwidth in bytes per
// second; nil if it is not known.
func newLinkPacer(linkRate int64) *linkPacer {
	if linkRate <= 0 {
		return nil
	}
	limit := bodyLinkShare * float64(linkRate)
	burst := max(pacedPartBytes, int(limit*pacingBurst.Seconds()))
	return &linkPacer{in: rate.NewLimiter(rate.Limit(limit), burst), out: rate.NewLimiter(rate.Limit(limit), burst)}
}

// rate returns the bandwidth that bodies get in each direction, in bytes per second; 0 if it isn't known.
func (p *linkPacer) rate() float64 {
	if p == nil {
		return 0
	}
	return float64(p.out.Limit())
}

// outgoing returns the function that delays each part of a body that is sent; nil
// if a body of the given length is not paced.
func (p *linkPacer) outgoing(ctx context.Context, length int) func(bytes int) {
	if p == nil || length < minPacedBytes {
		return nil
	}
	return func(bytes int) { awaitBandwidth(ctx, p.out, bytes) }
}

// awaitBandwidth takes bandwidth for a part of a body and waits until it is
// available or ctx ends, which also ends the transfer.
func awaitBandwidth(ctx context.Context, l *rate.Limiter, bytes int) {
	reservation := l.ReserveN(time.Now(), min(bytes, l.Burst()))
	sleep(ctx, reservation.Delay())
	if ctx.Err() != nil {
		reservation.Cancel()
	}
}

// awaitIncoming waits until the link has received bytes at the pace of bodies, or until ctx ends.
func (p *linkPacer) awaitIncoming(ctx context.Context, bytes int) {
	if p != nil {
		awaitBandwidth(ctx, p.in, bytes)
	}
}

// incoming returns a reader that reads a body no faster than its share of the link
// allows. The sender then finds the receive buffer full and stops. declared is the
// length of the body, or negative if its sender declares none.
func (p *linkPacer) incoming(ctx context.Context, body io.Reader, declared int64) io.Reader {
	if p == nil || declared >= 0 && declared < minPacedBytes {
		return body
	}
	return &pacedReader{ctx: ctx, in: body, limiter: p.in}
}

// pacedReader reads a body in parts and delays each of them.
type pacedReader struct {
	ctx     context.Context
	in      io.Reader
	limiter *rate.Limiter
}

// Read reads one part.
func (r *pacedReader) Read(p []byte) (int, error) {
	n, err := r.in.Read(p[:min(len(p), pacedPartBytes)])
	if n > 0 && err == nil {
		awaitBandwidth(r.ctx, r.limiter, n)
	}
	return n, err
}

// callerReceiveBuffer returns the size of the receive buffers of callers'
// connections, in bytes, or 0 to keep the operating system's.
func callerReceiveBuffer(linkRate int64) int {
	bytes := int(float64(linkRate) * receiveBufferTime.Seconds())
	if bytes <= 0 || bytes > maxReceiveBuffer {
		return 0
	}
	return max(bytes, minReceiveBuffer)
}
