package gateway

import (
	"cmp"
	"context"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"time"

	"tanagerbarrow/route"
)

// The constants of choosing a server without a broker.
const (
	// avoidAfterFailure is how long a server is not chosen after a request of this
	// entry failed on it.
	avoidAfterFailure = time.Second
	// otherZoneCost and otherRegionCost are added to the cost of servers in another
	// availability zone or region so that nearer ones are preferred, in running
	// requests.
	otherZoneCost   = 0.2
	otherRegionCost = 0.6
	// maxCandidates is how many servers are asked for their load. One in four machines
	// is slow at a time, so that one of three nearly always runs at its usual pace.
	maxCandidates = 3
	// loadTimeout bounds the wait for their responses: twice the round trip between
	// regions.
	loadTimeout = 40 * time.Millisecond
)

// aloneChooser chooses servers while there is no broker.
type aloneChooser struct {
	view *view
	zone string
	// readLoad requests a server's load.
	readLoad func(context.Context, *server) (checkResponse, error)
}

// choose chooses a backend server without a broker and counts the request on it. It
// asks the cheapest servers for their load at the same time, because nothing else
// tells which of them have a free slot and run at their usual pace: a blind choice
// meets a slow machine with every fourth request. Servers that name a request limit are
// not asked, and are used only if there are no others. It returns nil if no server may
// be used.
func (a *aloneChooser) choose(ctx context.Context, service string, r *route.Route, avoid []uint32) *server {
	unlimited, limited := a.view.candidatesWithoutBroker(service, r, a.zone, avoid, false, time.Now())
	var best *server
	switch len(unlimited) {
	case 0:
		best = a.view.takeLimitTurn(limited, time.Now(), rand.Float64())
	case 1:
		best = unlimited[0]
	default:
		best = a.leastLoaded(ctx, unlimited)
	}
	if best != nil {
		a.view.startRequest(best)
	}
	return best
}

// loadReport is a candidate's response.
type loadReport struct {
	server *server
	// position is the candidate's place in the order of cost.
	position int
	response checkResponse
	err      error
}

// leastLoaded returns the first candidate that reports a free slot and its usual pace.
// If none does within loadTimeout, it returns the best of the others, or nil if all have
// turned cold or are gone.
func (a *aloneChooser) leastLoaded(ctx context.Context, candidates []*server) *server {
	requestsCtx, cancel := context.WithTimeout(ctx, loadTimeout)
	reports := make(chan loadReport, len(candidates))
	var requests sync.WaitGroup
	for at, s := range candidates {
		requests.Go(func() {
			res, err := a.readLoad(requestsCtx, s)
			reports <- loadReport{s, at, res, err}
		})
	}
	go func() {
		// Requests that are still in progress keep their connections usable.
		requests.Wait()
		cancel()
	}()
	received := make([]loadReport, len(candidates))
	for at, s := range candidates {
		received[at] = loadReport{server: s, position: at, err: context.DeadlineExceeded}
	}
	timeout := time.NewTimer(loadTimeout)
	defer timeout.Stop()
	for range candidates {
		select {
		case r := <-reports:
			if r.idle() {
				return r.server
			}
			received[r.position] = r
		case <-timeout.C:
			return bestOf(received)
		case <-ctx.Done():
			return bestOf(received)
		}
	}
	return bestOf(received)
}

// bestOf returns the server of the best report, or nil if none may be used.
func bestOf(reports []loadReport) *server {
	reports = slices.DeleteFunc(reports, loadReport.excluded)
	if len(reports) == 0 {
		return nil
	}
	return slices.MinFunc(reports, compareLoads).server
}

// idle reports whether the server can run a request at its usual pace now.
func (r loadReport) idle() bool {
	return r.responded() && !r.excluded() && r.hasSlot() && r.response.report.Pace <= maxSteadyPace
}

