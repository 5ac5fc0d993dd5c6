package rollout

import (
	"flag"
	"fmt"
	"slices"
	"testing"
	"time"

	"tanagerbarrow/declare"
)

// seeds is the number of replays of each world.
var seeds = flag.Uint64("seeds", 6, "replays of each world")

// largeWorld is a service with 400 requests a second, mediumWorld one with 44, smallWorld one with
// 20 and tinyWorld one with a single one.
func largeWorld() world {
	return world{
		rate: 400, duration: 15 * time.Second, old: 160, fresh: 160, slots: 6, routes: []float64{0.8, 0.1, 0.1},
		serviceTime: 450 * time.Millisecond, fault: fault{onRoute: -1},
	}
}

func mediumWorld() world {
	w := smallWorld()
	w.rate, w.duration = 44, 16*time.Second
	return w
}

func smallWorld() world {
	w := largeWorld()
	w.rate, w.duration, w.old, w.fresh, w.routes = 20, 30*time.Second, 20, 20, []float64{0.4, 0.3, 0.3}
	return w
}

func tinyWorld() world {
	w := smallWorld()
	w.rate, w.duration, w.old, w.fresh = 1, 60*time.Second, 4, 4
	return w
}

// The faults of bad versions. Each is a fault of the version, not of its machines.
var (
	thirtyPercent = fault{fails: 0.3, onRoute: -1}
	slower        = fault{slowPart: 1, slowFactor: 4, onRoute: -1}
	halfSlower    = fault{slowPart: 0.5, slowFactor: 4, onRoute: -1}
	partSlower    = fault{slowPart: 0.3, slowFactor: 7, onRoute: -1}
	badRoute      = fault{fails: 0.5, onRoute: 2}
	slowRoute     = fault{slowPart: 1, slowFactor: 4, onRoute: 2}
	underLoad     = fault{fails: 0.6, onRoute: -1, aboveLoad: 0.6}
	badLate       = fault{fails: 0.3, onRoute: -1, after: 0.6}
	slowLate      = fault{slowPart: 1, slowFactor: 4, onRoute: -1, after: 0.6}
)

// results counts the ends of replays.
type results struct {
	completed, late, rolledBack, open, overExposed int
	times                                          []time.Duration
	badAnswers                                     []int
	// odd tells of the last replay that ended otherwise than it should have.
	odd string
}

// playAll replays a world with each seed.
func playAll(w world) results {
	var r results
	for seed := range *seeds {
		o := play(w, seed+1)
		switch o.stage {
		case declare.RolloutCompleted:
			r.completed++
			if o.at > w.duration {
				r.late++
			}
		case declare.RolloutRolledBack:
			r.rolledBack++
		default:
			r.open++
		}
		if o.stage.Ended() && (o.stage == declare.RolloutRolledBack) != w.fault.present() {
			r.odd = fmt.Sprintf("seed %d: %s", seed+1, o.reason)
		}
		if w.fault.present() && float64(o.exposed) > 0.1*float64(o.all)+50 {
			r.overExposed++
		}
		r.times, r.badAnswers = append(r.times, o.at), append(r.badAnswers, o.badAnswers)
	}
	slices.Sort(r.times)
	slices.Sort(r.badAnswers)
	return r
}

func (r results) String() string {
	n := len(r.times)
	return fmt.Sprintf("completed %d (late %d), rolled back %d, open %d, above the bound %d; ended at the median %v, at last %v; bad answers: median %d, most %d; %s",
		r.completed, r.late, r.rolledBack, r.open, r.overExposed, r.times[n/2].Round(10*time.Millisecond),
		r.times[n-1].Round(10*time.Millisecond), r.badAnswers[n/2], r.badAnswers[n-1], r.odd)
}

// check replays a world and checks how many roll-outs may end otherwise than they should, and how
// many may break the bound, in parts of a thousand.
func check(t *testing.T, name string, w world, wrong, overExposed float64) {
	t.Run(name, func(t *testing.T) {
		t.Parallel()
		r := playAll(w)
		t.Log(r)
		bad := len(r.times) - r.completed + r.late
		if w.fault.present() {
			bad = len(r.times) - r.rolledBack
		}
		if float64(bad) > wrong*float64(*seeds)/1000 {
			t.Errorf("%d of %d roll-outs end otherwise", bad, *seeds)
		}
		if float64(r.overExposed) > overExposed*float64(*seeds)/1000 {
			t.Errorf("%d of %d roll-outs are above the bound", r.overExposed, *seeds)
		}
	})
}

