package policy

import (
	"math"
	"slices"
	"time"
)

// chooser picks one of the servers for a request.
type chooser func(r *request, servers []int) int

// simple is a policy that decides at once from what one entry knows. Each entry
// counts its own requests in progress.
type simple struct {
	w        *World
	choose   func(s *simple) chooser
	pick     chooser
	inFlight [][]int
	next     []int
	latency  [][]float64
	reported [][]float64
	heard    [][]time.Duration
	nearOf   [][]int
}

// Start prepares the counts.
func (s *simple) Start(w *World) {
	s.w = w
	s.next = make([]int, w.Layout.Entries)
	for e := range w.Layout.Entries {
		s.next[e] = w.random.IntN(w.Layout.Servers)
		s.inFlight = append(s.inFlight, make([]int, w.Layout.Servers))
		s.latency = append(s.latency, make([]float64, w.Layout.Servers))
		s.reported = append(s.reported, make([]float64, w.Layout.Servers))
		s.heard = append(s.heard, make([]time.Duration, w.Layout.Servers))
	}
	s.pick = s.choose(s)
	s.Members()
}

// Members reads the members anew.
func (s *simple) Members() {
	s.nearOf = nil
	for e := range s.w.Layout.Entries {
		s.nearOf = append(s.nearOf, s.w.near(e))
	}
}

// Arrive sends the request at once.
func (s *simple) Arrive(r *request) {
	near := s.nearOf[r.entry]
	if len(near) == 0 {
		s.w.reject(r)
		return
	}
	to := s.pick(r, near)
	s.inFlight[r.entry][to]++
	s.w.send(r, to)
}

// Answered ends the count.
func (s *simple) Answered(r *request, a answer) {
	s.inFlight[r.entry][r.server]--
	s.reported[r.entry][r.server] = float64(a.load)
	s.heard[r.entry][r.server] = s.w.now
	took := float64(s.w.now - r.sent)
	l := &s.latency[r.entry][r.server]
	if *l == 0 {
		*l = took
	}
	*l += (took - *l) / 10
}

// least returns the server with the lowest score, ties at random.
func (s *simple) least(servers []int, score func(server int) float64) int {
	best, bestScore, ties := servers[0], math.Inf(1), 1
	for _, i := range servers {
		switch x := score(i); {
		case x < bestScore:
			best, bestScore, ties = i, x, 1
		case x == bestScore:
			ties++
			if s.w.random.IntN(ties) == 0 {
				best = i
			}
		}
	}
	return best
}

// two returns the better of two random servers.
func (s *simple) two(servers []int, score func(server int) float64) int {
	a := servers[s.w.random.IntN(len(servers))]
	b := servers[s.w.random.IntN(len(servers))]
	return s.least([]int{a, b}, score)
}

// RoundRobin takes servers in turn.
func RoundRobin() Policy {
	return &simple{choose: func(s *simple) chooser {
		return func(r *request, servers []int) int {
			s.next[r.entry]++
			return servers[s.next[r.entry]%len(servers)]
		}
	}}
}

// Random takes a random server.
func Random() Policy {
	return &simple{choose: func(s *simple) chooser {
		return func(_ *request, servers []int) int { return servers[s.w.random.IntN(len(servers))] }
	}}
}

// LeastLocal takes the server with the fewest own requests in progress.
func LeastLocal() Policy {
	return &simple{choose: func(s *simple) chooser {
		return func(r *request, servers []int) int {
			return s.least(servers, func(i int) float64 { return float64(s.inFlight[r.entry][i]) })
		}
	}}
}

// TwoChoices takes the better of two by own requests in progress.
func TwoChoices() Policy {
	return &simple{choose: func(s *simple) chooser {
		return func(r *request, servers []int) int {
			return s.two(servers, func(i int) float64 { return float64(s.inFlight[r.entry][i]) })
		}
	}}
}

// TwoLatency takes the better of two by moving-average latency times own
// requests in progress.
func TwoLatency() Policy {
	return &simple{choose: func(s *simple) chooser {
		return func(r *request, servers []int) int {
			return s.two(servers, func(i int) float64 {
				return s.latency[r.entry][i] * float64(1+s.inFlight[r.entry][i])
			})
		}
	}}
}

// Piggyback adds the load that answers carried, fading within 100 ms, to own
// requests in progress.
func Piggyback() Policy {
	const fade = float64(100 * time.Millisecond)
	return &simple{choose: func(s *simple) chooser {
		return func(r *request, servers []int) int {
			return s.least(servers, func(i int) float64 {
				age := float64(s.w.now - s.heard[r.entry][i])
				return float64(s.inFlight[r.entry][i]) + s.reported[r.entry][i]*max(0, 1-age/fade)
			})
		}
	}}
}

// The probe pool.
const (
	probePool    = 8
	probeTime    = 6 * time.Millisecond
	probeBytes   = 200
	probeMaxAge  = 100 * time.Millisecond
	probesForOne = 2
)

// probe is the result of one question about load.
type probe struct {
	server int
	load   int
	at     time.Duration
}

// ProbePool keeps a pool of probe results, each used once, and asks two random
// servers for each request, as in Wydrowski et al., "Load is not what you should
// balance: Introducing Prequal" (NSDI 2024), here by requests in progress alone.
func ProbePool() Policy {
	return &simple{choose: func(s *simple) chooser {
		pools := make([][]probe, s.w.Layout.Entries)
		return func(r *request, servers []int) int {
			for range probesForOne {
				s.ask(r.entry, servers[s.w.random.IntN(len(servers))], &pools[r.entry])
			}
			pool := slices.DeleteFunc(pools[r.entry], func(p probe) bool { return s.w.now-p.at > probeMaxAge })
			pools[r.entry] = pool
			if len(pool) < 2 {
				return servers[s.w.random.IntN(len(servers))]
			}
			best := 0
			for i := range pool {
				if pool[i].load < pool[best].load {
					best = i
				}
			}
			to := pool[best].server
			pools[r.entry] = slices.Delete(pool, best, best+1)
			return to
		}
	}}
}

// ask probes a server.
func (s *simple) ask(entry, server int, pool *[]probe) {
	s.w.result.Probes++
	s.w.message(entry, server, probeBytes, func() {
		load := s.w.servers[server].reported()
		s.w.after(probeTime-2*localHop, func() {
			s.w.message(server, entry, probeBytes, func() {
				*pool = append(*pool, probe{server: server, load: load, at: s.w.now})
				if len(*pool) > probePool {
					*pool = (*pool)[1:]
				}
			})
		})
	})
}
