package serving

import (
	"net"
	"time"

	"github.com/cockroachdb/errors"
)

// Timeouts are the timeouts of callers' connections that may change while the
// server runs.
type Timeouts struct {
	// Header limits the time in which the header of a request must arrive.
	Header time.Duration
	// Idle limits how long a connection without a request is kept open.
	Idle time.Duration
}

// Placeholder timeouts for the net/http server, whose timeouts cannot change
// after it starts. They never elapse: timedConn distinguishes them by their
// length and replaces them by the current timeouts.
const (
	headerPlaceholder = time.Hour
	idlePlaceholder   = 3 * time.Hour
)

// UseTimeouts makes the server call current for its timeouts whenever it sets a
// deadline. It must be called before Serve.
func (s *Server) UseTimeouts(current func() Timeouts) {
	s.http.ReadHeaderTimeout, s.http.IdleTimeout = headerPlaceholder, idlePlaceholder
	s.listener = &timedListener{Listener: s.listener, current: current}
}

// timedListener accepts connections whose timeouts may change.
type timedListener struct {
	net.Listener
	current func() Timeouts
}

// Accept waits for the next connection.
func (l *timedListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &timedConn{Conn: conn, current: l.current}, nil
}

// timedConn is a connection whose timeouts may change.
type timedConn struct {
	net.Conn
	current func() Timeouts
	// deadlineSet is true once the deadline of the first request was set.
	deadlineSet bool
}

// SetReadDeadline replaces a deadline that represents a placeholder timeout by
// the current timeout. The deadlines by which the net/http server ends its own
// reads lie in the past and are passed on unchanged. A new connection counts as
// idle until its first request.
func (c *timedConn) SetReadDeadline(t time.Time) error {
	remaining := time.Until(t)
	if t.IsZero() || remaining < headerPlaceholder/2 {
		return c.Conn.SetReadDeadline(t)
	}
	now := c.current()
	limit := now.Header
	if remaining > (headerPlaceholder+idlePlaceholder)/2 || !c.deadlineSet {
		limit = now.Idle
	}
	c.deadlineSet = true
	return c.Conn.SetReadDeadline(time.Now().Add(limit))
}

// NetConn returns the connection below.
func (c *timedConn) NetConn() net.Conn { return c.Conn }

// CloseWrite ends what is sent, and leaves what is received open.
func (c *timedConn) CloseWrite() error {
	half, ok := c.Conn.(interface{ CloseWrite() error })
	if !ok {
		return errors.New("the connection has no direction of its own")
	}
	return half.CloseWrite()
}
