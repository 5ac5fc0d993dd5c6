package serving

import (
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/labstack/echo/v4"
	"github.com/rs/zerolog"

	"tanagerbarrow/bodybuf"
	"tanagerbarrow/telemetry"
)

const (
	// connectionBytes is the memory of an open connection without a request: its buffers, its
	// goroutines and their stacks.
	connectionBytes = 28 << 10
	// sweepPeriod is the time between two looks at the progress of all connections.
	sweepPeriod = 500 * time.Millisecond
	// makeRoomShare is the part of the connections that is closed at once to make room, one
	// divided by it, so that a crowd doesn't cost a search for each connection.
	makeRoomShare = 32
	// maxCloseLines bounds the log lines about closed connections in a second.
	maxCloseLines = 10
)

// The reasons for which a guard closes connections.
const (
	closedForRoom   = "connections"
	closedForMemory = "memory"
	closedSlow      = "too_slow"
	closedNew       = "no_room"
	closedHead      = "head"
)

// GuardOptions configure a [Guard].
type GuardOptions struct {
	// Name names the listener in logs and metrics.
	Name string
	// MaxConnections bounds the open connections; 0 for the limit of the listener.
	MaxConnections int
	// Memory is the budget from which long heads are taken; nil for no bound.
	Memory *bodybuf.Budget
	// PaceAhead, if it is set, delays the receipt of what callers send behind a request in progress, until the
	// context ends.
	PaceAhead func(ctx context.Context, bytes int)
	// MaxHeadBytes returns the bound of a head in bytes; 0 or nil for that of the server.
	MaxHeadBytes func() int64
	// Log receives a line for each closed connection, and Metrics their numbers.
	Log     zerolog.Logger
	Metrics *metrics.Set
}

// Guard bounds what the callers of a listener make the process hold: it closes connections
// that make no progress, and those that hold most for longest if room is short. It is safe for
// concurrent use.
type Guard struct {
	options GuardOptions
	log     zerolog.Logger
	// tick counts the sweeps, so that connections need no clock of their own.
	tick atomic.Int64

	mu    sync.Mutex
	conns map[*guardedConn]struct{}
}

// NewGuard returns a guard without connections.
func NewGuard(o GuardOptions) *Guard {
	g := &Guard{options: o, conns: map[*guardedConn]struct{}{}, log: telemetry.NewRateLimitedLogger(o.Log, "closed_"+o.Name, maxCloseLines)}
	if o.Metrics != nil {
		o.Metrics.NewGauge(`tanagerbarrow_caller_connections{listener="`+o.Name+`"}`, func() float64 { return float64(g.count()) })
		o.Metrics.NewGauge(`tanagerbarrow_caller_memory_bytes{listener="`+o.Name+`",holder="connections"}`, func() float64 {
			return float64(g.count() * connectionBytes)
		})
		o.Metrics.NewGauge(`tanagerbarrow_caller_memory_bytes{listener="`+o.Name+`",holder="heads"}`, func() float64 { return float64(g.headBytes()) })
	}
	return g
}

// Guarded makes the server accept connections through the guard. It must be called before
// Serve.
func (s *Server) Guarded(g *Guard) {
	s.guard = g
	if g.options.MaxConnections == 0 {
		g.options.MaxConnections = s.maxConnections
	}
	s.http.ConnContext = func(ctx context.Context, c net.Conn) context.Context {
		if held := guardedOf(c); held != nil {
			return context.WithValue(ctx, connKey{}, held)
		}
		return ctx
	}
}

// connKey is the key of the connection in the context of its requests.
type connKey struct{}

// guardServing is middleware that marks the connection of a request that is served.
func guardServing(next echo.HandlerFunc) echo.HandlerFunc {
	return func(c echo.Context) error {
		if held, ok := c.Request().Context().Value(connKey{}).(*guardedConn); ok {
			held.enter(phaseServing)
			held.ahead.expectBody(c.Request().ContentLength)
		}
		return next(c)
	}
}

// Holds records that a request makes its connection hold a number of bytes, beside its head,
// until the response is written.
func Holds(ctx context.Context, bytes int) {
	if held, ok := ctx.Value(connKey{}).(*guardedConn); ok {
		held.held.Store(int64(bytes))
	}
}

// AtServer records whether a request is with a backend server, which may run it while its body is still
// read: meanwhile the connection is not closed for its upload.
func AtServer(ctx context.Context, atServer bool) {
	if held, ok := ctx.Value(connKey{}).(*guardedConn); ok {
		held.atServer.Store(atServer)
	}
}

// SentAhead returns how many bytes were received behind a request.
func SentAhead(ctx context.Context) int64 {
	if held, ok := ctx.Value(connKey{}).(*guardedConn); ok {
		return held.ahead.behind()
	}
	return 0
}

// LimitBody makes reads of the body of a request fail with os.ErrDeadlineExceeded after end.
func LimitBody(ctx context.Context, end time.Time) {
	if held, ok := ctx.Value(connKey{}).(*guardedConn); ok {
		held.limitRead(end)
	}
}

// BodyRead ends the limit of [LimitBody].
func BodyRead(ctx context.Context) {
	if held, ok := ctx.Value(connKey{}).(*guardedConn); ok {
		held.limitRead(time.Time{})
	}
}

// count returns the number of open connections.
func (g *Guard) count() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return len(g.conns)
}

