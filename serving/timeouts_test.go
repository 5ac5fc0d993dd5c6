package serving

import (
	"io"
	"net"
	"net/http"
	"net/netip"
	"sync/atomic"
	"testing"
	"time"

	"github.com/labstack/echo/v4"

	"tanagerbarrow/settings"
)

// startServer starts a server with timeouts that the test may change.
func startServer(t *testing.T, header, idle time.Duration) (address string, limits *atomic.Pointer[Timeouts]) {
	t.Helper()
	limits = &atomic.Pointer[Timeouts]{}
	limits.Store(&Timeouts{Header: header, Idle: idle})
	e := NewEcho()
	e.GET("/", func(c echo.Context) error { return c.String(http.StatusOK, "here") })
	s, err := Listen(e, netip.MustParseAddrPort("127.0.0.1:0"), settings.Limits{MaxConnections: 10, MaxHeaderBytes: 1 << 16})
	if err != nil {
		t.Fatal(err)
	}
	s.UseTimeouts(func() Timeouts { return *limits.Load() })
	go func() { _ = s.Serve() }()
	t.Cleanup(func() { _ = s.Shutdown(time.Second) })
	return s.Address(), limits
}

// closedAfter sends the given bytes and returns how long the server then keeps
// the connection open, and what the server sent.
func closedAfter(t *testing.T, address, sent string) (time.Duration, string) {
	t.Helper()
	conn, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = conn.Close() }()
	if _, err := conn.Write([]byte(sent)); err != nil {
		t.Fatal(err)
	}
	start := time.Now()
	_ = conn.SetReadDeadline(start.Add(5 * time.Second))
	got, _ := io.ReadAll(conn)
	return time.Since(start), string(got)
}

// TestIdleTimeoutFollowsItsLimit changes the idle timeout while the server
// runs: new and kept-alive connections end by the timeout that is current when
// they become idle.
func TestIdleTimeoutFollowsItsLimit(t *testing.T) {
	address, limits := startServer(t, time.Second, 100*time.Millisecond)
	const request = "GET / HTTP/1.1\r\nHost: h\r\n\r\n"
	if took, got := closedAfter(t, address, request); took > time.Second || got == "" {
		t.Errorf("an idle connection ended after %v with %q", took, got)
	}
	limits.Store(&Timeouts{Header: time.Second, Idle: 600 * time.Millisecond})
	if took, _ := closedAfter(t, address, request); took < 500*time.Millisecond {
		t.Errorf("an idle connection ended after %v, before its limit of 600 ms", took)
	}
	if took, _ := closedAfter(t, address, ""); took < 500*time.Millisecond || took > 3*time.Second {
		t.Errorf("a new connection ended after %v, its limit is 600 ms", took)
	}
}

// TestHeaderTimeoutFollowsItsLimit sends a part of a second header: the header
// timeout applies, not the idle timeout.
func TestHeaderTimeoutFollowsItsLimit(t *testing.T) {
	address, _ := startServer(t, 150*time.Millisecond, 3*time.Second)
	took, _ := closedAfter(t, address, "GET / HTTP/1.1\r\nHost: h\r\n\r\nGET / HT")
	if took < 100*time.Millisecond || took > 2*time.Second {
		t.Errorf("the server waited %v for the rest of a header, the limit is 150 ms", took)
	}
}
