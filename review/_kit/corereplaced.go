package main

import (
	"fmt"
	"net/http"
	"strings"
	"time"
)

// replacementInterval is the time between two replacements: a new machine has catchUpS, 4 s,
// until the next one may be lost.
const replacementInterval = 8 * time.Second

// coreReplaced replaces each coordinator by an empty one at another address, one after the
// other, the leader last. The gateways' settings name the new seeds each time. Then the operator
// moves a route, which is acknowledged and must be in force at the gateways.
func coreReplaced(w *world) []string {
	for _, zone := range []string{"za", "zb", "zc", "za", "zb"} {
		w.addProcess("coordinator", zone)
	}
	gateways := []*process{w.addProcess("gateway", "za"), w.addProcess("gateway", "zb")}
	o := newOperator(w)
	w.startAll(o, configuration(1, "orders", "shop.example", "/old/", "safe", 2500))
	log := &runLog{}
	for n, zone := range []string{"za", "zb"} {
		go startEndpoint(w, log, fmt.Sprintf("i-%d", n), "orders", zone, 4, func() time.Duration { return 20 * time.Millisecond }).beat("ready")
	}
	time.Sleep(5 * time.Second)
	if w.trouble {
		leader, _ := leaderAndFollower(w)
		var order []*process
		for _, p := range w.ofRole("coordinator") {
			if p != leader {
				order = append(order, p)
			}
		}
		for _, p := range append(order, leader) {
			w.remove(p)
			time.Sleep(time.Second)
			w.start(w.addProcess("coordinator", p.zone), false)
			for _, g := range gateways {
				w.updateSettings(g)
			}
			time.Sleep(replacementInterval - time.Second)
		}
	}
	return configurationReaches(w, o, gateways)
}

// configurationReaches declares a configuration that replaces the route /old/ by /new/, and
// returns the requests that the gateways handle by the older one when it must be in force.
func configurationReaches(w *world, o *operator, gateways []*process) []string {
	time.Sleep(contactWindow)
	if !o.send("configuration.put", "", configuration(2, "orders", "shop.example", "/new/", "safe", 2500), 20*time.Second) {
		cannotRun("the second configuration was not acknowledged")
	}
	acknowledged := time.Now()
	time.Sleep(applyBound + outerBound + time.Second)
	var breaks []string
	for n := range 20 {
		for _, path := range []string{"/old/", "/new/"} {
			a := request(w, gateways[n%2], http.MethodGet, "shop.example", fmt.Sprintf("%s%d", path, n), "", 5*time.Second)
			after := a.sentAt.Sub(acknowledged).Seconds()
			if path == "/old/" && a.status == http.StatusOK {
				breaks = append(breaks, fmt.Sprintf("CONFIG: request %s ran on the route /old/, dropped by a configuration acknowledged %.1f s before", a.id, after))
			}
			if path == "/new/" && a.status == http.StatusNotFound && strings.Contains(string(a.body), "no_route") {
				breaks = append(breaks, fmt.Sprintf("CONFIG: request %s on the route /new/ got 404; the configuration with it was acknowledged %.1f s before", a.id, after))
			}
		}
	}
	return breaks
}
