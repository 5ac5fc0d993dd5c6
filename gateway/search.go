package gateway

import (
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"tanagerbarrow/link"
	"tanagerbarrow/protocol"
)

// searchInterval is the time between two dials to each control host during a search.
// It is shorter than a dial's timeout: a dial that was sent just before its host came
// up is lost, and waiting for it would cost most of the time of an election.
const searchInterval = 80 * time.Millisecond

// maxDialsPerRound bounds the dials of one searchInterval. A search in a deployment whose
// control hosts were replaced many times stays as cheap as in a new one.
const maxDialsPerRound = 8

// brokerSearch connects to all control hosts at once until one of them is the broker.
// Hosts that are down then cost no time, and the entry learns of a new leader from the
// leader itself.
type brokerSearch struct {
	session *session
	ctx     context.Context
	// end ends the search and closes all connections but the one to the broker.
	end context.CancelFunc
	// hostsAdded receives a value when a directory has named another control host.
	hostsAdded chan struct{}

	mu sync.Mutex
	// connected holds the addresses to which a connection is open.
	connected map[string]bool
	// nextDial is the position of the next address to dial if there are more than
	// maxDialsPerRound.
	nextDial int
}

// findBroker searches until there is a connection to a broker or ctx ends. The
// connection outlives the search.
func (s *session) findBroker(ctx context.Context) {
	searchCtx, end := context.WithCancel(ctx)
	defer end()
	search := &brokerSearch{
		session: s, ctx: searchCtx, end: end, hostsAdded: make(chan struct{}, 1), connected: map[string]bool{},
	}
	go search.askEntries()
	ticker, reports := time.NewTicker(searchInterval), time.NewTicker(searchReportInterval)
	defer ticker.Stop()
	defer reports.Stop()
	for searchCtx.Err() == nil {
		search.dialAll(ctx)
		select {
		case <-searchCtx.Done():
		case <-search.hostsAdded:
		case <-ticker.C:
		case <-reports.C:
			search.report()
		}
	}
}

// dialAll dials the control hosts to which no connection is open, at most
// maxDialsPerRound of them. Connections that become the session's end with ctx.
func (b *brokerSearch) dialAll(ctx context.Context) {
	hosts := b.session.controlHosts.addresses()
	b.mu.Lock()
	defer b.mu.Unlock()
	hosts = slices.DeleteFunc(hosts, func(address string) bool { return b.connected[address] })
	for n := range min(len(hosts), maxDialsPerRound) {
		go b.connect(ctx, hosts[(b.nextDial+n)%len(hosts)])
	}
	b.nextDial += maxDialsPerRound
}

// connect connects to a control host and receives its messages until the connection
// ends.
func (b *brokerSearch) connect(ctx context.Context, address string) {
	conn, err := link.Dial(b.ctx, address)
	if err != nil {
		b.session.log.Debug().Str("event", "control_host_unreachable").Str("address", address).Err(err).Send()
		return
	}
	defer conn.Close()
	if !b.claim(address) {
		return
	}
	defer b.release(address)
	stopWithProcess := context.AfterFunc(ctx, conn.Close)
	defer stopWithProcess()
	c := &controlConn{session: b.session, search: b, conn: conn, address: address}
	stopWithSearch := context.AfterFunc(b.ctx, func() {
		if !c.active() {
			conn.Close()
		}
	})
	defer stopWithSearch()
	hello := protocol.Hello{
		Name: b.session.settings.Host.Name, AvailabilityZone: b.session.settings.Host.AvailabilityZone,
	}
	if conn.Send(protocol.KindHello, hello) != nil {
		return
	}
	b.session.endConnection(conn, conn.Run(c.receive, nil))
}

// claim reports whether this is the first open connection to an address: another dial
// may have been quicker.
func (b *brokerSearch) claim(address string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.connected[address] {
		return false
	}
	b.connected[address] = true
	return true
}

// release records that the connection to an address has ended.
func (b *brokerSearch) release(address string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	delete(b.connected, address)
}

// connectedHosts returns the addresses to which a connection is open, in sorted order.
func (b *brokerSearch) connectedHosts() []string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return slices.Sorted(maps.Keys(b.connected))
}

// addHosts stores the control hosts of a directory that is not the broker's, and dials new
// ones at once.
func (b *brokerSearch) addHosts(d protocol.Directory) {
	if !b.session.controlHosts.learn(d) {
		return
	}
	select {
	case b.hostsAdded <- struct{}{}:
	default:
	}
}
