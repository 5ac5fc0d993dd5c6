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
	server  *Server
	remote  string
	trusted atomic.Bool
	closing atomic.Bool
	conn    net.Conn
}

// limit returns the bound of the next message, in bytes.
func (c *session) limit() uint64 {
	if c.trusted.Load() {
		return maxMessageBytes
	}
	return maxHelloBytes
}

// handle answers one call.
func (c *session) handle(ctx context.Context, conn *jsonrpc2.Conn, r *jsonrpc2.Request) (any, error) {
	var params json.RawMessage
	if r.Params != nil {
		params = *r.Params
	}
	if r.Method == MethodHello {
		return c.hello(conn, params)
	}
	if !c.trusted.Load() {
		return nil, c.refuse(conn, access.MissingKey, "", "no hello with the peer key came first")
	}
	h, ok := c.server.handlers[r.Method]
	if !ok {
		return nil, &jsonrpc2.Error{Code: jsonrpc2.CodeMethodNotFound, Message: "method " + r.Method + " is unknown"}
	}
	return h(ctx, params)
}

// hello checks the peer key. A connection with another key is closed.
func (c *session) hello(conn *jsonrpc2.Conn, params json.RawMessage) (any, error) {
	var h Hello
	if err := json.Unmarshal(params, &h); err != nil {
		return nil, errors.Wrap(err, "decode hello")
	}
	if c.closing.Load() || !access.KeyMatches(h.Key, c.server.key) {
		return nil, c.refuse(conn, access.RefusalReason(h.Key), h.Host, "wrong or missing peer key")
	}
	c.trusted.Store(true)
	c.server.settle(c)
	return Empty{}, nil
}

// refuse returns the error of a refusal and closes the connection once the
// peer had time to read it.
func (c *session) refuse(conn *jsonrpc2.Conn, why access.Reason, name, message string) error {
	if !c.closing.Swap(true) {
		c.refused(why, name)
		time.AfterFunc(refusalLinger, func() { _ = conn.Close() })
	}
	return &jsonrpc2.Error{Code: codeUnauthorized, Message: message}
}

// expire closes the connection if it has not presented the key.
func (c *session) expire(why access.Reason) {
	if c.trusted.Load() || c.closing.Swap(true) {
		return
	}
	c.refused(why, "")
	_ = c.conn.Close()
}

// refused logs and counts a refusal. The name is what the peer claims.
func (c *session) refused(why access.Reason, name string) {
	access.CountRefusal(c.server.metrics, access.Peer, why)
	c.server.log.Warn().Str("peer", name).Str("remote", c.remote).Str("reason", string(why)).Msg("peer refused")
}

// silent drops what jsonrpc2 would write to the process's standard log.
type silent struct{}

// Printf does nothing.
func (silent) Printf(string, ...interface{}) {}
