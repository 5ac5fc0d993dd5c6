package backend

import (
	"bufio"
	"context"
	"net"
	"net/netip"
	"sync"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sys/unix"
)

// errSealed is returned by writes to a connection after its exchange failed.
var errSealed = errors.New("connection is sealed")

// errHeaderTooLarge is returned by reads once the header of a response exceeds
// its maximum size.
var errHeaderTooLarge = errors.Newf("answer header has more than %d bytes", maxResponseHeaderBytes)

// The sizes of a connection's buffers, in bytes.
const (
	readBufferBytes  = 8 << 10
	writeBufferBytes = 8 << 10
)

// conn is one connection to a backend server. It counts the bytes that the
// kernel accepted and can refuse further writes. Together these prove that no
// byte of a request was written.
type conn struct {
	net.Conn

	address netip.AddrPort
	raw     syscall.RawConn
	reader  *bufio.Reader
	writer  *bufio.Writer
	// headerBytesLeft is the number of bytes that may still be read of a response's
	// header, or negative while no header is being read.
	headerBytesLeft int64
	// verifiedAt is when the connection last delivered a complete response, or was
	// opened.
	verifiedAt time.Time
	// expires is when the server closes the connection if it stays idle; zero if
	// the server did not report it.
	expires time.Time
	// reused is whether the connection carried an exchange before this one.
	reused bool
	// silenceDeadline is the read deadline that limits silence, or zero.
	silenceDeadline time.Time
	// received is whether any byte was received in this exchange.
	received bool
	// requests are those that the connection has carried.
	requests carried

	mu      sync.Mutex
	written int64
	sealed  bool
}

// dial opens a connection that fails if its peer stops acknowledging data.
func dial(ctx context.Context, to netip.AddrPort, timeout time.Duration) (*conn, error) {
	d := net.Dialer{Timeout: timeout, KeepAlive: keepAlivePeriod, Control: setUserTimeout}
	opened, err := d.DialContext(ctx, "tcp", to.String())
	if err != nil {
		return nil, err
	}
	c := &conn{Conn: opened, address: to, headerBytesLeft: -1, verifiedAt: time.Now()}
	if tcp, ok := opened.(syscall.Conn); ok {
		c.raw, _ = tcp.SyscallConn()
	}
	c.reader = bufio.NewReaderSize((*connReader)(c), readBufferBytes)
	c.writer = bufio.NewWriterSize(c, writeBufferBytes)
	return c, nil
}

// setUserTimeout limits how long sent data may stay unacknowledged.
func setUserTimeout(_, _ string, raw syscall.RawConn) error {
	var result error
	err := raw.Control(func(fd uintptr) {
		result = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(userTimeout.Milliseconds()))
	})
	if err != nil {
		return err
	}
	return result
}

// keepAliveMargin is subtracted from the time for which a server keeps an idle
// connection open, to allow for requests in transit when it closes.
const keepAliveMargin = 700 * time.Millisecond

// setKeepAlive records how long the server keeps the connection open once it is
// idle; 0 means that this is unknown.
func (c *conn) setKeepAlive(d time.Duration) {
	c.expires = time.Time{}
	if d > 0 {
		c.expires = time.Now().Add(d - keepAliveMargin)
	}
}

// Write writes to the connection unless it is sealed. While a write is in
// progress, all of its bytes count as written.
func (c *conn) Write(p []byte) (int, error) {
	c.mu.Lock()
	if c.sealed {
		c.mu.Unlock()
		return 0, errSealed
	}
	c.written += int64(len(p))
	c.mu.Unlock()
	n, err := c.Conn.Write(p)
	if n < len(p) {
		c.mu.Lock()
		c.written -= int64(len(p) - n)
		c.mu.Unlock()
	}
	return n, err
}

// writtenBytes returns the number of bytes that the kernel has accepted so far.
// Bytes of a write in progress are included.
func (c *conn) writtenBytes() int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.written
}

// seal makes further writes fail and reports whether nothing was written since
// the count that [conn.writtenBytes] returned. The result is final, because
// nothing can be written afterwards.
func (c *conn) seal(before int64) (nothingWritten bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.sealed = true
	return c.written == before
}

// abort closes the connection with a reset. Bytes that a broken link still holds are then
// lost; after an ordinary close they would reach the server once the link works again, and
// with them a request that was given up.
func (c *conn) abort() {
	if tcp, ok := c.Conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = c.Close()
}

// reusable reports whether the connection is open and has nothing to read. A
// connection with unsolicited data must not be reused.
func (c *conn) reusable() bool {
	if c.reader.Buffered() > 0 {
		return false
	}
	if c.raw == nil {
		return true
	}
	var peekErr error
	err := c.raw.Control(func(fd uintptr) {
		var one [1]byte
		_, _, peekErr = unix.Recvfrom(int(fd), one[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
	})
	return err == nil && errors.Is(peekErr, unix.EAGAIN)
}

// setSilenceLimit makes reads on a reused connection fail after one to two times
// the limit, or removes the read deadline if the limit is 0. One deadline covers
// many exchanges, because setting it for each request is too expensive.
func (c *conn) setSilenceLimit(limit time.Duration) {
	if limit == 0 || !c.reused {
		if !c.silenceDeadline.IsZero() {
			c.silenceDeadline = time.Time{}
			_ = c.SetReadDeadline(time.Time{})
		}
		return
	}
	now := time.Now()
	if c.silenceDeadline.Sub(now) < limit {
		c.silenceDeadline = now.Add(2 * limit)
		_ = c.SetReadDeadline(c.silenceDeadline)
	}
}

// connReader reads from a connection and limits the size of a response's header.
type connReader conn

// Read reads from the connection, or fails with errHeaderTooLarge.
func (r *connReader) Read(p []byte) (int, error) {
	if r.headerBytesLeft == 0 {
		return 0, errHeaderTooLarge
	}
	if r.headerBytesLeft > 0 {
		p = p[:min(int64(len(p)), r.headerBytesLeft)]
	}
	n, err := r.Conn.Read(p)
	if n > 0 {
		r.received = true
	}
	if r.headerBytesLeft > 0 {
		r.headerBytesLeft -= int64(n)
	}
	return n, err
}
