package gateway

import (
	"bufio"
	"net"
	"net/http"
	"net/netip"
	"testing"
	"time"

	"tanagerbarrow/serving"
	"tanagerbarrow/settings"
)

// TestStopKeepsIdleConnectionsForTheirLastRequest stops an entry while a caller
// keeps an idle connection. A request on it at two thirds of the grace period must
// be refused as not run, with a response that closes the connection: an entry that
// closes idle connections loses the requests that are in transit on them.
func TestStopKeepsIdleConnectionsForTheirLastRequest(t *testing.T) {
	t.Parallel()
	_, e := setUp(t, scriptedServer(t, func(c net.Conn, r *http.Request) { respond(c, r, 200, "", "whole") }))
	// Idle connections close 1 s before the end of the grace period, so that it must
	// be longer than 3 s for a request at two thirds of it.
	const grace = 6 * time.Second
	e.options.Settings.Bounds.GracePeriod = grace
	routes := serving.NewEcho()
	e.registerRoutes(routes)
	front, err := serving.Listen(routes, netip.MustParseAddrPort("127.0.0.1:0"), settings.Limits{MaxConnections: 10, MaxHeaderBytes: 1 << 16})
	if err != nil {
		t.Fatal(err)
	}
	go func() { _ = front.Serve() }()
	conn, err := net.Dial("tcp", front.Address())
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = conn.Close() }()
	in := bufio.NewReader(conn)
	ask := func() *http.Response {
		if _, err := conn.Write([]byte("GET /safe/ HTTP/1.1\r\nHost: h\r\n" + idHeader + ": id-1\r\n\r\n")); err != nil {
			t.Fatal(err)
		}
		_ = conn.SetReadDeadline(time.Now().Add(5 * time.Second))
		res, err := http.ReadResponse(in, nil)
		if err != nil {
			t.Fatalf("no response: %v", err)
		}
		_ = res.Body.Close()
		return res
	}
	if res := ask(); res.StatusCode != http.StatusOK {
		t.Fatalf("status %d before the stop", res.StatusCode)
	}
	stopped := make(chan error, 1)
	begun := time.Now()
	go func() { stopped <- e.stop(front, nil) }()
	time.Sleep(grace * 2 / 3)
	if res := ask(); res.StatusCode != http.StatusServiceUnavailable || !res.Close {
		t.Errorf("status %d, closes %v", res.StatusCode, res.Close)
	}
	if err := <-stopped; err != nil {
		t.Error(err)
	}
	if took := time.Since(begun); took > grace {
		t.Errorf("the stop took %v of %v", took, grace)
	}
}
