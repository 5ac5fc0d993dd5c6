package serving

import (
	"context"
	"crypto/tls"
	"net"
	"net/http"
	"net/netip"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/labstack/echo/v4"
	"golang.org/x/net/netutil"

	"tanagerbarrow/settings"
)

// Server is one HTTP listener of the process.
type Server struct {
	http     *http.Server
	listener net.Listener
	closing  atomic.Bool
	open     atomic.Int64
}

// Listen opens a listener for the routes of e.
func Listen(e *echo.Echo, at netip.AddrPort, l settings.Limits) (*Server, error) {
	listener, err := net.Listen("tcp", at.String())
	if err != nil {
		return nil, errors.Wrapf(err, "listen on %s", at)
	}
	s := &Server{
		listener: netutil.LimitListener(listener, l.MaxConnections),
		http: &http.Server{
			Handler:           e,
			MaxHeaderBytes:    int(l.MaxHeaderBytes),
			ReadHeaderTimeout: l.ReadHeaderTimeout,
			IdleTimeout:       l.IdleTimeout,
		},
	}
	s.http.ConnState = s.count
	e.Pre(s.closeAfterAnswer)
	return s, nil
}

// count follows the open connections.
func (s *Server) count(_ net.Conn, state http.ConnState) {
	switch state {
	case http.StateNew:
		s.open.Add(1)
	case http.StateClosed, http.StateHijacked:
		s.open.Add(-1)
	case http.StateActive, http.StateIdle:
	}
}

// Drain waits until all connections are closed by their answers or callers, at
// most for the given time. It closes none: a request that is on its way to an
// idle connection would be lost with it.
func (s *Server) Drain(limit time.Duration) {
	for until := time.Now().Add(limit); s.open.Load() > 0 && time.Now().Before(until); {
		time.Sleep(drainPoll)
	}
}

// drainPoll is the time between two looks at the open connections of a server
// that drains; a small part of the time that a restart takes.
const drainPoll = 20 * time.Millisecond

// Address returns where the server listens.
func (s *Server) Address() string { return s.listener.Addr().String() }

// DisableKeepAlives makes every further answer close its connection, or no longer
// does so. Connections in use finish their requests.
func (s *Server) DisableKeepAlives(closing bool) { s.closing.Store(closing) }

// closeAfterAnswer marks answers with "Connection: close" while connections
// shall close.
func (s *Server) closeAfterAnswer(next echo.HandlerFunc) echo.HandlerFunc {
	return func(c echo.Context) error {
		c.Response().Before(func() {
			if s.closing.Load() {
				c.Response().Header().Set("Connection", "close")
			}
		})
		return next(c)
	}
}

// UseTLS makes the server speak TLS unless config is nil. It must be called
// before Serve.
func (s *Server) UseTLS(config *tls.Config) {
	if config != nil {
		s.listener = tls.NewListener(s.listener, config)
	}
}

// Serve answers requests until the server shuts down.
func (s *Server) Serve() error {
	err := s.http.Serve(s.listener)
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return errors.Wrapf(err, "serve HTTP on %s", s.listener.Addr())
}

// Shutdown stops accepting connections, finishes requests in progress for at
// most the given time, and then closes what is left.
func (s *Server) Shutdown(limit time.Duration) error {
	ctx, cancel := context.WithTimeout(context.Background(), limit)
	defer cancel()
	err := s.http.Shutdown(ctx)
	if err != nil {
		_ = s.http.Close()
	}
	return errors.Wrapf(err, "shut down HTTP on %s", s.listener.Addr())
}

// NewEcho returns an echo instance without banners.
func NewEcho() *echo.Echo {
	e := echo.New()
	e.HideBanner = true
	e.HidePort = true
	return e
}
