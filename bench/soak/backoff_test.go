package soak

import (
	"fmt"
	"net/http"
	"sync"
	"time"
)

// The bound of a backoff that a server asks an entry for: from backoffGrace after it has asked
// until the end of that time, backoffSlack requests of the entry.
const (
	backoffGrace = 500*time.Millisecond + requestSlack
	backoffSlack = 2
)

// backoff is what a server asks entries for when it turns them away, and what it asked for.
type backoff struct {
	mu sync.Mutex
	// wait is the time that it asks for now; 0 if it turns nobody away.
	wait time.Duration
	// entry is the only entry that it turns away; -1 for all.
	entry int
	// withoutProof leaves open whether the request has run.
	withoutProof bool
	asked        []askedBackoff
}

// askedBackoff is a backoff that a server has asked an entry for.
type askedBackoff struct {
	entry    int
	from, to time.Time
	requests int
}

// set makes a server ask an entry, or all entries, to back off from now on.
func (b *backoff) set(wait time.Duration, entry int, withoutProof bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.wait, b.entry, b.withoutProof = wait, entry, withoutProof
}

// turnsAway records a request of an entry, which fails the run if the server has asked that
// entry to back off, and responds to it if the server turns it away.
func (b *backoff) turnsAway(h *harness, id string, entry int, w http.ResponseWriter) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := time.Now()
	for n := range b.asked {
		a := &b.asked[n]
		if a.entry != entry || now.Before(a.from) || now.After(a.to) || h.disruptedSince(entry, a.from.Add(-backoffGrace)) {
			continue
		}
		if a.requests++; a.requests == backoffSlack+1 {
			h.fail("BUDGET: %s asked entry %d to back off until %s and got request %d of it", id, entry, a.to.Format("05.000"), a.requests)
		}
	}
	if b.wait == 0 || b.entry >= 0 && b.entry != entry {
		return false
	}
	if !b.withoutProof {
		w.Header().Set("Not-Executed", "1")
	}
	w.Header().Set("Retry-After", fmt.Sprint(b.wait.Seconds()))
	w.WriteHeader(http.StatusServiceUnavailable)
	b.asked = append(b.asked, askedBackoff{entry: entry, from: now.Add(backoffGrace), to: now.Add(b.wait)})
	return true
}

// disruptedSince reports whether an entry was restarted, paused or cut off since a time.
func (h *harness) disruptedSince(entry int, since time.Time) bool {
	if entry < 0 {
		return true
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	p := h.processes[controlCount+entry]
	return p.lastDisruptedAt.After(since) || h.cutChangedAt[entry].After(since) || h.cuts[entry].Load() != cutNone
}

// askForBackoffs makes the last server but one turn entries away for a time, all or one, and ask
// them to back off.
func askForBackoffs(h *harness, servers []*server, end time.Time) {
	random := h.randomFor(7)
	b := &servers[len(servers)-2].backoff
	for time.Now().Before(end) {
		entry := -1
		if random.IntN(3) == 0 {
			entry = random.IntN(entryCount)
		}
		b.set(time.Duration(1500+random.IntN(3000))*time.Millisecond, entry, random.IntN(3) == 0)
		time.Sleep(time.Duration(500+random.IntN(2500)) * time.Millisecond)
		b.set(0, -1, false)
		time.Sleep(time.Duration(300+random.IntN(2000)) * time.Millisecond)
	}
}
