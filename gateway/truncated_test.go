package gateway

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"
)

// TestResponseCutAtAnyByteIsNoSuccess guards against a response that ends early, in its head too,
// and reaches the caller as a success that is whole: cut behind each of its bytes, by an
// ordinary close and by a reset, sent to this entry or to a relay.
func TestResponseCutAtAnyByteIsNoSuccess(t *testing.T) {
	head := "HTTP/1.1 200 OK\r\n" + idHeader + ": id-1\r\nSigned: yes\r\n"
	for name, whole := range map[string]string{
		"length":           head + "Content-Length: 5\r\n\r\nwhole",
		"chunks, trailer":  head + "Transfer-Encoding: chunked\r\n\r\n3\r\nwho\r\n2;x=y\r\nle\r\n0\r\nTr: x\r\n\r\n",
		"head of no body":  head + "\r\n",
		"head behind 1xx":  "HTTP/1.1 103 X\r\nA: b\r\n\r\n" + head + "Content-Length: 0\r\n\r\n",
		"head with spaces": head + "Content-Length:  0 \r\n\r\n",
	} {
		for _, reset := range []bool{false, true} {
			for _, relayed := range []bool{false, true} {
				t.Run(fmt.Sprintf("%s, reset %v, relayed %v", name, reset, relayed), func(t *testing.T) {
					t.Parallel()
					var cut, runs atomic.Int32
					address := scriptedServer(t, func(c net.Conn, _ *http.Request) {
						runs.Add(1)
						_, _ = io.WriteString(c, whole[:cut.Load()])
						if reset {
							time.Sleep(time.Millisecond)
							_ = c.(*net.TCPConn).SetLinger(0)
						}
						_ = c.Close()
					})
					f, e := setUp(t, address)
					if relayed {
						startRelay(t, f)
					}
					for n := range len(whole) {
						cut.Store(int32(n))
						for _, path := range []string{"/safe/x", "/once/x"} {
							runs.Store(0)
							res, text := e.send(t, http.MethodPost, path, "b")
							if res.StatusCode < 500 || res.StatusCode == http.StatusServiceUnavailable && runs.Load() > 0 {
								t.Errorf("%s: %d %q for %q after %d runs", path, res.StatusCode, text, tail(whole[:n]), runs.Load())
							}
						}
					}
				})
			}
		}
	}
}

// tail returns the end of a text.
func tail(text string) string { return text[max(0, len(text)-20):] }

// TestWholeResponseBehindTheCutsIsASuccess checks that the responses of the test above are valid when
// they are whole.
func TestWholeResponseBehindTheCutsIsASuccess(t *testing.T) {
	for _, end := range []string{"Content-Length: 5\r\n\r\nwhole", "\r\nwhole", "Transfer-Encoding: chunked\r\n\r\n3\r\nwho\r\n2;x=y\r\nle\r\n0\r\nTr: x\r\n\r\n", "\nwhole"} {
		_, e := setUp(t, scriptedServer(t, func(c net.Conn, _ *http.Request) {
			_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\n"+idHeader+": id-1\r\n"+end)
			_ = c.Close()
		}))
		if res, text := e.send(t, http.MethodPost, "/once/x", "b"); res.StatusCode != http.StatusOK || text != "whole" {
			t.Errorf("%q: %d %q", strings.TrimSpace(end), res.StatusCode, text)
		}
	}
}
