package gateway

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"tanagerbarrow/serving"
	"tanagerbarrow/settings"
)

// sendAs sends a request with an identifier and returns the status and the body.
func (e *testEntry) sendAs(t testing.TB, id, method, path string) (int, string) {
	t.Helper()
	r, err := http.NewRequest(method, e.front.URL+path, strings.NewReader(""))
	if err != nil {
		t.Fatal(err)
	}
	r.Host = "h"
	r.Header.Set(idHeader, id)
	r.Header.Set(timeHeader, "900")
	res, err := http.DefaultClient.Do(r)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = res.Body.Close() }()
	text, err := io.ReadAll(res.Body)
	if err != nil {
		t.Fatal(err)
	}
	return res.StatusCode, string(text)
}

// TestLateCopyIsNotTheNextAnswer lets a server send the response to each request a
// second time, at different moments of the next request on the same connection. Each
// caller must get its own response or an error that doesn't claim success.
func TestLateCopyIsNotTheNextAnswer(t *testing.T) {
	answer := func(id string) string {
		body := "answer to " + id
		return fmt.Sprintf("HTTP/1.1 200 X\r\n%s: %s\r\nContent-Length: %d\r\n\r\n%s", idHeader, id, len(body), body)
	}
	for name, script := range map[string]func(c net.Conn, id, previous string){
		"at once": func(c net.Conn, id, _ string) {
			_, _ = io.WriteString(c, answer(id)+answer(id))
		},
		"while the connection is idle": func(c net.Conn, id, _ string) {
			_, _ = io.WriteString(c, answer(id))
			time.Sleep(5 * time.Millisecond)
			_, _ = io.WriteString(c, answer(id))
		},
		"before the next answer": func(c net.Conn, id, previous string) {
			if previous != "" {
				_, _ = io.WriteString(c, answer(previous))
			}
			time.Sleep(5 * time.Millisecond)
			_, _ = io.WriteString(c, answer(id))
		},
		"together with the next answer": func(c net.Conn, id, previous string) {
			if previous != "" {
				_, _ = io.WriteString(c, answer(previous))
			}
			_, _ = io.WriteString(c, answer(id))
		},
		"instead of the next answer": func(c net.Conn, id, previous string) {
			if previous != "" {
				id = previous
			}
			_, _ = io.WriteString(c, answer(id))
		},
		"cut": func(c net.Conn, id, previous string) {
			if previous != "" {
				_, _ = io.WriteString(c, answer(previous)[:len(answer(previous))-3])
				_ = c.Close()
				return
			}
			_, _ = io.WriteString(c, answer(id))
		},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			var mu sync.Mutex
			previous := map[net.Conn]string{}
			_, e := setUp(t, scriptedServer(t, func(c net.Conn, r *http.Request) {
				id := r.Header.Get(idHeader)
				mu.Lock()
				before := previous[c]
				previous[c] = id
				mu.Unlock()
				script(c, id, before)
			}))
			for n := range 6 {
				id := fmt.Sprint("id-", n)
				for _, path := range []string{"/safe/x", "/once/x"} {
					status, text := e.sendAs(t, id+path, http.MethodPost, path)
					if status == http.StatusOK && text != "answer to "+id+path {
						t.Fatalf("%s got %q", id+path, text)
					}
					if status == http.StatusServiceUnavailable {
						t.Errorf("%s, which ran, was answered as not run", id+path)
					}
				}
			}
		})
	}
}

// TestCutAnswerIsNoSuccess ends a response halfway in each form that a body may have.
// No caller may receive it as a success, and a request that may run only once must not
// run again.
func TestCutAnswerIsNoSuccess(t *testing.T) {
	abort := func(c net.Conn) {
		_ = c.(*net.TCPConn).SetLinger(0)
		_ = c.Close()
	}
	head := "HTTP/1.1 200 X\r\n" + idHeader + ": id-1\r\n"
	for name, c := range map[string]struct {
		sent string
		end  func(net.Conn)
	}{
		"in the header":                {head, func(c net.Conn) { _ = c.Close() }},
		"in a body with length":        {head + "Content-Length: 10\r\n\r\nhalf", func(c net.Conn) { _ = c.Close() }},
		"in a chunk":                   {head + "Transfer-Encoding: chunked\r\n\r\na\r\nhalf", func(c net.Conn) { _ = c.Close() }},
		"between two chunks":           {head + "Transfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n", func(c net.Conn) { _ = c.Close() }},
		"before the end of the chunks": {head + "Transfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n0\r\n", func(c net.Conn) { _ = c.Close() }},
		"by a reset, until close":      {head + "\r\nhalf", abort},
		"by a reset, with length":      {head + "Content-Length: 10\r\n\r\nhalf", abort},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			var runs atomic.Int32
			bad := scriptedServer(t, func(conn net.Conn, _ *http.Request) {
				runs.Add(1)
				_, _ = io.WriteString(conn, c.sent)
				time.Sleep(10 * time.Millisecond)
				c.end(conn)
			})
			_, e := setUp(t, bad, bad)
			for path, wantRuns := range map[string]int32{"/safe/x": 2, "/once/x": 1} {
				runs.Store(0)
				res, text := e.send(t, http.MethodPost, path, "b")
				if res.StatusCode != http.StatusBadGateway || runs.Load() != wantRuns {
					t.Errorf("%s: %d %q after %d runs, want 502 after %d", path, res.StatusCode, text, runs.Load(), wantRuns)
				}
			}
		})
	}
}

