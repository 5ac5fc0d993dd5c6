package soak

import (
	"net/http"
	"time"
)

// passedOn identifies an entry and a server of which it has passed on an answer.
type passedOn struct {
	entry  int
	server string
}

// recordDeparture records that an entry has passed on an answer of a server that leaves.
func (h *harness) recordDeparture(entry int, res *http.Response) {
	if res.Header.Get("Server-Leaving") == "" {
		return
	}
	key := passedOn{entry, res.Header.Get("Instance-Id")}
	h.mu.Lock()
	defer h.mu.Unlock()
	if _, known := h.departures[key]; !known {
		h.departures[key] = time.Now()
	}
}

// checkDeparture fails the run if a request reaches a server from an entry that had passed on an
// answer by which the server leaves, longer than the time to drain before the request was sent. A
// restart or a pause of the entry since then excuses it.
func (h *harness) checkDeparture(server, id string, entry int) {
	h.mu.Lock()
	since, left := h.departures[passedOn{entry, server}]
	sent, known := h.sentAt[id]
	excused := !left || !known || h.processes[controlCount+entry].lastDisruptedAt.After(since)
	h.mu.Unlock()
	if !excused && sent.Sub(since) > drainTimeout {
		h.fail("DRAIN: request %s reached %s from entry %d, %s after the entry had passed on that it leaves", id, server, entry, sent.Sub(since))
	}
}

// recordSent records when a request was sent.
func (h *harness) recordSent(id string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.sentAt[id] = time.Now()
}

// announceLeaving makes a server say in all answers, but not in its heartbeats, that it leaves. It
// goes on answering to the end of the run.
func announceLeaving(h *harness, servers []*server, end time.Time) {
	wait := time.Duration(h.randomFor(8).IntN(3000)) * time.Millisecond
	if now := time.Now(); now.Add(wait).Before(end) {
		time.Sleep(wait)
		servers[len(servers)-3].leaving.Store(true)
	}
}
