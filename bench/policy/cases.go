package policy

import (
	"math/rand/v2"
	"time"
)

// loadReportKind says how accurate the load reports of servers are.
type loadReportKind uint8

const (
	accurateReports loadReportKind = iota
	delayedReports
	frozenReports
	falseReports
)

// Case is a combination of offered load and faults.
type Case struct {
	// Name identifies the case.
	Name string
	// Load is the offered load as a fraction of the capacity of all slots.
	Load float64
	// HeavyTailed draws service times from a Pareto distribution instead of a
	// lognormal one.
	HeavyTailed bool
	// LoadReports says how accurate the load reports of servers are.
	LoadReports loadReportKind
	// MeasuredTime is the length of the measurement after the warm-up; 0 means 10 s.
	MeasuredTime time.Duration

	bursts, noisy, straggler, failFast, drain, restart, cutExchange bool
	greedyAccount                                                   bool
	deadline                                                        time.Duration
}

// HasFault reports whether the case contains a server, network or load report
// fault. Bursts, heavy tails and overload are not faults.
func (c *Case) HasFault() bool {
	return c.noisy || c.straggler || c.failFast || c.drain || c.restart || c.cutExchange || c.LoadReports != accurateReports
}

// Cases returns all cases.
func Cases() []Case {
	return []Case{
		{Name: "calm-30", Load: 0.3},
		{Name: "calm-60", Load: 0.6},
		{Name: "calm-80", Load: 0.8},
		{Name: "calm-95", Load: 0.95},
		{Name: "heavy-80", Load: 0.8, HeavyTailed: true},
		{Name: "bursts", Load: 0.6, bursts: true},
		{Name: "noisy", Load: 0.8, noisy: true},
		{Name: "straggler", Load: 0.7, straggler: true},
		{Name: "fail-fast", Load: 0.7, failFast: true},
		{Name: "reports-lag", Load: 0.8, LoadReports: delayedReports},
		{Name: "reports-frozen", Load: 0.8, LoadReports: frozenReports},
		{Name: "reports-lie", Load: 0.8, LoadReports: falseReports},
		{Name: "drain", Load: 0.7, drain: true},
		{Name: "restart", Load: 0.7, restart: true},
		{Name: "cut", Load: 0.8, cutExchange: true},
		{Name: "all-faults", Load: 0.7, noisy: true, straggler: true, failFast: true, restart: true, LoadReports: falseReports},
		{Name: "overload-200", Load: 2, greedyAccount: true, deadline: time.Second},
	}
}

// The times of a run and its faults, and the factors by which faults change
// request rates and service times.
const (
	warmUp              = time.Second
	defaultMeasuredTime = 10 * time.Second
	completionTime      = 2 * time.Second
	callerTimeout       = 5 * time.Second
	burstPeriod         = 500 * time.Millisecond
	burstLength         = 20 * time.Millisecond
	burstRateFactor     = 4
	meanNoiseInterval   = 4 * time.Second
	membershipDelay     = 20 * time.Millisecond
	faultPeriod         = 2 * time.Second
	faultLength         = time.Second
	stragglerSlowdown   = 10
)

// measuredTime returns the length of the measurement.
func (c *Case) measuredTime() time.Duration {
	if c.MeasuredTime > 0 {
		return c.MeasuredTime
	}
	return defaultMeasuredTime
}

// Run simulates a policy under a case and returns the measurements.
func Run(l Layout, c Case, p Policy, seed uint64) *Result {
	sim := &Simulation{
		Layout: l, Case: c, policy: p, result: newResult(),
		random: rand.New(rand.NewPCG(seed, 1)), knownLeaving: map[int]bool{},
	}
	for i := range l.Servers {
		s := &fakeServer{sim: sim, index: i, generation: 1, faultSlowdown: 1}
		sim.servers = append(sim.servers, s)
		s.sampleLoad()
	}
	p.Start(sim)
	sim.startFaults()
	for e := range l.Entries {
		sim.scheduleArrival(e)
	}
	sim.run(warmUp + c.measuredTime() + min(completionTime, c.measuredTime()))
	sim.result.MeasuredSeconds = c.measuredTime().Seconds()
	sim.result.Capacity = float64(l.Servers*l.Slots) / meanService.Seconds()
	return sim.result
}

// scheduleArrival schedules the next request at one entry. Each request schedules
// its successor until the measurement ends.
func (sim *Simulation) scheduleArrival(entry int) {
	if sim.now > warmUp+sim.Case.measuredTime() {
		return
	}
	rate := sim.Case.Load * float64(sim.Layout.Servers*sim.Layout.Slots) / float64(meanService) / float64(sim.Layout.Entries)
	if sim.Case.bursts && sim.now%burstPeriod < burstLength {
		rate *= burstRateFactor
	}
	wait := sim.exponential(time.Duration(1 / rate))
	if untilNextPeriod := burstPeriod - sim.now%burstPeriod; sim.Case.bursts && wait > untilNextPeriod {
		sim.after(untilNextPeriod, func() { sim.scheduleArrival(entry) })
		return
	}
	sim.after(wait, func() {
		timeout := callerTimeout
		if sim.Case.deadline > 0 {
			timeout = sim.Case.deadline
		}
		sim.policy.RequestArrived(&request{
			entry: entry, account: sim.randomAccount(), arrivedAt: sim.now, deadline: sim.now + timeout, serviceTime: sim.randomServiceTime(),
		})
		sim.scheduleArrival(entry)
	})
}

