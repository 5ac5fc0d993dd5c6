package main

import (
	"errors"
	"fmt"
	"net/http"
	"sync"
	"syscall"
	"time"
)

// The final fault and the crash beside it.
const (
	recovery = 15 * time.Second
	// downFor is how long the processes are away, crashAfter when servers crash after they are
	// back, and crashedFor how long these are down.
	downFor    = time.Second
	crashAfter = 5 * time.Second
	crashedFor = 4 * time.Second
	// judgedFor is the span in which requests are counted, after the recovery time.
	judgedFor = 14 * time.Second
)

// playCrashedPage: all callers read the same page. All processes of the system are killed and are
// back within a second; some seconds later three of 24 servers crash for a while.
func playCrashedPage(w *world, trouble bool) ([]string, error) {
	const servers, crashing = 24, 3
	entries, err := w.startAll(w.zone(0), w.zone(1), w.zone(2))
	if err != nil {
		return nil, err
	}
	if _, err := w.order("call=configuration.put", configurationText(1,
		[]string{routeText("r-1", "/lepu270/", "safe", "huvo11a", 2*time.Second)}, []string{serviceText("huvo11a")}), 15*time.Second); err != nil {
		return nil, err
	}
	newServer := func(n, start int) *server {
		return &server{
			id: fmt.Sprintf("i-%08x", 0x7f3a0000+0x100*start+n), service: "huvo11a", zone: w.zone(n % controlHosts),
			address: fmt.Sprint(w.prefix, 100+n, ":", serverPort), work: 220 * time.Millisecond, firstControl: n,
			onRun: func(s *server, r *http.Request, _ []byte, at time.Time) {
				w.noteAt(at, "server %s runs %s", s.id, r.Header.Get("Request-Id"))
			},
		}
	}
	var current []*server
	for n := range servers {
		s := newServer(n, 0)
		if err := w.startServer(s); err != nil {
			return nil, err
		}
		current = append(current, s)
	}
	for _, e := range entries {
		if err := w.ready(e, 10*time.Second); err != nil {
			return nil, err
		}
	}
	time.Sleep(6 * time.Second)
	stop := make(chan struct{})
	c := &client{w: w, page: "2f"}
	// The site's rate of reads, 43.2 a second.
	go c.run(entries, 23*time.Millisecond, stop)
	time.Sleep(8 * time.Second)
	before, all := c.served(time.Now().Add(-8*time.Second), time.Now().Add(-time.Second))
	if all == 0 || 4*before < all {
		return nil, errors.New("too few requests were served before the fault")
	}
	w.mu.Lock()
	processes := w.processes
	w.mu.Unlock()
	for _, p := range processes {
		w.signal(p, syscall.SIGKILL)
		<-p.ended
	}
	time.Sleep(downFor)
	for _, p := range processes {
		if err := w.start(p, false); err != nil {
			return nil, err
		}
	}
	back := time.Now()
	time.Sleep(crashAfter)
	if trouble {
		var wg sync.WaitGroup
		crashed := 0
		for n := 0; crashed < crashing; n = (n + 1) % servers {
			if len(current[n].slots) == 0 || current[n].gone() {
				time.Sleep(time.Millisecond)
				continue
			}
			crashed++
			w.note("server %s crashes at work", current[n].id)
			current[n].crash()
			wg.Go(func() {
				time.Sleep(crashedFor)
				_ = w.startServer(newServer(n, 1))
			})
		}
		wg.Wait()
	}
	from := back.Add(recovery)
	time.Sleep(time.Until(from.Add(judgedFor)))
	close(stop)
	time.Sleep(2500 * time.Millisecond)
	ok, all := c.served(from, from.Add(judgedFor))
	w.note("before the fault %d requests were served; of those sent later than %s after the machines were back, %d of %d", before, recovery, ok, all)
	if 4*ok < all {
		return []string{fmt.Sprintf("RECOVER: of the requests sent later than %s after the machines were back, %d of %d were served", recovery, ok, all)}, nil
	}
	return nil, nil
}
