package membership

import (
	"net/netip"
	"slices"
	"time"
)

// Tick ends leases, gives up copies of lost origins and forgets old
// tombstones. alive says whether an origin lives. It is called a few times a
// second; after a pause of the process the own leases are extended by the
// pause, because announcements could not come in meanwhile. Tick reports
// whether the pause was so long that the table began anew as another origin.
func (t *Table) Tick(now time.Time, alive func(Origin) bool) (anew bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if gap := now.Sub(t.lastTick); !t.lastTick.IsZero() && gap > pauseThreshold {
		anew = t.resume(gap)
	}
	t.lastTick = now
	if t.noteLost(now, alive) || now.Sub(t.lastSweep) >= sweepPeriod {
		t.sweep(now)
	}
	for at := range t.owned {
		if r := t.held(at, t.self); now.After(r.expires) {
			t.end(r, now)
		}
	}
	return anew
}

// sweep drops what has ended of all addresses.
func (t *Table) sweep(now time.Time) {
	t.lastSweep = now
	for at, a := range t.servers {
		t.expire(at, a, now)
	}
	t.forgetOrigins(now)
}

// resume makes up for a pause of the process. After a pause in which others
// may have forgotten tombstones, nothing that the table holds can be trusted.
func (t *Table) resume(gap time.Duration) (anew bool) {
	if gap >= tombstoneLife/2 {
		t.self.Epoch++
		t.version = 0
		t.clear()
		return true
	}
	for at := range t.owned {
		r := t.held(at, t.self)
		r.expires = r.expires.Add(gap)
	}
	return false
}

// Renew continues as another origin, which vouches for the same backend
// servers. It is for a process whose epoch lies before that of its earlier
// life, because the host's clock went back.
func (t *Table) Renew(epoch uint64, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	old := t.self
	t.self.Epoch = epoch
	for at, r := range t.byOrigin[old] {
		t.remove(at, old)
		t.write(r.Register, now).expires = r.expires
	}
}

// noteLost notes which origins died and which returned, and reports whether
// copies of one are to be given up. One that returns after that must send
// everything again.
func (t *Table) noteLost(now time.Time, alive func(Origin) bool) (ended bool) {
	for o, s := range t.origins {
		ended = ended || (!s.dropped && t.givenUp(o, now))
		switch lives := alive(o); {
		case lives && s.dropped:
			*s = originState{}
		case lives:
			s.lost = time.Time{}
		case s.lost.IsZero():
			s.lost = now
		}
	}
	return ended
}

// expire drops what has ended of one address.
func (t *Table) expire(at netip.AddrPort, a *address, now time.Time) {
	changed := false
	for o, r := range a.registers {
		switch {
		case r.tombstone():
			if now.Sub(r.learned) > tombstoneLife {
				t.remove(at, o)
				changed = true
			}
		case o != t.self && t.givenUp(o, now):
			t.remove(at, o)
			changed = true
		}
	}
	if changed {
		t.publish(at)
	}
	if len(a.registers) == 0 {
		delete(t.servers, at)
	}
}

// givenUp reports whether the copies of a lost origin's registers have ended.
func (t *Table) givenUp(o Origin, now time.Time) bool {
	s := t.origins[o]
	return s != nil && !s.lost.IsZero() && now.Sub(s.lost) > s.lease+leaseMargin
}

// end stops vouching for a backend server.
func (t *Table) end(r *heldRegister, now time.Time) {
	ended := r.Register
	ended.Ended = true
	ended.Server.Sequence = r.sequence
	t.write(ended, now)
}

// forgetOrigins notes which origins' copies were given up and drops origins that
// are long dead.
func (t *Table) forgetOrigins(now time.Time) {
	for o, s := range t.origins {
		s.dropped = s.dropped || t.givenUp(o, now)
		if !s.lost.IsZero() && now.Sub(s.lost) > 2*tombstoneLife {
			delete(t.origins, o)
		}
	}
}

// Leave notes that a backend server is seen to leave in the generation. It
// reports whether that was news.
func (t *Table) Leave(at netip.AddrPort, generation uint64, now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	a := t.servers[at]
	if a == nil {
		return false
	}
	b, usable := a.registers.join()
	if !usable || b.Generation != generation {
		return false
	}
	b.State = Leaving
	t.vouch(b, now)
	return true
}

// Owned returns the backend servers that this origin vouches for, with their
// newest sequence, in order of address.
func (t *Table) Owned() []BackendServer {
	t.mu.Lock()
	defer t.mu.Unlock()
	var all []BackendServer
	for at := range t.owned {
		r := t.held(at, t.self)
		b := r.Server
		b.Sequence = r.sequence
		all = append(all, b)
	}
	slices.SortFunc(all, func(a, b BackendServer) int { return a.Address.Compare(b.Address) })
	return all
}

// Release stops vouching for backend servers that another origin adopted.
func (t *Table) Release(servers []BackendServer, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, b := range servers {
		if r := t.held(b.Address, t.self); r.live() && r.Server.Generation == b.Generation {
			t.end(r, now)
		}
	}
}
