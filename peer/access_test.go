package peer

import (
	"bufio"
	"bytes"
	"context"
	"encoding/binary"
	"encoding/json"
	"net"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/cockroachdb/errors"
	"github.com/rs/zerolog"
	"github.com/sourcegraph/jsonrpc2"

	"tanagerbarrow/access"
)

// methodEcho returns its parameters.
const methodEcho = "test.echo"

// testConn is a server with one in-memory connection to it.
type testConn struct {
	server  *Server
	log     bytes.Buffer
	metrics *metrics.Set
	conn    net.Conn
	rpc     *jsonrpc2.Conn
}

// newTestConn attaches one connection to a server with the key "right". It must run
// in a synctest bubble.
func newTestConn(t *testing.T) *testConn {
	p := &testConn{metrics: metrics.NewSet()}
	p.server = NewServer("right", zerolog.New(&p.log))
	p.server.UseMetrics(p.metrics)
	p.server.Handle(methodEcho, func(_ context.Context, params json.RawMessage) (any, error) { return params, nil })
	var serverEnd net.Conn
	p.conn, serverEnd = net.Pipe()
	p.server.serveConn(t.Context(), serverEnd)
	return p
}

// call calls a method on the connection.
func (p *testConn) call(method string, params any) error {
	if p.rpc == nil {
		p.rpc = jsonrpc2.NewConn(context.Background(), jsonrpc2.NewBufferedStream(p.conn, clientCodec()), noHandler{})
	}
	return p.rpc.Call(context.Background(), method, params, &json.RawMessage{})
}

// checkRefused checks that exactly one refusal was counted and logged, and that
// the connection is closed.
func (p *testConn) checkRefused(t *testing.T, reason access.Reason) {
	t.Helper()
	if p.rpc != nil {
		<-p.rpc.DisconnectNotify()
	} else if _, err := p.conn.Read(make([]byte, 1)); err == nil {
		t.Error("the connection is open")
	}
	synctest.Wait()
	var out bytes.Buffer
	p.metrics.WritePrometheus(&out)
	want := `tanagerbarrow_access_refused_total{channel="peer",reason="` + string(reason) + `"} 1`
	if !strings.Contains(out.String(), want) {
		t.Errorf("metrics lack %s: %s", want, out.String())
	}
	if strings.Count(p.log.String(), `"reason":"`+string(reason)+`"`) != 1 {
		t.Errorf("log is %s", p.log.String())
	}
	if len(p.server.unauthenticated) != 0 {
		t.Errorf("%d connections are still unauthenticated", len(p.server.unauthenticated))
	}
}

func TestCallsWithoutTheKeyAreRefused(t *testing.T) {
	for name, c := range map[string]struct {
		method string
		hello  Hello
		reason access.Reason
	}{
		"no hello":    {methodEcho, Hello{}, access.MissingKey},
		"missing key": {MethodHello, Hello{Host: "h"}, access.MissingKey},
		"wrong key":   {MethodHello, Hello{Host: "h", Key: "wrong"}, access.WrongKey},
		"prefix":      {MethodHello, Hello{Host: "h", Key: "righ"}, access.WrongKey},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				p := newTestConn(t)
				var refusal *jsonrpc2.Error
				if err := p.call(c.method, c.hello); !errors.As(err, &refusal) || refusal.Code != codeUnauthorized {
					t.Errorf("got %v", err)
				}
				if err := p.call(MethodHello, Hello{Host: "h", Key: "right"}); err == nil {
					t.Error("a second hello on the connection was accepted")
				}
				p.checkRefused(t, c.reason)
			})
		})
	}
}

func TestCorrectKeyIsAccepted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newTestConn(t)
		if err := p.call(MethodHello, Hello{Host: "h", Key: "right"}); err != nil {
			t.Fatal(err)
		}
		time.Sleep(2 * helloTimeout)
		if err := p.call(methodEcho, Hello{Host: strings.Repeat("x", 2*maxHelloBytes)}); err != nil {
			t.Fatal(err)
		}
		_ = p.rpc.Close()
	})
}

func TestSilentConnectionIsClosed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newTestConn(t)
		start := time.Now()
		p.checkRefused(t, access.NoHello)
		if waited := time.Since(start); waited != helloTimeout {
			t.Errorf("closed after %s, want %s", waited, helloTimeout)
		}
	})
}

