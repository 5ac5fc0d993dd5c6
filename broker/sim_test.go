package broker

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"tanagerbarrow/registry"
	"tanagerbarrow/route"
)

// load is a load pattern on one service that is replayed in virtual time
// against the broker. Servers slow down when nearly full, and the pace of each
// machine is drawn again every 150 ms: a quarter of the draws is five times
// slower.
type load struct {
	servers, slots int
	// serviceTime is the mean service time at the usual pace; objective, deadline
	// and timeout are the time limits of each request.
	serviceTime time.Duration
	objective   time.Duration
	deadline    time.Duration
	timeout     time.Duration
	// rate is the number of arrivals per second, and burst its factor between
	// burstFrom and burstTo.
	rate, burst        float64
	burstFrom, burstTo time.Duration
	length             time.Duration
	// maxRetries is how often a caller retries after a refusal.
	maxRetries int
	// urgent is the part of the requests with priority 0; the others have 2.
	urgent float64
	seed   uint64
	// regions, zones and entries are the numbers of regions, of zones per region
	// and of entries; 0 means 1. Servers and entries are spread evenly over the
	// zones.
	regions, zones, entries int
	// responseBytes is the size of a response.
	responseBytes int
	// accounts is the number of client accounts with equal rates; 0 means none. Between burstFrom
	// and burstTo, hot of them send hotFactor times as much.
	accounts, hot int
	hotFactor     float64
	// abusers is the part of the callers that repeat a refused request at once and five times.
	abusers float64
	// slowRegion slows all machines of region 0 during the burst; burstOfOthers gives it priority 2.
	slowRegion, burstOfOthers bool
	// rankStep is the distance of the priorities' ranks; 0 means 1.
	rankStep int
	// homes are the regions that may run the requests; empty means any.
	homes []string
	// distant says that each sample takes simTrip on its way to the broker, which is in
	// another region than all entries.
	distant bool
	// idealQueue replays the load against a central queue that knows every slot
	// and every pace at each moment and whose grants take no time: the limit of
	// what a broker can reach.
	idealQueue bool
}

// Delays and intervals of the simulated deployment.
const (
	simTrip     = 8 * time.Millisecond
	simCrossing = 8 * time.Millisecond
	simSample   = 12 * time.Millisecond
	simInterval = 150 * time.Millisecond
	simTick     = 20 * time.Millisecond
	simHandling = 2 * time.Millisecond
)

// simulation replays a load.
type simulation struct {
	load
	b       *Broker
	random  *rand.Rand
	now     time.Duration
	queue   events
	count   int
	running map[uint32]int
	zone    map[uint32]int
	phase   map[uint32]time.Duration
	asks    map[uint64]*simRequest
	nextAsk uint64
	result  result
	// central are the requests that wait in the ideal queue.
	central []*simRequest
}

// simRequest is a caller's request.
type simRequest struct {
	firstArrival, arrived time.Duration
	asks                  int
	serviceTimeFactor     float64
	priority              int
	// entry is the number of the entry that received the request.
	entry int
	// number identifies the content, account is that of the caller, and abusive says that the
	// caller doesn't wait before it comes back.
	number  uint64
	account int
	abusive bool
}

// simEntry and simZone return the names of an entry and of a zone.
func simEntry(n int) string { return fmt.Sprint("e", n) }
func simZone(n int) string  { return fmt.Sprint("z", n) }

// start is the wall clock time at virtual time 0.
var start = time.Unix(1_000_000, 0)

// clock converts the virtual time for the broker.
func (s *simulation) clock() time.Time { return start.Add(s.now) }

// schedule adds an event after the given delay.
func (s *simulation) schedule(after time.Duration, do func()) {
	s.count++
	heap.Push(&s.queue, event{s.now + after, s.count, do})
}

