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
	conn *sharedConn
}

// sharedConn is a connection on which calls wait for their responses.
type sharedConn struct {
	*jsonrpc2.Conn

	// calls counts the calls in progress.
	calls int
	// retired says that no further call uses the connection, which is closed after the
	// last one.
	retired bool
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
	err = conn.Call(ctx, method, params, result)
	c.release(conn, err)
	if err != nil {
		return errors.Wrapf(err, "call %s on host %q", method, c.peer.Name)
	}
	return nil
}

// connect returns the open connection for one call, which must be released. If there is
// none, it opens one and authenticates with the peer key.
func (c *Client) connect(ctx context.Context) (*sharedConn, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.conn != nil {
		c.conn.calls++
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
	c.conn = &sharedConn{Conn: rpc, calls: 1}
	return c.conn, nil
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

// release ends a call on a connection. A response of the peer, also an error, shows that the
// connection works. A call that got none in time may have met a peer that is slow or a connection
// that is silent: further calls use another one, and those in progress keep theirs. After any other
// error the connection is closed.
func (c *Client) release(conn *sharedConn, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	conn.calls--
	var peerError *jsonrpc2.Error
	if err != nil && !errors.As(err, &peerError) {
		conn.retired = true
		if c.conn == conn {
			c.conn = nil
		}
		if !errors.Is(err, context.DeadlineExceeded) && !errors.Is(err, context.Canceled) {
			_ = conn.Close()
			return
		}
	}
	if conn.retired && conn.calls == 0 {
		_ = conn.Close()
	}
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
