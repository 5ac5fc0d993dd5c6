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

// methodEcho answers with its parameters.
const methodEcho = "test.echo"

// pipe is a server with one connection to it, all in memory.
type pipe struct {
	server *Server
	log    bytes.Buffer
	set    *metrics.Set
	conn   net.Conn
	rpc    *jsonrpc2.Conn
}

// newPipe attaches one connection to a server with the key "right". It must run
// in a synctest bubble.
func newPipe(t *testing.T) *pipe {
	p := &pipe{set: metrics.NewSet()}
	p.server = NewServer("right", zerolog.New(&p.log))
	p.server.UseMetrics(p.set)
	p.server.Handle(methodEcho, func(_ context.Context, params json.RawMessage) (any, error) { return params, nil })
	var far net.Conn
	p.conn, far = net.Pipe()
	p.server.attach(t.Context(), far)
	return p
}

// call calls a method on the connection.
func (p *pipe) call(method string, params any) error {
	if p.rpc == nil {
		p.rpc = jsonrpc2.NewConn(context.Background(), jsonrpc2.NewBufferedStream(p.conn, trustedCodec()), noHandler{})
	}
	return p.rpc.Call(context.Background(), method, params, &json.RawMessage{})
}

// checkRefused checks that one refusal was counted and logged, and that the
// connection is closed.
func (p *pipe) checkRefused(t *testing.T, why access.Reason) {
	t.Helper()
	if p.rpc != nil {
		<-p.rpc.DisconnectNotify()
	} else if _, err := p.conn.Read(make([]byte, 1)); err == nil {
		t.Error("the connection is open")
	}
	synctest.Wait()
	var out bytes.Buffer
	p.set.WritePrometheus(&out)
	want := `tanagerbarrow_access_refused_total{channel="peer",reason="` + string(why) + `"} 1`
	if !strings.Contains(out.String(), want) {
		t.Errorf("metrics lack %s: %s", want, out.String())
	}
	if strings.Count(p.log.String(), `"reason":"`+string(why)+`"`) != 1 {
		t.Errorf("log is %s", p.log.String())
	}
	if len(p.server.unknown) != 0 {
		t.Errorf("%d connections are still unknown", len(p.server.unknown))
	}
}

func TestCallsWithoutTheKeyAreRefused(t *testing.T) {
	for name, c := range map[string]struct {
		method string
		hello  Hello
		why    access.Reason
	}{
		"no hello":    {methodEcho, Hello{}, access.MissingKey},
		"missing key": {MethodHello, Hello{Host: "h"}, access.MissingKey},
		"wrong key":   {MethodHello, Hello{Host: "h", Key: "wrong"}, access.WrongKey},
		"prefix":      {MethodHello, Hello{Host: "h", Key: "righ"}, access.WrongKey},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				p := newPipe(t)
				var refusal *jsonrpc2.Error
				if err := p.call(c.method, c.hello); !errors.As(err, &refusal) || refusal.Code != codeUnauthorized {
					t.Errorf("got %v", err)
				}
				if err := p.call(MethodHello, Hello{Host: "h", Key: "right"}); err == nil {
					t.Error("a second try on the connection was let in")
				}
				p.checkRefused(t, c.why)
			})
		})
	}
}

func TestRightKeyIsLetIn(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newPipe(t)
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
		p := newPipe(t)
		start := time.Now()
		p.checkRefused(t, access.NoHello)
		if waited := time.Since(start); waited != helloTimeout {
			t.Errorf("closed after %s, want %s", waited, helloTimeout)
		}
	})
}

func TestHonestPeerOutlivesACrowd(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newPipe(t)
		crowd := func() (held []net.Conn) {
			for range maxUnknown - 1 {
				near, far := net.Pipe()
				p.server.attach(t.Context(), far)
				held = append(held, near)
			}
			return held
		}
		held := crowd()
		near, far := net.Pipe()
		p.server.attach(t.Context(), far)
		p.checkCrowdedOut(t)
		honest := &pipe{server: p.server, conn: near}
		if err := honest.call(MethodHello, Hello{Host: "h", Key: "right"}); err != nil {
			t.Fatal(err)
		}
		held = append(held, append(crowd(), crowd()...)...)
		if len(p.server.unknown) != maxUnknown {
			t.Errorf("%d connections are unknown, want %d", len(p.server.unknown), maxUnknown)
		}
		if err := honest.call(methodEcho, Empty{}); err != nil {
			t.Errorf("the honest peer was crowded out: %v", err)
		}
		_ = honest.rpc.Close()
		for _, c := range held {
			_ = c.Close()
		}
		synctest.Wait()
		if len(p.server.unknown) != 0 {
			t.Errorf("%d connections are still unknown", len(p.server.unknown))
		}
	})
}

// checkCrowdedOut checks that the first connection was closed, logged and
// counted as one too many.
func (p *pipe) checkCrowdedOut(t *testing.T) {
	t.Helper()
	if _, err := p.conn.Read(make([]byte, 1)); err == nil {
		t.Error("the oldest connection is open")
	}
	var out bytes.Buffer
	p.set.WritePrometheus(&out)
	want := `tanagerbarrow_access_refused_total{channel="peer",reason="too_many_unknown"} 1`
	if !strings.Contains(out.String(), want) || strings.Count(p.log.String(), string(access.TooManyUnauthenticated)) != 1 {
		t.Errorf("metrics are %s, log is %s", out.String(), p.log.String())
	}
}

func TestLargeMessageBeforeHelloIsNotRead(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newPipe(t)
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
	if err := trustedCodec().WriteObject(&out, Hello{Host: "h", Key: "k"}); err != nil {
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

// FuzzParameters decodes drawn parameters of each method that entries serve.
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
