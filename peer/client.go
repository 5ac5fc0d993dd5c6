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

// dialTimeout limits how long opening a connection to a peer may take.
const dialTimeout = time.Second

// Client calls one other process. It connects on the first call and reconnects
// after the connection has broken.
type Client struct {
	host string
	key  string
	peer settings.Host
	tls  settings.TLSFiles
	mu   sync.Mutex
	conn *jsonrpc2.Conn
}

// NewClient returns a client that calls peer and identifies itself as host.
func NewClient(host, key string, peer settings.Host) *Client {
	return &Client{host: host, key: key, peer: peer}
}

// UseTLS makes the client connect with TLS if files are set. The files are read
// for each new connection, so that a renewed certificate needs no restart.
// UseTLS must be called before the first call.
func (c *Client) UseTLS(files settings.TLSFiles) *Client {
	c.tls = files
	return c
}

// Peer returns the host that the client calls.
func (c *Client) Peer() settings.Host { return c.peer }

// Call calls a method of the peer and decodes its response into result. ctx
// limits the time for connecting and for the call. A failure to connect is
// marked with [consensus.ErrNotConnected].
func (c *Client) Call(ctx context.Context, method string, params, result any) error {
	conn, err := c.connect(ctx)
	if err != nil {
		return errors.Mark(err, consensus.ErrNotConnected)
	}
	if err := conn.Call(ctx, method, params, result); err != nil {
		c.closeIfBroken(conn, err)
		return errors.Wrapf(err, "call %s on host %q", method, c.peer.Name)
	}
	return nil
}

// connect returns the open connection. If there is none, it opens one and
// authenticates with the peer key.
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
	stream := jsonrpc2.NewBufferedStream(conn, clientCodec())
	rpc := jsonrpc2.NewConn(context.WithoutCancel(ctx), stream, noHandler{})
	if err := rpc.Call(ctx, MethodHello, Hello{Host: c.host, Key: c.key}, &Empty{}); err != nil {
		_ = rpc.Close()
		return nil, errors.Wrapf(err, "greet host %q", c.peer.Name)
	}
	c.conn = rpc
	return rpc, nil
}

// dial opens a TCP connection with keepalive, with TLS if files are set.
func (c *Client) dial(ctx context.Context) (net.Conn, error) {
	certificates, err := access.LoadTLS(c.tls)
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	dialer := net.Dialer{KeepAlive: keepAlivePeriod}
	config := certificates.PeerClient()
	if config == nil {
		return dialer.DialContext(ctx, "tcp", c.peer.Peer.String())
	}
	return (&tls.Dialer{NetDialer: &dialer, Config: config}).DialContext(ctx, "tcp", c.peer.Peer.String())
}

// closeIfBroken closes the connection after a failed call, unless err is an
// error response that the peer sent over a working connection.
func (c *Client) closeIfBroken(conn *jsonrpc2.Conn, err error) {
	var peerError *jsonrpc2.Error
	if errors.As(err, &peerError) {
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

// noHandler ignores requests from the peer on a connection that this side
// opened.
type noHandler struct{}

// Handle ignores the request.
func (noHandler) Handle(context.Context, *jsonrpc2.Conn, *jsonrpc2.Request) {}
