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

// keepAlivePeriod is the time between keepalive probes on peer connections.
const keepAlivePeriod = 5 * time.Second

// The bounds on connections that have not presented the key.
const (
	helloTimeout  = 3 * time.Second
	refusalLinger = 100 * time.Millisecond
	maxUnknown    = 256
)

// Handler answers one call. Its result is encoded as JSON.
type Handler func(ctx context.Context, params json.RawMessage) (any, error)

// Server answers calls of other processes.
type Server struct {
	key      string
	log      zerolog.Logger
	handlers map[string]Handler
	// ordered are the methods that are handled in the order of arrival.
	ordered map[string]bool
	tls     *tls.Config
	metrics *metrics.Set

	mu    sync.Mutex
	conns map[*jsonrpc2.Conn]bool
	// unknown are the connections that have not presented the key, the oldest
	// first.
	unknown []*session
}

// NewServer returns a server that lets in callers with the key.
func NewServer(key string, log zerolog.Logger) *Server {
	return &Server{key: key, log: log, handlers: map[string]Handler{}, ordered: map[string]bool{}, conns: map[*jsonrpc2.Conn]bool{}}
}

// UseTLS makes the server speak TLS unless config is nil. It must be called
// before Serve.
func (s *Server) UseTLS(config *tls.Config) { s.tls = config }

// UseMetrics sets where refusals are counted. It must be called before Serve.
func (s *Server) UseMetrics(set *metrics.Set) { s.metrics = set }

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

// attach serves one connection in the background. It is closed if it does not
// present the key in time, or before too many others have not either.
func (s *Server) attach(ctx context.Context, conn net.Conn) {
	if s.tls != nil {
		conn = tls.Server(conn, s.tls)
	}
	conn = metered(conn, s.metrics)
	session := &session{server: s, remote: conn.RemoteAddr().String(), conn: conn}
	if crowded := s.admit(session); crowded != nil {
		crowded.expire(access.TooManyUnauthenticated)
	}
	stream := jsonrpc2.NewBufferedStream(conn, codec{limit: session.limit})
	handler := newOrderedHandler(s, jsonrpc2.HandlerWithError(session.handle).SuppressErrClosed())
	rpc := jsonrpc2.NewConn(ctx, stream, handler, jsonrpc2.SetLogger(silent{}))
	s.mu.Lock()
	s.conns[rpc] = true
	s.mu.Unlock()
	timer := time.AfterFunc(helloTimeout, func() { session.expire(access.NoHello) })
	go func() {
		<-rpc.DisconnectNotify()
		timer.Stop()
		s.settle(session)
		s.mu.Lock()
		delete(s.conns, rpc)
		s.mu.Unlock()
	}()
}

// admit notes an unknown connection. It returns the oldest one if there are too
// many: an honest peer presents its key at once, and so outlives a crowd of
// others.
func (s *Server) admit(c *session) (crowded *session) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.unknown) >= maxUnknown {
		crowded, s.unknown = s.unknown[0], s.unknown[1:]
	}
	s.unknown = append(s.unknown, c)
	return crowded
}

// settle takes a connection out of the unknown ones.
func (s *Server) settle(c *session) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if at := slices.Index(s.unknown, c); at >= 0 {
		s.unknown = slices.Delete(s.unknown, at, at+1)
	}
}

// Close closes every open connection.
func (s *Server) Close() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.conns {
		_ = c.Close()
	}
}
