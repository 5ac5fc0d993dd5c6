package policy

import (
	"math"
	"slices"
	"time"
)

// chooser chooses one of the servers for a request.
type chooser func(r *request, servers []int) int

// localPolicy is a policy that sends each request at once, based on the observations
// of one entry. Each entry counts its own requests in progress.
type localPolicy struct {
	sim          *Simulation
	newChooser   func(s *localPolicy) chooser
	choose       chooser
	inFlight     [][]int
	nextIndex    []int
	meanLatency  [][]float64
	reportedLoad [][]float64
	reportedAt   [][]time.Duration
	candidates   [][]int
}

// Start implements Policy.
func (s *localPolicy) Start(sim *Simulation) {
	s.sim = sim
	s.nextIndex = make([]int, sim.Layout.Entries)
	for e := range sim.Layout.Entries {
		s.nextIndex[e] = sim.random.IntN(sim.Layout.Servers)
		s.inFlight = append(s.inFlight, make([]int, sim.Layout.Servers))
		s.meanLatency = append(s.meanLatency, make([]float64, sim.Layout.Servers))
		s.reportedLoad = append(s.reportedLoad, make([]float64, sim.Layout.Servers))
		s.reportedAt = append(s.reportedAt, make([]time.Duration, sim.Layout.Servers))
	}
	s.choose = s.newChooser(s)
	s.MembersChanged()
}

// MembersChanged updates the candidate servers of every entry.
func (s *localPolicy) MembersChanged() {
	s.candidates = nil
	for e := range s.sim.Layout.Entries {
		s.candidates = append(s.candidates, s.sim.candidateServers(e))
	}
}

// RequestArrived sends the request at once, or rejects it if there is no server.
func (s *localPolicy) RequestArrived(r *request) {
	candidates := s.candidates[r.entry]
	if len(candidates) == 0 {
		s.sim.reject(r)
		return
	}
	to := s.choose(r, candidates)
	s.inFlight[r.entry][to]++
	s.sim.send(r, to)
}

// RequestEnded updates the count, the reported load and the moving-average latency
// of the server.
func (s *localPolicy) RequestEnded(r *request, a answer) {
	s.inFlight[r.entry][r.server]--
	s.reportedLoad[r.entry][r.server] = float64(a.reportedLoad)
	s.reportedAt[r.entry][r.server] = s.sim.now
	latency := float64(s.sim.now - r.sentAt)
	mean := &s.meanLatency[r.entry][r.server]
	if *mean == 0 {
		*mean = latency
	}
	*mean += (latency - *mean) / 10
}

// least returns the server with the lowest score. It breaks ties at random.
func (s *localPolicy) least(servers []int, score func(server int) float64) int {
	best, bestScore, ties := servers[0], math.Inf(1), 1
	for _, i := range servers {
		switch x := score(i); {
		case x < bestScore:
			best, bestScore, ties = i, x, 1
		case x == bestScore:
			ties++
			if s.sim.random.IntN(ties) == 0 {
				best = i
			}
		}
	}
	return best
}

// betterOfTwo returns the one of two random servers with the lower score.
func (s *localPolicy) betterOfTwo(servers []int, score func(server int) float64) int {
	first := servers[s.sim.random.IntN(len(servers))]
	second := servers[s.sim.random.IntN(len(servers))]
	return s.least([]int{first, second}, score)
}

// RoundRobin returns a policy that uses servers in turn.
func RoundRobin() Policy {
	return &localPolicy{newChooser: func(s *localPolicy) chooser {
		return func(r *request, servers []int) int {
			s.nextIndex[r.entry]++
			return servers[s.nextIndex[r.entry]%len(servers)]
		}
	}}
}

// Random returns a policy that chooses a random server.
func Random() Policy {
	return &localPolicy{newChooser: func(s *localPolicy) chooser {
		return func(_ *request, servers []int) int { return servers[s.sim.random.IntN(len(servers))] }
	}}
}

// LeastLocal returns a policy that chooses the server with the fewest requests in
// progress from the same entry.
func LeastLocal() Policy {
	return &localPolicy{newChooser: func(s *localPolicy) chooser {
		return func(r *request, servers []int) int {
			return s.least(servers, func(i int) float64 { return float64(s.inFlight[r.entry][i]) })
		}
	}}
}

// TwoChoices returns a policy that chooses the one of two random servers with fewer
// requests in progress from the same entry.
func TwoChoices() Policy {
	return &localPolicy{newChooser: func(s *localPolicy) chooser {
		return func(r *request, servers []int) int {
			return s.betterOfTwo(servers, func(i int) float64 { return float64(s.inFlight[r.entry][i]) })
		}
	}}
}

// TwoLatency returns a policy that chooses the one of two random servers with the
// lower product of moving-average latency and own requests in progress plus one.
func TwoLatency() Policy {
	return &localPolicy{newChooser: func(s *localPolicy) chooser {
		return func(r *request, servers []int) int {
			return s.betterOfTwo(servers, func(i int) float64 {
				return s.meanLatency[r.entry][i] * float64(1+s.inFlight[r.entry][i])
			})
		}
	}}
}

// Piggyback returns a policy that chooses the server with the lowest sum of own
// requests in progress and the load reported in its last answer. The weight of a
// reported load falls linearly to 0 within 100 ms.
func Piggyback() Policy {
	const maxAge = float64(100 * time.Millisecond)
	return &localPolicy{newChooser: func(s *localPolicy) chooser {
		return func(r *request, servers []int) int {
			return s.least(servers, func(i int) float64 {
				age := float64(s.sim.now - s.reportedAt[r.entry][i])
				return float64(s.inFlight[r.entry][i]) + s.reportedLoad[r.entry][i]*max(0, 1-age/maxAge)
			})
		}
	}}
}

// The parameters of the probe pool. Sizes of messages are in bytes.
const (
	probePoolSize    = 8
	probeDuration    = 6 * time.Millisecond
	probeBytes       = 200
	probeMaxAge      = 100 * time.Millisecond
	probesPerRequest = 2
)

// probe is the result of one load probe.
type probe struct {
	server     int
	load       int
	receivedAt time.Duration
}

// ProbePool returns a policy that keeps a pool of probe results, each used once, and
// probes two random servers for each request, as in Wydrowski et al., "Load is not what you should
// balance: Introducing Prequal" (NSDI 2024), here by requests in progress alone.
func ProbePool() Policy {
	return &localPolicy{newChooser: func(s *localPolicy) chooser {
		pools := make([][]probe, s.sim.Layout.Entries)
		return func(r *request, servers []int) int {
			for range probesPerRequest {
				s.sendProbe(r.entry, servers[s.sim.random.IntN(len(servers))], &pools[r.entry])
			}
			pool := slices.DeleteFunc(pools[r.entry], func(p probe) bool { return s.sim.now-p.receivedAt > probeMaxAge })
			pools[r.entry] = pool
			if len(pool) < 2 {
				return servers[s.sim.random.IntN(len(servers))]
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

// sendProbe sends a load probe to a server and adds the result to the pool.
func (s *localPolicy) sendProbe(entry, server int, pool *[]probe) {
	s.sim.result.Probes++
	s.sim.message(entry, server, probeBytes, func() {
		load := s.sim.servers[server].reportedLoad()
		s.sim.after(probeDuration-2*inZoneDelay, func() {
			s.sim.message(server, entry, probeBytes, func() {
				*pool = append(*pool, probe{server: server, load: load, receivedAt: s.sim.now})
				if len(*pool) > probePoolSize {
					*pool = (*pool)[1:]
				}
			})
		})
	})
}
