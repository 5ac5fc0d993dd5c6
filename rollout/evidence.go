package rollout

import (
	"fmt"
	"slices"
	"time"
)

// Parameters of the test.
const (
	// failureMargin and slowMargin are by how much the canary's rate of bad responses may exceed
	// the baseline's: a seventh of the machines that fails half of its requests stays below.
	failureMargin = 0.08
	slowMargin    = 0.06
	// leastFailures and leastSlow are the least further differences that are a reason to roll back.
	leastFailures = 0.1
	leastSlow     = 0.07
	// rollbackScore is the logarithm of the likelihood ratio from which a version is rolled back:
	// for one window, a version at the margin passes it with a probability of e^-10.
	rollbackScore = 10.0
	// doubtfulScore is the one from which a version is not completed. It is lower with fewer
	// than manyAnswers responses of the canary, which could not show more.
	doubtfulScore    = 4.0
	lowDoubtfulScore = 2.0
	manyAnswers      = 120
	// switchedScore is the one from which a version is rolled back after the switch, when more
	// than its share is at stake; with fewer than fewAnswers it is lowSwitchedScore.
	switchedScore    = 7.0
	lowSwitchedScore = 3.0
	fewAnswers       = 200
	// slowDoubt is the weight of slow responses in a doubt: a few slow ones together are usual
	// where machines change their pace.
	slowDoubt = 0.6
	// doubtPerServer is what a server contributes to a doubt at most: about two bad answers.
	doubtPerServer = 1.6
	// firstWindow is the shortest window, in responses; each further one is twice as long.
	firstWindow = 4
	// minBaseline is the number of responses of the baseline that a window is compared with.
	minBaseline = 50
	// maxBreadth is the number of servers that a verdict needs at most; of fewer new servers it
	// needs more than a quarter. What one server contributes is bounded accordingly, so that bad
	// machines don't condemn a version.
	maxBreadth = 4
	// judgeInterval is the least time between two tests.
	judgeInterval = 50 * time.Millisecond
	// doubtInterval is the least time between two tests of all streams.
	doubtInterval = 200 * time.Millisecond
	// outlierAnswers and outlierExcess tell a bad machine of the baseline: its responses, and by
	// how much its rate exceeds that of all.
	outlierAnswers = 6
	outlierExcess  = 0.2
	// minRouteBaseline is the number of responses of the baseline on a route from which the route
	// is tested: some routes fail always, as those with a short timeout.
	minRouteBaseline = 8
	// EnoughAnswers is the number of the canary's responses from which a verdict counts.
	EnoughAnswers = 50
)

// maxRate bounds the rates that are assumed, so that their logarithms are finite.
const maxRate = 0.98

// Evidence holds what is known of both versions of a service, and judges the new one.
type Evidence struct {
	canary, baseline ring
	routes           []string
	routeNumbers     map[string]int
	times            []*times
	allTimes         times
	// canaryTotal counts all responses of the canary.
	canaryTotal int
	verdict     *Verdict
	judgedAt    time.Time
	doubt       doubt
	// suspects are the streams that have got bad answers of the canary since the last test.
	suspects map[suspect]bool
}

// suspect is a stream to be tested for a kind of bad answers.
type suspect struct {
	kind   kind
	stream stream
}

// Verdict says that a version is bad, and why.
type Verdict struct{ Reason string }

// NewEvidence returns an empty evidence.
func NewEvidence() *Evidence {
	return &Evidence{routeNumbers: map[string]int{}, suspects: map[suspect]bool{}}
}

// Answers returns the number of the canary's responses.
func (e *Evidence) Answers() int { return e.canaryTotal }

// Verdict returns the verdict on a bad version, or nil.
func (e *Evidence) Verdict() *Verdict { return e.verdict }

// SlowAfter returns the time from which a response of a route is slow; false if that is not
// known yet.
func (e *Evidence) SlowAfter(route string) (time.Duration, bool) {
	t := &e.allTimes
	if n, ok := e.routeNumbers[route]; ok && e.times[n].total >= minTimedAnswers {
		t = e.times[n]
	}
	median, ok := t.median()
	return time.Duration(slowFactor*float64(median)) + slowExtra, ok
}

