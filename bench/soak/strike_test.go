package soak

import (
	"math/rand/v2"
	"net/http"
	"syscall"
	"time"
)

// randomFor returns a random source of its own for one fault injector.
func (h *harness) randomFor(stream uint64) *rand.Rand {
	return rand.New(rand.NewPCG(h.seed, stream))
}

// endAndRestart ends a process by a signal and starts it again.
func (h *harness) endAndRestart(p *process, by syscall.Signal) {
	h.signal(p, by)
	h.restart(p, false)
}

// pause suspends processes for a random time of at least shortest and less than
// shortest plus spread, both in milliseconds.
func (h *harness) pause(random *rand.Rand, shortest, spread int, all ...*process) {
	for _, p := range all {
		h.signal(p, syscall.SIGSTOP)
	}
	time.Sleep(time.Duration(shortest+random.IntN(spread)) * time.Millisecond)
	for _, p := range all {
		h.signal(p, syscall.SIGCONT)
	}
}

// injectEntryFaults kills, stops and pauses entries, one at a time so that the others
// serve, or sends one the signal to reload its settings.
func injectEntryFaults(h *harness, _ []*server, end time.Time) {
	random := h.randomFor(1)
	for time.Now().Before(end) {
		p := h.processes[controlCount+random.IntN(entryCount)]
		switch random.IntN(4) {
		case 0:
			h.endAndRestart(p, syscall.SIGKILL)
		case 1:
			h.endAndRestart(p, syscall.SIGTERM)
		case 2:
			h.pause(random, 200, 2500, p)
		default:
			h.signal(p, syscall.SIGHUP)
		}
		time.Sleep(time.Duration(200+random.IntN(1500)) * time.Millisecond)
	}
}

// injectControlFaults kills, stops and pauses control hosts, deletes the data of one,
// and sometimes kills all at once. It deletes the data of at most one host at a time,
// and only while all others run. Some runs replace all hosts in between.
func injectControlFaults(h *harness, _ []*server, end time.Time) {
	random, turns, turnover := h.randomFor(2), h.randomFor(20), newTurnover(h)
	for time.Now().Before(end) || len(turnover.remaining) > 0 {
		if turnover.due(turns, !time.Now().Before(end)) {
			turnover.replaceNext()
			continue
		}
		p := h.processes[random.IntN(controlCount)]
		switch random.IntN(6) {
		case 0:
			h.endAndRestart(p, syscall.SIGKILL)
		case 1:
			h.endAndRestart(p, syscall.SIGTERM)
		case 2:
			h.pause(random, 100, 3000, p)
		case 3:
			h.signal(p, syscall.SIGKILL)
			h.restart(p, true)
			// Data is deleted again only after this host is a full replica again.
			h.sleepCalmly(catchUpTime)
		case 4:
			for _, control := range h.processes[:controlCount] {
				h.signal(control, syscall.SIGKILL)
			}
			for _, control := range h.processes[:controlCount] {
				h.restart(control, false)
			}
		default:
			other := h.processes[random.IntN(controlCount)]
			h.pause(random, 100, 2000, p, other)
		}
		time.Sleep(time.Duration(300+random.IntN(1500)) * time.Millisecond)
	}
}

// injectProxyFaults sets a fault on the proxy of one backend server for a time. The
// last three servers never have a fault.
func injectProxyFaults(h *harness, servers []*server, end time.Time) {
	random := h.randomFor(3)
	for time.Now().Before(end) {
		s := servers[random.IntN(len(servers)-3)]
		s.fault.Store(int32(random.IntN(int(faultCount))))
		time.Sleep(time.Duration(200+random.IntN(1500)) * time.Millisecond)
		s.fault.Store(faultNone)
	}
}

// changeSystem declares configurations, takes a zone out and brings it back, and lets
// one server leave.
func changeSystem(h *harness, servers []*server, end time.Time) {
	random := h.randomFor(4)
	go servers[random.IntN(2)].leave()
	for version := 2; time.Now().Before(end); version++ {
		h.declare(version)
		if random.IntN(3) == 0 {
			h.evacuateZone(zones[1], time.Duration(500+random.IntN(4000))*time.Millisecond)
		}
		time.Sleep(time.Duration(100+random.IntN(800)) * time.Millisecond)
	}
}

// evacuateZone takes a zone out for a time. Requests to the zone are a fault from the
// acknowledgement until its return is requested.
func (h *harness) evacuateZone(zone string, pause time.Duration) {
	acknowledged := false
	for range 30 {
		if h.callControl("evacuations.start&of="+zone, nil) {
			acknowledged = true
			break
		}
		time.Sleep(150 * time.Millisecond)
	}
	if acknowledged {
		h.setEvacuated(zone, true)
	}
	time.Sleep(pause)
	h.setEvacuated(zone, false)
	for range 60 {
		for _, p := range h.processes[:controlCount] {
			if status, _ := h.callControlAt(p, "evacuations.end&of="+zone, nil); status == http.StatusOK {
				return
			}
		}
		time.Sleep(150 * time.Millisecond)
	}
}
