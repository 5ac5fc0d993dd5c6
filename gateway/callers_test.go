package gateway

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"tanagerbarrow/serving"
	"tanagerbarrow/settings"
)

// listenAsRun makes an entry listen for callers as [Gateway.Run] does, and returns the address.
func (e *testEntry) listenAsRun(t testing.TB) string {
	t.Helper()
	routes := serving.NewEcho()
	e.registerRoutes(routes)
	server, err := serving.Listen(routes, netip.MustParseAddrPort("127.0.0.1:0"), settings.Limits{
		MaxConnections: maxCallerConnections, MaxHeaderBytes: maxCallerHeaderBytes,
	})
	if err != nil {
		t.Fatal(err)
	}
	server.UseTimeouts(e.view.timeouts)
	server.Guarded(e.newGuards().callers)
	go func() { _ = server.Serve() }()
	t.Cleanup(func() { _ = server.Shutdown(time.Second) })
	return server.Address()
}

// TestSharesOfConnections checks the numbers of connections that a host takes.
func TestSharesOfConnections(t *testing.T) {
	for _, c := range []struct {
		memory      int64
		descriptors int
		want        connectionShares
	}{
		{0, 0, connectionShares{maxCallerConnections, maxRelayConnections, maxProbeConnections}},
		{184 << 20, 3900, connectionShares{599, 210, maxProbeConnections}},
		{4 << 30, 400, connectionShares{148, 60, maxProbeConnections}},
		{1 << 20, 10, connectionShares{minCallerConnections, 1, maxProbeConnections}},
	} {
		if got := shareConnections(c.memory, c.descriptors); got != c.want {
			t.Errorf("%d bytes, %d descriptors: %+v, want %+v", c.memory, c.descriptors, got, c.want)
		}
	}
}

// TestLateBodyIsRefused stops in a body. At the request's deadline it is refused as one that has not
// run, and its memory is released.
func TestLateBodyIsRefused(t *testing.T) {
	_, e := setUp(t, scriptedServer(t, func(c net.Conn, r *http.Request) { respond(c, r, 200, "", "x") }))
	c, err := net.Dial("tcp", e.listenAsRun(t))
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = c.Close() }()
	fmt.Fprintf(c, "POST /once/x HTTP/1.1\r\nHost: h\r\n%s: id-1\r\n%s: 200\r\nContent-Length: 100000\r\n\r\nhalf", idHeader, timeHeader)
	_ = c.SetReadDeadline(time.Now().Add(10 * time.Second))
	res, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		t.Fatal(err)
	}
	_ = res.Body.Close()
	if res.StatusCode != http.StatusRequestTimeout || !res.Close {
		t.Errorf("status %d, close %v", res.StatusCode, res.Close)
	}
	for range 1000 {
		if e.heldBodies.Free() == e.heldBodies.Total() {
			return
		}
		time.Sleep(5 * time.Millisecond)
	}
	t.Errorf("%d bytes are held", e.heldBodies.Total()-e.heldBodies.Free())
}

// TestRequestsSentAheadAreAnsweredInOrder sends requests before the first answer. They are passed on
// one at a time and answered in their order.
func TestRequestsSentAheadAreAnsweredInOrder(t *testing.T) {
	const requests = 50
	var running, together atomic.Int32
	_, e := setUp(t, scriptedServer(t, func(c net.Conn, r *http.Request) {
		if running.Add(1) > 1 {
			together.Add(1)
		}
		time.Sleep(time.Duration(len(r.URL.Path)%3) * time.Millisecond)
		running.Add(-1)
		respond(c, r, 200, "", r.URL.Path)
	}))
	c, err := net.Dial("tcp", e.listenAsRun(t))
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = c.Close() }()
	var all strings.Builder
	for n := range requests {
		fmt.Fprintf(&all, "GET /safe/%d HTTP/1.1\r\nHost: h\r\n%s: id-%d\r\n%s: 5000\r\n\r\n", n, idHeader, n, timeHeader)
	}
	_, _ = io.WriteString(c, all.String())
	in := bufio.NewReader(c)
	_ = c.SetReadDeadline(time.Now().Add(20 * time.Second))
	for n := range requests {
		res, err := http.ReadResponse(in, nil)
		if err != nil {
			t.Fatal(err)
		}
		body, _ := io.ReadAll(res.Body)
		_ = res.Body.Close()
		if want := fmt.Sprintf("/safe/%d", n); string(body) != want || res.Header.Get(idHeader) != fmt.Sprintf("id-%d", n) {
			t.Errorf("response %d is %d %q of %q", n, res.StatusCode, body, res.Header.Get(idHeader))
		}
	}
	if n := together.Load(); n > 0 {
		t.Errorf("%d requests ran beside another one", n)
	}
}

