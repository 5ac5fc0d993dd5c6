package main

import (
	"fmt"
	"net/http"
	"sync"
	"time"
)

// client sends safe requests to entries, each on a connection of a pool, until stop is closed.
type client struct {
	w *world
	// page is the end of the path of all requests; empty for one of its own for each.
	page string

	mu     sync.Mutex
	sent   map[string]time.Time
	answer map[string]int
	ok     int
	all    int
}

func (c *client) run(entries []*process, pause time.Duration, stop <-chan struct{}) {
	c.sent, c.answer = map[string]time.Time{}, map[string]int{}
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
	page := c.page
	if page == "" {
		page = id
	}
	r, err := http.NewRequest(http.MethodGet, fmt.Sprint("http://", entry.address, ":", frontPort, "/lepu270/", page), nil)
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
	c.mu.Lock()
	defer c.mu.Unlock()
	c.answer[id] = res.StatusCode
	if res.StatusCode == http.StatusOK {
		c.ok++
	}
}

// served returns how many of the requests that were sent in a span got 200, and their number.
func (c *client) served(from, to time.Time) (ok, all int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for id, at := range c.sent {
		if at.Before(from) || !at.Before(to) {
			continue
		}
		all++
		if c.answer[id] == http.StatusOK {
			ok++
		}
	}
	return ok, all
}
