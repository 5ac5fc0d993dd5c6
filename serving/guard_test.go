package serving

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"testing"
	"time"

	"github.com/labstack/echo/v4"
	"github.com/rs/zerolog"

	"tanagerbarrow/bodybuf"
	"tanagerbarrow/settings"
)

// startGuarded starts a server behind a guard. It answers with the length of the body.
func startGuarded(t testing.TB, o GuardOptions) (string, *Guard) {
	t.Helper()
	e := NewEcho()
	e.Any("/*", func(c echo.Context) error {
		body, err := io.ReadAll(c.Request().Body)
		if err != nil {
			return c.String(http.StatusRequestTimeout, err.Error())
		}
		return c.String(http.StatusOK, fmt.Sprint(len(body)))
	})
	s, err := Listen(e, netip.MustParseAddrPort("127.0.0.1:0"), settings.Limits{MaxConnections: 1000, MaxHeaderBytes: 1 << 18})
	if err != nil {
		t.Fatal(err)
	}
	o.Name, o.Log = "test", zerolog.Nop()
	g := NewGuard(o)
	s.Guarded(g)
	go func() { _ = s.Serve() }()
	t.Cleanup(func() { _ = s.Shutdown(time.Second) })
	return s.Address(), g
}

// exchangeRaw sends bytes on a new connection and returns the first answer, which is empty if there
// is none.
func exchangeRaw(t testing.TB, address, sent string) (net.Conn, string) {
	t.Helper()
	c, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = c.Close() })
	_, _ = io.WriteString(c, sent)
	return c, readSome(c)
}

// readSome reads an answer.
func readSome(c net.Conn) string {
	_ = c.SetReadDeadline(time.Now().Add(10 * time.Second))
	buffer := make([]byte, 4096)
	n, _ := c.Read(buffer)
	return string(buffer[:n])
}

// TestNewConnectionTakesThePlaceOfAnIdleOne opens more connections than a guard allows.
func TestNewConnectionTakesThePlaceOfAnIdleOne(t *testing.T) {
	const most = 4
	address, g := startGuarded(t, GuardOptions{MaxConnections: most})
	const request = "GET / HTTP/1.1\r\nHost: h\r\n\r\n"
	var first net.Conn
	for n := range most {
		c, got := exchangeRaw(t, address, request)
		if !strings.HasPrefix(got, "HTTP/1.1 200") {
			t.Fatalf("connection %d: %q", n, got)
		}
		if n == 0 {
			first = c
			g.sweep()
			g.sweep()
		}
	}
	g.sweep()
	g.sweep()
	g.sweep()
	if _, got := exchangeRaw(t, address, request); !strings.HasPrefix(got, "HTTP/1.1 200") {
		t.Errorf("a connection over the bound got %q", got)
	}
	if got := readSome(first); got != "" {
		t.Errorf("the connection that was idle longest got %q", got)
	}
	if n := g.count(); n > most {
		t.Errorf("%d connections are open", n)
	}
}

// TestStalledBodyIsRefused stops in a body and checks that the request is refused after a window.
func TestStalledBodyIsRefused(t *testing.T) {
	address, g := startGuarded(t, GuardOptions{MaxConnections: 4})
	c, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = c.Close() }()
	_, _ = io.WriteString(c, "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 10\r\n\r\nhalf")
	for {
		if _, all := g.holdings(); len(all) == 1 && all[0].phase == phaseBody && all[0].waiting {
			break
		}
		time.Sleep(time.Millisecond)
	}
	for range transferWindow/sweepPeriod + 1 {
		g.sweep()
	}
	if got := readSome(c); !strings.HasPrefix(got, "HTTP/1.1 408") || !strings.Contains(got, "Connection: close") {
		t.Errorf("the caller got %q", got)
	}
}

// TestHeadsKeepToTheBudget sends heads of many fields: one is served, more than the budget allows are
// refused, and all memory comes back.
func TestHeadsKeepToTheBudget(t *testing.T) {
	budget := bodybuf.NewBudget(1 << 20)
	address, g := startGuarded(t, GuardOptions{MaxConnections: 50, Memory: budget})
	var lines bytes.Buffer
	for n := range 1500 {
		fmt.Fprintf(&lines, "%x:\r\n", n)
	}
	head := "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 1\r\n" + lines.String() + "\r\n"
	if _, got := exchangeRaw(t, address, head+"x"); !strings.HasPrefix(got, "HTTP/1.1 200") {
		t.Errorf("a single head got %q", got)
	}
	for g.headBytes() != 0 {
		time.Sleep(time.Millisecond)
	}
	held, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	_, _ = io.WriteString(held, head)
	for g.headBytes() < fieldBytes*1500-freeHeadBytes {
		time.Sleep(time.Millisecond)
	}
	if _, got := exchangeRaw(t, address, head+"x"); !strings.HasPrefix(got, "HTTP/1.1 503") {
		t.Errorf("a second head got %q", got)
	}
	_ = held.Close()
	for range 1000 {
		if budget.Free() == budget.Total() {
			return
		}
		time.Sleep(5 * time.Millisecond)
	}
	t.Errorf("%d bytes are not released", budget.Total()-budget.Free())
}

