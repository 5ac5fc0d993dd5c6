package gateway

import (
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"
)

// TestOddStatusIsNoAnswer lets a server answer with what is no status of HTTP, on new and on
// kept connections, sent to this entry or to a relay. The caller gets a failure of the entry's
// own, which doesn't promise that the request has not run, and a request that may run only
// once is not sent again.
func TestOddStatusIsNoAnswer(t *testing.T) {
	for _, status := range []string{"000", "007", "099", "600", "999", "20", "2000", "+20", "-20", "+99", "-00", "2 0", "", "abc", "０００"} {
		for _, kept := range []bool{false, true} {
			for _, relayed := range []bool{false, true} {
				t.Run(fmt.Sprintf("%q, kept %v, relayed %v", status, kept, relayed), func(t *testing.T) {
					t.Parallel()
					var odd atomic.Bool
					var runs atomic.Int32
					f, e := setUp(t, scriptedServer(t, func(c net.Conn, r *http.Request) {
						if !odd.Load() {
							respond(c, r, http.StatusOK, "", "x")
							return
						}
						runs.Add(1)
						fmt.Fprintf(c, "HTTP/1.1 %s X\r\n%s: id-1\r\nSigned: yes\r\nContent-Length: 3\r\n\r\nodd", status, idHeader)
						// A status below 200 makes the entry wait for the final one.
						_ = c.(*net.TCPConn).CloseWrite()
					}))
					if relayed {
						startRelay(t, f)
					}
					for _, path := range []string{"/safe/x", "/once/x"} {
						odd.Store(false)
						if kept {
							_, _ = e.send(t, http.MethodPost, path, "b")
						}
						odd.Store(true)
						runs.Store(0)
						res, text := e.send(t, http.MethodPost, path, "b")
						if res.StatusCode != http.StatusBadGateway || res.Header.Get("Signed") != "" || text == "odd" {
							t.Errorf("%s: %d %q after %d runs", path, res.StatusCode, text, runs.Load())
						}
						if path == "/once/x" && runs.Load() > 1 {
							t.Errorf("%s ran %d times", path, runs.Load())
						}
					}
				})
			}
		}
	}
}

// TestOddStatusBeforeAnAnswerIsNoAnswer lets a whole answer follow on the odd one: it may belong to
// anything.
func TestOddStatusBeforeAnAnswerIsNoAnswer(t *testing.T) {
	for _, status := range []string{"000", "099", "+99", "-00"} {
		_, e := setUp(t, scriptedServer(t, func(c net.Conn, r *http.Request) {
			fmt.Fprintf(c, "HTTP/1.1 %s X\r\nA: b\r\n\r\n", status)
			respond(c, r, http.StatusOK, "", "x")
		}))
		for _, path := range []string{"/safe/x", "/once/x"} {
			if res, text := e.send(t, http.MethodGet, path, ""); res.StatusCode != http.StatusBadGateway {
				t.Errorf("%s, %q: %d %q", path, status, res.StatusCode, text)
			}
		}
	}
}

// earlyServer answers a POST at once with a 200 without a length, sends part of its body and
// resets the connection while the request's body is still being written to it. It answers
// everything else in full.
func earlyServer(t testing.TB, runs *atomic.Int32) string {
	listener := listen(t)
	go func() {
		for {
			c, err := listener.Accept()
			if err != nil {
				return
			}
			// A small buffer keeps the sender writing.
			_ = c.(*net.TCPConn).SetReadBuffer(4 << 10)
			go func() {
				defer func() { _ = c.Close() }()
				for head := readHead(c); head != ""; head = readHead(c) {
					if !strings.HasPrefix(head, http.MethodPost) {
						fmt.Fprintf(c, "HTTP/1.1 200 OK\r\n%s: id-1\r\nContent-Length: 1\r\n\r\nx", idHeader)
						continue
					}
					runs.Add(1)
					fmt.Fprintf(c, "HTTP/1.1 200 OK\r\n%s: id-1\r\nSigned: yes\r\n\r\npart", idHeader)
					time.Sleep(20 * time.Millisecond)
					_ = c.(*net.TCPConn).SetLinger(0)
					return
				}
			}()
		}
	}()
	return listener.Addr().String()
}

// readHead reads the head of a request; it is empty if the connection ends before.
func readHead(c net.Conn) string {
	text, buffer := "", make([]byte, 1)
	for !strings.HasSuffix(text, "\r\n\r\n") {
		if _, err := c.Read(buffer); err != nil {
			return ""
		}
		text += string(buffer)
	}
	return text
}

// TestResetDuringUploadCutsTheResponse lets a server answer a long upload early, with a response
// that has no length, and reset the connection while the upload is still being written. The
// part that came is no response.
func TestResetDuringUploadCutsTheResponse(t *testing.T) {
	const attempts = 20
	for _, kept := range []bool{false, true} {
		for _, relayed := range []bool{false, true} {
			t.Run(fmt.Sprintf("kept %v, relayed %v", kept, relayed), func(t *testing.T) {
				var runs atomic.Int32
				f, e := setUp(t, earlyServer(t, &runs))
				if relayed {
					startRelay(t, f)
				}
				body := strings.Repeat("bronze", 1<<20)
				for n := range attempts {
					for _, path := range []string{"/safe/x", "/once/x"} {
						if kept {
							_, _ = e.send(t, http.MethodGet, path, "")
						}
						runs.Store(0)
						res, text := e.sendWithin(t, http.MethodPost, path, body, 5*time.Second)
						if res.StatusCode < 500 || res.StatusCode == http.StatusServiceUnavailable && runs.Load() > 0 {
							t.Fatalf("attempt %d, %s: %d %q after %d runs", n, path, res.StatusCode, text, runs.Load())
						}
						if path == "/once/x" && runs.Load() > 1 {
							t.Errorf("%s ran %d times", path, runs.Load())
						}
					}
				}
			})
		}
	}
}
