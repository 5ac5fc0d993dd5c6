package membership

import (
	"net/netip"
	"slices"
	"time"
)

// Tick ends expired leases, drops copies of lost origins and removes old
// tombstones. alive reports whether an origin is alive. Tick is called a few
// times a second. After a pause of the process, the own leases are extended by
// the length of the pause, because no announcements could arrive meanwhile.
// Tick reports whether the pause was so long that the table was emptied and
// restarted under a new origin.
func (t *Table) Tick(now time.Time, alive func(Origin) bool) (restarted bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if gap := now.Sub(t.lastTick); !t.lastTick.IsZero() && gap > pauseThreshold {
		restarted = t.handlePause(gap)
	}
	t.lastTick = now
	if t.updateLost(now, alive) || now.Sub(t.lastSweep) >= sweepPeriod {
		t.sweep(now)
	}
	for at := range t.owned {
		if r := t.lookup(at, t.self); now.After(r.expiresAt) {
			t.endLease(r, now)
		}
	}
	return restarted
}

// sweep drops expired registers of all addresses.
func (t *Table) sweep(now time.Time) {
	t.lastSweep = now
	for at, a := range t.servers {
		t.expireAddress(at, a, now)
	}
	t.dropOrigins(now)
}

// handlePause corrects the table after a pause of the process that lasted gap.
// If the pause was long enough for other entries to have removed tombstones,
// the content of the table cannot be trusted any more and is cleared.
func (t *Table) handlePause(gap time.Duration) (restarted bool) {
	if gap >= tombstoneLifetime/2 {
		t.self.Epoch++
		t.version = 0
		t.clear()
		return true
	}
	for at := range t.owned {
		r := t.lookup(at, t.self)
		r.expiresAt = r.expiresAt.Add(gap)
	}
	return false
}

// SetEpoch makes the table continue as a new origin with the given epoch, which
// owns the leases of the same backend servers. It is needed when the epoch of
// this process is lower than that of an earlier process on this host, because
// the host's clock was set back.
func (t *Table) SetEpoch(epoch uint64, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	old := t.self
	t.self.Epoch = epoch
	for at, r := range t.byOrigin[old] {
		t.remove(at, old)
		t.writeOwn(r.Register, now).expiresAt = r.expiresAt
	}
}

// updateLost records which origins were lost and which returned, and reports
// whether the copies of one have expired. An origin that returns after that
// must send all of its registers again.
func (t *Table) updateLost(now time.Time, alive func(Origin) bool) (expired bool) {
	for o, s := range t.origins {
		expired = expired || (!s.dropped && t.copiesExpired(o, now))
		switch lives := alive(o); {
		case lives && s.dropped:
			*s = originState{}
		case lives:
			s.lostSince = time.Time{}
		case s.lostSince.IsZero():
			s.lostSince = now
		}
	}
	return expired
}

// expireAddress drops the expired registers of one address.
func (t *Table) expireAddress(at netip.AddrPort, a *address, now time.Time) {
	changed := false
	for o, r := range a.registers {
		switch {
		case r.tombstone():
			if now.Sub(r.receivedAt) > tombstoneLifetime {
				t.remove(at, o)
				changed = true
			}
		case o != t.self && t.copiesExpired(o, now):
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

// copiesExpired reports whether the copies of a lost origin's registers have
// expired.
func (t *Table) copiesExpired(o Origin, now time.Time) bool {
	s := t.origins[o]
	return s != nil && !s.lostSince.IsZero() && now.Sub(s.lostSince) > s.longestLease+leaseMargin
}

// endLease ends the own lease of a backend server.
func (t *Table) endLease(r *storedRegister, now time.Time) {
	ended := r.Register
	ended.Ended = true
	ended.Server.Sequence = r.newestSequence
	t.writeOwn(ended, now)
}

// dropOrigins marks the origins whose copies have expired as dropped, and
// deletes origins that have been lost for twice the lifetime of a tombstone.
func (t *Table) dropOrigins(now time.Time) {
	for o, s := range t.origins {
		s.dropped = s.dropped || t.copiesExpired(o, now)
		if !s.lostSince.IsZero() && now.Sub(s.lostSince) > 2*tombstoneLifetime {
			delete(t.origins, o)
		}
	}
}

// SetLeaving records that a backend server was observed to be leaving in the
// generation. It reports whether the record changed.
func (t *Table) SetLeaving(at netip.AddrPort, generation uint64, now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	a := t.servers[at]
	if a == nil {
		return false
	}
	b, usable := a.registers.merge()
	if !usable || b.Generation != generation {
		return false
	}
	b.State = Leaving
	t.updateOwn(b, now)
	return true
}

// Owned returns the backend servers whose leases this origin owns, with their
// newest sequence, ordered by address.
func (t *Table) Owned() []BackendServer {
	t.mu.Lock()
	defer t.mu.Unlock()
	var all []BackendServer
	for at := range t.owned {
		r := t.lookup(at, t.self)
		b := r.Server
		b.Sequence = r.newestSequence
		all = append(all, b)
	}
	slices.SortFunc(all, func(a, b BackendServer) int { return a.Address.Compare(b.Address) })
	return all
}

// Release ends the own leases of backend servers that another origin adopted.
func (t *Table) Release(servers []BackendServer, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, b := range servers {
		if r := t.lookup(b.Address, t.self); r.holdsLease() && r.Server.Generation == b.Generation {
			t.endLease(r, now)
		}
	}
}