func TestAuthenticatedPeerSurvivesConnectionFlood(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newTestConn(t)
		openUnauthenticated := func() (clientEnds []net.Conn) {
			for range maxUnauthenticated - 1 {
				clientEnd, serverEnd := net.Pipe()
				p.server.serveConn(t.Context(), serverEnd)
				clientEnds = append(clientEnds, clientEnd)
			}
			return clientEnds
		}
		clientEnds := openUnauthenticated()
		clientEnd, serverEnd := net.Pipe()
		p.server.serveConn(t.Context(), serverEnd)
		p.checkEvicted(t)
		authenticated := &testConn{server: p.server, conn: clientEnd}
		if err := authenticated.call(MethodHello, Hello{Host: "h", Key: "right"}); err != nil {
			t.Fatal(err)
		}
		clientEnds = append(clientEnds, append(openUnauthenticated(), openUnauthenticated()...)...)
		if len(p.server.unauthenticated) != maxUnauthenticated {
			t.Errorf("%d connections are unauthenticated, want %d", len(p.server.unauthenticated), maxUnauthenticated)
		}
		if err := authenticated.call(methodEcho, Empty{}); err != nil {
			t.Errorf("the authenticated peer was disconnected: %v", err)
		}
		_ = authenticated.rpc.Close()
		for _, c := range clientEnds {
			_ = c.Close()
		}
		synctest.Wait()
		if len(p.server.unauthenticated) != 0 {
			t.Errorf("%d connections are still unauthenticated", len(p.server.unauthenticated))
		}
	})
}

// checkEvicted checks that the first connection was closed, and that it was
// logged and counted as one unauthenticated connection too many.
func (p *testConn) checkEvicted(t *testing.T) {
	t.Helper()
	if _, err := p.conn.Read(make([]byte, 1)); err == nil {
		t.Error("the oldest connection is open")
	}
	var out bytes.Buffer
	p.metrics.WritePrometheus(&out)
	want := `tanagerbarrow_access_refused_total{channel="peer",reason="too_many_unknown"} 1`
	if !strings.Contains(out.String(), want) || strings.Count(p.log.String(), string(access.TooManyUnauthenticated)) != 1 {
		t.Errorf("metrics are %s, log is %s", out.String(), p.log.String())
	}
}

func TestLargeMessageBeforeHelloIsNotRead(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newTestConn(t)
		size := binary.AppendUvarint(nil, maxHelloBytes+1)
		if _, err := p.conn.Write(size); err != nil {
			t.Fatal(err)
		}
		if _, err := p.conn.Read(make([]byte, 1)); err == nil {
			t.Error("the connection is open")
		}
	})
}

func FuzzCodec(f *testing.F) {
	var out bytes.Buffer
	if err := clientCodec().WriteObject(&out, Hello{Host: "h", Key: "k"}); err != nil {
		f.Fatal(err)
	}
	f.Add(out.Bytes())
	f.Add(out.Bytes()[:5])
	f.Add(binary.AppendUvarint(nil, 1<<62))
	f.Add([]byte{0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff})
	f.Fuzz(func(t *testing.T, data []byte) {
		c := codec{limit: func() uint64 { return maxHelloBytes }}
		in := bufio.NewReader(bytes.NewReader(data))
		for range 3 {
			var r jsonrpc2.Request
			if c.ReadObject(in, &r) != nil {
				return
			}
		}
	})
}

// FuzzParameters decodes fuzzed parameters of methods between processes.
func FuzzParameters(f *testing.F) {
	f.Add([]byte(`{"host":"h","have":3,"known":true,"report":{"rows":[{"service":"a"}]}}`))
	f.Add([]byte(`{"delta":{"from":1,"to":2,"services":{"set":{"a":{}}}},"fresh_ago":-1}`))
	f.Add([]byte(`null`))
	f.Fuzz(func(_ *testing.T, data []byte) {
		_, _ = Typed(func(context.Context, WatchRequest) (Empty, error) { return Empty{}, nil })(context.Background(), data)
		_, _ = Typed(func(context.Context, WatchResponse) (Empty, error) { return Empty{}, nil })(context.Background(), data)
		_, _ = Typed(func(context.Context, HostsResponse) (Empty, error) { return Empty{}, nil })(context.Background(), data)
		_, _ = Typed(func(context.Context, Hello) (Empty, error) { return Empty{}, nil })(context.Background(), data)
	})
}
