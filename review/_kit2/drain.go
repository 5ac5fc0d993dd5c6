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

// playDrainRestart: servers start again under the identifier that they had, and leave some seconds
// later. Each deregisters at the control host at which its first start checked in first. Nothing
// happens to the system's own processes.
func playDrainRestart(w *world, trouble bool) ([]string, error) {
	const servers, leavers = 24, 3
	entries, err := w.startAll(w.zone(0), w.zone(1), w.zone(2))
	if err != nil {
		return nil, err
	}
	if _, err := w.order("call=configuration.put", configurationText(1,
		[]string{routeText("r-1", "/lepu270/", "safe", "huvo11a", 2*time.Second)}, []string{serviceText("huvo11a")}), 15*time.Second); err != nil {
		return nil, err
	}
	for _, e := range entries {
		if err := w.ready(e, 10*time.Second); err != nil {
			return nil, err
		}
	}
	type arrival struct {
		server *server
		id     string
		at     time.Time
	}
	var mu sync.Mutex
	var arrivals []arrival
	onRun := func(s *server, r *http.Request, _ []byte, at time.Time) {
		w.noteAt(at, "server %s (born %d) runs %s", s.id, s.born, r.Header.Get("Request-Id"))
		mu.Lock()
		arrivals = append(arrivals, arrival{s, r.Header.Get("Request-Id"), at})
		mu.Unlock()
	}
	newServer := func(n int) *server {
		return &server{
			id: fmt.Sprintf("i-%08x", 0x7f3a0000+n), service: "huvo11a", zone: w.zone(n % controlHosts),
			address: fmt.Sprint(w.prefix, 100+n, ":", serverPort), work: 60 * time.Millisecond, onRun: onRun,
			coldUntil: time.Now().Add(3 * time.Second),
		}
	}
	// Each server calls the control host of the next zone first, and is told the address of the one
	// in its own zone.
	var current []*server
	for n := range servers {
		s := newServer(n)
		s.firstControl = n + 1
		if err := w.startServer(s); err != nil {
			return nil, err
		}
		current = append(current, s)
	}
	stop := make(chan struct{})
	c := &client{w: w}
	go c.run(entries, 20*time.Millisecond, stop)
	time.Sleep(8 * time.Second)
	if trouble {
		for n := range leavers {
			w.note("server %s crashes", current[n].id)
			current[n].crash()
		}
		time.Sleep(2 * time.Second)
		for n := range leavers {
			s := newServer(n)
			s.firstControl = n + 2
			if err := w.startServer(s); err != nil {
				return nil, err
			}
			current[n] = s
		}
	}
	// All are warm again, and everything has been calm for longer than the contact window.
	time.Sleep(10 * time.Second)
	acknowledged := map[*server]time.Time{}
	for n := range leavers {
		at, err := current[n].deregister(n + 1)
		if err != nil {
			return nil, fmt.Errorf("server %s: no acknowledgement: %w", current[n].id, err)
		}
		acknowledged[current[n]] = at
	}
	// They go on serving for the drain time and a few seconds more.
	time.Sleep(w.site.drain + 4*time.Second)
	for n := range leavers {
		w.note("server %s ends", current[n].id)
		current[n].crash()
	}
	time.Sleep(time.Second)
	close(stop)
	time.Sleep(500 * time.Millisecond)
	if c.ok*10 < c.all*8 {
		return nil, fmt.Errorf("only %d of %d requests were served", c.ok, c.all)
	}
	var broken []string
	mu.Lock()
	defer mu.Unlock()
	late := map[*server]int{}
	for _, a := range arrivals {
		ack, left := acknowledged[a.server]
		sentAt, known := c.sentAt(a.id)
		if left && known && a.at.After(ack.Add(w.site.drain)) && sentAt.After(ack.Add(w.site.drain)) {
			late[a.server]++
		}
	}
	for n := range leavers {
		if k := late[current[n]]; k > 0 {
			broken = append(broken, fmt.Sprintf("DRAIN: %d requests that were sent later than %s after the acknowledgement ran on server %s",
				k, w.site.drain, current[n].id))
		}
	}
	w.note("%d of %d requests were served", c.ok, c.all)
	return broken, nil
}
