package peer

import (
	"context"
	"encoding/json"
	"net"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sourcegraph/jsonrpc2"

	"tanagerbarrow/access"
)

// session is one accepted connection.
type session struct {
	server        *Server
	remote        string
	authenticated atomic.Bool
	closing       atomic.Bool
	conn          net.Conn
}

// limit returns the size limit of the next message, in bytes.
func (c *session) limit() uint64 {
	if c.authenticated.Load() {
		return maxMessageBytes
	}
	return maxHelloBytes
}

// handle dispatches one call. A call before a successful hello is refused.
func (c *session) handle(ctx context.Context, conn *jsonrpc2.Conn, r *jsonrpc2.Request) (any, error) {
	var params json.RawMessage
	if r.Params != nil {
		params = *r.Params
	}
	if r.Method == MethodHello {
		return c.hello(conn, params)
	}
	if !c.authenticated.Load() {
		return nil, c.refuse(conn, access.MissingKey, "", "no hello with the peer key came first")
	}
	h, ok := c.server.handlers[r.Method]
	if !ok {
		return nil, &jsonrpc2.Error{Code: jsonrpc2.CodeMethodNotFound, Message: "method " + r.Method + " is unknown"}
	}
	return h(ctx, params)
}

// hello checks the peer key and marks the connection as authenticated. A
// connection that presents a wrong key or none is closed.
func (c *session) hello(conn *jsonrpc2.Conn, params json.RawMessage) (any, error) {
	var h Hello
	if err := json.Unmarshal(params, &h); err != nil {
		return nil, errors.Wrap(err, "decode hello")
	}
	if c.closing.Load() || !access.KeyMatches(h.Key, c.server.key) {
		return nil, c.refuse(conn, access.RefusalReason(h.Key), h.Host, "wrong or missing peer key")
	}
	c.authenticated.Store(true)
	c.server.removeUnauthenticated(c)
	return Empty{}, nil
}

// refuse returns the error response of a refusal. It closes the connection
// after refusalCloseDelay, so that the peer has time to read the response.
func (c *session) refuse(conn *jsonrpc2.Conn, reason access.Reason, claimedHost, message string) error {
	if !c.closing.Swap(true) {
		c.recordRefusal(reason, claimedHost)
		time.AfterFunc(refusalCloseDelay, func() { _ = conn.Close() })
	}
	return &jsonrpc2.Error{Code: codeUnauthorized, Message: message}
}

// closeUnauthenticated closes the connection if it has not presented the peer
// key.
func (c *session) closeUnauthenticated(reason access.Reason) {
	if c.authenticated.Load() || c.closing.Swap(true) {
		return
	}
	c.recordRefusal(reason, "")
	_ = c.conn.Close()
}

// recordRefusal logs and counts a refusal. claimedHost is the name that the
// peer gave; it is not verified.
func (c *session) recordRefusal(reason access.Reason, claimedHost string) {
	access.CountRefusal(c.server.metrics, access.Peer, reason)
	c.server.log.Warn().Str("peer", claimedHost).Str("remote", c.remote).Str("reason", string(reason)).Msg("peer refused")
}

// discardLogger discards what jsonrpc2 would write to the standard logger of
// the process.
type discardLogger struct{}

// Printf discards the message.
func (discardLogger) Printf(string, ...interface{}) {}