// TestCloseLeavesRequestsBehindUnsent asks for a close with the second of five requests that are sent
// at once. The first two are answered, the connection ends in order, and the others
// reach no server.
func TestCloseLeavesRequestsBehindUnsent(t *testing.T) {
	arrived := make(chan string, 10)
	_, e := setUp(t, scriptedServer(t, func(c net.Conn, r *http.Request) {
		arrived <- r.URL.Path
		respond(c, r, 200, "", strings.Repeat("x", 100_000))
	}))
	c, err := net.Dial("tcp", e.listenAsRun(t))
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = c.Close() }()
	var all strings.Builder
	for n := range 5 {
		fmt.Fprintf(&all, "GET /safe/%d HTTP/1.1\r\nHost: h\r\n%s: id-%d\r\n%s: 5000\r\nPad: %s\r\n", n, idHeader, n, timeHeader, strings.Repeat("p", 3000))
		if n == 1 {
			all.WriteString("Connection: close\r\n")
		}
		all.WriteString("\r\n")
	}
	_, _ = io.WriteString(c, all.String())
	in := bufio.NewReader(c)
	_ = c.SetReadDeadline(time.Now().Add(20 * time.Second))
	for n := range 2 {
		res, err := http.ReadResponse(in, nil)
		if err != nil {
			t.Fatal(err)
		}
		body, err := io.ReadAll(res.Body)
		_ = res.Body.Close()
		if len(body) != 100_000 || err != nil || res.Close != (n == 1) {
			t.Errorf("response %d: %d bytes, %v, close %v", n, len(body), err, res.Close)
		}
	}
	if _, err := in.ReadByte(); err != io.EOF {
		t.Errorf("the connection ended with %v", err)
	}
	if n := len(arrived); n != 2 {
		t.Errorf("%d requests reached the server", n)
	}
}

// BenchmarkCallerRequest measures an ordinary request through the listener for callers.
func BenchmarkCallerRequest(b *testing.B) {
	_, e := setUp(b, scriptedServer(b, func(c net.Conn, r *http.Request) { respond(c, r, 200, "", "x") }))
	c, err := net.Dial("tcp", e.listenAsRun(b))
	if err != nil {
		b.Fatal(err)
	}
	defer func() { _ = c.Close() }()
	request := []byte("GET /safe/x HTTP/1.1\r\nHost: h\r\n" + idHeader + ": id-1\r\n" + timeHeader + ": 5000\r\n" +
		"Accept: */*\r\nAccept-Language: en\r\nCookie: a=b; c=d\r\nUser-Agent: benchmark\r\nReferer: /safe/\r\nX-Trace: 0123456789abcdef\r\n\r\n")
	in := bufio.NewReader(c)
	b.ReportAllocs()
	for b.Loop() {
		if _, err := c.Write(request); err != nil {
			b.Fatal(err)
		}
		res, err := http.ReadResponse(in, nil)
		if err != nil || res.StatusCode != http.StatusOK {
			b.Fatal(res, err)
		}
		_, _ = io.Copy(io.Discard, res.Body)
		_ = res.Body.Close()
	}
}
