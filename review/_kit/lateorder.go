package main

import (
	"fmt"
	"net/http"
	"sync"
	"syscall"
	"time"
)

// rounds is how often the case is tried in one run, and freeze how long the coordinator stands
// still: longer than the second after which the operator turns to another machine.
const (
	rounds = 3
	freeze = 1450 * time.Millisecond
)

// lateOrder freezes a coordinator that doesn't lead. The operator takes an evacuation back: it
// sends the order to the frozen machine first, gets no answer within a second and sends it to
// another one, which acknowledges it. Then it evacuates the zone again, which is acknowledged as
// well. When the frozen machine wakes, the zone must stay evacuated.
func lateOrder(w *world) []string {
	for _, zone := range []string{"za", "zb", "zc", "za", "zb"} {
		w.addProcess("coordinator", zone)
	}
	gateways := []*process{w.addProcess("gateway", "za"), w.addProcess("gateway", "zb")}
	o := newOperator(w)
	w.startAll(o, configuration(1, "catalogue", "shop.example", "/catalogue/", "safe", 2000))
	log := &runLog{}
	work := func() time.Duration { return 60 * time.Millisecond }
	for n, zone := range []string{"za", "za", "zb", "zb"} {
		go startEndpoint(w, log, fmt.Sprintf("i-%d", n), "catalogue", zone, 4, work).beat("ready")
	}
	time.Sleep(5 * time.Second)
	stop := make(chan struct{})
	var clients sync.WaitGroup
	for n := range 6 {
		clients.Go(func() {
			for {
				select {
				case <-stop:
					return
				case <-time.After(150 * time.Millisecond):
				}
				request(w, gateways[n%2], http.MethodGet, "shop.example", "/catalogue/bells", "", 4*time.Second)
			}
		})
	}
	time.Sleep(2 * time.Second)
	leader, follower := leaderAndFollower(w)
	w.record.say("%s leads", leader.name)
	if !o.send("evacuations.start", "za", "", 10*time.Second, leader) {
		cannotRun("the first evacuation was not acknowledged")
	}
	time.Sleep(2 * time.Second)
	type span struct{ acknowledged, from, until time.Time }
	var judged []span
	for range rounds {
		leader, follower = leaderAndFollower(w)
		thawed := make(chan struct{})
		if w.trouble {
			w.signal(follower, syscall.SIGSTOP)
			time.AfterFunc(freeze, func() {
				w.signal(follower, syscall.SIGCONT)
				close(thawed)
			})
		} else {
			close(thawed)
		}
		if !o.send("evacuations.end", "za", "", 10*time.Second, follower, leader) {
			cannotRun("the end of the evacuation was not acknowledged")
		}
		time.Sleep(50 * time.Millisecond)
		if !o.send("evacuations.start", "za", "", 10*time.Second, leader) {
			cannotRun("the next evacuation was not acknowledged")
		}
		// A freeze and a thaw in the core stretch the bound by outerBoundMs at most, and the
		// thaw is over contactWindowMs before the first moment that is judged.
		acknowledged := time.Now()
		from := acknowledged.Add(evacuationBound + outerBound)
		judged = append(judged, span{acknowledged, from, from.Add(3 * time.Second)})
		<-thawed
		time.Sleep(time.Until(from.Add(3 * time.Second)))
	}
	close(stop)
	clients.Wait()
	var breaks []string
	for _, r := range log.all() {
		for _, s := range judged {
			if r.zone == "za" && r.at.After(s.from) && r.at.Before(s.until) {
				breaks = append(breaks, fmt.Sprintf("EVAC: request %s reached endpoint %s in zone za %.1f s after its evacuation was acknowledged",
					r.id, r.endpoint, r.at.Sub(s.acknowledged).Seconds()))
			}
		}
	}
	return breaks
}

// leaderAndFollower returns the coordinator that leads and one that doesn't.
func leaderAndFollower(w *world) (leader, follower *process) {
	for _, p := range w.ofRole("coordinator") {
		if p.leads() {
			leader = p
		} else {
			follower = p
		}
	}
	if leader == nil {
		cannotRun("no coordinator leads")
	}
	return leader, follower
}
