package peer

import (
	"net"

	"github.com/VictoriaMetrics/metrics"
)

// meteredConn counts the bytes of a connection, without those of TLS and TCP.
type meteredConn struct {
	net.Conn

	in, out *metrics.Counter
}

// metered returns the connection with its bytes counted in the set, which may
// be nil.
func metered(conn net.Conn, set *metrics.Set) net.Conn {
	if set == nil {
		return conn
	}
	return &meteredConn{
		Conn: conn,
		in:   set.GetOrCreateCounter(`tanagerbarrow_peer_served_bytes_total{direction="in"}`),
		out:  set.GetOrCreateCounter(`tanagerbarrow_peer_served_bytes_total{direction="out"}`),
	}
}

// Read reads and counts.
func (c *meteredConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.in.Add(n)
	return n, err
}

// Write writes and counts.
func (c *meteredConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.out.Add(n)
	return n, err
}
