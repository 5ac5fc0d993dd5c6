package serving

import (
	"bytes"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// The memory of heads.
const (
	// fieldBytes is the memory of one field of a decoded head beside its bytes, and of the copy
	// that is sent on.
	fieldBytes = 400
	// freeHeadBytes is the memory of a head that is part of its connection.
	freeHeadBytes = 8 << 10
	// headLeaveDivisor sets the part of the budget that heads leave to bodies, one divided by it.
	headLeaveDivisor = 4
	// headSlack is how many bytes beyond a head may be read together with it.
	headSlack = 8 << 10
)

// The responses to heads that are not read to their end. Neither request has run.
const (
	headTooLarge = "HTTP/1.1 431 Request Header Fields Too Large\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"
	headNoMemory = "HTTP/1.1 503 Service Unavailable\r\nRetry-After: 1.000\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"
)

// guardedConn is a connection that counts what it holds.
type guardedConn struct {
	// Conn is ahead.
	net.Conn
	ahead *aheadConn
	guard *Guard

	phase atomic.Int32
	// reading and writing say that the process waits for the caller.
	reading, writing atomic.Bool
	// atServer is set by [AtServer].
	atServer atomic.Bool
	// transferred counts the bytes of this phase in this window, and waitedTicks the sweeps
	// that found the process waiting.
	transferred, waitedTicks atomic.Int64
	// held is the memory of bodies, as recorded by [Holds].
	held atomic.Int64
	// headBytes and headFields count the head that is being read; only its reader uses them.
	headBytes, headFields int64
	// headReserved is the memory that was taken for the head.
	headReserved atomic.Int64

	deadlineMu sync.Mutex
	// limited says that limitRead has set a deadline.
	limited bool
}

// newGuardedConn returns the connection of a caller.
func newGuardedConn(c net.Conn, g *Guard) *guardedConn {
	ahead := newAheadConn(c, g.options)
	return &guardedConn{Conn: ahead, ahead: ahead, guard: g}
}

// enter begins a phase, unless it has begun.
func (c *guardedConn) enter(p phase) {
	if phase(c.phase.Swap(int32(p))) != p {
		c.transferred.Store(0)
		c.waitedTicks.Store(0)
	}
}

// endRequest ends a request after its response.
func (c *guardedConn) endRequest() {
	c.enter(phaseIdle)
	c.releaseHead()
	c.held.Store(0)
	c.atServer.Store(false)
	c.limitRead(time.Time{})
}

// releaseHead returns the memory of the head.
func (c *guardedConn) releaseHead() {
	c.headBytes, c.headFields = 0, 0
	if n := c.headReserved.Swap(0); n > 0 {
		c.guard.options.Memory.Release(n)
	}
}

// holding returns what the connection holds.
func (c *guardedConn) holding() holding {
	return holding{
		phase: phase(c.phase.Load()), waiting: c.reading.Load() || c.writing.Load(),
		waited: time.Duration(c.waitedTicks.Load()) * sweepPeriod, progress: c.transferred.Load(),
		bytes: connectionBytes + c.headReserved.Load() + c.held.Load() + c.ahead.behind(),
	}
}

// observe counts a sweep that found the process waiting, and begins a new window after one
// with enough progress.
func (c *guardedConn) observe(h holding) {
	if !h.waiting {
		return
	}
	c.waitedTicks.Add(1)
	if h.phase != phaseIdle && h.waited >= transferWindow && !h.tooSlow() {
		c.transferred.Store(0)
		c.waitedTicks.Store(0)
	}
}

// Read reads from the caller. While a request is served, the server reads a single byte to
// notice that the caller leaves; any other read is one of the body.
func (c *guardedConn) Read(p []byte) (int, error) {
	if len(p) == 1 {
		return c.Conn.Read(p)
	}
	switch phase(c.phase.Load()) {
	case phaseIdle, phaseHead:
		return c.readHead(p)
	case phaseServing, phaseResponse:
		if c.atServer.Load() {
			return c.Conn.Read(p)
		}
		c.enter(phaseBody)
	case phaseBody:
	}
	n, err := c.read(p)
	if held := c.transferred.Load(); held > c.held.Load() {
		c.held.Store(held)
	}
	return n, err
}

// read reads and counts the time and the bytes.
func (c *guardedConn) read(p []byte) (int, error) {
	c.reading.Store(true)
	n, err := c.Conn.Read(p)
	c.reading.Store(false)
	c.transferred.Add(int64(n))
	return n, err
}

// readHead reads a part of a head, within its bounds.
func (c *guardedConn) readHead(p []byte) (int, error) {
	n, err := c.read(p)
	if n > 0 {
		c.enter(phaseHead)
	}
	c.headBytes += int64(n)
	c.headFields += int64(bytes.Count(headPart(p[:n]), []byte{'\n'}))
	if limit := c.guard.options.MaxHeadBytes; limit != nil {
		if most := limit(); most > 0 && c.headBytes > most+headSlack {
			return c.refuseHead(headTooLarge)
		}
	}
	need := c.headBytes + fieldBytes*c.headFields - freeHeadBytes - c.headReserved.Load()
	if budget := c.guard.options.Memory; need > 0 && budget != nil {
		if !budget.Take(need, budget.Total()/headLeaveDivisor) {
			return c.refuseHead(headNoMemory)
		}
		c.headReserved.Add(need)
	}
	return n, err
}

// headPart returns the bytes up to the end of a head, so that the lines of a body that was read together
// with it count as no fields.
func headPart(read []byte) []byte {
	if end := bytes.Index(read, []byte("\r\n\r\n")); end >= 0 {
		return read[:end]
	}
	return read
}

// refuseHead answers a head that is not read on. The server takes the end for one by the
// caller, and closes the connection.
func (c *guardedConn) refuseHead(response string) (int, error) {
	c.guard.record(c, c.holding(), closedHead)
	_ = c.SetWriteDeadline(time.Now().Add(sweepPeriod))
	_, _ = io.WriteString(c.Conn, response)
	return 0, io.EOF
}

// Write writes to the caller.
func (c *guardedConn) Write(p []byte) (int, error) {
	c.enter(phaseResponse)
	c.writing.Store(true)
	n, err := c.Conn.Write(p)
	c.writing.Store(false)
	c.transferred.Add(int64(n))
	return n, err
}

// limitRead makes reads fail after a time; the zero time ends the limit.
func (c *guardedConn) limitRead(end time.Time) {
	c.deadlineMu.Lock()
	defer c.deadlineMu.Unlock()
	if end.IsZero() && !c.limited {
		return
	}
	c.limited = !end.IsZero()
	_ = c.SetReadDeadline(end)
}

// Close closes the connection. A close with unread bytes would reset it, and the caller could lose a
// response whose end is still on its way: after a response, what the caller has sent ahead is
// read off first, for a bounded time.
func (c *guardedConn) Close() error {
	half, ok := c.ahead.Conn.(interface{ CloseWrite() error })
	if phase(c.phase.Load()) != phaseResponse || c.writing.Load() || !ok || half.CloseWrite() != nil {
		return c.closeNow()
	}
	go func() {
		c.limitRead(time.Now().Add(lingerTime))
		_, _ = io.CopyN(io.Discard, c.ahead.Conn, lingerBytes)
		_ = c.closeNow()
	}()
	return nil
}

// The bounds of what is read off after the last response of a connection. A caller that reads the
// response closes within a few round trips.
const (
	lingerTime  = 500 * time.Millisecond
	lingerBytes = 64 << 10
)

// closeNow closes the connection at once.
func (c *guardedConn) closeNow() error {
	c.guard.remove(c)
	c.ahead.release()
	return c.Conn.Close()
}
