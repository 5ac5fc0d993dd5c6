package broker

import (
	"fmt"
	"testing"
	"time"
)

// TestSamplesCountWithTheirAge replays half of the load that the machines at their usual pace
// carry, over three regions that are all as far from the broker. A sample is 8 ms old when it
// arrives, and the next change of the pace as much nearer than it says. Without regard to that,
// about 50 of 3,300 requests met a machine that had turned slow before they arrived; one in 200
// may, as the ways aren't all alike.
func TestSamplesCountWithTheirAge(t *testing.T) {
	for seed := range uint64(3) {
		l := stock(165, seed)
		l.regions, l.zones, l.entries, l.distant = 3, 2, 18, true
		if r := newSimulation(l).run(); r.slow > r.requests/200 {
			t.Errorf("seed %d: %s; %d met a slow machine", seed, r, r.slow)
		}
	}
}

// TestDelaysFollowExchanges lets exchanges with entries of three zones take their times, a tenth
// of them ten times as long. The estimates must come within a millisecond of the delays, and
// those of pairs of zones without the broker's be the mean of the measured ones.
func TestDelaysFollowExchanges(t *testing.T) {
	regions := map[string]string{"b": "r1", "near": "r1", "far": "r2", "far2": "r2", "other": "r3"}
	d := newDelays(regions, "b")
	usual := map[string]time.Duration{"b": 2 * time.Millisecond, "near": 8 * time.Millisecond, "far": 32 * time.Millisecond, "other": 32 * time.Millisecond}
	for n := range 1000 {
		for zone, took := range usual {
			if n%10 == 0 {
				took *= 10
			}
			d.observe(zone, took)
		}
	}
	for pair, want := range map[[2]string]time.Duration{
		{"b", "near"}: 3 * time.Millisecond, {"far", "b"}: 15 * time.Millisecond, {"far", "other"}: 15 * time.Millisecond,
		{"near", "far"}: 15 * time.Millisecond, {"far", "far"}: 0, {"far", "far2"}: 3 * time.Millisecond, {"b", "far2"}: initialRegionDelay,
	} {
		if got := d.oneWay(pair[0], pair[1]); (got - want).Abs() > time.Millisecond {
			t.Errorf("%v takes %v, want %v", pair, got, want)
		}
	}
	if got := d.message("far"); (got - 16*time.Millisecond).Abs() > time.Millisecond {
		t.Errorf("a message takes %v", got)
	}
}

// TestLongBodiesDontWaitForAPace asks for a request whose body takes so long that the pace of every
// machine changes before it arrives. It waited for a better machine until it was refused, with
// nearly all slots idle.
func TestLongBodiesDontWaitForAPace(t *testing.T) {
	w := newTestBroker(t, "b", "b", "b", "b")
	for n := range 200 {
		s := w.byID[fmt.Sprint("server", n%4)]
		pace := usualPace
		if n%4 > 0 {
			pace = 5 * usualPace
		}
		w.SampleBy("e2", Sample{
			Server: s.Number, Healthy: true, Responded: true, Pace: pace, ColdMillis: -1, Running: -1, PaceValidMillis: 150,
		}, w.now)
	}
	w.Ask("e2", Ask{Seq: 1, Service: "s", ObjectiveMillis: 2000, DeadlineMillis: 15_000, BodyBytes: 60_000, SendMillis: 137}, w.now)
	if out := w.TakeOutputs(); len(out) != 1 || out[0].Grant == nil {
		t.Errorf("the broker replies %+v", out)
	}
}
