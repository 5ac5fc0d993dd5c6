package serving

import (
	"net"
	"time"
)

// Timeouts are the limits of callers' connections that may change while the
// server runs.
type Timeouts struct {
	// Header bounds the arrival of a request's header.
	Header time.Duration
	// Idle bounds how long a connection without a request is kept.
	Idle time.Duration
}

// The timeouts that the server of net/http is given, which it fixes when it
// starts. They are never reached: timedConn tells them apart by their size and
// puts the ones in force in their place.
const (
	headerMark = time.Hour
	idleMark   = 3 * time.Hour
)

// UseTimeouts makes the server ask for its timeouts whenever it sets one. It must
// be called before Serve.
func (s *Server) UseTimeouts(current func() Timeouts) {
	s.http.ReadHeaderTimeout, s.http.IdleTimeout = headerMark, idleMark
	s.listener = &timedListener{Listener: s.listener, current: current}
}

// timedListener accepts connections with changing timeouts.
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

// timedConn is a connection with changing timeouts.
type timedConn struct {
	net.Conn
	current func() Timeouts
	// used says that the deadline of the first header was set.
	used bool
}

// SetReadDeadline replaces a deadline that stands for a timeout by the one in
// force. The deadlines by which the server of net/http ends its own reads lie in
// the past and pass unchanged. A new connection counts as idle until its first
// request.
func (c *timedConn) SetReadDeadline(t time.Time) error {
	left := time.Until(t)
	if t.IsZero() || left < headerMark/2 {
		return c.Conn.SetReadDeadline(t)
	}
	now := c.current()
	limit := now.Header
	if left > (headerMark+idleMark)/2 || !c.used {
		limit = now.Idle
	}
	c.used = true
	return c.Conn.SetReadDeadline(time.Now().Add(limit))
}
