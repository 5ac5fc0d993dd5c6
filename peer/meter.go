package peer

import (
	"net"

	"github.com/VictoriaMetrics/metrics"
)

// meteredConn counts the bytes read and written on a connection, excluding the
// overhead of TLS and TCP.
type meteredConn struct {
	net.Conn

	in, out *metrics.Counter
}

// newMeteredConn returns conn with its bytes counted in the set. It returns
// conn itself if the set is nil.
func newMeteredConn(conn net.Conn, set *metrics.Set) net.Conn {
	if set == nil {
		return conn
	}
	return &meteredConn{
		Conn: conn,
		in:   set.GetOrCreateCounter(`tanagerbarrow_peer_served_bytes_total{direction="in"}`),
		out:  set.GetOrCreateCounter(`tanagerbarrow_peer_served_bytes_total{direction="out"}`),
	}
}

// Read reads from the connection and counts the bytes.
func (c *meteredConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.in.Add(n)
	return n, err
}

// Write writes to the connection and counts the bytes.
func (c *meteredConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.out.Add(n)
	return n, err
}
