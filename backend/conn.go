package backend

import (
	"net"
	"sync"

	"github.com/cockroachdb/errors"
)

// errSealed is returned by writes to a connection after its exchange failed.
var errSealed = errors.New("connection is sealed")

// conn counts the writes that were started on a connection and can forbid
// further ones. Both together prove that no byte of a request was written.
type conn struct {
	net.Conn

	mu      sync.Mutex
	started int64
	sealed  bool
}

// Write passes bytes on unless the connection is sealed.
func (c *conn) Write(p []byte) (int, error) {
	c.mu.Lock()
	if c.sealed {
		c.mu.Unlock()
		return 0, errSealed
	}
	c.started += int64(len(p))
	c.mu.Unlock()
	return c.Conn.Write(p)
}

// mark returns the number of bytes whose writing has started so far.
func (c *conn) mark() int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.started
}

// seal forbids further writes and reports whether none was started since the
// mark. The answer holds for good, because nothing can be written afterwards.
func (c *conn) seal(mark int64) (untouched bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.sealed = true
	return c.started == mark
}
