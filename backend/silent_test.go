package backend

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/cockroachdb/errors"

	"tanagerbarrow/membership"
	"tanagerbarrow/verdict"
)

// freezableServer is a backend server whose open connections can go silent
// permanently while new ones work.
type freezableServer struct {
	net.Listener

	opened atomic.Int64
	mu     sync.Mutex
	frozen chan struct{}
}

// frozenConn discards all writes once frozen is closed.
type frozenConn struct {
	net.Conn

	frozen <-chan struct{}
}

func (f *freezableServer) Accept() (net.Conn, error) {
	c, err := f.Listener.Accept()
	if err != nil {
		return nil, err
	}
	f.opened.Add(1)
	f.mu.Lock()
	defer f.mu.Unlock()
	return &frozenConn{Conn: c, frozen: f.frozen}, nil
}

// freeze makes the open connections go silent.
func (f *freezableServer) freeze() {
	f.mu.Lock()
	defer f.mu.Unlock()
	close(f.frozen)
	f.frozen = make(chan struct{})
}

func (c *frozenConn) Write(p []byte) (int, error) {
	select {
	case <-c.frozen:
		return len(p), nil
	default:
		return c.Conn.Write(p)
	}
}

// startFreezableServer starts a backend server whose path /meet responds once the
// given number of requests has arrived.
func startFreezableServer(t *testing.T, requests int) (*freezableServer, *membership.BackendServer) {
	t.Helper()
	var gate sync.WaitGroup
	gate.Add(requests)
	s := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/meet" {
			gate.Done()
			gate.Wait()
		}
		_, _ = io.WriteString(w, "whole")
	}))
	f := &freezableServer{Listener: s.Listener, frozen: make(chan struct{})}
	s.Listener = f
	s.Start()
	t.Cleanup(s.Close)
	return f, &membership.BackendServer{Service: "s", Address: s.Listener.Addr().(*net.TCPAddr).AddrPort()}
}

// get sends a read and reads the complete response.
func get(x *Exchanger, to *membership.BackendServer, path string, limit time.Duration) error {
	a := &Attempt{Method: http.MethodGet, Path: path, Header: http.Header{}, Deadline: time.Now().Add(time.Minute), SilenceLimit: limit}
	res, err := x.Exchange(context.Background(), to, a)
	if err != nil {
		return err
	}
	defer func() { _ = res.Body.Close() }()
	_, err = io.Copy(io.Discard, res.Body)
	return err
}

func TestSilentConnectionIsCondemnedWithThoseOfItsAge(t *testing.T) {
	const conns = 3
	f, to := startFreezableServer(t, conns)
	x := NewExchanger()
	t.Cleanup(x.Close)
	var warm sync.WaitGroup
	for range conns {
		warm.Go(func() { _ = get(x, to, "/meet", 0) })
	}
	warm.Wait()
	f.freeze()
	err := get(x, to, "/", 20*time.Millisecond)
	if verdict.As(err).Code != CodeSilent || verdict.Of(err) != verdict.MayHaveRun {
		t.Fatalf("silent connection: %v with %v", err, verdict.Of(err))
	}
	if !ConnectionAtFault(err) || ServerAtFault(err) {
		t.Fatalf("a silent connection counts as a fault of the server: %v", err)
	}
	if err := get(x, to, "/", time.Minute); err != nil {
		t.Fatalf("after a silent connection: %v", err)
	}
	if n := f.opened.Load(); n != conns+1 {
		t.Fatalf("%d connections were opened, want the silent ones and a fresh one", n)
	}
}

func TestIdleConnectionSurvivesSilenceLimit(t *testing.T) {
	f, to := startFreezableServer(t, 0)
	x := NewExchanger()
	t.Cleanup(x.Close)
	const limit = 10 * time.Millisecond
	for range 3 {
		if err := get(x, to, "/", 0); err != nil {
			t.Fatal(err)
		}
		c := x.pool.take(to.Address, time.Time{})
		c.reused = true
		c.setSilenceLimit(limit)
		x.pool.put(c)
		time.Sleep(3 * limit)
	}
	if err := get(x, to, "/", time.Minute); err != nil {
		t.Fatal(err)
	}
	if n := f.opened.Load(); n != 1 {
		t.Fatalf("%d connections were opened, want one for all requests", n)
	}
}

// TestAbandonedExchangeResetsItsConnection gives up a request that the server has not
// answered: the connection must be reset, so that a link that delays its bytes drops them.
func TestAbandonedExchangeResetsItsConnection(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = listener.Close() }()
	ended := make(chan error, 1)
	go func() {
		c, err := listener.Accept()
		if err != nil {
			ended <- err
			return
		}
		if _, err = http.ReadRequest(bufio.NewReader(c)); err == nil {
			_, err = c.Read(make([]byte, 1))
		}
		ended <- err
	}()
	ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
	defer cancel()
	x := NewExchanger()
	defer x.Close()
	to := &membership.BackendServer{Service: "s", Address: netip.MustParseAddrPort(listener.Addr().String())}
	res, err := x.Exchange(ctx, to, &Attempt{Method: http.MethodGet, Path: "/x", Header: http.Header{}, Deadline: time.Now().Add(time.Second)})
	if err == nil {
		_ = res.Body.Close()
		t.Fatal("an exchange without an answer succeeded")
	}
	if err := <-ended; !errors.Is(err, syscall.ECONNRESET) {
		t.Errorf("the server's connection ended with %v, want a reset", err)
	}
}
