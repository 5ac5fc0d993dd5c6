package serving

import (
	"bytes"
	"context"
	"io"
	"net"
	"os"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"tanagerbarrow/bodybuf"
)

// The memory for what callers send behind a request in progress.
const (
	// aheadChunkBytes is the size of the parts in which it is received.
	aheadChunkBytes = 4 << 10
	// aheadBudgetDivisor sets the part of the budget that is left to bodies, one divided by it, and
	// aheadConnDivisor the part that one connection may take.
	aheadBudgetDivisor = 2
	aheadConnDivisor   = 16
	// maxAheadBytes bounds it for a connection without a budget.
	maxAheadBytes = 64 << 10
	// minPacedAhead is how much is received without pacing: what short requests need.
	minPacedAhead = 16 << 10
	// hangUpPoll is the time between two looks whether a caller has left whose bytes find no memory.
	hangUpPoll = 100 * time.Millisecond
)

// aheadConn is a connection whose caller may send further requests before the response to the first. The HTTP
// server learns that a caller leaves by reading one byte, which a further request satisfies. This connection
// receives what is sent behind a request in progress instead, so that the end of the connection is seen behind
// it, and delivers it when the next request is read.
//
// A read delivers no byte beyond the end of a head, of a body of known length, or of the last chunk of another one.
// So the HTTP server holds nothing of the next request, and [aheadConn.behind] tells all of it.
type aheadConn struct {
	net.Conn
	// budget holds the memory; nil for a fixed bound. pace, if it is set, delays the receipt of bytes.
	budget *bodybuf.Budget
	pace   func(ctx context.Context, bytes int)

	// bodyLeft is how much of a body of known length was not delivered yet, and lineEnd what the last bytes
	// are that were; both belong to the reader.
	bodyLeft int64
	lineEnd  lineEnd

	mu sync.Mutex
	// unread are the bytes that were received and not delivered, reserved their memory, and size their number.
	unread         net.Buffers
	size, reserved int64
	// end is the error at which the caller's bytes end; nil while they may go on.
	end error
	// deadline is that of reads, and wake ends what waits for something else than bytes.
	deadline time.Time
	wake     context.CancelFunc
	closed   bool
}

// newAheadConn returns the connection of a caller.
func newAheadConn(c net.Conn, o GuardOptions) *aheadConn {
	return &aheadConn{Conn: c, budget: o.Memory, pace: o.PaceAhead, lineEnd: endOfMessage}
}

// Read delivers bytes of the request that is being read. Behind its end, the HTTP server reads a single byte to notice that the
// caller leaves.
func (c *aheadConn) Read(p []byte) (int, error) {
	if len(p) == 1 && c.lineEnd == endOfMessage && c.bodyLeft == 0 {
		return 0, c.watch()
	}
	if n, err := c.takeUnread(p); n > 0 || err != nil {
		return n, err
	}
	n, err := c.Conn.Read(p)
	message := c.deliver(p[:n])
	if message < n {
		// The memory of one read is part of the connection's.
		c.keep(bytes.Clone(p[message:n]))
	}
	return message, err
}

// takeUnread delivers bytes that were received before. It returns 0 and no error if there are none.
func (c *aheadConn) takeUnread(p []byte) (int, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.expired() {
		return 0, os.ErrDeadlineExceeded
	}
	if c.size == 0 {
		return 0, c.end
	}
	n := c.deliver(c.unread[0][:min(len(p), len(c.unread[0]))])
	n, _ = c.unread.Read(p[:n])
	c.size -= int64(n)
	if c.size == 0 {
		c.releaseLocked()
	}
	return n, nil
}

// deliver returns how many of the bytes belong to the message that is being read, and records that they are delivered.
func (c *aheadConn) deliver(received []byte) int {
	if c.bodyLeft > 0 {
		n := min(int64(len(received)), c.bodyLeft)
		c.bodyLeft -= n
		if c.bodyLeft == 0 {
			c.lineEnd = endOfMessage
		}
		return int(n)
	}
	n, end := messageLength(received, c.lineEnd)
	c.lineEnd = end
	return n
}

// expectBody says that a body follows the head that was delivered; length is negative if it isn't known.
func (c *aheadConn) expectBody(length int64) {
	switch {
	case length > 0:
		c.bodyLeft = length
	case length < 0:
		c.lineEnd = withinLine
	}
}

