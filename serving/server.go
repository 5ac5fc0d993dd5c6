package serving

import (
	"context"
	"crypto/tls"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/labstack/echo/v4"
	"golang.org/x/net/netutil"
	"golang.org/x/sys/unix"

	"tanagerbarrow/settings"
)

// Server is one HTTP listener of the process.
type Server struct {
	http               *http.Server
	listener           net.Listener
	maxConnections     int
	keepAlivesDisabled atomic.Bool
	openConnections    atomic.Int64
	tls                *tls.Config
	// guard bounds what callers hold; nil for no bound. done ends it.
	guard    *Guard
	done     chan struct{}
	doneOnce sync.Once
}

// Option changes how a listener is opened.
type Option func(*net.ListenConfig)

// ReceiveBuffer sets the size of the receive buffers of accepted connections, in
// bytes. It bounds the data in transit that was not read yet. 0 keeps the size of
// the operating system.
func ReceiveBuffer(bytes int) Option {
	return func(c *net.ListenConfig) {
		if bytes <= 0 {
			return
		}
		c.Control = func(_, _ string, raw syscall.RawConn) error {
			var optionErr error
			err := raw.Control(func(fd uintptr) {
				// Accepted connections inherit the size of their listener.
				optionErr = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_RCVBUF, bytes)
			})
			return errors.CombineErrors(err, optionErr)
		}
	}
}

// Listen opens a listener at the address for the routes of e, with the given
// limits.
func Listen(e *echo.Echo, at netip.AddrPort, l settings.Limits, options ...Option) (*Server, error) {
	var config net.ListenConfig
	for _, option := range options {
		option(&config)
	}
	listener, err := config.Listen(context.Background(), "tcp", at.String())
	if err != nil {
		return nil, errors.Wrapf(err, "listen on %s", at)
	}
	s := &Server{
		done:     make(chan struct{}),
		listener: listener, maxConnections: l.MaxConnections,
		http: &http.Server{
			Handler:           e,
			MaxHeaderBytes:    int(l.MaxHeaderBytes),
			ReadHeaderTimeout: l.ReadHeaderTimeout,
			IdleTimeout:       l.IdleTimeout,
		},
	}
	s.http.ConnState = s.trackConnection
	e.Pre(s.closeAfterResponse, guardServing)
	return s, nil
}

// trackConnection counts the open connections.
func (s *Server) trackConnection(c net.Conn, state http.ConnState) {
	observeState(c, state)
	switch state {
	case http.StateNew:
		s.openConnections.Add(1)
	case http.StateClosed, http.StateHijacked:
		s.openConnections.Add(-1)
	case http.StateActive, http.StateIdle:
	}
}

// Drain waits until all connections were closed after their responses or by the
// callers, at most for the given time. It closes no connection itself: a
// request that is already on its way over an idle connection would be lost.
func (s *Server) Drain(limit time.Duration) {
	for until := time.Now().Add(limit); s.openConnections.Load() > 0 && time.Now().Before(until); {
		time.Sleep(drainPollPeriod)
	}
}

// AwaitAnswers waits until no connection has a request that is in progress or was sent ahead, at most for the given
// time. After [Server.Shutdown] has begun, what is sent ahead gets no answer. A server without a guard doesn't wait.
func (s *Server) AwaitAnswers(limit time.Duration) { s.awaitGuard(limit, (*Guard).busy) }

// awaitGuard waits while the guard, if there is one, has connections of a kind, at most for the given time.
func (s *Server) awaitGuard(limit time.Duration, has func(*Guard) bool) {
	if s.guard == nil {
		return
	}
	for until := time.Now().Add(limit); has(s.guard) && time.Now().Before(until); {
		time.Sleep(drainPollPeriod)
	}
}

// drainPollPeriod is the time between two checks of the open connections of a
// draining server; it is a small part of the time that a restart takes.
const drainPollPeriod = 20 * time.Millisecond

// Address returns the address on which the server listens.
func (s *Server) Address() string { return s.listener.Addr().String() }

// DisableKeepAlives makes every further response close its connection, or stops
// doing so if disabled is false. Requests in progress are finished.
func (s *Server) DisableKeepAlives(disabled bool) { s.keepAlivesDisabled.Store(disabled) }

// closeAfterResponse is middleware that sets "Connection: close" on responses
// while keep-alives are disabled, but for those behind which the caller has already sent more: these are answered too.
func (s *Server) closeAfterResponse(next echo.HandlerFunc) echo.HandlerFunc {
	return func(c echo.Context) error {
		c.Response().Before(func() {
			if s.keepAlivesDisabled.Load() && SentAhead(c.Request().Context()) == 0 {
				c.Response().Header().Set("Connection", "close")
			}
		})
		return next(c)
	}
}

// UseTLS makes the server use TLS unless config is nil. It must be called
// before Serve.
func (s *Server) UseTLS(config *tls.Config) {
	s.tls = config
}

// Serve serves requests until the server shuts down.
func (s *Server) Serve() error {
	listener := s.listener
	if s.guard == nil {
		listener = netutil.LimitListener(listener, s.maxConnections)
	} else {
		go s.guard.run(s.done)
		listener = &guardedListener{Listener: listener, guard: s.guard}
	}
	if s.tls != nil {
		listener = tls.NewListener(listener, s.tls)
	}
	err := s.http.Serve(listener)
	s.doneOnce.Do(func() { close(s.done) })
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return errors.Wrapf(err, "serve HTTP on %s", s.listener.Addr())
}

// Shutdown stops accepting connections, finishes requests in progress for at
// most the given time, and then closes the remaining connections. Requests that were sent ahead before are finished too.
func (s *Server) Shutdown(limit time.Duration) error {
	ctx, cancel := context.WithTimeout(context.Background(), limit)
	defer cancel()
	s.awaitGuard(limit, (*Guard).sentAhead)
	err := s.http.Shutdown(ctx)
	if err != nil {
		_ = s.http.Close()
	}
	return errors.Wrapf(err, "shut down HTTP on %s", s.listener.Addr())
}

// NewEcho returns an echo instance that prints no banner and no port at start.
func NewEcho() *echo.Echo {
	e := echo.New()
	e.HideBanner = true
	e.HidePort = true
	return e
}
