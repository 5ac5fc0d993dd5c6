package policy

import (
	"math"
	"math/rand/v2"
	"time"
)

// Layout says where entries and backend servers stand. Entry and server i stand
// in zone i modulo Zones; zones 2r and 2r+1 form region r.
type Layout struct {
	// Name identifies the layout.
	Name string
	// Zones, Entries and Servers are numbers; Slots is that of each server.
	Zones, Entries, Servers, Slots int
	// ZoneHop is the one-way delay between zones of a region.
	ZoneHop time.Duration
}

// The delays that all layouts share, one way, and the size of messages.
const (
	localHop  = 100 * time.Microsecond
	regionHop = 8 * time.Millisecond
	// meanService is the mean service time of a request.
	meanService = 10 * time.Millisecond
)

// Layouts returns the sites of today and a single region of two zones.
func Layouts() []Layout {
	return []Layout{
		{Name: "cowbell", Zones: 6, Entries: 18, Servers: 24, Slots: 2, ZoneHop: 500 * time.Microsecond},
		{Name: "cowbell-pair", Zones: 2, Entries: 18, Servers: 24, Slots: 2, ZoneHop: 500 * time.Microsecond},
		{Name: "quiros-mora", Zones: 6, Entries: 18, Servers: 20, Slots: 4, ZoneHop: 900 * time.Microsecond},
	}
}

// World is one run.
type World struct {
	Layout Layout
	Case   Case

	now     time.Duration
	seq     uint64
	queue   events
	random  *rand.Rand
	servers []*server
	policy  Policy
	result  *Result
	left    map[int]bool // servers that the entries know to be leaving
}

// request is one caller's request.
type request struct {
	entry    int
	account  int
	arrived  time.Duration
	deadline time.Duration
	work     time.Duration
	sent     time.Duration
	server   int
	done     bool
	twin     *request // its hedge, or the request that it hedges
	owner    int      // the entry that counts it, where it is not entry
	instant  bool     // it came without delay; the way is added to the answer
}

// Policy chooses backend servers for all entries of a run. Its methods are
// called in virtual time and must not block.
type Policy interface {
	// Start is called once before the first request.
	Start(w *World)
	// Arrive takes a request; the policy calls World.send now or later.
	Arrive(r *request)
	// Answered tells the entry of r how the request ended.
	Answered(r *request, a answer)
	// Members tells that a server joined or left, when entries learn of it.
	Members()
}

// answer is what an entry sees of a finished request.
type answer struct {
	kind answerKind
	// load is the load that the server reports, in requests in progress.
	load int
}

// answerKind is how a request ended.
type answerKind uint8

const (
	good answerKind = iota
	serverError
	broken
)

// after runs a function later.
func (w *World) after(d time.Duration, run func()) {
	w.seq++
	w.queue.push(event{at: w.now + d, seq: w.seq, run: run})
}

// run runs events until the end.
func (w *World) run(end time.Duration) {
	for len(w.queue) > 0 && w.queue[0].at <= end {
		e := w.queue.pop()
		w.now = e.at
		e.run()
	}
}

// zoneOf returns the zone of an entry or server.
func (w *World) zoneOf(i int) int { return i % w.Layout.Zones }

// link is a class of ways between two places.
type link uint8

const (
	inZone link = iota
	betweenZones
	betweenRegions
	linkCount
)

// linkOf returns the class of the way between two zones.
func linkOf(a, b int) link {
	switch {
	case a == b:
		return inZone
	case a/2 == b/2:
		return betweenZones
	default:
		return betweenRegions
	}
}

// hop returns the one-way delay between two zones.
func (w *World) hop(a, b int) time.Duration {
	switch linkOf(a, b) {
	case inZone:
		return localHop
	case betweenZones:
		return w.Layout.ZoneHop
	default:
		return regionHop
	}
}

// message sends bytes that are not a request from one entry or server to
// another and runs the function on arrival.
func (w *World) message(from, to, bytes int, arrive func()) {
	a, b := w.zoneOf(from), w.zoneOf(to)
	w.result.Control[linkOf(a, b)] += int64(bytes)
	w.after(w.hop(a, b), arrive)
}

// near returns the servers of the entry's region that may receive requests, or
// all others if there are none.
func (w *World) near(entry int) []int {
	var here, all []int
	for i, s := range w.servers {
		if w.left[i] || s.announcedCold {
			continue
		}
		all = append(all, i)
		if w.zoneOf(entry)/2 == w.zoneOf(i)/2 {
			here = append(here, i)
		}
	}
	if len(here) > 0 {
		return here
	}
	return all
}

// send sends a request to a server.
func (w *World) send(r *request, to int) {
	a, b := w.zoneOf(r.entry), w.zoneOf(to)
	r.server, r.sent = to, w.now
	w.result.Sent[linkOf(a, b)]++
	w.after(w.hop(a, b), func() { w.servers[to].arrive(r) })
}

// reply carries an answer back to the entry.
func (w *World) reply(r *request, a answer) {
	way := w.hop(w.zoneOf(r.server), w.zoneOf(r.entry))
	if r.instant {
		way *= 2
	}
	w.after(way, func() {
		w.finish(r, a)
		w.policy.Answered(r, a)
	})
}

// finish records the end of a request.
func (w *World) finish(r *request, a answer) {
	if r.done || r.twin != nil && r.twin.done {
		return
	}
	r.done = true
	if a.kind == good && w.now <= r.deadline && w.now >= warmUp && w.now < warmUp+w.Case.length() {
		w.result.Served++
	}
	if r.arrived < warmUp {
		return
	}
	if a.kind != good || w.now > r.deadline {
		w.result.Failed++
		return
	}
	w.result.record(r.account, w.now-r.arrived)
}

// reject refuses a request without sending it.
func (w *World) reject(r *request) {
	if !r.done && r.arrived >= warmUp {
		w.result.Rejected++
	}
	r.done = true
}

// exponential returns a random time with the mean.
func (w *World) exponential(mean time.Duration) time.Duration {
	return time.Duration(w.random.ExpFloat64() * float64(mean))
}

// service returns a random service time.
func (w *World) service() time.Duration {
	if w.Case.Heavy {
		const shape = 2.2
		least := float64(meanService) * (shape - 1) / shape
		return time.Duration(least / math.Pow(1-w.random.Float64(), 1/shape))
	}
	return time.Duration(float64(meanService) * math.Exp(w.random.NormFloat64()-0.5))
}
