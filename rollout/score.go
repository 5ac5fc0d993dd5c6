package rollout

import (
	"math"
	"slices"
	"time"
)

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
// highest score. A server contributes at most perServer to it.
func (e *Evidence) test(k kind, s stream, perServer float64, now time.Time) finding {
	best := finding{kind: k, stream: s}
	answers := e.canaryAnswers(k, s, now)
	base := e.newBaseline(k, s, now)
	if base == nil {
		return best
	}
	servers := map[uint32]*tally{}
	all, window, excess := tally{}, firstWindow, 0.0
	for n, a := range answers {
		_, bad := a.counts(k)
		t := servers[a.server]
		if t == nil {
			t = &tally{}
			servers[a.server] = t
		}
		t.add(bad)
		all.add(bad)
		excess += base.excess[a.route]
		if all.n < window && n < len(answers)-1 || all.n < firstWindow {
			continue
		}
		window *= 2
		f := finding{kind: k, stream: s, n: all.n, bad: all.bad, servers: len(servers)}
		b := base.since(a.orderedBy(k))
		f.baselineRate, f.baselineCount = b.rate(), b.n
		f.score = score(k, all, servers, b, excess/float64(all.n), perServer)
		if f.score > best.score {
			best = f
		}
	}
	return best
}

// canaryAnswers returns the canary's answers that are evidence about a kind in a stream, the
// newest first.
func (e *Evidence) canaryAnswers(k kind, s stream, now time.Time) []*answer {
	var answers []*answer
	for n := range e.canary.answers {
		a := e.canary.back(n)
		if s.has(a) && e.isEvidence(a, k, now) {
			answers = append(answers, a)
		}
	}
	if k == slowness {
		slices.SortStableFunc(answers, func(x, y *answer) int { return y.began.Compare(x.began) })
	}
	return answers
}

// isEvidence reports whether an answer is evidence about a kind. Whether requests are slow counts
// only if all that began at the time would be known to be slow by now: fast ones are known
// earlier.
func (e *Evidence) isEvidence(a *answer, k kind, now time.Time) bool {
	counts, _ := a.counts(k)
	if !counts || k == failures {
		return counts
	}
	limit, known := e.SlowAfter(e.routes[a.route])
	return known && now.Sub(a.began) >= limit
}

// orderedBy is the time by which the answers of a kind are ordered.
func (a *answer) orderedBy(k kind) time.Time {
	if k == slowness {
		return a.began
	}
	return a.at
}

// score is the logarithm of the likelihood ratio of the rate that was seen to the baseline's
// rate plus the margin. Excess is by how much the routes of the answers make them worse with any
// version. Each server contributes at most its part.
func score(k kind, all tally, servers map[uint32]*tally, baseline tally, excess, perServer float64) float64 {
	margin, least := failureMargin, leastFailures
	if k == slowness {
		margin, least = slowMargin, leastSlow
	}
	b := (float64(baseline.bad) + 0.5) / float64(baseline.n+1)
	p0 := b + max(excess, 0) + margin + math.Sqrt(b*(1-b)/float64(baseline.n+1))
	p1 := min(all.rate(), maxRate)
	if p1 < p0+least {
		return 0
	}
	sum := 0.0
	for _, t := range servers {
		sum += min(float64(t.bad)*math.Log(p1/p0)+float64(t.n-t.bad)*math.Log((1-p1)/(1-p0)), perServer)
	}
	return sum
}

// breadth is the number of servers that must have shown a fault.
func breadth(newServers int) int { return max(1, min(maxBreadth, newServers/4+1)) }
