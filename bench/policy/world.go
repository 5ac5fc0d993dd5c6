package policy

import (
	"math"
	"math/rand/v2"
	"time"
)

// Layout describes the location of entries and backend servers. Entry i and server i
// are in zone i modulo Zones; zones 2r and 2r+1 form region r.
type Layout struct {
	// Name identifies the layout.
	Name string
	// Zones, Entries and Servers are totals; Slots is the number of slots of each
	// server.
	Zones, Entries, Servers, Slots int
	// ZoneDelay is the one-way delay between zones of a region.
	ZoneDelay time.Duration
}

// The one-way delays within a zone and between regions, and the service time, in all
// layouts.
const (
	inZoneDelay         = 100 * time.Microsecond
	betweenRegionsDelay = 8 * time.Millisecond
	// meanService is the mean service time of a request on a server without slowdown.
	meanService = 10 * time.Millisecond
)

// Layouts returns the layouts of the two deployments, and the one of cowbell reduced
// to a single region of two zones.
func Layouts() []Layout {
	return []Layout{
		{Name: "cowbell", Zones: 6, Entries: 18, Servers: 24, Slots: 2, ZoneDelay: 500 * time.Microsecond},
		{Name: "cowbell-pair", Zones: 2, Entries: 18, Servers: 24, Slots: 2, ZoneDelay: 500 * time.Microsecond},
		{Name: "quiros-mora", Zones: 6, Entries: 18, Servers: 20, Slots: 4, ZoneDelay: 900 * time.Microsecond},
	}
}

// Simulation is one run of a policy under a case.
type Simulation struct {
	Layout Layout
	Case   Case

	now          time.Duration
	seq          uint64
	queue        events
	random       *rand.Rand
	servers      []*fakeServer
	policy       Policy
	result       *Result
	knownLeaving map[int]bool // servers that have left or are leaving, as the entries see it
}

// request is a request of a caller.
type request struct {
	entry        int
	account      int
	arrivedAt    time.Duration
	deadline     time.Duration
	serviceTime  time.Duration
	sentAt       time.Duration
	server       int
	ended        bool
	otherCopy    *request // the hedge of the request, or the request that it hedges
	owner        int      // the entry that counts the request under the policy ownerPicks
	skippedDelay bool     // sent without network delay; the answer is delayed twice as long instead
}

// Policy chooses backend servers for all entries of a run. The simulation calls its
// methods at virtual times; they must not block.
type Policy interface {
	// Start is called once before the first request.
	Start(sim *Simulation)
	// RequestArrived is called when a request arrives at an entry. The policy calls
	// Simulation.send or Simulation.reject at once or later.
	RequestArrived(r *request)
	// RequestEnded is called when the entry of r receives the answer.
	RequestEnded(r *request, a answer)
	// MembersChanged is called when a server that joined, left or changed its state
	// becomes visible to the entries.
	MembersChanged()
}

// answer is the answer that an entry receives to a request.
type answer struct {
	kind answerKind
	// reportedLoad is the load that the server reports, in requests in progress.
	reportedLoad int
}

// answerKind says how a request ended.
type answerKind uint8

const (
	good answerKind = iota
	serverError
	broken
)

// after schedules a function to run after d.
func (sim *Simulation) after(d time.Duration, run func()) {
	sim.seq++
	sim.queue.push(event{at: sim.now + d, seq: sim.seq, run: run})
}

// run runs all events up to and including the time end.
func (sim *Simulation) run(end time.Duration) {
	for len(sim.queue) > 0 && sim.queue[0].at <= end {
		e := sim.queue.pop()
		sim.now = e.at
		e.run()
	}
}

// zoneOf returns the zone of an entry or server.
func (sim *Simulation) zoneOf(i int) int { return i % sim.Layout.Zones }

// linkClass is a class of network links.
type linkClass uint8

const (
	inZone linkClass = iota
	betweenZones
	betweenRegions
	linkClassCount
)

