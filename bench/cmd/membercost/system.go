package main

import (
	"context"
	"fmt"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/rs/zerolog"
	"github.com/sourcegraph/jsonrpc2"

	"tanagerbarrow/membership"
	"tanagerbarrow/peer"
)

// zones maps the availability zones to their regions.
var zones = map[string]string{"a": "north", "b": "north", "c": "east", "d": "east", "e": "south", "f": "south"}

// lease is the shortest lease.
const lease = 3 * time.Second

// traffic counts what crosses the links.
type traffic struct{ bytes, messages, announceBytes, announcements atomic.Int64 }

// counts is one reading of the traffic.
type counts struct{ bytes, messages, announceBytes, announcements int64 }

// read returns the counts so far.
func (t *traffic) read() counts {
	return counts{t.bytes.Load(), t.messages.Load(), t.announceBytes.Load(), t.announcements.Load()}
}

// countedConn counts the bytes and writes of one end of a link.
type countedConn struct {
	net.Conn

	traffic *traffic
}

// Write counts and passes on.
func (c countedConn) Write(p []byte) (int, error) {
	c.traffic.bytes.Add(int64(len(p)))
	c.traffic.messages.Add(1)
	return c.Conn.Write(p)
}

// system is all entries in this process.
type system struct {
	traffic traffic
	nodes   []*membership.Node
	servers []*peer.Server
	index   map[string]int
	ctx     context.Context
	cancel  context.CancelFunc
	wg      sync.WaitGroup
}

// newSystem starts the entries.
func newSystem(entries int) *system {
	s := &system{index: map[string]int{}}
	s.ctx, s.cancel = context.WithCancel(context.Background())
	var places []membership.Host
	for i := range entries {
		zone := string(rune('a' + i%len(zones)))
		p := membership.Host{Name: fmt.Sprintf("entry-%d", i+1), AvailabilityZone: zone, Region: zones[zone]}
		s.index[p.Name] = i
		places = append(places, p)
	}
	for i, p := range places {
		epoch := uint64(time.Now().UnixMilli())
		admin := fmt.Sprintf("10.1.1.%d:7200", i+1)
		node := membership.NewNode(
			membership.NewTable(membership.Origin{Host: p.Name, Epoch: epoch}, lease),
			membership.NewHosts(membership.HostState{Host: p.Name, Epoch: epoch, AdminAddress: admin}, places),
			places, zones, &links{system: s, host: p.Name, open: map[string]*jsonrpc2.Conn{}})
		server := peer.NewServer("key", zerolog.Nop())
		server.Handle(membership.MethodPing, peer.Typed(node.ServePing))
		server.Handle(membership.MethodProbe, peer.Typed(node.ServeProbe))
		server.Handle(membership.MethodSync, peer.Typed(node.ServeSync))
		server.Handle(membership.MethodPush, peer.Typed(node.ServePush))
		server.Handle(membership.MethodForward, peer.Typed(node.ServeForward))
		s.nodes, s.servers = append(s.nodes, node), append(s.servers, server)
	}
	for _, n := range s.nodes {
		s.wg.Go(func() { _ = n.Run(s.ctx) })
	}
	return s
}

// stop ends everything.
func (s *system) stop() {
	s.cancel()
	for _, p := range s.servers {
		p.Close()
	}
	s.wg.Wait()
}

// converged returns an error unless every entry knows every backend server.
func (s *system) converged(servers int) error {
	for i, n := range s.nodes {
		known := 0
		for _, list := range n.Table().View().Services {
			known += len(list)
		}
		// A backend server that restarts at this moment is missing.
		if known < servers-max(2, servers/1000) {
			return errors.Newf("entry %d knows %d of %d backend servers", i+1, known, servers)
		}
	}
	return nil
}

// links are one entry's connections in memory.
type links struct {
	system *system
	host   string

	mu   sync.Mutex
	open map[string]*jsonrpc2.Conn
}

// Call calls another entry.
func (l *links) Call(ctx context.Context, host, method string, params, result any) error {
	conn, err := l.connect(host)
	if err != nil {
		return err
	}
	return conn.Call(ctx, method, params, result)
}

// connect returns the open connection to a host, or opens one.
func (l *links) connect(host string) (*jsonrpc2.Conn, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if c := l.open[host]; c != nil {
		return c, nil
	}
	near, far := net.Pipe()
	listener := &oneConn{conn: countedConn{far, &l.system.traffic}}
	_ = l.system.servers[l.system.index[host]].Serve(l.system.ctx, listener)
	stream := jsonrpc2.NewBufferedStream(countedConn{near, &l.system.traffic}, jsonrpc2.VarintObjectCodec{})
	c := jsonrpc2.NewConn(l.system.ctx, stream, jsonrpc2.HandlerWithError(nil))
	hello := peer.Hello{Host: l.host, Key: "key"}
	if err := c.Call(l.system.ctx, peer.MethodHello, hello, &peer.Empty{}); err != nil {
		return nil, errors.Wrapf(err, "greet %s", host)
	}
	l.open[host] = c
	return c, nil
}

// oneConn is a listener that accepts one connection.
type oneConn struct{ conn net.Conn }

// Accept returns the connection once.
func (o *oneConn) Accept() (net.Conn, error) {
	if o.conn == nil {
		return nil, net.ErrClosed
	}
	c := o.conn
	o.conn = nil
	return c, nil
}

// Close does nothing.
func (o *oneConn) Close() error { return nil }

// Addr returns no address.
func (o *oneConn) Addr() net.Addr { return &net.TCPAddr{} }
