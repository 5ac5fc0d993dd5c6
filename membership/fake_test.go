package membership

import (
	"context"
	"encoding/json"
	"fmt"
	"net/netip"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
)

// linkDelay is the one-way latency of the fake network.
const linkDelay = time.Millisecond

// fakeNetwork connects nodes in one synctest bubble.
type fakeNetwork struct {
	t     *testing.T
	nodes map[string]*Node
	stops map[string]context.CancelFunc
	wg    sync.WaitGroup

	mu  sync.Mutex
	cut map[[2]string]bool
}

// fakeLink is the transport of one node in the network.
type fakeLink struct {
	network *fakeNetwork
	self    string
}

// testRegions maps the availability zones of the fake network to their regions.
var testRegions = map[string]string{"a": "north", "b": "north", "c": "south", "d": "south"}

// newNetwork starts n nodes, spread over the four availability zones.
func newNetwork(t *testing.T, n int) *fakeNetwork {
	f := &fakeNetwork{t: t, nodes: map[string]*Node{}, stops: map[string]context.CancelFunc{}, cut: map[[2]string]bool{}}
	for i := range n {
		f.start(n, i, 1)
	}
	return f
}

// start starts node i of n with the given epoch.
func (f *fakeNetwork) start(n, i int, epoch uint64) {
	var configured []Host
	for j := range n {
		zone := string(rune('a' + j%4))
		configured = append(configured, Host{Name: fmt.Sprintf("e%d", j), AvailabilityZone: zone, Region: testRegions[zone]})
	}
	name := configured[i].Name
	hosts := NewHosts(HostState{Host: name, Epoch: epoch, AdminAddress: name + ":7200"}, configured)
	table := NewTable(Origin{Host: name, Epoch: epoch}, testLease)
	node := NewNode(table, hosts, configured, testRegions, fakeLink{f, name})
	ctx, stop := context.WithCancel(context.Background())
	f.mu.Lock()
	f.nodes[name], f.stops[name] = node, stop
	f.mu.Unlock()
	f.wg.Go(func() { _ = node.Run(ctx) })
}

// stop stops all nodes and waits for every goroutine of the network.
func (f *fakeNetwork) stop() {
	for _, stop := range f.stops {
		stop()
	}
	f.wg.Wait()
}

// kill stops one node without a handover.
func (f *fakeNetwork) kill(name string) {
	f.stops[name]()
	f.mu.Lock()
	delete(f.nodes, name)
	f.mu.Unlock()
}

// setCut cuts or restores the path from one host to another.
func (f *fakeNetwork) setCut(from, to string, cut bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.cut[[2]string{from, to}] = cut
}

// isolate cuts or restores all paths between two groups, in both directions.
func (f *fakeNetwork) isolate(group, rest []string, cut bool) {
	for _, a := range group {
		for _, b := range rest {
			f.setCut(a, b, cut)
			f.setCut(b, a, cut)
		}
	}
}

// destination returns the node that a path leads to, or nil if the path is cut
// or the node is stopped.
func (f *fakeNetwork) destination(from, to string) *Node {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.cut[[2]string{from, to}] {
		return nil
	}
	return f.nodes[to]
}

// Call delivers the call and its answer unless a path is cut; a lost message
// leaves the caller waiting until ctx is done. A cut return path loses the
// answer of a call that was served.
func (l fakeLink) Call(ctx context.Context, host, method string, params, result any) error {
	time.Sleep(linkDelay)
	node := l.network.destination(l.self, host)
	if node == nil {
		<-ctx.Done()
		return ctx.Err()
	}
	raw, err := json.Marshal(params)
	if err != nil {
		return err
	}
	answer, err := serveCall(ctx, node, method, raw)
	if err != nil {
		return err
	}
	time.Sleep(linkDelay)
	if l.network.destination(host, l.self) == nil {
		<-ctx.Done()
		return ctx.Err()
	}
	return json.Unmarshal(answer, result)
}

// serveCall passes a call to the node's handler of the method.
func serveCall(ctx context.Context, n *Node, method string, raw []byte) ([]byte, error) {
	switch method {
	case MethodPing:
		return serveTyped(ctx, raw, n.ServePing)
	case MethodProbe:
		return serveTyped(ctx, raw, n.ServeProbe)
	case MethodSync:
		return serveTyped(ctx, raw, n.ServeSync)
	case MethodPush:
		return serveTyped(ctx, raw, n.ServePush)
	case MethodForward:
		return serveTyped(ctx, raw, n.ServeForward)
	}
	return nil, errors.Newf("unknown method %s", method)
}

// serveTyped decodes the parameters, calls the handler and encodes its answer.
func serveTyped[P, R any](ctx context.Context, raw []byte, f func(context.Context, P) (R, error)) ([]byte, error) {
	var p P
	if err := json.Unmarshal(raw, &p); err != nil {
		return nil, err
	}
	r, err := f(ctx, p)
	if err != nil {
		return nil, err
	}
	return json.Marshal(r)
}

// announcer repeatedly announces one backend server to the given entries in
// turn.
type announcer struct {
	b    BackendServer
	to   []string
	stop context.CancelFunc
}

// announce starts an announcer of a backend server in the availability zone.
func (f *fakeNetwork) announce(port uint16, zone string, to ...string) *announcer {
	b := record(1, 0, Ready)
	b.Address, b.AvailabilityZone = netip.AddrPortFrom(testAddress.Addr(), port), zone
	ctx, stop := context.WithCancel(context.Background())
	a := &announcer{b: b, to: to, stop: stop}
	f.wg.Go(func() {
		for ctx.Err() == nil {
			a.b.Sequence++
			wait := 100 * time.Millisecond
			if node := f.destination("caller", to[int(a.b.Sequence)%len(to)]); node != nil {
				if grant, err := node.Announce(ctx, a.b); err == nil {
					wait = grant.Lease / announcementsPerLease
				}
			}
			sleep(ctx, wait)
		}
	})
	return a
}

// seen returns how many backend servers the entry's view shows.
func (f *fakeNetwork) seen(name string) int { return len(f.nodes[name].Table().View().Services["s"]) }

// runWithNetwork runs a test with a network in virtual time.
func runWithNetwork(t *testing.T, nodes int, test func(t *testing.T, f *fakeNetwork)) {
	synctest.Test(t, func(t *testing.T) {
		f := newNetwork(t, nodes)
		defer f.stop()
		test(t, f)
	})
}

// wantLive checks how many hosts count as live on a node.
func (f *fakeNetwork) wantLive(on string, want int) {
	f.t.Helper()
	if got := f.nodes[on].Hosts().Live(); len(got) != want {
		f.t.Errorf("%s counts %d hosts as live, want %d: %v", on, len(got), want, got)
	}
}

// wantSeen checks how many backend servers the view of every node shows.
func (f *fakeNetwork) wantSeen(when string, want int) {
	f.t.Helper()
	for name := range f.nodes {
		if got := f.seen(name); got != want {
			f.t.Errorf("%s: %s sees %d backend servers, want %d", when, name, got, want)
		}
	}
}
