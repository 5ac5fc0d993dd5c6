package backend

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"tanagerbarrow/membership"
	"tanagerbarrow/request"
	"tanagerbarrow/verdict"
)

// startOneResponseServer starts a server that responds to the first request of
// each connection, runs the second and closes the connection without a response.
func startOneResponseServer(t *testing.T) (netip.AddrPort, *atomic.Int64) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	var runs atomic.Int64
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer func() { _ = c.Close() }()
				in := bufio.NewReader(c)
				for n := range 2 {
					r, err := http.ReadRequest(in)
					if err != nil {
						return
					}
					_, _ = io.Copy(io.Discard, r.Body)
					runs.Add(1)
					if n == 0 {
						_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
					}
				}
			}()
		}
	}()
	return l.Addr().(*net.TCPAddr).AddrPort(), &runs
}

func TestBrokenReusedConnectionNeverResends(t *testing.T) {
	bodies := map[string]func() io.ReadCloser{
		"no body": func() io.ReadCloser { return nil },
		"body":    func() io.ReadCloser { return io.NopCloser(strings.NewReader("bronze")) },
	}
	for name, body := range bodies {
		for _, method := range []string{http.MethodPost, http.MethodGet} {
			t.Run(name+" "+method, func(t *testing.T) {
				address, runs := startOneResponseServer(t)
				x := NewExchanger()
				to := &membership.BackendServer{Service: "s", Address: address}
				attempt := func() error {
					a := &Attempt{Method: method, Path: "/s/x", Body: body(), ContentLength: 6, Deadline: time.Now().Add(time.Minute)}
					a.Header = http.Header{request.KeyHeader: {"k"}}
					if a.Body == nil {
						a.ContentLength = 0
					}
					res, err := x.Exchange(context.Background(), to, a)
					if err != nil {
						return err
					}
					_, _ = io.Copy(io.Discard, res.Body)
					return res.Body.Close()
				}
				if err := attempt(); err != nil {
					t.Fatal(err)
				}
				err := attempt()
				if err == nil || verdict.Of(err) != verdict.MayHaveRun {
					t.Fatalf("second attempt: %v with verdict %v", err, verdict.Of(err))
				}
				if got := runs.Load(); got != 2 {
					t.Fatalf("two attempts ran %d times", got)
				}
			})
		}
	}
}

func TestRefusedDialIsNotRun(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	address := l.Addr().(*net.TCPAddr).AddrPort()
	_ = l.Close()
	a := &Attempt{Method: http.MethodPost, Path: "/s/x", Header: http.Header{}, Deadline: time.Now().Add(time.Minute)}
	_, err = NewExchanger().Exchange(context.Background(), &membership.BackendServer{Address: address}, a)
	if verdict.Of(err) != verdict.NotRun {
		t.Fatalf("refused dial: %v with verdict %v", err, verdict.Of(err))
	}
}
