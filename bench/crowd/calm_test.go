package crowd

import (
	"bufio"
	"bytes"
	"fmt"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"
)

// TestSingleLegalRequestsAreServed sends, one at a time, the requests of which crowds are made, each
// inside the limits and whole: all must be served.
func TestSingleLegalRequestsAreServed(t *testing.T) {
	w := newWorld(t)
	const longest = 4 << 20
	body := bytes.Repeat([]byte("b"), longest)
	chunks := head("POST", "/once/100", "Transfer-Encoding: chunked\r\n")
	for n := range 20_000 {
		chunks = fmt.Appendf(chunks, "1;e=%d\r\nb\r\n", n)
	}
	chunks = append(chunks, "0\r\nT: x\r\n\r\n"...)
	for name, act := range map[string]func(c net.Conn) bool{
		"longest body":      func(c net.Conn) bool { return sendLegal(c, longest, body, whole) },
		"small pieces":      func(c net.Conn) bool { return sendLegal(c, 64<<10, body[:64<<10], 100) },
		"many short fields": func(c net.Conn) bool { return send(c, head("GET", "/safe/100", fields(legalHead)), whole) },
		"many chunks":       func(c net.Conn) bool { return send(c, chunks, whole) },
		"slow body": func(c net.Conn) bool {
			// Twice the least rate, for longer than its window.
			sent := send(c, head("POST", "/once/100", "Content-Length: 28672\r\n"), whole)
			for range 14 {
				sent = sent && send(c, body[:2<<10], whole)
				time.Sleep(time.Second)
			}
			return sent
		},
	} {
		c, err := net.Dial("tcp", join(w.entry.address, frontPort))
		if err != nil {
			t.Fatal(err)
		}
		if !act(c) {
			t.Errorf("%s: not all was taken", name)
		}
		_ = c.SetReadDeadline(time.Now().Add(eventTimeout))
		res, err := http.ReadResponse(bufio.NewReader(c), nil)
		if err != nil || res.StatusCode != http.StatusOK {
			t.Errorf("%s: %v, %v", name, res, err)
		}
		_ = c.Close()
	}
	routes := make([]string, 2000)
	for n := range routes {
		routes[n] = fmt.Sprintf(`{"name":"r-%d","host":"h%d","pathPrefix":"/r%d/","kind":"safe","timeoutMs":1000,"targetLatencyMs":300,"service":"s","attempts":2}`, n, n, n)
	}
	large := strings.Replace(strings.Replace(configuration, `"routes":[`, `"routes":[`+strings.Join(routes, ",")+",", 1), `"r1"`, `"r2"`, 1)
	w.await("a configuration of 2,000 routes is acknowledged", func() bool { return w.call("configuration.put", large) })
}

// sendLegal sends a request with a body in pieces.
func sendLegal(c net.Conn, length int, body []byte, piece int) bool {
	return send(c, append(head("POST", "/once/100", fmt.Sprintf("Content-Length: %d\r\n", length)), body...), piece)
}
