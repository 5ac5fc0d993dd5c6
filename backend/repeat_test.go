package backend

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"tanagerbarrow/membership"
	"tanagerbarrow/verdict"
)

// repeatDialect is a dialect whose servers repeat the identifier and name refusals.
func repeatDialect() Dialect {
	return Dialect{
		RequestID: "Id", EchoesRequestID: true, Timeout: "Wait",
		NotRun: func(r *http.Response) bool { return r.Header.Get("Not-Run") != "" },
	}
}

// TestCopyOfRefusalDoesNotRefuseTheNextAttempt guards against the late copy of an earlier refusal that
// is taken as the response to a further attempt of the same request: callers were told that
// the request had not run.
func TestCopyOfRefusalDoesNotRefuseTheNextAttempt(t *testing.T) {
	const refusal = "HTTP/1.1 503 X\r\nId: same\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n"
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	var attempts, connections atomic.Int32
	go func() {
		for {
			c, err := listener.Accept()
			if err != nil {
				return
			}
			connections.Add(1)
			go func() {
				defer func() { _ = c.Close() }()
				in, refused := bufio.NewReader(c), false
				for {
					r, err := http.ReadRequest(in)
					if err != nil {
						return
					}
					id := r.Header.Get("Id")
					if id == "same" && attempts.Add(1) == 1 {
						refused = true
						_, _ = io.WriteString(c, refusal)
						continue
					}
					if refused {
						_, _ = io.WriteString(c, refusal)
						time.Sleep(5 * time.Millisecond)
					}
					fmt.Fprintf(c, "HTTP/1.1 200 X\r\nId: %s\r\nContent-Length: 4\r\n\r\ndone", id)
				}
			}()
		}
	}()
	x := NewExchangerWithDialect(repeatDialect())
	to := &membership.BackendServer{Service: "s", Address: listener.Addr().(*net.TCPAddr).AddrPort()}
	send := func(id string) error {
		res, err := x.Exchange(context.Background(), to, &Attempt{
			Method: http.MethodPost, Path: "/", Header: http.Header{}, RequestID: id, Deadline: time.Now().Add(time.Minute),
		})
		if err != nil {
			return err
		}
		defer func() { _ = res.Body.Close() }()
		text, err := io.ReadAll(res.Body)
		if err == nil && string(text) != "done" {
			t.Errorf("%s got %q", id, text)
		}
		return err
	}
	if err := send("same"); verdict.Of(err) != verdict.NotRun {
		t.Fatalf("the first attempt: %v", err)
	}
	if err := send("same"); err != nil {
		t.Errorf("the second attempt ran, but: %v", err)
	}
	if err := send("other"); err != nil {
		t.Errorf("another request: %v", err)
	}
	if n := connections.Load(); n != 2 {
		t.Errorf("%d connections, want one further for the second attempt", n)
	}
}

// TestCarriedRequestsAreBounded carries more requests than a connection remembers.
func TestCarriedRequestsAreBounded(t *testing.T) {
	var c carried
	for n := range 10 * maxCarried {
		c.add(fmt.Sprint(n))
	}
	if len(c.ids) != maxCarried || !c.has(fmt.Sprint(10*maxCarried-1)) || !c.has(fmt.Sprint(9*maxCarried)) || c.has("0") {
		t.Errorf("%d requests are remembered", len(c.ids))
	}
}
