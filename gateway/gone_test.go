package gateway

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/rs/zerolog"
)

// TestLeavingCallerEndsItsRequestBehindOneSentAhead guards against servers that work on for a caller that has left,
// because it had sent something behind its request. It plays orders and repeatable requests, sent directly and
// through a relay; the server must see its connection end, and nothing that was sent behind may reach it.
func TestLeavingCallerEndsItsRequestBehindOneSentAhead(t *testing.T) {
	// The routes end their requests after 4 s.
	const shorterThanTimeout = 2 * time.Second
	body := strings.Repeat("b", 20_000)
	head := func(method, path, length string) string {
		return fmt.Sprintf("%s %s HTTP/1.1\r\nHost: h\r\n%s: id-1\r\n%s: 9000\r\n%s\r\n", method, path, idHeader, timeHeader, length)
	}
	requests := map[string]string{
		"repeatable":      head(http.MethodGet, "/safe/x", ""),
		"order":           head(http.MethodPost, "/once/x", "Content-Length: 20000\r\n") + body,
		"order in chunks": head(http.MethodPost, "/once/x", "Transfer-Encoding: chunked\r\n") + fmt.Sprintf("%x\r\n%s\r\n0\r\n\r\n", len(body), body),
	}
	for name, sent := range requests {
		for behindName, behind := range map[string]string{"whole": requests["repeatable"], "part": requests["order"][:5000]} {
			for _, relayed := range []bool{false, true} {
				t.Run(fmt.Sprintf("%s, %s behind, relayed %v", name, behindName, relayed), func(t *testing.T) {
					t.Parallel()
					begun, ended := make(chan string, 10), make(chan bool, 10)
					f, e := setUp(t, scriptedServer(t, func(c net.Conn, r *http.Request) {
						if r.Header.Get(idHeader) == "" {
							// A health check.
							respond(c, r, http.StatusOK, "", "")
							return
						}
						begun <- r.URL.Path
						_ = c.SetReadDeadline(time.Now().Add(shorterThanTimeout))
						_, err := c.Read(make([]byte, 1))
						ended <- !errors.Is(err, os.ErrDeadlineExceeded)
					}))
					if relayed {
						relay := startEntry(t, f, zerolog.Nop())
						behindRelay := relay.listenFor(t, relay.serveRelayed, relay.newGuards().relays)
						f.mu.Lock()
						f.relay = behindRelay.Address()
						f.mu.Unlock()
					}
					front := e.listenFor(t, e.serve, e.newGuards().callers)
					c, err := net.Dial("tcp", front.Address())
					if err != nil {
						t.Fatal(err)
					}
					_, _ = io.WriteString(c, sent)
					<-begun
					_, _ = io.WriteString(c, behind)
					_ = c.Close()
					if !<-ended {
						t.Errorf("the server was still at work after %v", shorterThanTimeout)
					}
					select {
					case path := <-begun:
						t.Errorf("%s has reached the server after its caller had left", path)
					case <-time.After(300 * time.Millisecond):
					}
				})
			}
		}
	}
}
