package policy

import (
	"slices"
	"time"
)

// The behavior of fake servers.
const (
	// coldSlowdown multiplies the service time of a cold server.
	coldSlowdown = 3
	// coldAnswersPerSlot is the number of answers after which a cold server can serve
	// one more concurrent request, up to its slots; afterwards it is warm.
	coldAnswersPerSlot = 4
	// collapseSlowdown multiplies the service time of an overloaded cold server for
	// collapseLength.
	collapseSlowdown = 50
	collapseLength   = time.Second
	// failFastLatency is how long a server that fails fast takes to answer.
	failFastLatency = 200 * time.Microsecond
)

// fakeServer is a simulated backend server: a number of slots that serve one FIFO
// queue.
type fakeServer struct {
	sim   *Simulation
	index int

	generation uint64
	running    []*job
	waiting    []*request

	faultSlowdown float64 // factor on service times, from noise and stragglers
	failing       bool
	stopped       bool

	cold          bool
	coldAnswered  int
	collapsed     bool
	announcedCold bool

	frozenLoad  int // load that a server with frozen reports keeps reporting
	loadHistory []int
}

// job is a request on a slot.
type job struct {
	request         *request
	remaining       time.Duration // service time left at a slowdown of 1
	updatedAt       time.Duration
	scheduleVersion int
}

// slowdown returns the factor that currently multiplies service times.
func (s *fakeServer) slowdown() float64 {
	f := s.faultSlowdown
	if s.cold {
		f *= coldSlowdown
	}
	if s.collapsed {
		f = collapseSlowdown
	}
	return f
}

// inProgress returns the number of requests on slots and in the queue.
func (s *fakeServer) inProgress() int { return len(s.running) + len(s.waiting) }

// arrive starts or queues a request. A stopped or failing server answers with an
// error, and a cold server above its capacity collapses.
func (s *fakeServer) arrive(r *request) {
	switch {
	case s.stopped:
		s.sim.reply(r, answer{kind: broken})
		return
	case s.failing:
		s.sim.after(failFastLatency, func() { s.sim.reply(r, answer{kind: serverError, reportedLoad: s.reportedLoad()}) })
		return
	}
	if s.cold && s.inProgress()+1 > 1+s.coldAnswered/coldAnswersPerSlot {
		s.collapse()
	}
	if len(s.running) >= s.sim.Layout.Slots {
		s.waiting = append(s.waiting, r)
		return
	}
	s.start(r)
}

// collapse makes an overloaded cold server nearly useless for collapseLength.
func (s *fakeServer) collapse() {
	if s.collapsed {
		return
	}
	s.sim.result.Collapses++
	s.changeSpeed(func() { s.collapsed = true })
	generation := s.generation
	s.sim.after(collapseLength, func() {
		if s.generation == generation {
			s.changeSpeed(func() { s.collapsed, s.coldAnswered = false, 0 })
		}
	})
}

// start puts a request on a slot.
func (s *fakeServer) start(r *request) {
	j := &job{request: r, remaining: r.serviceTime, updatedAt: s.sim.now}
	s.running = append(s.running, j)
	s.schedule(j)
}

// schedule schedules the completion of a job at the current speed. It invalidates
// the previously scheduled completion.
func (s *fakeServer) schedule(j *job) {
	j.scheduleVersion++
	version := j.scheduleVersion
	s.sim.after(time.Duration(float64(j.remaining)*s.slowdown()), func() {
		if j.scheduleVersion == version {
			s.complete(j)
		}
	})
}

// changeSpeed calls apply, which changes the slowdown, and reschedules the completion
// of all running jobs.
func (s *fakeServer) changeSpeed(apply func()) {
	old := s.slowdown()
	for _, j := range s.running {
		j.remaining -= time.Duration(float64(s.sim.now-j.updatedAt) / old)
		j.updatedAt = s.sim.now
	}
	apply()
	for _, j := range s.running {
		s.schedule(j)
	}
}

// cancel removes a request whose answer is no longer needed.
func (s *fakeServer) cancel(r *request) {
	if at := slices.Index(s.waiting, r); at >= 0 {
		s.waiting = slices.Delete(s.waiting, at, at+1)
		return
	}
	at := slices.IndexFunc(s.running, func(j *job) bool { return j.request == r })
	if at < 0 {
		return
	}
	s.running[at].scheduleVersion++
	s.running = slices.Delete(s.running, at, at+1)
	s.startWaiting()
}

// complete answers a job and starts the next request.
func (s *fakeServer) complete(j *job) {
	for i := range s.running {
		if s.running[i] == j {
			s.running = append(s.running[:i], s.running[i+1:]...)
			break
		}
	}
	if s.cold && !s.collapsed {
		s.coldAnswered++
		if s.coldAnswered >= coldAnswersPerSlot*s.sim.Layout.Slots {
			s.changeSpeed(func() { s.cold = false })
		}
	}
	s.startWaiting()
	s.sim.reply(j.request, answer{kind: good, reportedLoad: s.reportedLoad()})
	if p, ok := s.sim.policy.(*central); ok {
		p.slotFreed(s.index)
	}
}

// startWaiting starts waiting requests on free slots. Requests whose deadline has
// passed are answered with a server error.
func (s *fakeServer) startWaiting() {
	for len(s.waiting) > 0 && len(s.running) < s.sim.Layout.Slots {
		next := s.waiting[0]
		s.waiting = s.waiting[1:]
		if s.sim.now < next.deadline {
			s.start(next)
			continue
		}
		s.sim.reply(next, answer{kind: serverError, reportedLoad: s.reportedLoad()})
	}
}

// crash breaks every request in progress and starts a new, cold generation.
func (s *fakeServer) crash() {
	s.generation++
	for _, j := range s.running {
		j.scheduleVersion++
		s.sim.reply(j.request, answer{kind: broken})
		if p, ok := s.sim.policy.(*central); ok {
			p.slotFreed(s.index)
		}
	}
	for _, r := range s.waiting {
		s.sim.reply(r, answer{kind: broken})
	}
	s.running, s.waiting = nil, nil
	s.cold, s.coldAnswered, s.collapsed = true, 0, false
}

// reportedLoad returns the load that the server reports, in requests in progress.
func (s *fakeServer) reportedLoad() int {
	switch s.sim.Case.LoadReports {
	case delayedReports:
		if len(s.loadHistory) == 0 {
			return 0
		}
		return s.loadHistory[0]
	case frozenReports:
		return s.frozenLoad
	case falseReports:
		if s.index%4 == 0 {
			return 0
		}
	}
	return s.inProgress()
}

// sampleLoad records the load periodically for delayed and frozen reports.
func (s *fakeServer) sampleLoad() {
	const maxSamples = 10
	const period = 10 * time.Millisecond
	s.loadHistory = append(s.loadHistory, s.inProgress())
	if len(s.loadHistory) > maxSamples {
		s.loadHistory = s.loadHistory[1:]
	}
	if s.sim.now < time.Second/10 {
		s.frozenLoad = s.inProgress()
	}
	s.sim.after(period, s.sampleLoad)
}
