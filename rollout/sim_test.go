package rollout

import (
	"container/heap"
	"math"
	"math/rand/v2"
	"time"

	"tanagerbarrow/declare"
)

// world is a service whose roll-out is replayed in virtual time.
type world struct {
	rate     float64
	duration time.Duration
	// old and fresh are the numbers of servers of the old and of the new version.
	old, fresh, slots int
	routes            []float64
	serviceTime       time.Duration
	// noisy makes a quarter of all requests take five times as long.
	noisy bool
	// badOld and badNew are the parts of the servers that fail 45% of their requests.
	badOld, badNew float64
	// failingRoute is a route of which all requests fail; 0 means none.
	failingRoute int
	// fault is what is wrong with the new version.
	fault fault
	// takeover is the time at which another broker takes over; 0 means never.
	takeover time.Duration
}

// fault is what is wrong with a version: it fails a part of its requests, and takes a multiple of
// the time for others, after a time, on one route, or on servers with more slots in use.
type fault struct {
	fails, slowPart, slowFactor float64
	after                       float64
	onRoute                     int
	aboveLoad                   float64
}

// present reports whether the version is bad at all.
func (f fault) present() bool { return f.fails > 0 || f.slowPart > 0 }

// simServer is a server of the replay.
type simServer struct {
	id         uint32
	canary     bool
	running    int
	grants     int
	badMachine bool
	loadedAt   time.Duration
	failedAt   time.Duration
}

// simEnd is the end of a request.
type simEnd struct {
	at, began time.Duration
	server    *simServer
	route     int
	failed    bool
	slowdown  float64
	// overdue says that the request was found to be slow before its end.
	overdue *bool
}

type simEnds []simEnd

func (e simEnds) Len() int           { return len(e) }
func (e simEnds) Less(i, j int) bool { return e[i].at < e[j].at }
func (e simEnds) Swap(i, j int)      { e[i], e[j] = e[j], e[i] }
func (e *simEnds) Push(x any)        { *e = append(*e, x.(simEnd)) }
func (e *simEnds) Pop() any {
	old := *e
	last := old[len(old)-1]
	*e = old[:len(old)-1]
	return last
}

// outcome is how a roll-out ended.
type outcome struct {
	stage declare.RolloutStage
	at    time.Duration
	// all and exposed are the requests until the due time, and those of the new version.
	all, exposed, badAnswers int
	reason                   string
}

// replay is a replay of a world.
type replay struct {
	world
	random  *rand.Rand
	servers []*simServer
	ends    simEnds
	r       *Rollout
	stage   declare.RolloutStage
	moved   time.Duration
	// pending is a move that is committed at its time.
	pending   declare.RolloutStage
	pendingAt time.Duration
	out       outcome
}

var simStart = time.Unix(1_000_000, 0)

// commitTime is the time from a decision until it is in force.
const commitTime = 150 * time.Millisecond

// play replays a world.
func play(w world, seed uint64) outcome {
	p := &replay{world: w, random: rand.New(rand.NewPCG(seed, 3)), stage: declare.RolloutCanary}
	for n := range w.old + w.fresh {
		s := &simServer{id: uint32(n), canary: n >= w.old, loadedAt: -time.Hour, failedAt: -time.Hour}
		p.servers = append(p.servers, s)
	}
	for _, n := range p.random.Perm(w.old)[:int(w.badOld*float64(w.old))] {
		p.servers[n].badMachine = true
	}
	for _, n := range p.random.Perm(w.fresh)[:int(w.badNew*float64(w.fresh))] {
		p.servers[w.old+n].badMachine = true
	}
	plan := Plan{Began: simStart, Due: simStart.Add(w.duration)}
	begin := func(complete bool, now time.Time) {
		p.r = &Rollout{Plan: plan, Exposure: NewExposure(Bounds{Share: 0.1, Slack: 50}, plan, complete, now), Evidence: NewEvidence()}
	}
	begin(true, simStart)
	next := time.Duration(0)
	const tick = 20 * time.Millisecond
	for now := time.Duration(0); now < 3*w.duration; now += tick {
		for next < now+tick {
			p.finish(next)
			p.arrive(next)
			next += time.Duration(p.random.ExpFloat64() / w.rate * float64(time.Second))
		}
		if w.takeover > 0 && now >= w.takeover && now < w.takeover+tick {
			begin(false, simStart.Add(now))
		}
		p.finish(now)
		if now%(100*time.Millisecond) == 0 {
			p.findOverdue(now)
		}
		if p.decide(now) {
			break
		}
	}
	return p.out
}