// newSimulation prepares a replay with all servers announced and all entries
// connected.
func newSimulation(l load) *simulation {
	l.regions, l.zones, l.entries = max(1, l.regions), max(1, l.zones), max(1, l.entries)
	all := l.regions * l.zones
	regions := map[string]string{"broker": "far"}
	for n := range all {
		regions[simZone(n)] = fmt.Sprint("r", n%l.regions)
	}
	s := &simulation{
		load: l, random: rand.New(rand.NewPCG(l.seed, 7)), running: map[uint32]int{},
		zone:  map[uint32]int{},
		phase: map[uint32]time.Duration{}, asks: map[uint64]*simRequest{},
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

// pace returns a server's pace at a time, in percent of the usual.
func (s *simulation) pace(server uint32, at time.Duration) int {
	if s.slowRegion && s.zone[server]%s.regions == 0 && at >= s.burstFrom && at < s.burstTo {
		return 500
	}
	draw := uint64((at + s.phase[server]) / simInterval)
	if rand.New(rand.NewPCG(s.seed+uint64(server)<<32, draw)).Float64() < 0.25 {
		return 500
	}
	return 100
}

// sample reports a server's pace to the broker after each draw.
func (s *simulation) sample(server uint32) {
	left := simInterval - (s.now+s.phase[server])%simInterval
	m := Sample{
		Server: server, Healthy: true, Responded: true, Pace: s.pace(server, s.now), ColdMillis: -1, Running: -1,
		PaceValidMillis: int(left.Milliseconds()),
	}
	if s.distant {
		s.schedule(simTrip, func() { s.b.SampleBy(simEntry(s.zone[server]), m, s.clock()) })
		s.schedule(left+simHandling, func() { s.sample(server) })
		return
	}
	s.b.Sample(m, s.clock())
	if s.idealQueue {
		s.assign()
		s.schedule(left, func() { s.sample(server) })
		return
	}
	s.schedule(left+simSample, func() { s.sample(server) })
}

func (s *simulation) run() result {
	s.schedule(0, s.arrive)
	s.schedule(simTick, s.tick)
	for len(s.queue) > 0 {
		e := heap.Pop(&s.queue).(event)
		s.now = e.at
		if s.now > s.length+10*time.Second {
			break
		}
		e.run()
		s.deliver()
	}
	return s.result
}

// tick calls the broker's tick and schedules the next one.
func (s *simulation) tick() {
	s.b.Tick(s.clock())
	s.schedule(simTick, s.tick)
}

// arrive creates the request of one caller and schedules the next arrival.
func (s *simulation) arrive() {
	if s.now >= s.length {
		return
	}
	rate := s.rate
	if s.now >= s.burstFrom && s.now < s.burstTo {
		rate *= s.burst
	}
	hotExtra := 0.0
	if s.hot > 0 && s.now >= s.burstFrom && s.now < s.burstTo {
		hotExtra = float64(s.hot) * (s.hotFactor - 1) / float64(s.accounts)
		rate *= 1 + hotExtra
	}
	s.schedule(time.Duration(s.random.ExpFloat64()/rate*float64(time.Second)), s.arrive)
	c := &simRequest{firstArrival: s.now, arrived: s.now, serviceTimeFactor: math.Exp(0.3*s.random.NormFloat64() - 0.045), priority: 2}
	urgent := s.urgent
	if s.burstOfOthers && s.now >= s.burstFrom && s.now < s.burstTo {
		urgent /= s.burst
	}
	if s.random.Float64() < urgent {
		c.priority = 0
		s.result.urgent++
	}
	s.result.requests++
	c.number = uint64(s.result.requests)
	if s.accounts > 0 {
		c.account = 1 + s.random.IntN(s.accounts)
		if s.random.Float64() < hotExtra/(1+hotExtra) {
			c.account = 1 + s.random.IntN(s.hot)
		}
	}
	c.abusive = s.abusers > 0 && s.random.Float64() < s.abusers
	for _, t := range s.result.tallies(c) {
		t.requests++
	}
	if s.entries > 1 {
		c.entry = s.random.IntN(s.entries)
	}
	s.ask(c)
}

// ask sends a request's ask to the broker, or queues it in the ideal queue.
func (s *simulation) ask(c *simRequest) {
	c.asks++
	if s.idealQueue {
		s.central = append(s.central, c)
		s.assign()
		return
	}
	s.nextAsk++
	s.asks[s.nextAsk] = c
	left := c.firstArrival + s.deadline - s.now
	d := DetailedAsk{}
	if c.account > 0 {
		d.Details.ClientAccount = fmt.Sprint("account ", c.account)
	}
	c.arrived = s.now
	d.Ask = Ask{
		Seq: s.nextAsk, Service: "s", Priority: c.priority * max(1, s.rankStep),
		ObjectiveMillis: int(s.objective.Milliseconds()), HomeRegions: s.homes,
		DeadlineMillis: int(min(left, s.timeout).Milliseconds()), Fingerprint: c.number,
	}
	s.b.AskInDetail(simEntry(c.entry), d, s.clock())
}

// deliver carries out the broker's grants and refusals.
func (s *simulation) deliver() {
	for _, o := range s.b.TakeOutputs() {
		if o.Grant != nil {
			g := *o.Grant
			s.schedule(simTrip+simHandling, func() { s.begin(g) })
			continue
		}
		r := *o.Refusal
		c := s.asks[r.Seq]
		delete(s.asks, r.Seq)
		if s.now-c.arrived > s.objective/8 {
			s.result.lateRefusals++
		}
		wait, maxRetries := millis(r.RetryMillis)+simTrip, s.maxRetries
		if c.abusive {
			wait, maxRetries = 2*simTrip, 5
		}
		if c.asks > maxRetries || wait > (c.firstArrival+s.deadline-s.now)/3 {
			s.result.refused++
			continue
		}
		s.schedule(wait, func() { s.ask(c) })
	}
}

// assign gives the requests of the ideal queue to servers that have a free slot
// and run at their usual pace now.
func (s *simulation) assign() {
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

// begin runs a granted request on its server and releases the grant afterwards.
func (s *simulation) begin(g Grant) {
	c := s.asks[g.Seq]
	delete(s.asks, g.Seq)
	s.serve(c, g.Server, func(took time.Duration, timedOut bool) {
		outcome := Answered
		if timedOut {
			outcome = Abandoned
		}
		s.schedule(simTrip, func() {
			s.b.Release(simEntry(c.entry), Release{
				ID: g.ID, Outcome: outcome, ElapsedMillis: int(took.Milliseconds()), KeepAliveMillis: 9000, ResponseBytes: s.responseBytes,
			}, s.clock())
		})
	})
}

// serve runs a request on a server. When it has ended, it calls done with the
// time taken and whether the request exceeded its timeout.
func (s *simulation) serve(c *simRequest, server uint32, done func(took time.Duration, timedOut bool)) {
	s.running[server]++
	if s.pace(server, s.now) != usualPace {
		s.result.slow++
	}
	took := time.Duration(c.serviceTimeFactor * float64(s.serviceTime) * float64(s.pace(server, s.now)) / usualPace)
	if float64(s.running[server]) > slowdownUtilization*float64(s.slots) {
		took = took * 17 / 10
	}
	took += s.cross(c, server)
	timedOut := took > s.timeout
	took = min(took, s.timeout)
	s.schedule(took, func() {
		s.running[server]--
		s.finish(c, timedOut)
		done(took, timedOut)
	})
}

// cross counts a request that leaves its zone or region, and returns its
// additional network delay.
func (s *simulation) cross(c *simRequest, server uint32) time.Duration {
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

// finish counts the outcome of a request.
func (s *simulation) finish(c *simRequest, timedOut bool) {
	took := s.now + simTrip - c.firstArrival
	for _, t := range s.result.tallies(c) {
		if !timedOut {
			t.served++
		}
		if !timedOut && took <= s.objective {
			t.inTime++
		}
	}
	if !timedOut {
		s.result.times = append(s.result.times, took)
	}
	switch {
	case timedOut:
		s.result.timedOut++
	case took <= s.objective:
		s.result.inTime++
		if c.priority == 0 {
			s.result.urgentInTime++
		}
	default:
		s.result.late++
	}
}
