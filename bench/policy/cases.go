package policy

import (
	"math/rand/v2"
	"time"
)

// reports is how load reports of servers are.
type reports uint8

const (
	reportsTrue reports = iota
	reportsLag
	reportsFrozen
	reportsLie
)

// Case is one kind of load and faults.
type Case struct {
	// Name identifies the case.
	Name string
	// Load is the offered load as a share of all slots.
	Load float64
	// Heavy takes Pareto service times in place of lognormal ones.
	Heavy bool
	// Reports is how load reports are.
	Reports reports
	// Length is the measured time; 0 takes 10 s.
	Length time.Duration

	bursts, noisy, straggler, failFast, drain, restart, cut bool
	greedy                                                  bool
	deadline                                                time.Duration
}

// Fault reports whether anything but the load is out of the ordinary.
func (c *Case) Fault() bool {
	return c.noisy || c.straggler || c.failFast || c.drain || c.restart || c.cut || c.Reports != reportsTrue
}

// Cases returns all cases.
func Cases() []Case {
	return []Case{
		{Name: "calm-30", Load: 0.3},
		{Name: "calm-60", Load: 0.6},
		{Name: "calm-80", Load: 0.8},
		{Name: "calm-95", Load: 0.95},
		{Name: "heavy-80", Load: 0.8, Heavy: true},
		{Name: "bursts", Load: 0.6, bursts: true},
		{Name: "noisy", Load: 0.8, noisy: true},
		{Name: "straggler", Load: 0.7, straggler: true},
		{Name: "fail-fast", Load: 0.7, failFast: true},
		{Name: "reports-lag", Load: 0.8, Reports: reportsLag},
		{Name: "reports-frozen", Load: 0.8, Reports: reportsFrozen},
		{Name: "reports-lie", Load: 0.8, Reports: reportsLie},
		{Name: "drain", Load: 0.7, drain: true},
		{Name: "restart", Load: 0.7, restart: true},
		{Name: "cut", Load: 0.8, cut: true},
		{Name: "all-faults", Load: 0.7, noisy: true, straggler: true, failFast: true, restart: true, Reports: reportsLie},
		{Name: "overload-200", Load: 2, greedy: true, deadline: time.Second},
	}
}

// The times of a run and its faults.
const (
	warmUp       = time.Second
	measured     = 10 * time.Second
	drainTime    = 2 * time.Second
	callerWaits  = 5 * time.Second
	burstPeriod  = 500 * time.Millisecond
	burstTime    = 20 * time.Millisecond
	burstFactor  = 4
	noiseMean    = 4 * time.Second
	leaveLearnt  = 20 * time.Millisecond
	faultPeriod  = 2 * time.Second
	faultTime    = time.Second
	slowStraggle = 10
)

// length returns the measured time.
func (c *Case) length() time.Duration {
	if c.Length > 0 {
		return c.Length
	}
	return measured
}

// Run runs a policy through a case and returns what was seen.
func Run(l Layout, c Case, p Policy, seed uint64) *Result {
	w := &World{
		Layout: l, Case: c, policy: p, result: newResult(),
		random: rand.New(rand.NewPCG(seed, 1)), left: map[int]bool{},
	}
	for i := range l.Servers {
		s := &server{w: w, index: i, generation: 1, slow: 1}
		w.servers = append(w.servers, s)
		s.observe()
	}
	p.Start(w)
	w.faults()
	for e := range l.Entries {
		w.arrivals(e)
	}
	w.run(warmUp + c.length() + min(drainTime, c.length()))
	w.result.Seconds = c.length().Seconds()
	w.result.Capacity = float64(l.Servers*l.Slots) / meanService.Seconds()
	return w.result
}