// decide moves the roll-out on and reports whether it has ended.
func (p *replay) decide(now time.Duration) bool {
	if p.pending != "" {
		if now < p.pendingAt {
			return false
		}
		p.stage, p.moved, p.pending = p.pending, now, ""
		p.out.stage, p.out.at = p.stage, now
		return p.stage.Ended()
	}
	running, left := 0, 0
	for _, s := range p.servers {
		running += s.running
		if !s.canary {
			left += s.running
		}
	}
	c := Conditions{
		Stage: p.stage, NewServers: p.fresh, NewSlots: p.fresh * p.slots, PeakLoad: float64(running),
		ServiceTime: p.serviceTime, SwitchedAt: simStart.Add(p.moved), LeftOnOld: left,
	}
	stage, reason := p.r.Next(c, simStart.Add(now))
	if stage != "" {
		p.pending, p.pendingAt, p.out.reason = stage, now+commitTime, reason+"; "+p.r.Figures()
	}
	return false
}

// arrive places a request.
func (p *replay) arrive(at time.Duration) {
	route, draw := 0, p.random.Float64()
	for n, part := range p.routes {
		route = n
		if draw -= part; draw < 0 {
			break
		}
	}
	now := simStart.Add(at)
	name := string(rune('a' + route))
	canary := p.stage == declare.RolloutSwitching && p.r.Evidence.Verdict() == nil
	grouped := false
	if p.stage == declare.RolloutCanary && p.r.Evidence.Verdict() == nil && p.r.Exposure.Draw(name, now) {
		p.r.Exposure.Took(name)
		canary, grouped = true, p.r.Exposure.Grouping(now)
	}
	var best *simServer
	bestRank := math.Inf(1)
	for _, s := range p.servers {
		if s.canary != canary || s.running >= p.slots {
			continue
		}
		rank := float64(s.running)
		if p.stage == declare.RolloutCanary && canary {
			rank = float64(s.grants)
			if grouped {
				rank = -float64(s.running)
				if at-s.failedAt < 2*time.Second {
					// The broker avoids servers that have just failed.
					rank += float64(p.slots)
				}
			}
		}
		if rank += p.random.Float64() * 0.9; rank < bestRank {
			best, bestRank = s, rank
		}
	}
	p.r.Exposure.Count(canary, false)
	if at < p.duration {
		p.out.all++
	}
	if best == nil {
		return
	}
	if canary && at < p.duration {
		p.out.exposed++
	}
	p.run(best, route, at)
}

// run runs a request on a server.
func (p *replay) run(s *simServer, route int, at time.Duration) {
	s.running++
	s.grants++
	used := float64(s.running) / float64(p.slots)
	took := p.serviceTime.Seconds() * math.Exp(0.35*p.random.NormFloat64()-0.06)
	slowdown := 1.0
	if used > 0.8 {
		took *= 1.6
		slowdown = 1.6
	}
	if used > 0.6 {
		s.loadedAt = at
	}
	if p.noisy && p.random.Float64() < 0.25 {
		took *= 5
	}
	if p.noisy && p.random.Float64() < 0.25 {
		// The pace that is reported at the end is another one.
		slowdown *= 5
	}
	failed := s.badMachine && p.random.Float64() < 0.45 || p.failingRoute > 0 && route == p.failingRoute
	f := p.fault
	if s.canary && f.present() && at.Seconds() >= f.after*p.duration.Seconds() && (f.onRoute < 0 || f.onRoute == route) && used > f.aboveLoad {
		failed = failed || p.random.Float64() < f.fails
		if p.random.Float64() < f.slowPart {
			took *= f.slowFactor
		}
	}
	heap.Push(&p.ends, simEnd{at: at + time.Duration(took*float64(time.Second)), began: at, server: s, route: route, failed: failed, slowdown: slowdown, overdue: new(bool)})
}

// finish ends the requests that have ended.
func (p *replay) finish(now time.Duration) {
	for len(p.ends) > 0 && p.ends[0].at <= now {
		e := heap.Pop(&p.ends).(simEnd)
		e.server.running--
		if e.server.canary && e.failed {
			p.out.badAnswers++
		}
		if e.failed {
			e.server.failedAt = e.at
		}
		if !*e.overdue || e.failed {
			p.record(e, e.at, e.failed)
		}
	}
}

// findOverdue records the requests that are slow already.
func (p *replay) findOverdue(now time.Duration) {
	for _, e := range p.ends {
		limit, known := p.r.Evidence.SlowAfter(string(rune('a' + e.route)))
		if known && !*e.overdue && float64(now-e.began) > float64(limit+100*time.Millisecond)*e.slowdown {
			*e.overdue = true
			p.record(e, now, false)
		}
	}
}

// record records an answer that is known at a time.
func (p *replay) record(e simEnd, at time.Duration, failed bool) {
	p.r.Evidence.Record(Observation{
		Server: e.server.id, Canary: e.server.canary, Route: string(rune('a' + e.route)), Failed: failed,
		Elapsed: at - e.began, Slowdown: e.slowdown, Loaded: e.server.loadedAt >= e.began,
		Began: simStart.Add(e.began), At: simStart.Add(at),
	})
}