// linkClassOf returns the class of the link between two zones.
func linkClassOf(a, b int) linkClass {
	switch {
	case a == b:
		return inZone
	case a/2 == b/2:
		return betweenZones
	default:
		return betweenRegions
	}
}

// oneWayDelay returns the one-way delay between two zones.
func (sim *Simulation) oneWayDelay(a, b int) time.Duration {
	switch linkClassOf(a, b) {
	case inZone:
		return inZoneDelay
	case betweenZones:
		return sim.Layout.ZoneDelay
	default:
		return betweenRegionsDelay
	}
}

// message sends a message other than a request from one entry or server to another
// and calls arrive when it arrives.
func (sim *Simulation) message(from, to, bytes int, arrive func()) {
	a, b := sim.zoneOf(from), sim.zoneOf(to)
	sim.result.ControlBytes[linkClassOf(a, b)] += int64(bytes)
	sim.after(sim.oneWayDelay(a, b), arrive)
}

// candidateServers returns the servers of the entry's region that can receive
// requests, or those of all regions if there are none.
func (sim *Simulation) candidateServers(entry int) []int {
	var here, all []int
	for i, s := range sim.servers {
		if sim.knownLeaving[i] || s.announcedCold {
			continue
		}
		all = append(all, i)
		if sim.zoneOf(entry)/2 == sim.zoneOf(i)/2 {
			here = append(here, i)
		}
	}
	if len(here) > 0 {
		return here
	}
	return all
}

// send sends a request to a server.
func (sim *Simulation) send(r *request, to int) {
	a, b := sim.zoneOf(r.entry), sim.zoneOf(to)
	r.server, r.sentAt = to, sim.now
	sim.result.RequestsSent[linkClassOf(a, b)]++
	sim.after(sim.oneWayDelay(a, b), func() { sim.servers[to].arrive(r) })
}

// reply sends an answer back to the entry.
func (sim *Simulation) reply(r *request, a answer) {
	delay := sim.oneWayDelay(sim.zoneOf(r.server), sim.zoneOf(r.entry))
	if r.skippedDelay {
		delay *= 2
	}
	sim.after(delay, func() {
		sim.recordEnd(r, a)
		sim.policy.RequestEnded(r, a)
	})
}

// recordEnd records the end of a request. Of a request and its hedge, only the one
// that ends first counts.
func (sim *Simulation) recordEnd(r *request, a answer) {
	if r.ended || r.otherCopy != nil && r.otherCopy.ended {
		return
	}
	r.ended = true
	if a.kind == good && sim.now <= r.deadline && sim.now >= warmUp && sim.now < warmUp+sim.Case.measuredTime() {
		sim.result.Served++
	}
	if r.arrivedAt < warmUp {
		return
	}
	if a.kind != good || sim.now > r.deadline {
		sim.result.Failed++
		return
	}
	sim.result.recordGoodAnswer(r.account, sim.now-r.arrivedAt)
}

// reject rejects a request that was not sent to a server.
func (sim *Simulation) reject(r *request) {
	if !r.ended && r.arrivedAt >= warmUp {
		sim.result.Rejected++
	}
	r.ended = true
}

// exponential returns an exponentially distributed random time with the given mean.
func (sim *Simulation) exponential(mean time.Duration) time.Duration {
	return time.Duration(sim.random.ExpFloat64() * float64(mean))
}

// randomServiceTime returns a random service time with the mean meanService. It is
// lognormal, or Pareto with shape 2.2 in heavy-tailed cases.
func (sim *Simulation) randomServiceTime() time.Duration {
	if sim.Case.HeavyTailed {
		const shape = 2.2
		shortest := float64(meanService) * (shape - 1) / shape
		return time.Duration(shortest / math.Pow(1-sim.random.Float64(), 1/shape))
	}
	return time.Duration(float64(meanService) * math.Exp(sim.random.NormFloat64()-0.5))
}
