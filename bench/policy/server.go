package policy

import (
	"slices"
	"time"
)

// The behaviour of fake servers.
const (
	// coldFactor times the service time of a cold server.
	coldFactor = 3
	// coldAnswers are the answers after which a cold server bears one more
	// request, up to its slots; afterwards it is warm.
	coldAnswers = 4
	// collapseFactor times the service time of a server that collapsed, for
	// collapseTime.
	collapseFactor = 50
	collapseTime   = time.Second
	// failTime is how long a server that fails fast takes.
	failTime = 200 * time.Microsecond
)

// server is a fake backend server: some slots before one queue in order of
// arrival.
type server struct {
	w     *World
	index int

	generation uint64
	running    []*job
	waiting    []*request

	slow    float64 // of noise and stragglers
	failing bool
	gone    bool

	cold          bool
	coldDone      int
	collapsed     bool
	announcedCold bool

	frozen  int // load report of a frozen endpoint
	history []int
}

// job is a request on a slot.
type job struct {
	r     *request
	left  time.Duration // at speed 1
	since time.Duration
	turn  int
}

// factor returns how much longer work takes now.
func (s *server) factor() float64 {
	f := s.slow
	if s.cold {
		f *= coldFactor
	}
	if s.collapsed {
		f = collapseFactor
	}
	return f
}

// inProgress returns the requests on slots and in the queue.
func (s *server) inProgress() int { return len(s.running) + len(s.waiting) }

// arrive takes a request.
func (s *server) arrive(r *request) {
	switch {
	case s.gone:
		s.w.reply(r, answer{kind: broken})
		return
	case s.failing:
		s.w.after(failTime, func() { s.w.reply(r, answer{kind: serverError, load: s.reported()}) })
		return
	}
	if s.cold && s.inProgress()+1 > 1+s.coldDone/coldAnswers {
		s.collapse()
	}
	if len(s.running) >= s.w.Layout.Slots {
		s.waiting = append(s.waiting, r)
		return
	}
	s.start(r)
}

// collapse makes a cold server that got too much useless for a while.
func (s *server) collapse() {
	if s.collapsed {
		return
	}
	s.w.result.Collapses++
	s.change(func() { s.collapsed = true })
	generation := s.generation
	s.w.after(collapseTime, func() {
		if s.generation == generation {
			s.change(func() { s.collapsed, s.coldDone = false, 0 })
		}
	})
}

// start puts a request on a slot.
func (s *server) start(r *request) {
	j := &job{r: r, left: r.work, since: s.w.now}
	s.running = append(s.running, j)
	s.schedule(j)
}

// schedule plans the end of a job at the present speed.
func (s *server) schedule(j *job) {
	j.turn++
	turn := j.turn
	s.w.after(time.Duration(float64(j.left)*s.factor()), func() {
		if j.turn == turn {
			s.end(j)
		}
	})
}

// change changes what determines the speed and plans all jobs anew.
func (s *server) change(apply func()) {
	old := s.factor()
	for _, j := range s.running {
		j.left -= time.Duration(float64(s.w.now-j.since) / old)
		j.since = s.w.now
	}
	apply()
	for _, j := range s.running {
		s.schedule(j)
	}
}

// cancel drops a request that nobody waits for any more.
func (s *server) cancel(r *request) {
	if at := slices.Index(s.waiting, r); at >= 0 {
		s.waiting = slices.Delete(s.waiting, at, at+1)
		return
	}
	at := slices.IndexFunc(s.running, func(j *job) bool { return j.r == r })
	if at < 0 {
		return
	}
	s.running[at].turn++
	s.running = slices.Delete(s.running, at, at+1)
	s.next()
}

// end answers a job and starts the next request.
func (s *server) end(j *job) {
	for i := range s.running {
		if s.running[i] == j {
			s.running = append(s.running[:i], s.running[i+1:]...)
			break
		}
	}
	if s.cold && !s.collapsed {
		s.coldDone++
		if s.coldDone >= coldAnswers*s.w.Layout.Slots {
			s.change(func() { s.cold = false })
		}
	}
	s.next()
	s.w.reply(j.r, answer{kind: good, load: s.reported()})
	if p, ok := s.w.policy.(*central); ok {
		p.freed(s.index)
	}
}

// next starts waiting requests on free slots.
func (s *server) next() {
	for len(s.waiting) > 0 && len(s.running) < s.w.Layout.Slots {
		next := s.waiting[0]
		s.waiting = s.waiting[1:]
		if s.w.now < next.deadline {
			s.start(next)
			continue
		}
		s.w.reply(next, answer{kind: serverError, load: s.reported()})
	}
}

// crash breaks every request in progress and starts a new, cold life.
func (s *server) crash() {
	s.generation++
	for _, j := range s.running {
		j.turn++
		s.w.reply(j.r, answer{kind: broken})
		if p, ok := s.w.policy.(*central); ok {
			p.freed(s.index)
		}
	}
	for _, r := range s.waiting {
		s.w.reply(r, answer{kind: broken})
	}
	s.running, s.waiting = nil, nil
	s.cold, s.coldDone, s.collapsed = true, 0, false
}

// reported returns the load that the server tells of itself.
func (s *server) reported() int {
	switch s.w.Case.Reports {
	case reportsLag:
		if len(s.history) == 0 {
			return 0
		}
		return s.history[0]
	case reportsFrozen:
		return s.frozen
	case reportsLie:
		if s.index%4 == 0 {
			return 0
		}
	}
	return s.inProgress()
}

// observe keeps the past of the load for old reports.
func (s *server) observe() {
	const samples = 10
	const period = 10 * time.Millisecond
	s.history = append(s.history, s.inProgress())
	if len(s.history) > samples {
		s.history = s.history[1:]
	}
	if s.w.now < time.Second/10 {
		s.frozen = s.inProgress()
	}
	s.w.after(period, s.observe)
}