// arrivals brings requests to one entry.
func (w *World) arrivals(entry int) {
	if w.now > warmUp+w.Case.length() {
		return
	}
	rate := w.Case.Load * float64(w.Layout.Servers*w.Layout.Slots) / float64(meanService) / float64(w.Layout.Entries)
	if w.Case.bursts && w.now%burstPeriod < burstTime {
		rate *= burstFactor
	}
	wait := w.exponential(time.Duration(1 / rate))
	if next := burstPeriod - w.now%burstPeriod; w.Case.bursts && wait > next {
		w.after(next, func() { w.arrivals(entry) })
		return
	}
	w.after(wait, func() {
		waits := callerWaits
		if w.Case.deadline > 0 {
			waits = w.Case.deadline
		}
		w.policy.Arrive(&request{
			entry: entry, account: w.account(), arrived: w.now, deadline: w.now + waits, work: w.service(),
		})
		w.arrivals(entry)
	})
}

// accounts is the number of client accounts; account 0 may be greedy.
const accounts = 10

// account returns the account of a request. The greedy one sends three quarters
// of all; each other then stays within its share.
func (w *World) account() int {
	if w.Case.greedy && w.random.Float64() < 0.75 {
		return 0
	}
	return 1 + w.random.IntN(accounts-1)
}

// faults starts the faults of the case.
func (w *World) faults() {
	if w.Case.noisy {
		for _, s := range w.servers {
			w.noise(s)
		}
	}
	turns := []struct {
		on  bool
		run func(*server)
	}{
		{w.Case.straggler, w.straggle},
		{w.Case.failFast, w.failFast},
		{w.Case.drain, w.leave},
		{w.Case.restart, w.restart},
	}
	for i, turn := range turns {
		if turn.on {
			w.after(time.Duration(i)*faultPeriod/4, func() { w.repeat(turn.run) })
		}
	}
}

// repeat applies a fault to a random server again and again.
func (w *World) repeat(fault func(*server)) {
	s := w.servers[w.random.IntN(len(w.servers))]
	if !s.gone {
		fault(s)
	}
	w.after(faultPeriod, func() { w.repeat(fault) })
}

// noise slows a server now and then.
func (w *World) noise(s *server) {
	w.after(w.exponential(noiseMean), func() {
		factor := 5 + 15*w.random.Float64()
		s.change(func() { s.slow *= factor })
		length := 5*time.Millisecond + time.Duration(w.random.Int64N(int64(195*time.Millisecond)))
		w.after(length, func() {
			s.change(func() { s.slow /= factor })
			w.noise(s)
		})
	})
}

// straggle slows a server for long.
func (w *World) straggle(s *server) {
	s.change(func() { s.slow *= slowStraggle })
	w.after(faultTime, func() { s.change(func() { s.slow /= slowStraggle }) })
}

// failFast makes a server answer at once with errors.
func (w *World) failFast(s *server) {
	s.failing = true
	w.after(faultTime, func() { s.failing = false })
}

// leave makes a server drain, stop, and come back cold.
func (w *World) leave(s *server) {
	w.after(leaveLearnt, func() {
		w.left[s.index] = true
		w.policy.Members()
	})
	w.after(faultTime/2, func() {
		s.gone = true
		s.crash()
	})
	w.after(faultTime, func() {
		s.gone, s.announcedCold = false, true
		delete(w.left, s.index)
		w.policy.Members()
		w.announceReady(s)
	})
}

// restart makes a server crash and return cold at once; entries learn of the new
// life only later.
func (w *World) restart(s *server) {
	s.crash()
	w.after(leaveLearnt, func() {
		s.announcedCold = true
		w.policy.Members()
		w.announceReady(s)
	})
}

// announceReady makes a cold server say that it is ready a while after its
// start, whatever it bears.
func (w *World) announceReady(s *server) {
	generation := s.generation
	w.after(faultTime/4, func() {
		if s.generation == generation {
			s.announcedCold = false
			w.policy.Members()
		}
	})
}

// cutNow reports whether entries cannot reach each other.
func (w *World) cutNow() bool {
	return w.Case.cut && w.now > warmUp+w.Case.length()/3 && w.now < warmUp+2*w.Case.length()/3
}
