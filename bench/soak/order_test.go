package soak

import (
	"net/http"
	"syscall"
	"time"
)

// unstableTimeout is what is added to the evacuation timeout while control hosts fail.
const unstableTimeout = 5 * time.Second

// orderedZone is the zone of the orders that reach paused control hosts; no other orders of a
// run concern it.
var orderedZone = zones[2]

// ordersPausedHosts reports whether the run sends orders to paused control hosts.
func (h *harness) ordersPausedHosts() bool { return h.seed%3 == 1 }

// orderPaused sends the end of an evacuation to a control host that is paused, then to others,
// and evacuates the zone again before the paused host wakes and reads the old order. The zone
// must stay out from the last acknowledgement on.
func orderPaused(h *harness, _ []*server, end time.Time) {
	random := h.randomFor(30)
	for h.ordersPausedHosts() && time.Now().Before(end) {
		if !h.orderZone("evacuations.start", nil) {
			continue
		}
		paused := h.processes[random.IntN(controlCount)]
		pause := time.Duration(1050+random.IntN(500)) * time.Millisecond
		if random.IntN(3) == 0 {
			pause = time.Duration(500+random.IntN(4000)) * time.Millisecond
		}
		h.signal(paused, syscall.SIGSTOP)
		woken := make(chan struct{})
		time.AfterFunc(pause, func() {
			h.signal(paused, syscall.SIGCONT)
			close(woken)
		})
		_, _ = h.callControlAt(paused, "evacuations.end&of="+orderedZone, nil)
		again := h.orderZone("evacuations.end", paused) && h.orderZone("evacuations.start", paused)
		if again {
			h.setEvacuated(orderedZone, true)
		}
		<-woken
		if again {
			time.Sleep(evacuationTimeout + unstableTimeout + 2*requestSlack)
		}
		h.setEvacuated(orderedZone, false)
		h.orderZone("evacuations.end", nil)
	}
}

// orderZone sends an order on orderedZone to one control host after the other, but for the given
// one, until it is acknowledged, and reports whether it was.
func (h *harness) orderZone(call string, except *process) bool {
	for end := time.Now().Add(recoveryTimeout); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		for _, p := range h.processes[:controlCount] {
			if p == except {
				continue
			}
			if status, _ := h.callControlAt(p, call+"&of="+orderedZone, nil); status == http.StatusOK {
				return true
			}
		}
	}
	return false
}

// setEvacuated records that a zone is out from now on, or that its return is requested.
func (h *harness) setEvacuated(zone string, out bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	delete(h.evacuatedSince, zone)
	if out {
		h.evacuatedSince[zone] = time.Now()
	}
}
