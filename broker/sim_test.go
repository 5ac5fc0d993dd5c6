package broker

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"tanagerbarrow/registry"
	"tanagerbarrow/route"
)

// load is a load pattern on one service, replayed in virtual time against the
// broker. Servers slow down when nearly full, and the pace of each one's machine
// is drawn anew every 150 ms: a quarter of the draws is five times slower.
type load struct {
	servers, slots int
	// queue is how many requests a server queues beyond its slots.
	work      time.Duration
	objective time.Duration
	deadline  time.Duration
	timeout   time.Duration
	// rate is the arrivals a second, and burst its factor between burstFrom and
	// burstTo.
	rate, burst        float64
	burstFrom, burstTo time.Duration
	length             time.Duration
	// comebacks is how often a caller returns after a refusal.
	comebacks int
	// urgent is the part of the requests with priority 0; the others have 2.
	urgent float64
	seed   uint64
	// regions, zones of each region and entries are how many there are; 0 stands
	// for 1. Servers and entries are spread evenly over the zones.
	regions, zones, entries int
	// answerBytes is the size of an answer.
	answerBytes int
	// allKnowing replays the load against a central queue that knows every slot
	// and every pace at each moment and whose grants take no time: the limit of
	// what a broker can reach.
	allKnowing bool
}

// result is what callers saw.
type result struct {
	owed, inTime, late, refused, lost int
	urgent, urgentInTime              int
	// crossed and crossedZone count the granted requests that left their region
	// and their zone.
	crossed, crossedZone int
	// times are the latencies of the answered requests.
	times []time.Duration
}

// quantile returns a quantile of the latencies.
func (r result) quantile(q float64) time.Duration {
	slices.Sort(r.times)
	return r.times[int(q*float64(len(r.times)-1))]
}

// share is the part of the requests that were answered within the objective.
func (r result) share() float64 { return float64(r.inTime) / float64(r.owed) }

// String describes the result.
func (r result) String() string {
	return fmt.Sprintf("%d owed, %.3f in time, %.3f late, %.3f refused, %.3f lost", r.owed, r.share(),
		float64(r.late)/float64(r.owed), float64(r.refused)/float64(r.owed), float64(r.lost)/float64(r.owed))
}

// event is something that happens at a time.
type event struct {
	at  time.Duration
	seq int
	do  func()
}

// events is a queue of events by time.
type events []event

func (e events) Len() int { return len(e) }
func (e events) Less(i, j int) bool {
	return e[i].at < e[j].at || (e[i].at == e[j].at && e[i].seq < e[j].seq)
}
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)   { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	old := *e
	last := old[len(old)-1]
	*e = old[:len(old)-1]
	return last
}

// The times of the simulated deployment.
const (
	simTrip     = 8 * time.Millisecond
	simCrossing = 8 * time.Millisecond
	simSample   = 12 * time.Millisecond
	simInterval = 150 * time.Millisecond
	simTick     = 20 * time.Millisecond
)

// sim replays a load.
type sim struct {
	load
	b       *Broker
	random  *rand.Rand
	now     time.Duration
	queue   events
	count   int
	running map[uint32]int
	zone    map[uint32]int
	phase   map[uint32]time.Duration
	asks    map[uint64]*simCall
	nextAsk uint64
	result  result
	// central are the requests that wait where the load is allKnowing.
	central []*simCall
}

// simCall is a caller's request.
type simCall struct {
	first, arrived time.Duration
	tries          int
	work           float64
	priority       int
	// entry is the number of the entry that took it.
	entry int
}

// simEntry and simZone name an entry and a zone.
func simEntry(n int) string { return fmt.Sprint("e", n) }
func simZone(n int) string  { return fmt.Sprint("z", n) }

// start is the virtual time 0.
var start = time.Unix(1_000_000, 0)

// clock returns the time for the broker.
func (s *sim) clock() time.Time { return start.Add(s.now) }