// busy reports whether any connection has a request that is in progress or was sent ahead.
func (g *Guard) busy() bool {
	return g.any(func(c *guardedConn) bool { return phase(c.phase.Load()) != phaseIdle || c.ahead.behind() > 0 })
}

// sentAhead reports whether any connection has requests that were sent ahead.
func (g *Guard) sentAhead() bool {
	return g.any(func(c *guardedConn) bool { return c.ahead.behind() > 0 })
}

// any reports whether a condition holds for any connection.
func (g *Guard) any(holds func(*guardedConn) bool) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	for c := range g.conns {
		if holds(c) {
			return true
		}
	}
	return false
}

// headBytes returns the memory of all long heads.
func (g *Guard) headBytes() int64 {
	g.mu.Lock()
	defer g.mu.Unlock()
	total := int64(0)
	for c := range g.conns {
		total += c.headReserved.Load()
	}
	return total
}

// admit takes a new connection in, or reports that there is no room for it.
func (g *Guard) admit(c *guardedConn) bool {
	if g.count() >= g.options.MaxConnections {
		g.closeWorst(1+g.options.MaxConnections/makeRoomShare, 0, closedForRoom)
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	if len(g.conns) >= g.options.MaxConnections {
		return false
	}
	g.conns[c] = struct{}{}
	return true
}

// remove forgets a closed connection.
func (g *Guard) remove(c *guardedConn) {
	g.mu.Lock()
	delete(g.conns, c)
	g.mu.Unlock()
}

// Reclaim closes connections that hold at least the given number of bytes together. It reports
// whether it closed any; their memory is released soon after.
func (g *Guard) Reclaim(bytes int64) bool { return g.closeWorst(0, bytes, closedForMemory) > 0 }

// closeWorst closes connections until they are count and hold the given bytes, and returns
// how many it closed.
func (g *Guard) closeWorst(count int, bytes int64, reason string) int {
	conns, holdings := g.holdings()
	chosen := worst(holdings, count, bytes)
	for _, i := range chosen {
		g.end(conns[i], holdings[i], reason)
	}
	return len(chosen)
}

// holdings returns all connections with what they hold.
func (g *Guard) holdings() ([]*guardedConn, []holding) {
	g.mu.Lock()
	defer g.mu.Unlock()
	conns, holdings := make([]*guardedConn, 0, len(g.conns)), make([]holding, 0, len(g.conns))
	for c := range g.conns {
		conns = append(conns, c)
		holdings = append(holdings, c.holding())
	}
	return conns, holdings
}

// end closes a connection. If its body is being read, only the read ends, so that the caller
// still gets a response, unless the connection itself is in the way.
func (g *Guard) end(c *guardedConn, h holding, reason string) {
	g.record(c, h, reason)
	if h.phase == phaseBody && reason != closedForRoom {
		c.limitRead(time.Unix(1, 0))
		return
	}
	_ = c.closeNow()
}

// record logs and counts a closed connection.
func (g *Guard) record(c *guardedConn, h holding, reason string) {
	g.log.Warn().Str("event", "connection_closed").Str("listener", g.options.Name).Str("reason", reason).
		Str("phase", h.phase.String()).Int64("held_bytes", h.bytes).Int64("progress_bytes", h.progress).
		Dur("waited_ms", h.waited).Str("caller", c.RemoteAddr().String()).Send()
	if g.options.Metrics != nil {
		g.options.Metrics.GetOrCreateCounter(`tanagerbarrow_connections_closed_total{listener="` + g.options.Name +
			`",reason="` + reason + `",phase="` + h.phase.String() + `"}`).Inc()
	}
}

// sweep closes connections that are too slow.
func (g *Guard) sweep() {
	g.tick.Add(1)
	conns, holdings := g.holdings()
	for i, c := range conns {
		if holdings[i].tooSlow() {
			g.end(c, holdings[i], closedSlow)
		}
		c.observe(holdings[i])
	}
}

// run sweeps until done is closed.
func (g *Guard) run(done <-chan struct{}) {
	ticker := time.NewTicker(sweepPeriod)
	defer ticker.Stop()
	for {
		select {
		case <-done:
			return
		case <-ticker.C:
			g.sweep()
		}
	}
}

// guardedListener accepts connections through a guard.
type guardedListener struct {
	net.Listener
	guard *Guard
}

// Accept waits for the next connection for which there is room. It closes the others.
func (l *guardedListener) Accept() (net.Conn, error) {
	for {
		opened, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		c := newGuardedConn(opened, l.guard)
		if l.guard.admit(c) {
			return c, nil
		}
		l.guard.record(c, holding{}, closedNew)
		_ = opened.Close()
	}
}

// observeState follows the state of a connection.
func observeState(c net.Conn, state http.ConnState) {
	held := guardedOf(c)
	if held == nil {
		return
	}
	switch state {
	case http.StateIdle:
		held.endRequest()
	case http.StateClosed:
		held.releaseHead()
	case http.StateNew, http.StateActive, http.StateHijacked:
	}
}

// guardedOf returns the guarded connection below c; nil if there is none.
func guardedOf(c net.Conn) *guardedConn {
	if outer, ok := c.(interface{ NetConn() net.Conn }); ok {
		c = outer.NetConn()
	}
	held, _ := c.(*guardedConn)
	return held
}
