package rollout

import (
	"fmt"
	"math"
	"slices"
	"time"
)

// Parameters of the test.
const (
	// failureMargin and slowMargin are by how much the canary's rate of bad responses may exceed
	// the baseline's: a seventh of the machines that fails half of its requests stays below.
	failureMargin = 0.08
	slowMargin    = 0.1
	// leastDifference is the least further difference that is a reason to roll back.
	leastDifference = 0.1
	// rollbackScore is the logarithm of the likelihood ratio from which a version is rolled back:
	// for one window, a version at the margin passes it with a probability of e^-10.
	rollbackScore = 10.0
	// doubtfulScore is the one from which a version with little evidence is not completed.
	doubtfulScore = 3.0
	// maxBreadth is the number of servers that a verdict needs at most; of fewer new servers it
	// needs more than a quarter. What one server contributes is bounded accordingly, so that bad
	// machines don't condemn a version.
	maxBreadth = 4
	// minBaseline is the number of responses of the baseline that a window is compared with.
	minBaseline = 50
	// firstWindow is the shortest window, in responses; each further one is twice as long.
	firstWindow = 4
	// outlierAnswers and outlierExcess tell a bad machine of the baseline: its responses, and by
	// how much its rate exceeds that of all.
	outlierAnswers = 6
	outlierExcess  = 0.2
	// EnoughAnswers is the number of the canary's responses from which a verdict counts.
	EnoughAnswers = 60
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
}

// Verdict says that a version is bad, and why.
type Verdict struct{ Reason string }

// NewEvidence returns an empty evidence.
func NewEvidence() *Evidence { return &Evidence{routeNumbers: map[string]int{}} }

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

