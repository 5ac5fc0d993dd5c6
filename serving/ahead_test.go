package serving

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
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

// request returns the bytes of a request with a body; chunked says how its length is sent.
func request(id int, body string, chunked bool) string {
	head := fmt.Sprintf("POST /%d HTTP/1.1\r\nHost: h\r\n", id)
	switch {
	case body == "":
		return fmt.Sprintf("GET /%d HTTP/1.1\r\nHost: h\r\n\r\n", id)
	case chunked:
		return head + fmt.Sprintf("Transfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n", len(body), body)
	default:
		return head + fmt.Sprintf("Content-Length: %d\r\n\r\n%s", len(body), body)
	}
}

// startBlocking starts a server whose requests last until their context ends. It returns channels of the requests
// that begin and of those that have ended.
func startBlocking(t *testing.T, o GuardOptions) (address string, begun, ended chan string) {
	begun, ended = make(chan string, 100), make(chan string, 100)
	e := NewEcho()
	e.Any("/*", func(c echo.Context) error {
		_, _ = io.Copy(io.Discard, c.Request().Body)
		begun <- c.Request().URL.Path
		<-c.Request().Context().Done()
		ended <- c.Request().URL.Path
		return nil
	})
	s, err := Listen(e, netip.MustParseAddrPort("127.0.0.1:0"), settings.Limits{MaxConnections: 100, MaxHeaderBytes: 1 << 16})
	if err != nil {
		t.Fatal(err)
	}
	s.UseTimeouts(func() Timeouts { return Timeouts{Header: time.Minute, Idle: time.Minute} })
	o.Name, o.Log = "test", zerolog.Nop()
	s.Guarded(NewGuard(o))
	go func() { _ = s.Serve() }()
	t.Cleanup(func() { _ = s.Shutdown(0) })
	return s.Address(), begun, ended
}

// await receives from a channel within a bounded time.
func await[T any](t *testing.T, what string, values <-chan T) (value T) {
	t.Helper()
	select {
	case value = <-values:
	case <-time.After(10 * time.Second):
		t.Fatal(what + ": nothing after 10 s")
	}
	return value
}

// TestLeavingCallerIsNoticedBehindRequestsSentAhead guards against callers whose leaving goes unnoticed, so that
// their request runs on, because they have sent something behind it.
func TestLeavingCallerIsNoticedBehindRequestsSentAhead(t *testing.T) {
	long := strings.Repeat("body\r\n\r\n", 40_000)
	for name, behind := range map[string]string{
		"nothing":                       "",
		"one byte":                      "G",
		"a part of a head":              "GET /2 HTTP/1.1\r\nHo",
		"a request":                     request(2, "", false),
		"many requests":                 strings.Repeat(request(2, "", false), 200),
		"a body":                        request(2, "order", false),
		"a part of a body":              request(2, "order", false)[:51],
		"a body in chunks":              request(2, "order", true),
		"a part of a body in chunks":    request(2, "order", true)[:62],
		"a long body":                   request(2, long, false),
		"a part of a long chunked body": request(2, long, true)[:100_000],
	} {
		for _, first := range []string{request(1, "", false), request(1, "order", false), request(1, "order", true)} {
			for _, together := range []bool{true, false} {
				t.Run(fmt.Sprintf("%s behind %.4s of %d bytes, together %v", name, first, len(first), together), func(t *testing.T) {
					t.Parallel()
					budget := bodybuf.NewBudget(64 << 20)
					address, begun, ended := startBlocking(t, GuardOptions{MaxConnections: 10, Memory: budget})
					c, err := net.Dial("tcp", address)
					if err != nil {
						t.Fatal(err)
					}
					if together {
						_, _ = io.WriteString(c, first+behind)
						await(t, "the request", begun)
					} else {
						_, _ = io.WriteString(c, first)
						await(t, "the request", begun)
						_, _ = io.WriteString(c, behind)
					}
					_ = c.Close()
					if path := await(t, "the end of the request", ended); path != "/1" {
						t.Errorf("%s has ended", path)
					}
				})
			}
		}
	}
}