// TestLinesOfBodiesAreNoFields sends a body of short lines together with its head.
func TestLinesOfBodiesAreNoFields(t *testing.T) {
	budget := bodybuf.NewBudget(1 << 20)
	address, g := startGuarded(t, GuardOptions{MaxConnections: 4, Memory: budget})
	c, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = c.Close() }()
	_, _ = io.WriteString(c, "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 3001\r\n\r\n"+strings.Repeat("a\n", 1500))
	for {
		if _, all := g.holdings(); len(all) == 1 && all[0].phase == phaseBody && all[0].waiting {
			break
		}
		time.Sleep(time.Millisecond)
	}
	if held := g.headBytes(); held != 0 {
		t.Errorf("%d bytes are held for the head", held)
	}
	_, _ = io.WriteString(c, "b")
	if got := readSome(c); !strings.HasSuffix(got, "3001") {
		t.Errorf("the caller got %q", got)
	}
}

// TestLongHeadIsRefused sends a head over the bound that is in force.
func TestLongHeadIsRefused(t *testing.T) {
	address, _ := startGuarded(t, GuardOptions{MaxConnections: 4, MaxHeadBytes: func() int64 { return 16 << 10 }})
	if _, got := exchangeRaw(t, address, "GET / HTTP/1.1\r\nHost: h\r\nA: "+strings.Repeat("a", 15<<10)+"\r\n\r\n"); !strings.HasPrefix(got, "HTTP/1.1 200") {
		t.Errorf("a head within the bound got %q", got)
	}
	if _, got := exchangeRaw(t, address, "GET / HTTP/1.1\r\nHost: h\r\nA: "+strings.Repeat("a", 64<<10)); !strings.HasPrefix(got, "HTTP/1.1 431") {
		t.Errorf("a head over the bound got %q", got)
	}
}

// TestLastResponseReachesCallerThatSentAhead lets a caller send requests ahead while a response is made
// that closes the connection. The caller gets the whole response, and an ordinary end behind it.
func TestLastResponseReachesCallerThatSentAhead(t *testing.T) {
	const bytesEach = 200 << 10
	arrived, sent := make(chan struct{}, 1), make(chan struct{})
	e := NewEcho()
	served := 0
	e.GET("/*", func(c echo.Context) error {
		served++
		arrived <- struct{}{}
		<-sent
		c.Response().Header().Set("Connection", "close")
		return c.String(http.StatusOK, strings.Repeat("x", bytesEach))
	})
	s, err := Listen(e, netip.MustParseAddrPort("127.0.0.1:0"), settings.Limits{MaxConnections: 10, MaxHeaderBytes: 1 << 16})
	if err != nil {
		t.Fatal(err)
	}
	s.UseTimeouts(func() Timeouts { return Timeouts{Header: 10 * time.Second, Idle: 10 * time.Second} })
	s.Guarded(NewGuard(GuardOptions{Name: "test", Log: zerolog.Nop()}))
	go func() { _ = s.Serve() }()
	t.Cleanup(func() { _ = s.Shutdown(time.Second) })
	c, err := net.Dial("tcp", s.Address())
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = c.Close() }()
	const request = "GET / HTTP/1.1\r\nHost: h\r\n\r\n"
	_, _ = io.WriteString(c, request)
	<-arrived
	_, _ = io.WriteString(c, strings.Repeat(request, 300))
	close(sent)
	// The response is on its way while the connection is closed.
	time.Sleep(50 * time.Millisecond)
	_ = c.SetReadDeadline(time.Now().Add(10 * time.Second))
	got, err := io.ReadAll(c)
	if err != nil || len(got) < bytesEach || !bytes.HasSuffix(got, []byte("xxx\r\n0\r\n\r\n")) {
		t.Errorf("%d bytes and %v", len(got), err)
	}
	if served != 1 {
		t.Errorf("%d requests were served", served)
	}
}

// FuzzHead sends any bytes: the server must answer an ordinary request afterwards, with all memory
// released.
func FuzzHead(f *testing.F) {
	budget := bodybuf.NewBudget(1 << 20)
	address, g := startGuarded(f, GuardOptions{MaxConnections: 100, Memory: budget, MaxHeadBytes: func() int64 { return 1 << 10 }})
	f.Add([]byte("GET / HTTP/1.1\r\nHost: h\r\n\r\n"), []byte("GET / HTTP/1.1\r\nHost: h\r\n\r\n"))
	f.Add([]byte("POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n1;x\r\n"), []byte("a\r\n0\r\nB: c\r\n\r\n"))
	f.Add([]byte(strings.Repeat("a:\r\n", 3000)), []byte{})
	f.Fuzz(func(t *testing.T, first, second []byte) {
		c, err := net.Dial("tcp", address)
		if err != nil {
			t.Fatal(err)
		}
		_, _ = c.Write(first)
		_, _ = c.Write(second)
		_ = c.(*net.TCPConn).CloseWrite()
		_ = c.SetReadDeadline(time.Now().Add(10 * time.Second))
		_, _ = io.Copy(io.Discard, c)
		_ = c.Close()
		if _, got := exchangeRaw(t, address, "GET / HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n"); !strings.HasPrefix(got, "HTTP/1.1 200") {
			t.Fatalf("an ordinary request got %q", got)
		}
		for n := 0; budget.Free() != budget.Total() || g.count() > 2; n++ {
			if n == 2000 {
				t.Fatalf("%d bytes and %d connections are held", budget.Total()-budget.Free(), g.count())
			}
			time.Sleep(time.Millisecond)
		}
	})
}
