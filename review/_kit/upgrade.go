package main

import (
	"fmt"
	"os"
	"time"
)

// upgradeInterval is the time between the start of an upgraded coordinator and the stop of the
// next one: more than catchUpS, 4 s.
const upgradeInterval = 6 * time.Second

// upgrade starts a deployment with an old build and restarts its coordinators with the current one,
// one after the other. The gateways still run the old build. Then the operator moves a route, which
// is acknowledged and must be in force at the gateways. Without the trouble, all processes run the
// current build all the time.
func upgrade(w *world) []string {
	for _, zone := range []string{"za", "zb", "zc", "za", "zb"} {
		w.addProcess("coordinator", zone)
	}
	gateways := []*process{w.addProcess("gateway", "za"), w.addProcess("gateway", "zb")}
	if w.trouble {
		if _, err := os.Stat(oldBuild); err != nil {
			cannotRun("the old build is missing: %v", err)
		}
		for _, p := range w.processes {
			p.binary = oldBuild
		}
	}
	o := newOperator(w)
	w.startAll(o, configuration(1, "orders", "shop.example", "/old/", "safe", 2500))
	log := &runLog{}
	for n, zone := range []string{"za", "zb"} {
		go startEndpoint(w, log, fmt.Sprintf("i-%d", n), "orders", zone, 4, func() time.Duration { return 20 * time.Millisecond }).beat("ready")
	}
	time.Sleep(5 * time.Second)
	for _, p := range w.ofRole("coordinator") {
		w.roll(p, currentBuild)
		time.Sleep(upgradeInterval)
	}
	return configurationReaches(w, o, gateways)
}