// responded reports whether the server responded as a healthy one.
func (r loadReport) responded() bool { return r.err == nil && r.response.status == http.StatusOK }

// excluded reports whether another server responded, or the server is cold or names a
// request limit: without a broker nothing counts what all entries together send to it.
func (r loadReport) excluded() bool {
	report := r.response.report
	other := report.ServerID != "" && report.ServerID != r.server.ID
	return r.responded() && (other || report.Cold > 0 || report.Limited) || r.response.status == http.StatusMisdirectedRequest
}

// hasSlot reports whether the server has a free slot, or reports no load.
func (r loadReport) hasSlot() bool {
	report := r.response.report
	return report.Slots == 0 || report.Running+report.Waiting < report.Slots
}

// compareLoads orders the reports by response, free slots, pace and cost, the best
// first.
func compareLoads(a, b loadReport) int {
	return cmp.Or(
		trueFirst(a.responded(), b.responded()), trueFirst(a.hasSlot(), b.hasSlot()),
		cmp.Compare(a.response.report.Pace, b.response.report.Pace), cmp.Compare(a.position, b.position),
	)
}

// trueFirst orders true before false.
func trueFirst(a, b bool) int {
	switch {
	case a == b:
		return 0
	case a:
		return -1
	default:
		return 1
	}
}

// candidatesWithoutBroker returns the backend servers that may be used without a broker,
// the cheapest first: at most maxCandidates that name no request limit, and all that name
// one. They are warm, since nothing counts what other entries send to cold ones, and at
// most half of their slots are in use by this entry, since other entries use them too. They
// don't back off, unless another entry relays the request: they may want that one's.
func (v *view) candidatesWithoutBroker(service string, r *route.Route, zone string, avoid []uint32, relayed bool, now time.Time) (unlimited, limited []*server) {
	v.mu.Lock()
	defer v.mu.Unlock()
	costs := map[*server]float64{}
	var usable []*server
	for _, s := range v.servers {
		usableNow := v.allowed(s, service, r, avoid, now) && !now.Before(s.avoidUntil) && s.running < (s.Slots+1)/2 &&
			v.accepts(s, relayed, now)
		if !usableNow {
			continue
		}
		cost := float64(s.running) + rand.Float64()
		switch {
		case s.AvailabilityZone == zone:
		case s.region == v.regions[zone]:
			cost += otherZoneCost
		default:
			cost += otherRegionCost
		}
		usable, costs[s] = append(usable, s), cost
	}
	slices.SortFunc(usable, func(a, b *server) int { return cmp.Compare(costs[a], costs[b]) })
	for _, s := range usable {
		switch {
		case s.limit.Limited():
			limited = append(limited, s)
		case len(unlimited) < maxCandidates:
			unlimited = append(unlimited, s)
		}
	}
	return unlimited, limited
}

// allowed reports whether the configuration, the operators, the request and the server itself allow
// the use of the server without a broker, regardless of its load, failures and backoff. The
// caller holds the lock.
func (v *view) allowed(s *server, service string, r *route.Route, avoid []uint32, now time.Time) bool {
	return s.Service == service && r.AllowedIn(s.region) && !v.isZoneOut(s.AvailabilityZone) &&
		!now.Before(s.coldUntil) && !slices.Contains(avoid, s.Number) && v.versionAllows(s, false) && !v.departures.leaving(s.ID, v.serversTerm, now)
}

// startRequest counts a request that starts on a server.
func (v *view) startRequest(s *server) {
	v.mu.Lock()
	defer v.mu.Unlock()
	s.running++
}

// finishRequest uncounts a request on a server and, if it failed, avoids the
// server for avoidAfterFailure.
func (v *view) finishRequest(s *server, failed bool, now time.Time) {
	v.mu.Lock()
	defer v.mu.Unlock()
	s.running = max(0, s.running-1)
	if failed {
		s.avoidUntil = now.Add(avoidAfterFailure)
	}
}
