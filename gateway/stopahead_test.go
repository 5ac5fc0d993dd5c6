package gateway

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
)

// TestStopAnswersRequestsSentAhead guards against a stop that closes a connection behind a response although the
// caller has long sent further requests on it, which the entry has read. Each whole one must be answered. The first
// one ends in time, or is still at its server at the end of the stop.
func TestStopAnswersRequestsSentAhead(t *testing.T) {
	get := func(id int) string {
		return fmt.Sprintf("GET /safe/x HTTP/1.1\r\nHost: h\r\n%s: id-%d\r\n%s: 9000\r\n\r\n", idHeader, id, timeHeader)
	}
	post := func(id int, length string) string {
		return fmt.Sprintf("POST /once/x HTTP/1.1\r\nHost: h\r\n%s: id-%d\r\n%s: 9000\r\n%s\r\n\r\n", idHeader, id, timeHeader, length)
	}
	const chunks = "Transfer-Encoding: chunked"
	for name, c := range map[string]struct {
		behind string
		// whole is how many of them are whole, and part that a part of another one follows.
		whole int
		part  bool
	}{
		"one":              {get(2), 1, false},
		"several":          {get(2) + get(3) + get(4), 3, false},
		"orders":           {post(2, "Content-Length: 5") + "order" + post(3, chunks) + "5\r\norder\r\n0\r\n\r\n" + get(4), 3, false},
		"a part of one":    {get(2) + get(3)[:30], 1, true},
		"a part of orders": {get(2) + post(3, "Content-Length: 5") + "or", 1, true},
	} {
		for _, work := range []time.Duration{800 * time.Millisecond, 5 * time.Second} {
			t.Run(fmt.Sprintf("%s behind %v", name, work), func(t *testing.T) {
				t.Parallel()
				w := startStopped(t, work)
				front := w.listenFor(t, w.serve, w.newGuards().callers)
				stopped := make(chan error, 1)
				go func() { stopped <- w.stop(front, nil) }()
				conn, err := net.Dial("tcp", front.Address())
				if err != nil {
					t.Fatal(err)
				}
				defer func() { _ = conn.Close() }()
				// The first request is answered after the entry has begun to close connections.
				time.Sleep(stoppedGrace/2 - 400*time.Millisecond)
				_, _ = io.WriteString(conn, get(1))
				_, _ = io.WriteString(conn, c.behind)
				_ = conn.SetReadDeadline(time.Now().Add(10 * time.Second))
				in := bufio.NewReader(conn)
				for id := range 1 + c.whole {
					res, err := http.ReadResponse(in, nil)
					if err != nil {
						t.Fatalf("request %d got no answer: %v", id+1, err)
					}
					_, _ = io.Copy(io.Discard, res.Body)
					w.mu.Lock()
					runs := w.ran[fmt.Sprint("id-", id+1)]
					w.mu.Unlock()
					if res.StatusCode == http.StatusServiceUnavailable && runs != 0 || res.StatusCode == http.StatusOK && runs != 1 {
						t.Errorf("request %d: status %d after %d runs", id+1, res.StatusCode, runs)
					}
				}
				if _, err := in.ReadByte(); !c.part && !errors.Is(err, io.EOF) {
					t.Errorf("the connection didn't end: %v", err)
				}
				if err := <-stopped; !c.part && err != nil {
					t.Error(err)
				}
			})
		}
	}
}
