package main

import (
	"fmt"
	"net/http"
	"syscall"
	"time"
)

// The times of the first start.
const (
	// lastStart is when the last machine starts: all start within 0.3 s of each other.
	lastStart = 300 * time.Millisecond
	// killAt is when one coordinator is killed, restartDelay when it starts again, and
	// observed how long the deployment is watched after that.
	killAt       = 200 * time.Millisecond
	restartDelay = 300 * time.Millisecond
	observed     = 60 * time.Second
)

// firstStart starts a deployment for the first time and kills one coordinator while the last
// one is still starting. The killed one starts again at once, with its disk. The operator's
// first configuration must be acknowledged, and requests must be served.
func firstStart(w *world) []string {
	for _, zone := range []string{"za", "zb", "zc", "za", "zb"} {
		w.addProcess("coordinator", zone)
	}
	gateways := []*process{w.addProcess("gateway", "za"), w.addProcess("gateway", "zb")}
	controls := w.ofRole("coordinator")
	victim, last := controls[3], controls[4]
	started := time.Now()
	for _, p := range w.processes {
		if p != last {
			w.start(p, true)
		}
	}
	if w.trouble {
		time.Sleep(time.Until(started.Add(killAt)))
		w.signal(victim, syscall.SIGKILL)
		<-victim.done
	}
	time.Sleep(time.Until(started.Add(lastStart)))
	w.start(last, true)
	if w.trouble {
		time.Sleep(time.Until(started.Add(killAt + restartDelay)))
		w.start(victim, false)
	}
	log := &runLog{}
	for n, zone := range []string{"za", "zb"} {
		go startEndpoint(w, log, fmt.Sprintf("i-%d", n), "orders", zone, 4, func() time.Duration { return 20 * time.Millisecond }).beat("ready")
	}
	o := newOperator(w)
	acknowledged := make(chan bool, 1)
	go func() {
		acknowledged <- o.send("configuration.put", "", configuration(1, "orders", "shop.example", "/orders/", "unsafe", 2500), observed)
	}()
	sent, served := 0, 0
	for until := time.Now().Add(observed); time.Now().Before(until) && served < 20; time.Sleep(250 * time.Millisecond) {
		sent++
		if a := request(w, gateways[sent%2], http.MethodPost, "shop.example", fmt.Sprintf("/orders/%d", sent), "two bells", 5*time.Second); a.status == http.StatusOK {
			served++
		}
	}
	w.record.say("%d requests, %d served", sent, served)
	if served > 0 {
		return nil
	}
	breaks := []string{fmt.Sprintf("Fault: no request is served: 0 of %d in the %.0f s after all machines run", sent, observed.Seconds())}
	if !<-acknowledged {
		breaks = append(breaks, fmt.Sprintf("Acks: the first configuration is not acknowledged within %.0f s", observed.Seconds()))
	}
	return breaks
}
