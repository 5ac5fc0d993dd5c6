package peer

import (
	"context"
	"crypto/subtle"
	"encoding/json"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/rs/zerolog"
	"github.com/sourcegraph/jsonrpc2"
)

// codeUnauthorized is the jsonrpc2 error code for a wrong or missing key.
const codeUnauthorized = 401

// keepAlivePeriod is the time between keepalive probes on peer connections.
const keepAlivePeriod = 5 * time.Second

// Handler answers one call. Its result is encoded as JSON.
type Handler func(ctx context.Context, params json.RawMessage) (any, error)

// Server answers calls of other processes.
type Server struct {
	key      string
	log      zerolog.Logger
	handlers map[string]Handler
	// ordered are the methods that are handled in the order of arrival.
	ordered map[string]bool

	mu    sync.Mutex
	conns map[*jsonrpc2.Conn]bool
}

// NewServer returns a server that lets in callers with the key.
func NewServer(key string, log zerolog.Logger) *Server {
	return &Server{key: key, log: log, handlers: map[string]Handler{}, ordered: map[string]bool{}, conns: map[*jsonrpc2.Conn]bool{}}
}

// Handle registers the handler of a method. It must be called before Serve.
func (s *Server) Handle(method string, h Handler) { s.handlers[method] = h }

// Typed returns a handler that decodes its parameters as P.
func Typed[P, R any](f func(ctx context.Context, p P) (R, error)) Handler {
	return func(ctx context.Context, raw json.RawMessage) (any, error) {
		var p P
		if err := json.Unmarshal(raw, &p); err != nil {
			return nil, errors.Wrap(err, "decode parameters")
		}
		return f(ctx, p)
	}
}

// Serve accepts connections until the listener closes.
func (s *Server) Serve(ctx context.Context, l net.Listener) error {
	for {
		conn, err := l.Accept()
		if errors.Is(err, net.ErrClosed) {
			return nil
		}
		if err != nil {
			return errors.Wrapf(err, "accept peers on %s", l.Addr())
		}
		s.attach(ctx, conn)
	}
}

// attach serves one connection in the background.
func (s *Server) attach(ctx context.Context, conn net.Conn) {
	session := &session{server: s, remote: conn.RemoteAddr().String()}
	stream := jsonrpc2.NewBufferedStream(conn, jsonrpc2.VarintObjectCodec{})
	handler := newOrderedHandler(s, jsonrpc2.HandlerWithError(session.handle).SuppressErrClosed())
	rpc := jsonrpc2.NewConn(ctx, stream, handler)
	s.mu.Lock()
	s.conns[rpc] = true
	s.mu.Unlock()
	go func() {
		<-rpc.DisconnectNotify()
		s.mu.Lock()
		delete(s.conns, rpc)
		s.mu.Unlock()
	}()
}

// Close closes every open connection.
func (s *Server) Close() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.conns {
		_ = c.Close()
	}
}

// session is one accepted connection.
type session struct {
	server  *Server
	remote  string
	trusted atomic.Bool
}

// handle answers one call.
func (c *session) handle(ctx context.Context, conn *jsonrpc2.Conn, r *jsonrpc2.Request) (any, error) {
	var params json.RawMessage
	if r.Params != nil {
		params = *r.Params
	}
	if r.Method == MethodHello {
		return c.hello(params)
	}
	if !c.trusted.Load() {
		_ = conn.Close()
		return nil, &jsonrpc2.Error{Code: codeUnauthorized, Message: "no hello with the peer key came first"}
	}
	h, ok := c.server.handlers[r.Method]
	if !ok {
		return nil, &jsonrpc2.Error{Code: jsonrpc2.CodeMethodNotFound, Message: "method " + r.Method + " is unknown"}
	}
	return h(ctx, params)
}

// hello checks the peer key.
func (c *session) hello(params json.RawMessage) (any, error) {
	var h Hello
	if err := json.Unmarshal(params, &h); err != nil {
		return nil, errors.Wrap(err, "decode hello")
	}
	if subtle.ConstantTimeCompare([]byte(h.Key), []byte(c.server.key)) != 1 {
		c.server.log.Warn().Str("peer", h.Host).Str("remote", c.remote).Msg("peer presented a wrong key")
		return nil, &jsonrpc2.Error{Code: codeUnauthorized, Message: "wrong peer key"}
	}
	c.trusted.Store(true)
	return Empty{}, nil
}
