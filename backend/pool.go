package backend

import (
	"context"
	"net/netip"
	"slices"
	"sync"
	"time"
)

// pool keeps idle connections to backend servers.
type pool struct {
	// dialTimeout bounds the time to open a connection.
	dialTimeout time.Duration

	mu      sync.Mutex
	servers map[netip.AddrPort]*idleConns
	reaper  *time.Timer
	closed  bool
}

// idleConns are the idle connections to one backend server, the newest last.
type idleConns struct{ conns []*conn }

// newPool returns a pool without connections.
func newPool() *pool {
	return &pool{dialTimeout: defaultDialTimeout, servers: map[netip.AddrPort]*idleConns{}}
}

// get returns an idle connection that delivered a complete response since the
// given time, or opens a new one. A request with an identifier gets no connection that
// has carried it before.
func (p *pool) get(ctx context.Context, to netip.AddrPort, since time.Time, id string) (*conn, error) {
	var others []*conn
	defer func() {
		for _, c := range slices.Backward(others) {
			p.giveBack(c)
		}
	}()
	for c := p.take(to, since); c != nil; c = p.take(to, since) {
		expired := !c.expires.IsZero() && time.Now().After(c.expires)
		switch {
		case expired || !c.reusable():
			_ = c.Close()
		case id != "" && c.requests.has(id):
			others = append(others, c)
		default:
			c.reused = true
			c.received = false
			return c, nil
		}
	}
	return dial(ctx, to, p.dialTimeout)
}

// take removes and returns the newest idle connection. It returns nil if there
// is none or if that one was last verified before the given time.
func (p *pool) take(to netip.AddrPort, since time.Time) *conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	idle, ok := p.servers[to]
	if !ok || len(idle.conns) == 0 {
		return nil
	}
	last := len(idle.conns) - 1
	c := idle.conns[last]
	if c.verifiedAt.Before(since) {
		return nil
	}
	idle.conns[last] = nil
	idle.conns = idle.conns[:last]
	return c
}

// put adds a connection that delivered a complete response, or closes it if the
// pool is closed or has maxIdlePerServer connections to the server.
func (p *pool) put(c *conn) {
	c.verifiedAt = time.Now()
	p.giveBack(c)
}

// giveBack is put for a connection that was not used.
func (p *pool) giveBack(c *conn) {
	p.mu.Lock()
	idle := p.servers[c.address]
	if idle == nil {
		idle = &idleConns{}
		p.servers[c.address] = idle
	}
	if p.closed || len(idle.conns) >= maxIdlePerServer {
		p.mu.Unlock()
		_ = c.Close()
		return
	}
	idle.conns = append(idle.conns, c)
	if p.reaper == nil {
		p.reaper = time.AfterFunc(idleTimeout, p.reap)
	}
	p.mu.Unlock()
}

// closeUnverifiedSince closes the idle connections that delivered no complete
// response since the start of an exchange that went silent. Whatever lost the
// state of that connection may have lost theirs too.
func (p *pool) closeUnverifiedSince(address netip.AddrPort, started time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if idle, ok := p.servers[address]; ok {
		idle.closeOlder(started)
	}
}

// reap closes connections that were idle for longer than idleTimeout.
func (p *pool) reap() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.reaper = nil
	cutoff := time.Now().Add(-idleTimeout)
	for address, idle := range p.servers {
		idle.closeOlder(cutoff)
		if len(idle.conns) == 0 {
			delete(p.servers, address)
		}
	}
	if len(p.servers) > 0 && !p.closed {
		p.reaper = time.AfterFunc(idleTimeout/2, p.reap)
	}
}

// closeOlder closes the connections that were last verified before the time.
func (i *idleConns) closeOlder(than time.Time) {
	kept := i.conns[:0]
	for _, c := range i.conns {
		if c.verifiedAt.Before(than) {
			_ = c.Close()
			continue
		}
		kept = append(kept, c)
	}
	clear(i.conns[len(kept):])
	i.conns = kept
}

// close closes every idle connection and makes put close further ones.
func (p *pool) close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = true
	if p.reaper != nil {
		p.reaper.Stop()
	}
	for _, idle := range p.servers {
		for _, c := range idle.conns {
			_ = c.Close()
		}
		idle.conns = nil
	}
}
