package gateway

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"strings"
	"testing"

	"tanagerbarrow/route"
)

// TestTargetsGoThroughUnchanged guards against a request whose path begins with two slashes and
// reaches its server with another path: method, target, query and body must arrive as they were
// sent, directly and through a relay, with a short and with a long body.
func TestTargetsGoThroughUnchanged(t *testing.T) {
	targets := []string{
		"/", "//", "///", "//orders/1?lines=2", "/safe//x", "/once/a%2Fb//c?x=%20&y", "//h/x", "//h:80/x", "//user@h/", "//?q", "//%2F%2f",
		"//a|b", "//a\"b", "//..//.", "/./..", "//x;y=1,2", "//x?a//b", "//[::1]/x", "//%20", "/x?", "//x?", "//:80/",
	}
	for _, relayed := range []bool{false, true} {
		for _, body := range []string{"", "two bells", strings.Repeat("bronze", 10_000)} {
			seen := make(chan string, 1)
			f, e := setUp(t, scriptedServer(t, func(c net.Conn, r *http.Request) {
				text, _ := io.ReadAll(r.Body)
				seen <- fmt.Sprint(r.Method, " ", r.RequestURI, " ", string(text) == body, " ", r.Host)
				respond(c, r, 200, "", "x")
			}))
			f.mu.Lock()
			f.config = &route.Configuration{
				Version: 2, Services: []route.Service{{Name: "s"}},
				Routes: []route.Route{{
					Host: "h", PathPrefix: "/", Kind: route.Once, MaxAttempts: 1, Shares: []route.Share{{Service: "s", Weight: 1}},
					Timeout: testConfig().Routes[0].Timeout, LatencyObjective: testConfig().Routes[0].LatencyObjective,
				}},
			}
			f.mu.Unlock()
			e.session.closeAfterPause(0)
			for e.view.version() != 2 {
				e.pauses.awaitView(t.Context())
			}
			if relayed {
				startRelay(t, f)
			}
			front, err := url.Parse(e.front.URL)
			if err != nil {
				t.Fatal(err)
			}
			for _, target := range targets {
				c, err := net.Dial("tcp", front.Host)
				if err != nil {
					t.Fatal(err)
				}
				fmt.Fprintf(c, "POST %s HTTP/1.1\r\nHost: h\r\n%s: id\r\n%s: 900\r\nContent-Length: %d\r\nConnection: close\r\n\r\n%s", target, idHeader, timeHeader, len(body), body)
				res, err := http.ReadResponse(bufio.NewReader(c), nil)
				if err != nil {
					t.Fatalf("%q: %v", target, err)
				}
				_ = res.Body.Close()
				_ = c.Close()
				if res.StatusCode != http.StatusOK {
					t.Errorf("%q, relayed %v: status %d", target, relayed, res.StatusCode)
					continue
				}
				if got, want := <-seen, fmt.Sprint("POST ", target, " true h"); got != want {
					t.Errorf("relayed %v, body of %d bytes: the server received %q, want %q", relayed, len(body), got, want)
				}
			}
		}
	}
}
