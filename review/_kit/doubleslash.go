package main

import (
	"fmt"
	"net/http"
	"time"
)

// doubleSlash sends requests on a route whose prefix is a single slash. With the trouble,
// their paths begin with two slashes. Endpoints must get the paths that the clients sent.
func doubleSlash(w *world) []string {
	for _, zone := range []string{"za", "zb", "zc", "za", "zb"} {
		w.addProcess("coordinator", zone)
	}
	gateway := w.addProcess("gateway", "za")
	w.startAll(newOperator(w), configuration(1, "orders", "shop.example", "/", "unsafe", 2500))
	log := &runLog{}
	for n, zone := range []string{"za", "zb"} {
		go startEndpoint(w, log, fmt.Sprintf("i-%d", n), "orders", zone, 4, func() time.Duration { return 20 * time.Millisecond }).beat("ready")
	}
	time.Sleep(5 * time.Second)
	sent := map[string]answer{}
	for n := range 20 {
		target := fmt.Sprintf("/orders/%d?lines=2", n)
		if w.trouble {
			target = "/" + target
		}
		a := request(w, gateway, http.MethodPost, "shop.example", target, "two bells", 5*time.Second)
		sent[a.id] = a
		time.Sleep(50 * time.Millisecond)
	}
	var breaks []string
	for _, r := range log.all() {
		if a, known := sent[r.id]; !known || a.method != r.method || a.target != r.target {
			breaks = append(breaks, fmt.Sprintf("UNASKED: endpoint %s ran %s %s as request %s; the client had sent %s %s",
				r.endpoint, r.method, r.target, r.id, a.method, a.target))
		}
	}
	if len(log.all()) == 0 {
		cannotRun("no request ran")
	}
	return breaks
}