// TestGoodVersionsAreCompleted replays good versions, also on machines that change their pace by
// a factor of five or of which a seventh fails nearly half of its requests: they are completed in
// time.
func TestGoodVersionsAreCompleted(t *testing.T) {
	for name, w := range map[string]world{"400/s": largeWorld(), "44/s": mediumWorld(), "20/s": smallWorld(), "1/s": tinyWorld()} {
		check(t, name, w, 0, 0)
		noisy := w
		noisy.noisy = true
		check(t, name+", noisy machines", noisy, 10, 0)
		both := w
		both.badOld, both.badNew = 1.0/7, 1.0/7
		check(t, name+", bad machines", both, 10, 0)
		onlyNew := both
		onlyNew.badOld = 0
		check(t, name+", bad machines of the new version", onlyNew, 10, 0)
	}
}

// TestBadVersionsAreRolledBack replays bad versions of a large service: all are rolled back within
// the bound, whether they are bad at once or late, everywhere, on one route or under load.
func TestBadVersionsAreRolledBack(t *testing.T) {
	for name, f := range map[string]fault{
		"30% errors": thirtyPercent, "4x slower": slower, "half 4x slower": halfSlower, "30% 7x slower": partSlower, "one route": badRoute,
		"slow route": slowRoute, "under load": underLoad, "late": badLate, "slow late": slowLate,
	} {
		w := largeWorld()
		w.fault = f
		check(t, name, w, 1, 1)
	}
	w := largeWorld()
	w.fault, w.noisy = slower, true
	check(t, "4x slower, noisy machines", w, 1, 1)
	w.fault, w.noisy, w.badOld = thirtyPercent, false, 1.0/7
	check(t, "30% errors, bad old machines", w, 1, 1)
}

// TestBadVersionsOfSmallServices replays bad versions of services whose traffic gives less
// evidence: those that are bad all the time are rolled back.
func TestBadVersionsOfSmallServices(t *testing.T) {
	for name, w := range map[string]world{"44/s": mediumWorld(), "20/s": smallWorld()} {
		for kind, f := range map[string]fault{"30% errors": thirtyPercent, "4x slower": slower, "slow route": slowRoute, "slow late": slowLate} {
			w.fault = f
			check(t, name+", "+kind, w, 1, 10)
		}
	}
	w := tinyWorld()
	w.fault = slower
	check(t, "1/s, 4x slower", w, 1, 0)
}

// TestLateBrokerKeepsTheBound replays changes of the broker in the middle of a roll-out: bad
// versions are rolled back within the bound, good ones are completed, late rather than unseen.
func TestLateBrokerKeepsTheBound(t *testing.T) {
	for _, at := range []float64{0.3, 0.6, 0.75} {
		w := largeWorld()
		w.takeover = time.Duration(at * float64(w.duration))
		w.takeover -= w.takeover % (20 * time.Millisecond)
		check(t, fmt.Sprintf("good, at %.2f", at), w, 1, 0)
		w.fault = thirtyPercent
		check(t, fmt.Sprintf("30%% errors, at %.2f", at), w, 1, 1)
	}
}

// TestLimitsOfLittleTraffic reports how often versions are judged wrongly whose faults show in
// too few requests.
func TestLimitsOfLittleTraffic(t *testing.T) {
	for name, w := range map[string]world{"44/s": mediumWorld(), "20/s": smallWorld(), "1/s": tinyWorld()} {
		for kind, f := range map[string]fault{
			"30% errors": thirtyPercent, "half 4x slower": halfSlower, "30% 7x slower": partSlower, "one route": badRoute,
			"under load": underLoad, "late": badLate,
		} {
			w.fault = f
			check(t, name+", "+kind, w, 1000, 250)
		}
	}
}

// TestRoutesThatAlwaysFail completes a good version although all requests of a rare route fail on
// both versions: the canary has more of that route than the old version.
func TestRoutesThatAlwaysFail(t *testing.T) {
	w := largeWorld()
	w.routes, w.failingRoute = []float64{0.495, 0.495, 0.01}, 2
	check(t, "400/s", w, 1, 0)
}