// TestStopUnderLoadAnswersWhatItAccepted stops an entry while callers send requests on
// new and on kept connections as fast as they can. Each request that was sent before
// the entry closed its idle connections must get a whole response.
func TestStopUnderLoadAnswersWhatItAccepted(t *testing.T) {
	t.Parallel()
	_, e := setUp(t, scriptedServer(t, func(c net.Conn, r *http.Request) {
		time.Sleep(20 * time.Millisecond)
		respond(c, r, 200, "", "whole")
	}))
	const grace = 6 * time.Second
	e.options.Settings.Bounds.GracePeriod = grace
	routes := serving.NewEcho()
	e.registerRoutes(routes)
	front, err := serving.Listen(routes, netip.MustParseAddrPort("127.0.0.1:0"), settings.Limits{MaxConnections: 100, MaxHeaderBytes: 1 << 16})
	if err != nil {
		t.Fatal(err)
	}
	go func() { _ = front.Serve() }()
	// The platform sends no new connections once two readiness probes have failed.
	newConnectionsUntil := time.Now().Add(300*time.Millisecond + rotationExitDelay)
	idleClosed := newConnectionsUntil.Add(grace - stopMargin - drainMargin - rotationExitDelay)
	var callers sync.WaitGroup
	var answered atomic.Int32
	for n := range 20 {
		callers.Go(func() {
			for time.Now().Before(newConnectionsUntil) {
				if c, err := net.Dial("tcp", front.Address()); err == nil {
					callUntilClosed(t, c, n%2 == 0, idleClosed, &answered)
				}
			}
		})
	}
	time.Sleep(300 * time.Millisecond)
	begun := time.Now()
	if err := e.stop(front, nil); err != nil {
		t.Error(err)
	}
	if took := time.Since(begun); took > grace {
		t.Errorf("the stop took %v of %v", took, grace)
	}
	callers.Wait()
	if answered.Load() < 500 {
		t.Errorf("only %d requests were answered", answered.Load())
	}
}

// callUntilClosed sends requests on a connection, one or many, until a response closes
// it. A request without a whole response fails the test.
func callUntilClosed(t *testing.T, c net.Conn, keep bool, until time.Time, answered *atomic.Int32) {
	defer func() { _ = c.Close() }()
	in := bufio.NewReader(c)
	for time.Now().Before(until) {
		if _, err := io.WriteString(c, "GET /safe/ HTTP/1.1\r\nHost: h\r\n"+idHeader+": id-1\r\n\r\n"); err != nil {
			t.Errorf("send: %v", err)
			return
		}
		res, err := http.ReadResponse(in, nil)
		if err != nil {
			t.Errorf("no response: %v", err)
			return
		}
		if _, err := io.ReadAll(res.Body); err != nil {
			t.Errorf("the response is cut: %v", err)
			return
		}
		answered.Add(1)
		if res.Close || !keep {
			return
		}
	}
}

// TestLateCopyOfCheckIsNoAnswer guards against the late second response to a health check that is
// taken as the response to the next request on that connection: the caller would get it as a
// success, or the request would run on two servers.
func TestLateCopyOfCheckIsNoAnswer(t *testing.T) {
	for name, copied := range map[string]string{
		"healthy":          "HTTP/1.1 200 X\r\nContent-Length: 0\r\n\r\n",
		"with a body":      "HTTP/1.1 200 X\r\nContent-Length: 4\r\n\r\nwell",
		"full":             "HTTP/1.1 503 X\r\n" + notRunHeader + ": 1\r\nContent-Length: 0\r\n\r\n",
		"another server":   "HTTP/1.1 421 X\r\n" + notRunHeader + ": 1\r\nContent-Length: 0\r\n\r\n",
		"after a 1xx":      "HTTP/1.1 102 X\r\n\r\nHTTP/1.1 503 X\r\n" + notRunHeader + ": 1\r\nContent-Length: 0\r\n\r\n",
		"without a length": "HTTP/1.1 200 X\r\n\r\n",
	} {
		for _, pieces := range []bool{false, true} {
			t.Run(fmt.Sprint(name, ", in pieces ", pieces), func(t *testing.T) {
				t.Parallel()
				var runs atomic.Int32
				checked := &sync.Map{}
				address := scriptedServer(t, func(c net.Conn, r *http.Request) {
					if r.Header.Get(idHeader) == "" {
						checked.Store(c, true)
						_, _ = io.WriteString(c, "HTTP/1.1 200 X\r\nContent-Length: 0\r\n\r\n")
						return
					}
					runs.Add(1)
					if _, late := checked.LoadAndDelete(c); late {
						for _, piece := range split(copied, pieces) {
							_, _ = io.WriteString(c, piece)
							time.Sleep(time.Millisecond)
						}
					}
					time.Sleep(10 * time.Millisecond)
					respond(c, r, 200, "", "answer to "+r.Header.Get(idHeader))
				})
				_, e := setUp(t, address, address)
				for n := range 4 {
					e.checker.checkPath(t.Context(), e.exchanger, e.view.server(1))
					runs.Store(0)
					id := fmt.Sprint("id-", n)
					status, text := e.sendAs(t, id, http.MethodPost, "/once/x")
					if runs.Load() != 1 || status == http.StatusServiceUnavailable || status == http.StatusOK && text != "answer to "+id {
						t.Errorf("%d %q after %d runs", status, text, runs.Load())
					}
				}
			})
		}
	}
}

// split returns a text as one piece or in pieces of two bytes.
func split(text string, pieces bool) []string {
	if !pieces {
		return []string{text}
	}
	var all []string
	for ; len(text) > 2; text = text[2:] {
		all = append(all, text[:2])
	}
	return append(all, text)
}