// schedule plans an event.
func (s *sim) schedule(after time.Duration, do func()) {
	s.count++
	heap.Push(&s.queue, event{s.now + after, s.count, do})
}

// newSim prepares a replay.
func newSim(l load) *sim {
	l.regions, l.zones, l.entries = max(1, l.regions), max(1, l.zones), max(1, l.entries)
	all := l.regions * l.zones
	regions := map[string]string{"broker": "far"}
	for n := range all {
		regions[simZone(n)] = fmt.Sprint("r", n%l.regions)
	}
	s := &sim{
		load: l, random: rand.New(rand.NewPCG(l.seed, 7)), running: map[uint32]int{},
		zone:  map[uint32]int{},
		phase: map[uint32]time.Duration{}, asks: map[uint64]*simCall{},
		b: New(Options{
			Regions: regions, Zone: "broker", RetryRatio: 0.2, RetryExtra: 64,
			RetryWindow: 10 * time.Second, Random: rand.New(rand.NewPCG(l.seed, 8)),
		}),
	}
	s.b.Configure(route.NewIndex(&route.Configuration{Services: []route.Service{{Name: "s", ColdRate: 2.5}}}), nil, s.clock())
	for n := range l.servers {
		server := s.b.Announce(registry.Record{
			BackendServer: registry.BackendServer{
				ID: fmt.Sprint(n), Service: "s", Address: fmt.Sprint("a", n), AvailabilityZone: simZone(n % all), Slots: l.slots,
			}, LastHeartbeat: start.Add(time.Hour),
		}, s.clock())
		s.zone[server.Number] = n % all
		s.phase[server.Number] = time.Duration(s.random.Int64N(int64(simInterval)))
		s.sample(server.Number)
	}
	for n := range l.entries {
		s.b.Connect(simEntry(n), simZone(n%all), nil, s.clock())
	}
	return s
}

// pace returns a server's pace at a time, in percent.
func (s *sim) pace(server uint32, at time.Duration) int {
	draw := uint64((at + s.phase[server]) / simInterval)
	if rand.New(rand.NewPCG(s.seed+uint64(server)<<32, draw)).Float64() < 0.25 {
		return 500
	}
	return 100
}

// sample tells the broker a server's pace after each draw.
func (s *sim) sample(server uint32) {
	left := simInterval - (s.now+s.phase[server])%simInterval
	s.b.Sample(Sample{
		Server: server, Healthy: true, Pace: s.pace(server, s.now), ColdMillis: -1, Running: -1,
		PaceValidMillis: int(left.Milliseconds()),
	}, s.clock())
	if s.allKnowing {
		s.assign()
		s.schedule(left, func() { s.sample(server) })
		return
	}
	s.schedule(left+simSample, func() { s.sample(server) })
}

// run replays the load.
func (s *sim) run() result {
	s.schedule(0, s.arrive)
	s.schedule(simTick, s.tick)
	for len(s.queue) > 0 {
		e := heap.Pop(&s.queue).(event)
		s.now = e.at
		if s.now > s.length+10*time.Second {
			break
		}
		e.do()
		s.deliver()
	}
	return s.result
}

// tick is the broker's clock.
func (s *sim) tick() {
	s.b.Tick(s.clock())
	s.schedule(simTick, s.tick)
}

// arrive makes one caller come and plans the next.
func (s *sim) arrive() {
	if s.now >= s.length {
		return
	}
	rate := s.rate
	if s.now >= s.burstFrom && s.now < s.burstTo {
		rate *= s.burst
	}
	s.schedule(time.Duration(s.random.ExpFloat64()/rate*float64(time.Second)), s.arrive)
	c := &simCall{first: s.now, arrived: s.now, work: math.Exp(0.3*s.random.NormFloat64() - 0.045), priority: 2}
	if s.random.Float64() < s.urgent {
		c.priority = 0
		s.result.urgent++
	}
	s.result.owed++
	if s.entries > 1 {
		c.entry = s.random.IntN(s.entries)
	}
	s.ask(c)
}

