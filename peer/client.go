package peer

import (
	"context"
	"crypto/tls"
	"net"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sourcegraph/jsonrpc2"

	"tanagerbarrow/access"
	"tanagerbarrow/consensus"
	"tanagerbarrow/settings"
)

// dialTimeout bounds the opening of a connection to a peer.
const dialTimeout = time.Second

// Client calls one other process. It connects on first use and again after a
// connection broke.
type Client struct {
	host string
	key  string
	peer settings.Host
	tls  settings.TLSFiles
	mu   sync.Mutex
	conn *jsonrpc2.Conn
}

// NewClient returns a client of the peer that presents itself as host.
func NewClient(host, key string, peer settings.Host) *Client {
	return &Client{host: host, key: key, peer: peer}
}

// UseTLS makes the client connect with TLS if files are set. They are read for
// each new connection, so that a renewed certificate needs no restart. It must
// be called before the first call.
func (c *Client) UseTLS(files settings.TLSFiles) *Client {
	c.tls = files
	return c
}

// Peer returns the host that the client calls.
func (c *Client) Peer() settings.Host { return c.peer }

// Call carries out one call. ctx bounds it.
func (c *Client) Call(ctx context.Context, method string, params, result any) error {
	conn, err := c.connect(ctx)
	if err != nil {
		return errors.Mark(err, consensus.ErrNotConnected)
	}
	if err := conn.Call(ctx, method, params, result); err != nil {
		c.dropBroken(conn, err)
		return errors.Wrapf(err, "call %s on host %q", method, c.peer.Name)
	}
	return nil
}

// connect returns the open connection, or opens one.
func (c *Client) connect(ctx context.Context) (*jsonrpc2.Conn, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.conn != nil {
		return c.conn, nil
	}
	conn, err := c.dial(ctx)
	if err != nil {
		return nil, errors.Wrapf(err, "connect to host %q", c.peer.Name)
	}
	stream := jsonrpc2.NewBufferedStream(conn, trustedCodec())
	rpc := jsonrpc2.NewConn(context.WithoutCancel(ctx), stream, noHandler{})
	if err := rpc.Call(ctx, MethodHello, Hello{Host: c.host, Key: c.key}, &Empty{}); err != nil {
		_ = rpc.Close()
		return nil, errors.Wrapf(err, "greet host %q", c.peer.Name)
	}
	c.conn = rpc
	return rpc, nil
}

// dial opens a TCP connection with keepalive, and TLS on it if files are set.
func (c *Client) dial(ctx context.Context) (net.Conn, error) {
	secure, err := access.LoadTLS(c.tls)
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	plain := net.Dialer{KeepAlive: keepAlivePeriod}
	config := secure.PeerClient()
	if config == nil {
		return plain.DialContext(ctx, "tcp", c.peer.Peer.String())
	}
	return (&tls.Dialer{NetDialer: &plain, Config: config}).DialContext(ctx, "tcp", c.peer.Peer.String())
}

// dropBroken forgets a connection unless the error is the peer's own answer.
func (c *Client) dropBroken(conn *jsonrpc2.Conn, err error) {
	var answered *jsonrpc2.Error
	if errors.As(err, &answered) {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.conn == conn {
		c.conn = nil
	}
	_ = conn.Close()
}

// Close closes the connection.
func (c *Client) Close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.conn != nil {
		_ = c.conn.Close()
		c.conn = nil
	}
}

// noHandler ignores calls on a connection that this side opened.
type noHandler struct{}

// Handle does nothing.
func (noHandler) Handle(context.Context, *jsonrpc2.Conn, *jsonrpc2.Request) {}
