package peer

import (
	"context"
	"crypto/tls"
	"encoding/json"
	"net"
	"slices"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/cockroachdb/errors"
	"github.com/rs/zerolog"
	"github.com/sourcegraph/jsonrpc2"

	"tanagerbarrow/access"
)

// codeUnauthorized is the jsonrpc2 error code for a wrong or missing key.
const codeUnauthorized = 401

// keepAlivePeriod is the time between keepalive probes on connections to peers.
const keepAlivePeriod = 5 * time.Second

// Limits for connections that have not presented the peer key.
const (
	helloTimeout       = 3 * time.Second
	refusalCloseDelay  = 100 * time.Millisecond
	maxUnauthenticated = 256
)

// Handler handles one call. Its result is encoded as JSON.
type Handler func(ctx context.Context, params json.RawMessage) (any, error)

// Server handles calls from other processes.
type Server struct {
	key      string
	log      zerolog.Logger
	handlers map[string]Handler
	// inOrder holds the methods whose calls are handled in the order of arrival.
	inOrder map[string]bool
	tls     *tls.Config
	metrics *metrics.Set

	mu    sync.Mutex
	conns map[*jsonrpc2.Conn]bool
	// unauthenticated are the connections that have not presented the peer key,
	// the oldest first.
	unauthenticated []*session
}

// NewServer returns a server that accepts callers with the given key.
func NewServer(key string, log zerolog.Logger) *Server {
	return &Server{key: key, log: log, handlers: map[string]Handler{}, inOrder: map[string]bool{}, conns: map[*jsonrpc2.Conn]bool{}}
}

// UseTLS makes the server accept TLS connections only. A nil config means plain
// TCP. UseTLS must be called before Serve.
func (s *Server) UseTLS(config *tls.Config) { s.tls = config }

// UseMetrics sets the metrics set that counts refusals and the bytes served. It
// must be called before Serve.
func (s *Server) UseMetrics(set *metrics.Set) { s.metrics = set }

// Handle registers the handler of a method. It must be called before Serve.
func (s *Server) Handle(method string, h Handler) { s.handlers[method] = h }

// Typed returns a handler that decodes the parameters as P and calls f.
func Typed[P, R any](f func(ctx context.Context, p P) (R, error)) Handler {
	return func(ctx context.Context, raw json.RawMessage) (any, error) {
		var p P
		if err := json.Unmarshal(raw, &p); err != nil {
			return nil, errors.Wrap(err, "decode parameters")
		}
		return f(ctx, p)
	}
}

// Serve accepts connections until the listener is closed.
func (s *Server) Serve(ctx context.Context, l net.Listener) error {
	for {
		conn, err := l.Accept()
		if errors.Is(err, net.ErrClosed) {
			return nil
		}
		if err != nil {
			return errors.Wrapf(err, "accept peers on %s", l.Addr())
		}
		s.serveConn(ctx, conn)
	}
}

// serveConn serves one connection in the background. The connection is closed
// if it does not present the peer key within helloTimeout, or if it is the
// oldest unauthenticated connection when there are too many of them.
func (s *Server) serveConn(ctx context.Context, conn net.Conn) {
	if s.tls != nil {
		conn = tls.Server(conn, s.tls)
	}
	conn = newMeteredConn(conn, s.metrics)
	session := &session{server: s, remote: conn.RemoteAddr().String(), conn: conn}
	if evicted := s.addUnauthenticated(session); evicted != nil {
		evicted.closeUnauthenticated(access.TooManyUnauthenticated)
	}
	stream := jsonrpc2.NewBufferedStream(conn, codec{limit: session.limit})
	handler := newOrderedHandler(s, jsonrpc2.HandlerWithError(session.handle).SuppressErrClosed())
	rpc := jsonrpc2.NewConn(ctx, stream, handler, jsonrpc2.SetLogger(discardLogger{}))
	s.mu.Lock()
	s.conns[rpc] = true
	s.mu.Unlock()
	timer := time.AfterFunc(helloTimeout, func() { session.closeUnauthenticated(access.NoHello) })
	go func() {
		<-rpc.DisconnectNotify()
		timer.Stop()
		s.removeUnauthenticated(session)
		s.mu.Lock()
		delete(s.conns, rpc)
		s.mu.Unlock()
	}()
}

// addUnauthenticated registers a connection that has not presented the peer
// key. If maxUnauthenticated is reached, it removes the oldest and returns it.
// A legitimate peer presents the key at once, so a flood of other connections
// does not evict it.
func (s *Server) addUnauthenticated(c *session) (evicted *session) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.unauthenticated) >= maxUnauthenticated {
		evicted, s.unauthenticated = s.unauthenticated[0], s.unauthenticated[1:]
	}
	s.unauthenticated = append(s.unauthenticated, c)
	return evicted
}

// removeUnauthenticated removes a connection from the unauthenticated ones.
func (s *Server) removeUnauthenticated(c *session) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if i := slices.Index(s.unauthenticated, c); i >= 0 {
		s.unauthenticated = slices.Delete(s.unauthenticated, i, i+1)
	}
}

// Close closes all open connections.
func (s *Server) Close() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.conns {
		_ = c.Close()
	}
}