// ask hands a call to the broker.
func (s *sim) ask(c *simCall) {
	c.tries++
	if s.allKnowing {
		s.central = append(s.central, c)
		s.assign()
		return
	}
	s.nextAsk++
	s.asks[s.nextAsk] = c
	left := c.first + s.deadline - s.now
	s.b.Ask(simEntry(c.entry), Ask{
		Seq: s.nextAsk, Service: "s", Priority: c.priority,
		ObjectiveMillis: int((c.first + s.objective - s.now).Milliseconds()),
		DeadlineMillis:  int(min(left, s.timeout).Milliseconds()),
	}, s.clock())
}

// deliver carries out what the broker decided.
func (s *sim) deliver() {
	for _, o := range s.b.TakeOutputs() {
		if o.Grant != nil {
			g := *o.Grant
			s.schedule(simTrip+handling, func() { s.begin(g) })
			continue
		}
		r := *o.Refusal
		c := s.asks[r.Seq]
		delete(s.asks, r.Seq)
		wait := millis(r.RetryMillis) + simTrip
		if c.tries > s.comebacks || wait > (c.first+s.deadline-s.now)/3 {
			s.result.refused++
			continue
		}
		s.schedule(wait, func() { s.ask(c) })
	}
}

// assign gives waiting requests to servers that have a slot and a usual pace now.
func (s *sim) assign() {
	for len(s.central) > 0 {
		best := uint32(0)
		for server := range s.phase {
			free := s.running[server] < s.slots && s.pace(server, s.now) == usualPace
			if free && (best == 0 || s.running[server] < s.running[best] || (s.running[server] == s.running[best] && server < best)) {
				best = server
			}
		}
		if best == 0 {
			return
		}
		c := s.central[0]
		s.central = s.central[1:]
		s.serve(c, best, func(time.Duration, bool) { s.assign() })
	}
}

// begin runs a granted request on its server.
func (s *sim) begin(g Grant) {
	c := s.asks[g.Seq]
	delete(s.asks, g.Seq)
	s.serve(c, g.Server, func(took time.Duration, lost bool) {
		outcome := Answered
		if lost {
			outcome = Abandoned
		}
		s.schedule(simTrip, func() {
			s.b.Release(simEntry(c.entry), Release{
				ID: g.ID, Outcome: outcome, ElapsedMillis: int(took.Milliseconds()), KeepAliveMillis: 9000, AnswerBytes: s.answerBytes,
			}, s.clock())
		})
	})
}

// serve runs a request on a server and tells when it has ended, after what time,
// and whether it passed its timeout.
func (s *sim) serve(c *simCall, server uint32, done func(took time.Duration, lost bool)) {
	s.running[server]++
	took := time.Duration(c.work * float64(s.work) * float64(s.pace(server, s.now)) / usualPace)
	if float64(s.running[server]) > fullShare*float64(s.slots) {
		took = took * 17 / 10
	}
	took += s.cross(c, server)
	lost := took > s.timeout
	took = min(took, s.timeout)
	s.schedule(took, func() {
		s.running[server]--
		s.finish(c, lost)
		done(took, lost)
	})
}

// cross counts a request that leaves its zone, and returns the time that it takes
// on the way.
func (s *sim) cross(c *simCall, server uint32) time.Duration {
	from, to := c.entry%(s.regions*s.zones), s.zone[server]
	if from != to {
		s.result.crossedZone++
	}
	if from%s.regions == to%s.regions {
		return 0
	}
	s.result.crossed++
	return 2 * simCrossing
}

// finish counts a call.
func (s *sim) finish(c *simCall, lost bool) {
	took := s.now + simTrip - c.first
	if !lost {
		s.result.times = append(s.result.times, took)
	}
	switch {
	case lost:
		s.result.lost++
	case took <= s.objective:
		s.result.inTime++
		if c.priority == 0 {
			s.result.urgentInTime++
		}
	default:
		s.result.late++
	}
}