// watch receives what is sent behind a request in progress until the connection ends or the read is ended by its
// deadline, and returns why.
func (c *aheadConn) watch() error {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	c.mu.Lock()
	c.wake = cancel
	c.mu.Unlock()
	defer c.releaseUnused()
	// Most callers send nothing, so that the first read needs no chunk.
	for buffer := make([]byte, 1); ; {
		if err := c.ended(); err != nil {
			return err
		}
		if len(buffer) == 0 {
			if !c.reserve(aheadChunkBytes) {
				if err := c.awaitHangUp(ctx); err != nil {
					return err
				}
				continue
			}
			buffer = make([]byte, aheadChunkBytes)
		}
		n, err := c.Conn.Read(buffer)
		c.keep(buffer[:n])
		buffer = buffer[n:]
		if err != nil {
			return c.endWatch(err)
		}
		if c.pace != nil && c.behind() > minPacedAhead {
			c.pace(ctx, n)
		}
	}
}

// endWatch returns the error of a read that has failed: that of the deadline, or that of the connection, of which
// then nothing is delivered any more, since nobody waits for what a caller has sent before it left.
func (c *aheadConn) endWatch(err error) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.expired() {
		return os.ErrDeadlineExceeded
	}
	c.end = err
	c.releaseLocked()
	return err
}

// awaitHangUp waits until the caller closes its connection, the read is ended, or for a time. It returns an
// error in the first two cases.
func (c *aheadConn) awaitHangUp(ctx context.Context) error {
	if hungUp(c.Conn) {
		return c.endWatch(io.EOF)
	}
	timer := time.NewTimer(hangUpPoll)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return os.ErrDeadlineExceeded
	case <-timer.C:
		return nil
	}
}

// hungUp reports whether the peer of a connection has closed it, whatever it has sent before.
func hungUp(c net.Conn) bool {
	for {
		inner, ok := c.(interface{ NetConn() net.Conn })
		if !ok {
			break
		}
		c = inner.NetConn()
	}
	socket, ok := c.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := socket.SyscallConn()
	if err != nil {
		return true
	}
	found := false
	err = raw.Control(func(fd uintptr) {
		events := []unix.PollFd{{Fd: int32(fd), Events: unix.POLLRDHUP}}
		n, pollErr := unix.Poll(events, 0)
		found = pollErr == nil && n > 0 && events[0].Revents&(unix.POLLRDHUP|unix.POLLHUP|unix.POLLERR) != 0
	})
	return err != nil || found
}

// behind returns the number of bytes that were received behind the request in progress.
func (c *aheadConn) behind() int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.size
}

// ended returns why nothing more is to be received; nil if more may come.
func (c *aheadConn) ended() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.expired() {
		return os.ErrDeadlineExceeded
	}
	return c.end
}

// expired reports whether the deadline of reads has passed. The caller holds the lock.
func (c *aheadConn) expired() bool { return !c.deadline.IsZero() && !time.Now().Before(c.deadline) }

// reserve takes memory for bytes that are to be received.
func (c *aheadConn) reserve(n int64) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.budget == nil {
		return c.size+n <= maxAheadBytes
	}
	if c.reserved+n > c.budget.Total()/aheadConnDivisor || !c.budget.TryTake(n, c.budget.Total()/aheadBudgetDivisor) {
		return false
	}
	c.reserved += n
	return true
}

// keep adds bytes that were received.
func (c *aheadConn) keep(received []byte) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(received) > 0 && !c.closed {
		c.unread = append(c.unread, received)
		c.size += int64(len(received))
	}
}

// releaseUnused returns the memory that was reserved if nothing was received.
func (c *aheadConn) releaseUnused() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.size == 0 {
		c.releaseLocked()
	}
}

// releaseLocked forgets what was received. The caller holds the lock.
func (c *aheadConn) releaseLocked() {
	if c.budget != nil {
		c.budget.Release(c.reserved)
	}
	c.unread, c.size, c.reserved = nil, 0, 0
}

// release returns the memory of a connection that is closed.
func (c *aheadConn) release() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closed = true
	c.releaseLocked()
	if c.wake != nil {
		c.wake()
	}
}

// SetReadDeadline sets the time at which reads fail.
func (c *aheadConn) SetReadDeadline(t time.Time) error {
	c.mu.Lock()
	c.deadline = t
	if c.wake != nil && c.expired() {
		c.wake()
	}
	c.mu.Unlock()
	return c.Conn.SetReadDeadline(t)
}
