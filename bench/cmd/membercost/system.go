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

// minLease is the shortest lease that an entry grants to a backend server.
const minLease = 3 * time.Second

// traffic counts the bytes and messages between entries, and those of announcements.
type traffic struct{ bytes, messages, announceBytes, announcements atomic.Int64 }

// trafficCounts is a snapshot of traffic.
type trafficCounts struct{ bytes, messages, announceBytes, announcements int64 }

// snapshot returns the current counts.
func (t *traffic) snapshot() trafficCounts {
	return trafficCounts{t.bytes.Load(), t.messages.Load(), t.announceBytes.Load(), t.announcements.Load()}
}

// countedConn counts the bytes and messages that are written to a connection.
type countedConn struct {
	net.Conn

	traffic *traffic
}

// Write counts p as one message and writes it to the connection.
func (c countedConn) Write(p []byte) (int, error) {
	c.traffic.bytes.Add(int64(len(p)))
	c.traffic.messages.Add(1)
	return c.Conn.Write(p)
}

// system is a set of entries that run in this process.
type system struct {
	traffic     traffic
	nodes       []*membership.Node
	servers     []*peer.Server
	indexByHost map[string]int
	ctx         context.Context
	cancel      context.CancelFunc
	wg          sync.WaitGroup
}

// newSystem starts the entries.
func newSystem(entries int) *system {
	s := &system{indexByHost: map[string]int{}}
	s.ctx, s.cancel = context.WithCancel(context.Background())
	var hosts []membership.Host
	for i := range entries {
		zone := string(rune('a' + i%len(zones)))
		host := membership.Host{Name: fmt.Sprintf("entry-%d", i+1), AvailabilityZone: zone, Region: zones[zone]}
		s.indexByHost[host.Name] = i
		hosts = append(hosts, host)
	}
	for i, host := range hosts {
		epoch := uint64(time.Now().UnixMilli())
		admin := fmt.Sprintf("10.1.1.%d:7200", i+1)
		node := membership.NewNode(
			membership.NewTable(membership.Origin{Host: host.Name, Epoch: epoch}, minLease),
			membership.NewHosts(membership.HostState{Host: host.Name, Epoch: epoch, AdminAddress: admin}, hosts),
			hosts, zones, &memoryLinks{system: s, host: host.Name, open: map[string]*jsonrpc2.Conn{}})
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

// stop stops all entries and announcers and waits for them.
func (s *system) stop() {
	s.cancel()
	for _, p := range s.servers {
		p.Close()
	}
	s.wg.Wait()
}

// converged returns an error unless the membership table of every entry contains
// every backend server.
func (s *system) converged(servers int) error {
	for i, n := range s.nodes {
		known := 0
		for _, list := range n.Table().View().Services {
			known += len(list)
		}
		// A backend server that is restarting is missing from the table.
		if known < servers-max(2, servers/1000) {
			return errors.Newf("membership table of entry %d contains %d of %d backend servers", i+1, known, servers)
		}
	}
	return nil
}

// memoryLinks holds the connections of one entry to others, all in memory.
type memoryLinks struct {
	system *system
	host   string

	mu   sync.Mutex
	open map[string]*jsonrpc2.Conn
}

// Call calls a method of another entry.
func (l *memoryLinks) Call(ctx context.Context, host, method string, params, result any) error {
	conn, err := l.connect(host)
	if err != nil {
		return err
	}
	return conn.Call(ctx, method, params, result)
}

// connect returns the open connection to a host, or opens one.
func (l *memoryLinks) connect(host string) (*jsonrpc2.Conn, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if c := l.open[host]; c != nil {
		return c, nil
	}
	clientEnd, serverEnd := net.Pipe()
	listener := &singleConnListener{conn: countedConn{serverEnd, &l.system.traffic}}
	_ = l.system.servers[l.system.indexByHost[host]].Serve(l.system.ctx, listener)
	stream := jsonrpc2.NewBufferedStream(countedConn{clientEnd, &l.system.traffic}, jsonrpc2.VarintObjectCodec{})
	c := jsonrpc2.NewConn(l.system.ctx, stream, jsonrpc2.HandlerWithError(nil))
	hello := peer.Hello{Host: l.host, Key: "key"}
	if err := c.Call(l.system.ctx, peer.MethodHello, hello, &peer.Empty{}); err != nil {
		return nil, errors.Wrapf(err, "send hello to %s", host)
	}
	l.open[host] = c
	return c, nil
}

// singleConnListener is a listener that accepts one connection.
type singleConnListener struct{ conn net.Conn }

// Accept returns the connection at the first call and net.ErrClosed afterwards.
func (l *singleConnListener) Accept() (net.Conn, error) {
	if l.conn == nil {
		return nil, net.ErrClosed
	}
	c := l.conn
	l.conn = nil
	return c, nil
}

// Close does nothing.
func (l *singleConnListener) Close() error { return nil }

// Addr returns an empty address.
func (l *singleConnListener) Addr() net.Addr { return &net.TCPAddr{} }
