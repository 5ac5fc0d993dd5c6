package main

import (
	"fmt"
	"net/http"
	"sync"
	"time"
)

// client sends safe requests to entries, each on a connection of a pool, until stop is closed.
type client struct {
	w    *world
	mu   sync.Mutex
	sent map[string]time.Time
	ok   int
	all  int
}

func (c *client) run(entries []*process, pause time.Duration, stop <-chan struct{}) {
	c.sent = map[string]time.Time{}
	h := &http.Client{Timeout: 4 * time.Second, Transport: &http.Transport{MaxIdleConnsPerHost: 20}}
	ticker := time.NewTicker(pause)
	defer ticker.Stop()
	for n := 0; ; n++ {
		select {
		case <-stop:
			return
		case <-ticker.C:
		}
		entry := entries[n%len(entries)]
		go c.send(h, entry, fmt.Sprintf("%016x", n+1))
	}
}

func (c *client) send(h *http.Client, entry *process, id string) {
	r, err := http.NewRequest(http.MethodGet, fmt.Sprint("http://", entry.address, ":", frontPort, "/lepu270/", id), nil)
	if err != nil {
		return
	}
	r.Host = "jepu9.example"
	r.Header.Set("Request-Id", id)
	r.Header.Set("Deadline-Milliseconds", "4000")
	at := time.Now()
	c.mu.Lock()
	c.sent[id] = at
	c.all++
	c.mu.Unlock()
	c.w.noteAt(at, "client sends %s to %s", id, entry.name)
	res, err := h.Do(r)
	if err != nil {
		c.w.note("client gets no answer to %s: %v", id, err)
		return
	}
	_ = res.Body.Close()
	c.w.note("client gets %d for %s", res.StatusCode, id)
	if res.StatusCode == http.StatusOK {
		c.mu.Lock()
		c.ok++
		c.mu.Unlock()
	}
}

func (c *client) sentAt(id string) (time.Time, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	at, ok := c.sent[id]
	return at, ok
}