// Record adds an observation, while the new version has newServers usable servers. A verdict,
// once reached, stays.
func (e *Evidence) Record(o Observation, newServers int) {
	a := answer{server: o.Server, route: e.routeNumber(o.Route), at: o.At, failed: o.Failed, loaded: o.Loaded}
	if !o.Failed && o.Elapsed > 0 {
		corrected := time.Duration(float64(o.Elapsed) / max(o.Slowdown, 1))
		if limit, ok := e.SlowAfter(o.Route); ok {
			a.timed, a.slow = true, corrected > limit
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
	if e.verdict != nil || !a.failed && !a.slow {
		return
	}
	k := failures
	if a.slow {
		k = slowness
	}
	if s := e.worst(k, []stream{{route: -1}, {route: a.route}, {route: -1, loadedOnly: true}}, newServers); s.score >= rollbackScore {
		e.verdict = &Verdict{Reason: e.describe(s)}
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

// stream selects the answers of a route, or of all if it is negative.
type stream struct {
	route      int
	loadedOnly bool
}

// has reports whether the stream has an answer.
func (s stream) has(a *answer) bool {
	return (s.route < 0 || s.route == a.route) && (!s.loadedOnly || a.loaded)
}

// finding is the result of the test in one window of a stream.
type finding struct {
	kind          kind
	stream        stream
	score         float64
	n, bad        int
	servers       int
	baselineRate  float64
	baselineCount int
}

// worst returns the finding of highest score among streams.
func (e *Evidence) worst(k kind, streams []stream, newServers int) finding {
	outliers := e.outliers(k)
	best := finding{kind: k}
	for _, s := range streams {
		if f := e.test(k, s, newServers, outliers); f.score > best.score {
			best = f
		}
	}
	return best
}

// tally counts the answers of a server or of a window.
type tally struct{ n, bad int }

// add counts an answer.
func (t *tally) add(bad bool) {
	t.n++
	if bad {
		t.bad++
	}
}

// rate is the part of the answers that is bad.
func (t tally) rate() float64 { return float64(t.bad) / float64(max(t.n, 1)) }

// test applies the test to all windows of a stream that end now, and returns the finding of
// highest score.
func (e *Evidence) test(k kind, s stream, newServers int, outliers map[uint32]bool) finding {
	best := finding{kind: k, stream: s}
	servers := map[uint32]*tally{}
	all, window := tally{}, firstWindow
	base := e.newBaselineScan(k, s, outliers)
	for n := range e.canary.answers {
		a := e.canary.back(n)
		last := n == len(e.canary.answers)-1
		if s.has(a) {
			if counts, bad := a.counts(k); counts {
				t := servers[a.server]
				if t == nil {
					t = &tally{}
					servers[a.server] = t
				}
				t.add(bad)
				all.add(bad)
			}
		}
		if all.n < window && !last {
			continue
		}
		window = max(2*window, firstWindow)
		f := finding{kind: k, stream: s, n: all.n, bad: all.bad, servers: len(servers)}
		b := base.since(a.at)
		f.baselineRate, f.baselineCount = b.rate(), b.n
		f.score = score(k, all, servers, b, newServers)
		if f.score > best.score {
			best = f
		}
	}
	return best
}

// score is the logarithm of the likelihood ratio of the rate that was seen to the baseline's
// rate plus the margin. Each server contributes at most its part.
func score(k kind, all tally, servers map[uint32]*tally, baseline tally, newServers int) float64 {
	margin := failureMargin
	if k == slowness {
		margin = slowMargin
	}
	b := (float64(baseline.bad) + 0.5) / float64(baseline.n+1)
	p0 := b + margin + math.Sqrt(b*(1-b)/float64(baseline.n+1))
	p1 := min(all.rate(), maxRate)
	if p1 < p0+leastDifference {
		return 0
	}
	limit := rollbackScore / float64(breadth(newServers))
	sum := 0.0
	for _, t := range servers {
		sum += min(float64(t.bad)*math.Log(p1/p0)+float64(t.n-t.bad)*math.Log((1-p1)/(1-p0)), limit)
	}
	return sum
}

// breadth is the number of servers that must have shown a fault.
func breadth(newServers int) int { return max(1, min(maxBreadth, newServers/4+1)) }

// baselineScan counts the answers of the baseline backwards.
type baselineScan struct {
	e        *Evidence
	kind     kind
	stream   stream
	outliers map[uint32]bool
	next     int
	sum      tally
}

// newBaselineScan returns a scan of the answers that a stream of the canary is compared with. A
// route or load of which the baseline has too few answers is compared with all.
func (e *Evidence) newBaselineScan(k kind, s stream, outliers map[uint32]bool) *baselineScan {
	whole := &baselineScan{e: e, kind: k, stream: s, outliers: outliers}
	n := 0
	for i := 0; i < len(e.baseline.answers) && n < minBaseline; i++ {
		if a := e.baseline.back(i); s.has(a) {
			n++
		}
	}
	if n < minBaseline {
		whole.stream = stream{route: -1}
	}
	return whole
}

// since returns the tally of the answers since a time, and of earlier ones if they are too few.
func (b *baselineScan) since(at time.Time) tally {
	for ; b.next < len(b.e.baseline.answers); b.next++ {
		a := b.e.baseline.back(b.next)
		if a.at.Before(at) && b.sum.n >= minBaseline {
			break
		}
		if !b.stream.has(a) || b.outliers[a.server] {
			continue
		}
		if counts, bad := a.counts(b.kind); counts {
			b.sum.add(bad)
		}
	}
	return b.sum
}

// outliers returns the servers of the baseline, at most a quarter, whose answers are far worse
// than those of all.
func (e *Evidence) outliers(k kind) map[uint32]bool {
	all, servers := tally{}, map[uint32]*tally{}
	for i := range e.baseline.answers {
		a := &e.baseline.answers[i]
		counts, bad := a.counts(k)
		if !counts {
			continue
		}
		t := servers[a.server]
		if t == nil {
			t = &tally{}
			servers[a.server] = t
		}
		t.add(bad)
		all.add(bad)
	}
	if all.rate() < 0.01 {
		return nil
	}
	var worst []uint32
	for server, t := range servers {
		if t.n >= outlierAnswers && t.rate() > all.rate()+outlierExcess {
			worst = append(worst, server)
		}
	}
	slices.SortFunc(worst, func(x, y uint32) int {
		if servers[x].rate() != servers[y].rate() {
			return int(math.Copysign(1, servers[y].rate()-servers[x].rate()))
		}
		return int(x) - int(y)
	})
	out := map[uint32]bool{}
	for _, server := range worst[:min(len(worst), len(servers)/4)] {
		out[server] = true
	}
	return out
}

// Doubtful returns the reason why a version with little evidence is not completed; empty if
// there is none.
func (e *Evidence) Doubtful(newServers int) string {
	streams := []stream{{route: -1}}
	for n := range e.routes {
		streams = append(streams, stream{route: n})
	}
	for _, k := range []kind{failures, slowness} {
		if f := e.worst(k, streams, newServers); f.score >= doubtfulScore {
			return e.describe(f)
		}
	}
	return ""
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
	var c, cSlow, b, bSlow tally
	for i := range e.canary.answers {
		a := &e.canary.answers[i]
		c.add(a.failed)
		cSlow.add(a.slow)
	}
	for i := range e.baseline.answers {
		a := &e.baseline.answers[i]
		b.add(a.failed)
		bSlow.add(a.slow)
	}
	return fmt.Sprintf("%d responses of new servers (%.3f failed, %.3f slow), %d of old ones (%.3f, %.3f)", e.canaryTotal,
		c.rate(), cSlow.rate(), b.n, b.rate(), bSlow.rate())
}