// Record adds an observation.
func (e *Evidence) Record(o Observation) {
	a := answer{server: o.Server, route: e.routeNumber(o.Route), began: o.Began, at: o.At, failed: o.Failed, loaded: o.Loaded}
	if !o.Failed && o.Elapsed > 0 {
		corrected := time.Duration(float64(o.Elapsed) / max(o.Slowdown, 1))
		if limit, ok := e.SlowAfter(o.Route); ok {
			a.timed, a.slow = true, corrected > limit
			a.relative = float32(slowFactor * float64(corrected) / float64(limit))
		}
		if !o.Canary {
			e.times[a.route].add(corrected)
			e.allTimes.add(corrected)
		}
	}
	if !o.Canary {
		e.baseline.add(a, baselineAnswers)
		return
	}
	e.canary.add(a, canaryAnswers)
	e.canaryTotal++
	if !a.failed && !a.slow {
		return
	}
	k := failures
	if a.slow {
		k = slowness
	}
	for _, s := range []stream{{route: -1}, {route: a.route}, {route: -1, loadedOnly: true}} {
		e.suspects[suspect{k, s}] = true
	}
}

// Judge tests the new version, which has newServers usable servers, if it has got bad answers. A
// verdict, once reached, stays. Slowness is judged by the requests that began so long ago that
// slow ones are known as well.
func (e *Evidence) Judge(newServers int, now time.Time) {
	if e.verdict != nil || len(e.suspects) == 0 || now.Sub(e.judgedAt) < judgeInterval {
		return
	}
	e.judgedAt = now
	best := finding{}
	for s := range e.suspects {
		f := e.test(s.kind, s.stream, rollbackScore/float64(breadth(newServers)), now)
		if f.score > best.score || f.score == best.score && f.stream.route < best.stream.route {
			best = f
		}
	}
	clear(e.suspects)
	if best.score >= rollbackScore {
		e.verdict = &Verdict{Reason: e.describe(best)}
	}
}

// routeNumber returns the number of a route.
func (e *Evidence) routeNumber(route string) int {
	n, ok := e.routeNumbers[route]
	if !ok {
		n = len(e.routes)
		e.routeNumbers[route] = n
		e.routes = append(e.routes, route)
		e.times = append(e.times, &times{})
	}
	return n
}

// doubt is the finding that speaks most against a version.
type doubt struct {
	at      time.Time
	finding finding
}

// Doubtful returns the reason why a version is not completed yet though there is no verdict;
// empty if there is none. Strong says that the evidence is strong enough for a service that has
// been switched already.
func (e *Evidence) Doubtful(newServers int, now time.Time) (reason string, strong bool) {
	limit := doubtfulScore
	if e.canaryTotal < manyAnswers {
		limit = lowDoubtfulScore
	}
	if now.Sub(e.doubt.at) >= doubtInterval {
		perServer := limit
		if breadth(newServers) > 1 {
			perServer = doubtPerServer
		}
		e.doubt = doubt{at: now, finding: e.worst(perServer, now)}
	}
	f := e.doubt.finding
	if f.score < limit {
		return "", false
	}
	return e.describe(f), f.score >= switchedScore || e.canaryTotal < fewAnswers && f.score >= lowSwitchedScore
}

// worst returns the finding of highest score in all streams.
func (e *Evidence) worst(perServer float64, now time.Time) finding {
	streams := []stream{{route: -1}, {route: -1, loadedOnly: true}}
	for n := range e.routes {
		streams = append(streams, stream{route: n})
	}
	best := finding{}
	for _, s := range streams {
		for _, k := range []kind{failures, slowness} {
			f := e.test(k, s, perServer, now)
			if k == slowness {
				f.score *= slowDoubt
			}
			if f.score > best.score {
				best = f
			}
		}
	}
	return best
}

// describe returns a finding in words.
func (e *Evidence) describe(f finding) string {
	where := "all routes"
	switch {
	case f.stream.loadedOnly:
		where = "loaded servers"
	case f.stream.route >= 0:
		where = "route " + e.routes[f.stream.route]
	}
	return fmt.Sprintf("%s: %d of %d responses of %d new servers %s, %.3f of %d old ones; score %.1f", where, f.bad, f.n,
		f.servers, f.kind, f.baselineRate, f.baselineCount, f.score)
}

// Summary returns the figures of both versions.
func (e *Evidence) Summary() string {
	return fmt.Sprintf("%d responses of new servers: %s; old ones: %s", e.canaryTotal, e.canary.summary(), e.baseline.summary())
}

// summary returns the rates of bad answers, and quantiles of the times as multiples of the
// baseline's median.
func (r *ring) summary() string {
	var failed, slow tally
	var times []float32
	for i := range r.answers {
		a := &r.answers[i]
		failed.add(a.failed)
		if a.timed {
			slow.add(a.slow)
			times = append(times, a.relative)
		}
	}
	slices.Sort(times)
	quantile := func(q float64) float32 {
		if len(times) == 0 {
			return 0
		}
		return times[int(q*float64(len(times)-1))]
	}
	return fmt.Sprintf("%.3f failed, %.3f slow, times %.1f at the median, %.1f at 90%%, %.1f at 97%%", failed.rate(), slow.rate(),
		quantile(0.5), quantile(0.9), quantile(0.97))
}
