package rollout

import (
	"math"
	"slices"
	"time"
)

// Spans of time in which the answers of the baseline are counted.
const (
	baselineSpan  = 100 * time.Millisecond
	baselineSpans = 600
)

// baseline holds the answers that a stream of the canary is compared with, by spans of time
// before now.
type baseline struct {
	now   time.Time
	spans []tally
	// excess is, by route, how much worse its answers are than all; 0 for a stream of one route.
	excess []float64
	// next is the first span that is not in sum.
	next int
	sum  tally
}

// newBaseline returns the baseline of a stream; nil if there are too few answers of its route.
// Loaded servers are compared with all if too few old ones are loaded.
func (e *Evidence) newBaseline(k kind, s stream, now time.Time) *baseline {
	outliers := e.outliers(k)
	b := &baseline{now: now, spans: make([]tally, baselineSpans), excess: make([]float64, len(e.routes))}
	all, routes := tally{}, make([]tally, len(e.routes))
	for i := range e.baseline.answers {
		a := &e.baseline.answers[i]
		if !s.has(a) || outliers[a.server] || !e.isEvidence(a, k, now) {
			continue
		}
		_, bad := a.counts(k)
		b.spans[min(int(now.Sub(a.orderedBy(k))/baselineSpan), baselineSpans-1)].add(bad)
		all.add(bad)
		routes[a.route].add(bad)
	}
	switch {
	case s.loadedOnly && all.n < minBaseline:
		return e.newBaseline(k, stream{route: -1}, now)
	case s.route >= 0 && all.n < minRouteBaseline:
		return nil
	}
	// The canary has other parts of the routes than the baseline.
	for n, t := range routes {
		if s.route < 0 && t.n >= minRouteBaseline {
			b.excess[n] = t.rate() - all.rate()
		}
	}
	return b
}

// since returns the tally of the answers since a time, and of earlier ones if they are too few.
func (b *baseline) since(at time.Time) tally {
	for last := int(b.now.Sub(at) / baselineSpan); b.next < len(b.spans) && (b.next <= last || b.sum.n < minBaseline); b.next++ {
		b.sum.n += b.spans[b.next].n
		b.sum.bad += b.spans[b.next].bad
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