// TestLeavingCallerIsNoticedWithoutMemory does the same while there is no memory for what is sent behind.
func TestLeavingCallerIsNoticedWithoutMemory(t *testing.T) {
	address, begun, ended := startBlocking(t, GuardOptions{MaxConnections: 10, Memory: bodybuf.NewBudget(aheadChunkBytes)})
	c, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	_, _ = io.WriteString(c, request(1, "", false))
	await(t, "the request", begun)
	_, _ = io.WriteString(c, strings.Repeat(request(2, "", false), 100))
	_ = c.Close()
	await(t, "the end of the request", ended)
}

// TestRequestsSentAheadAreServed sends requests of all forms, many at once and in pieces of any size, and requires
// their responses in order with each body whole.
func TestRequestsSentAheadAreServed(t *testing.T) {
	address, _ := startGuarded(t, GuardOptions{MaxConnections: 10, Memory: bodybuf.NewBudget(64 << 20)})
	for seed := range uint64(30) {
		random := rand.New(rand.NewPCG(seed, 1))
		var all strings.Builder
		var want []int
		for id := range 1 + random.IntN(30) {
			body := ""
			if random.IntN(2) == 0 {
				body = strings.Repeat([]string{"x", "\r\n", "\r\n\r\n", "0\r\n\r\n"}[random.IntN(4)], 1+random.IntN(3000))
			}
			want = append(want, len(body))
			all.WriteString(request(id, body, random.IntN(2) == 0))
		}
		c, err := net.Dial("tcp", address)
		if err != nil {
			t.Fatal(err)
		}
		go func() {
			for rest := all.String(); rest != ""; {
				n := min(len(rest), 1+random.IntN(9000))
				if _, err := io.WriteString(c, rest[:n]); err != nil {
					return
				}
				rest = rest[n:]
				time.Sleep(time.Duration(random.IntN(300)) * time.Microsecond)
			}
		}()
		_ = c.SetReadDeadline(time.Now().Add(20 * time.Second))
		in := bufio.NewReader(c)
		for n, length := range want {
			res, err := http.ReadResponse(in, nil)
			if err != nil {
				t.Fatalf("seed %d, response %d: %v", seed, n, err)
			}
			text, _ := io.ReadAll(res.Body)
			if res.StatusCode != http.StatusOK || string(text) != fmt.Sprint(length) {
				t.Errorf("seed %d, response %d: %d %q, want %d", seed, n, res.StatusCode, text, length)
			}
		}
		_ = c.Close()
	}
}

// TestShutdownAnswersRequestsSentAhead guards against a shutdown that closes a connection behind the response in
// progress although further requests on it were received.
func TestShutdownAnswersRequestsSentAhead(t *testing.T) {
	begun, release := make(chan string, 10), make(chan struct{})
	e := NewEcho()
	e.Any("/*", func(c echo.Context) error {
		begun <- c.Request().URL.Path
		<-release
		return c.String(http.StatusOK, c.Request().URL.Path)
	})
	s, err := Listen(e, netip.MustParseAddrPort("127.0.0.1:0"), settings.Limits{MaxConnections: 100, MaxHeaderBytes: 1 << 16})
	if err != nil {
		t.Fatal(err)
	}
	g := NewGuard(GuardOptions{Name: "test", Log: zerolog.Nop()})
	s.Guarded(g)
	go func() { _ = s.Serve() }()
	c, err := net.Dial("tcp", s.Address())
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = c.Close() }()
	_, _ = io.WriteString(c, request(1, "", false)+request(2, "order", false)+request(3, "", false))
	await(t, "the request", begun)
	s.DisableKeepAlives(true)
	stopped := make(chan error, 1)
	go func() { stopped <- s.Shutdown(10 * time.Second) }()
	// The shutdown has begun, or waits for what was sent ahead.
	time.Sleep(100 * time.Millisecond)
	close(release)
	_ = c.SetReadDeadline(time.Now().Add(10 * time.Second))
	in := bufio.NewReader(c)
	for id := 1; id <= 3; id++ {
		res, err := http.ReadResponse(in, nil)
		if err != nil {
			t.Fatalf("request %d got no answer: %v", id, err)
		}
		text, _ := io.ReadAll(res.Body)
		if string(text) != fmt.Sprint("/", id) || res.Close != (id == 3) {
			t.Errorf("request %d got %q, closes %v", id, text, res.Close)
		}
	}
	if err := <-stopped; err != nil {
		t.Error(err)
	}
}
