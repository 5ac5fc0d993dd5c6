package soak

import (
	"math/rand/v2"
	"net/http"
	"syscall"
	"time"
)

// strikes returns a random source of its own for a kind of trouble.
func (w *world) strikes(kind uint64) *rand.Rand { return rand.New(rand.NewPCG(w.seed, kind)) }

// replace ends a process by a signal and starts it again.
func (w *world) replace(p *process, by syscall.Signal) {
	w.signal(p, by)
	w.restart(p, false)
}

// pause stops processes for a random time of at least shortest and less than
// spread more, both in milliseconds.
func (w *world) pause(random *rand.Rand, shortest, spread int, all ...*process) {
	for _, p := range all {
		w.signal(p, syscall.SIGSTOP)
	}
	time.Sleep(time.Duration(shortest+random.IntN(spread)) * time.Millisecond)
	for _, p := range all {
		w.signal(p, syscall.SIGCONT)
	}
}

// strikeEntries kills, pauses and stops entries, one at a time, so that others
// serve.
func strikeEntries(w *world, _ []*server, end time.Time) {
	random := w.strikes(1)
	for time.Now().Before(end) {
		p := w.processes[cores+random.IntN(entries)]
		switch random.IntN(4) {
		case 0:
			w.replace(p, syscall.SIGKILL)
		case 1:
			w.replace(p, syscall.SIGTERM)
		case 2:
			w.pause(random, 200, 2500, p)
		default:
			w.signal(p, syscall.SIGHUP)
		}
		time.Sleep(time.Duration(200+random.IntN(1500)) * time.Millisecond)
	}
}

// strikeCores does the same to control hosts, wipes disks, and sometimes kills
// all at once. At most one disk is lost at a time, and only while all others run.
func strikeCores(w *world, _ []*server, end time.Time) {
	random := w.strikes(2)
	for time.Now().Before(end) {
		p := w.processes[random.IntN(cores)]
		switch random.IntN(6) {
		case 0:
			w.replace(p, syscall.SIGKILL)
		case 1:
			w.replace(p, syscall.SIGTERM)
		case 2:
			w.pause(random, 100, 3000, p)
		case 3:
			w.signal(p, syscall.SIGKILL)
			w.restart(p, true)
			// The next disk is lost only once this one counts again.
			time.Sleep(3 * time.Second)
		case 4:
			for _, one := range w.processes[:cores] {
				w.signal(one, syscall.SIGKILL)
			}
			for _, one := range w.processes[:cores] {
				w.restart(one, false)
			}
		default:
			other := w.processes[random.IntN(cores)]
			w.pause(random, 100, 2000, p, other)
		}
		time.Sleep(time.Duration(300+random.IntN(1500)) * time.Millisecond)
	}
}

// strikeLinks gives the proxy of one backend server a fault for a time. The last
// two servers stay sound.
func strikeLinks(w *world, servers []*server, end time.Time) {
	random := w.strikes(3)
	for time.Now().Before(end) {
		s := servers[random.IntN(len(servers)-2)]
		s.fault.Store(int32(random.IntN(int(faults))))
		time.Sleep(time.Duration(200+random.IntN(1500)) * time.Millisecond)
		s.fault.Store(faultNone)
	}
}

// changeThings declares configurations, takes a zone out and back, and lets one
// server leave.
func changeThings(w *world, servers []*server, end time.Time) {
	random := w.strikes(4)
	go servers[random.IntN(2)].leave()
	for version := 2; time.Now().Before(end); version++ {
		w.declare(version)
		if random.IntN(3) == 0 {
			w.moveZone(zones[1], time.Duration(500+random.IntN(4000))*time.Millisecond)
		}
		time.Sleep(time.Duration(100+random.IntN(800)) * time.Millisecond)
	}
}

// moveZone takes a zone out for a time. It counts as out from the
// acknowledgement until its return is asked for.
func (w *world) moveZone(zone string, pause time.Duration) {
	acknowledged := false
	for range 30 {
		if w.control("evacuations.start&of="+zone, nil) {
			acknowledged = true
			break
		}
		time.Sleep(150 * time.Millisecond)
	}
	if acknowledged {
		w.mu.Lock()
		w.evacuated[zone] = time.Now()
		w.mu.Unlock()
	}
	time.Sleep(pause)
	w.mu.Lock()
	delete(w.evacuated, zone)
	w.mu.Unlock()
	for range 60 {
		for _, p := range w.processes[:cores] {
			if status, _ := w.controlAt(p, "evacuations.end&of="+zone, nil); status == http.StatusOK {
				return
			}
		}
		time.Sleep(150 * time.Millisecond)
	}
}