// accountCount is the number of client accounts. Account 0 sends requests only in
// cases with a greedy account.
const accountCount = 10

// randomAccount returns the client account of a new request. A greedy account sends
// three quarters of all requests, so that every other account stays within its
// fair share.
func (sim *Simulation) randomAccount() int {
	if sim.Case.greedyAccount && sim.random.Float64() < 0.75 {
		return 0
	}
	return 1 + sim.random.IntN(accountCount-1)
}

// startFaults schedules the faults of the case.
func (sim *Simulation) startFaults() {
	if sim.Case.noisy {
		for _, s := range sim.servers {
			sim.scheduleNoise(s)
		}
	}
	repeatedFaults := []struct {
		enabled bool
		apply   func(*fakeServer)
	}{
		{sim.Case.straggler, sim.makeStraggler},
		{sim.Case.failFast, sim.failFast},
		{sim.Case.drain, sim.drainAndRestart},
		{sim.Case.restart, sim.crashAndRestart},
	}
	for i, f := range repeatedFaults {
		if f.enabled {
			sim.after(time.Duration(i)*faultPeriod/4, func() { sim.repeatFault(f.apply) })
		}
	}
}

// repeatFault applies a fault to a random server once in each faultPeriod.
func (sim *Simulation) repeatFault(fault func(*fakeServer)) {
	s := sim.servers[sim.random.IntN(len(sim.servers))]
	if !s.stopped {
		fault(s)
	}
	sim.after(faultPeriod, func() { sim.repeatFault(fault) })
}

// scheduleNoise slows a server down by a factor of 5 to 20 for 5 to 200 ms, at
// random intervals.
func (sim *Simulation) scheduleNoise(s *fakeServer) {
	sim.after(sim.exponential(meanNoiseInterval), func() {
		factor := 5 + 15*sim.random.Float64()
		s.changeSpeed(func() { s.faultSlowdown *= factor })
		duration := 5*time.Millisecond + time.Duration(sim.random.Int64N(int64(195*time.Millisecond)))
		sim.after(duration, func() {
			s.changeSpeed(func() { s.faultSlowdown /= factor })
			sim.scheduleNoise(s)
		})
	})
}

// makeStraggler slows a server down for faultLength.
func (sim *Simulation) makeStraggler(s *fakeServer) {
	s.changeSpeed(func() { s.faultSlowdown *= stragglerSlowdown })
	sim.after(faultLength, func() { s.changeSpeed(func() { s.faultSlowdown /= stragglerSlowdown }) })
}

// failFast makes a server answer every request with a fast error for faultLength.
func (sim *Simulation) failFast(s *fakeServer) {
	s.failing = true
	sim.after(faultLength, func() { s.failing = false })
}

// drainAndRestart makes a server drain, stop, and return cold.
func (sim *Simulation) drainAndRestart(s *fakeServer) {
	sim.after(membershipDelay, func() {
		sim.knownLeaving[s.index] = true
		sim.policy.MembersChanged()
	})
	sim.after(faultLength/2, func() {
		s.stopped = true
		s.crash()
	})
	sim.after(faultLength, func() {
		s.stopped, s.announcedCold = false, true
		delete(sim.knownLeaving, s.index)
		sim.policy.MembersChanged()
		sim.announceReady(s)
	})
}

// crashAndRestart makes a server crash and return cold at once. Entries receive
// the new generation only after membershipDelay.
func (sim *Simulation) crashAndRestart(s *fakeServer) {
	s.crash()
	sim.after(membershipDelay, func() {
		s.announcedCold = true
		sim.policy.MembersChanged()
		sim.announceReady(s)
	})
}

// announceReady makes a cold server announce that it is ready a fixed time after
// its start, even if it is still cold.
func (sim *Simulation) announceReady(s *fakeServer) {
	generation := s.generation
	sim.after(faultLength/4, func() {
		if s.generation == generation {
			s.announcedCold = false
			sim.policy.MembersChanged()
		}
	})
}

// exchangeIsCut reports whether entries cannot reach each other: in the middle
// third of the measurement of a case that cuts the exchange.
func (sim *Simulation) exchangeIsCut() bool {
	return sim.Case.cutExchange && sim.now > warmUp+sim.Case.measuredTime()/3 && sim.now < warmUp+2*sim.Case.measuredTime()/3
}
